package applespindle.dataplane;

import static java.nio.charset.StandardCharsets.US_ASCII;

/**
 * Follows the head of one request byte by byte and is stricter than the HTTP library: every line
 * ends with CR and LF, none is continued in the next, there is no control character, the target is
 * a path, and the request line ends with the version. Masks the header Content-Encoding on the way,
 * as the library would unpack a body by it, and what reaches the worker must be the client's own
 * bytes. Invariant: all bytes so far, {@link #size} of them, belong to the head and are valid.
 */
final class RequestHeadScanner {
  static final String BAD_REQUEST = "400 Bad Request";
  private static final String HEAD_TOO_LARGE = "431 Request Header Fields Too Large";

  private static final byte[] ENCODING = "content-encoding:".getBytes(US_ASCII);
  private static final int HYPHEN_INDEX = 7;
  private static final int LINE_ENDS_OF_BLANK_LINE = 2;
  private static final int DELETE = 127;

  /** Stands in the place of the hyphen in a masked name: no client's head can hold it. */
  private static final byte MASK = 1;

  private static final String MASKED_ENCODING = "content" + (char) MASK + "encoding";

  private final RequestLineCheck requestLine = new RequestLineCheck();
  private int size;
  private byte last;

  /** How many line ends stand directly behind each other. */
  private int lineEnds;

  /** How much of ENCODING the present line begins with; -1 if it begins otherwise. */
  private int encodingMatched = -1;

  /** How many bytes of the head were read so far. */
  int size() {
    return size;
  }

  /** Whether the blank line that ends the head was read. */
  boolean isComplete() {
    return lineEnds == LINE_ENDS_OF_BLANK_LINE;
  }

  /**
   * Reads on until the head is complete or the bytes end.
   *
   * @param bytes holds the bytes of the head, of which one may be replaced
   * @param from where the first byte stands that was not read yet
   * @param to where the bytes end
   * @param maxBytes how long the head may be
   * @return the status to refuse the request with, or null if nothing is wrong so far
   */
  String scan(byte[] bytes, int from, int to, int maxBytes) {
    for (int index = from; index < to; index++) {
      byte each = bytes[index];
      if (!fits(each)) {
        return BAD_REQUEST;
      }
      countLineEnds(each);
      last = each;
      if (++size > maxBytes) {
        return HEAD_TOO_LARGE;
      }
      if (isComplete()) {
        return null;
      }
      maskEncoding(bytes, index, each);
    }
    return null;
  }

  private boolean fits(byte each) {
    boolean bareLineEnd = each == '\n' ? last != '\r' : last == '\r';
    boolean continuesLine = (each == ' ' || each == '\t') && lineEnds > 0;
    return !bareLineEnd && !continuesLine && !isControl(each) && requestLine.accept(each);
  }

  private static boolean isControl(byte each) {
    boolean allowed = each == '\r' || each == '\n' || each == '\t';
    return each >= 0 && each < ' ' && !allowed || each == DELETE;
  }

  private void countLineEnds(byte each) {
    if (each == '\n') {
      lineEnds++;
    } else if (each != '\r') {
      lineEnds = 0;
    }
  }

  private void maskEncoding(byte[] bytes, int index, byte each) {
    if (each == '\n') {
      encodingMatched = 0;
    } else if (encodingMatched >= 0) {
      byte lower = each >= 'A' && each <= 'Z' ? (byte) (each + 32) : each;
      encodingMatched = lower == ENCODING[encodingMatched] ? encodingMatched + 1 : -1;
      if (encodingMatched == ENCODING.length) {
        bytes[index - ENCODING.length + 1 + HYPHEN_INDEX] = MASK;
        encodingMatched = -1;
      }
    }
  }

  /** A header's name as the client wrote it. */
  static String unmasked(String name) {
    return name.length() == MASKED_ENCODING.length() && name.equalsIgnoreCase(MASKED_ENCODING)
        ? name.replace((char) MASK, '-')
        : name;
  }
}
