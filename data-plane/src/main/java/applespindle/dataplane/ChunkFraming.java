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
    switch (state) {
      case SIZE_BEGIN -> {
        left = 0;
        digits = 0;
        return acceptDigit(each);
      }
      case SIZE -> {
        return acceptDigit(each) || acceptBehindSize(each);
      }
      case BLANKS -> {
        return acceptBehindSize(each);
      }
      case EXTENSION -> {
        return acceptUnread(each, State.SIZE_END);
      }
      case SIZE_END -> {
        return acceptLineFeed(each, left == 0 ? State.TRAILER_BEGIN : State.DATA);
      }
      case DATA_END -> {
        state = State.DATA_LINE_END;
        return each == '\r';
      }
      case DATA_LINE_END -> {
        return acceptLineFeed(each, State.SIZE_BEGIN);
      }
      case TRAILER_BEGIN -> {
        state = State.TRAILER;
        return acceptUnread(each, State.LAST_LINE_END);
      }
      case TRAILER -> {
        return acceptUnread(each, State.TRAILER_END);
      }
      case TRAILER_END -> {
        return acceptLineFeed(each, State.TRAILER_BEGIN);
      }
      case LAST_LINE_END -> {
        return acceptLineFeed(each, State.DONE);
      }
      default -> {
        return false;
      }
    }
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
