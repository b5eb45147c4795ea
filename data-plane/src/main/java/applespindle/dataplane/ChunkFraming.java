package applespindle.dataplane;

/**
 * Follows the framing of one chunked body byte by byte (RFC 9112, 7.1) and is stricter than the
 * HTTP library, which passes over a bare line end or what else stands behind a chunk's size: what
 * two readers may part differently goes no further.
 */
final class ChunkFraming {
  private enum State {
    SIZE_BEGIN,
    SIZE,
    BLANKS,
    EXTENSION,
    SIZE_END,
    DATA,
    DATA_END,
    DATA_LINE_END,
    TRAILER_BEGIN,
    TRAILER,
    TRAILER_END,
    LAST_LINE_END,
    DONE
  }

  private static final int MAX_SIZE_DIGITS = 15;
  private static final int HEXADECIMAL = 16;

  private State state = State.SIZE_BEGIN;
  private long left;
  private int digits;

  /** Of extensions and trailers, which nobody reads. */
  private int unreadBytes;

  /** False once a byte does not fit; what stands behind the body's end is not looked at. */
  boolean accept(byte[] bytes, int from, int to) {
    int at = from;
    while (at < to && state != State.DONE) {
      if (state == State.DATA) {
        int size = (int) Math.min(left, to - at);
        left -= size;
        at += size;
        state = left == 0 ? State.DATA_END : State.DATA;
      } else if (!accept((char) (bytes[at++] & 0xff))) {
        return false;
      }
    }
    return true;
  }

  private boolean accept(char each) {
    return switch (state) {
      case SIZE_BEGIN -> acceptFirstDigit(each);
      case SIZE -> acceptDigit(each) || acceptBehindSize(each);
      case BLANKS -> acceptBehindSize(each);
      case EXTENSION -> acceptUnread(each, State.SIZE_END);
      case SIZE_END -> acceptLineFeed(each, left == 0 ? State.TRAILER_BEGIN : State.DATA);
      case DATA_END -> acceptCarriageReturn(each);
      case DATA_LINE_END -> acceptLineFeed(each, State.SIZE_BEGIN);
      case TRAILER_BEGIN -> acceptTrailerBegin(each);
      case TRAILER -> acceptUnread(each, State.TRAILER_END);
      case TRAILER_END -> acceptLineFeed(each, State.TRAILER_BEGIN);
      case LAST_LINE_END -> acceptLineFeed(each, State.DONE);
      case DATA, DONE -> false;
    };
  }

  private boolean acceptFirstDigit(char each) {
    left = 0;
    digits = 0;
    return acceptDigit(each);
  }

  private boolean acceptCarriageReturn(char each) {
    state = State.DATA_LINE_END;
    return each == '\r';
  }

  /** The line of a trailer, or the blank line that ends them. */
  private boolean acceptTrailerBegin(char each) {
    state = State.TRAILER;
    return acceptUnread(each, State.LAST_LINE_END);
  }

  private boolean acceptDigit(char each) {
    int digit = each < 128 ? Character.digit(each, HEXADECIMAL) : -1;
    if (digit < 0 || ++digits > MAX_SIZE_DIGITS) {
      return false;
    }
    left = left * HEXADECIMAL + digit;
    state = State.SIZE;
    return true;
  }

  private boolean acceptBehindSize(char each) {
    if (each == ' ' || each == '\t') {
      state = State.BLANKS;
      return ++unreadBytes <= EffectiveClientLimits.MAX_HEAD_BYTES;
    }
    state = each == ';' ? State.EXTENSION : State.SIZE_END;
    return each == ';' || each == '\r';
  }

  private boolean acceptUnread(char each, State behindCarriageReturn) {
    if (each == '\r') {
      state = behindCarriageReturn;
      return true;
    }
    boolean control = each < ' ' && each != '\t' || each == 127;
    return !control && ++unreadBytes <= EffectiveClientLimits.MAX_HEAD_BYTES;
  }

  private boolean acceptLineFeed(char each, State next) {
    state = next;
    return each == '\n';
  }
}
