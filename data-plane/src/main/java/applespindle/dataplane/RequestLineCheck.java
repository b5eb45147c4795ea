package applespindle.dataplane;

import static java.nio.charset.StandardCharsets.US_ASCII;

/**
 * Follows a request line byte by byte: three parts, of which the second is a path and the third a
 * version of HTTP/1. The HTTP library would put another target in the place of one that is no path,
 * and passes over further parts.
 */
final class RequestLineCheck {
  private static final byte[] VERSION = "HTTP/1.".getBytes(US_ASCII);
  private static final int VERSION_BYTES = VERSION.length + 1;

  private int blanks;

  /** Bytes of the present part. */
  private int partBytes;

  private boolean ended;

  /** False once a byte does not fit; what stands behind the line's end is not looked at. */
  boolean accept(byte each) {
    if (ended || each == '\r') {
      return true;
    }
    if (each == '\n') {
      ended = true;
      return blanks == 2 && partBytes == VERSION_BYTES;
    }
    if (each == ' ') {
      blanks++;
      boolean partStands = partBytes > 0;
      partBytes = 0;
      return partStands && blanks <= 2;
    }
    partBytes++;
    return switch (blanks) {
      case 0 -> true;
      case 1 -> partBytes > 1 || each == '/';
      default -> fitsVersion(each);
    };
  }

  private boolean fitsVersion(byte each) {
    if (partBytes == VERSION_BYTES) {
      return each == '0' || each == '1';
    }
    return partBytes < VERSION_BYTES && each == VERSION[partBytes - 1];
  }
}
