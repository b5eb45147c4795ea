package applespindle.corelogic.common;

/**
 * What the parts of an HTTP/1.1 head may consist of (RFC 9110, 5.6.2 and 5.5; RFC 9112, 3.2). Heads
 * are written as ISO 8859-1, so that a character beyond it would reach the other side as another.
 */
public final class HttpSyntax {
  private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
  private static final char DELETE = 127;
  private static final char LAST_OCTET = 255;

  private HttpSyntax() {}

  /** Method and header names. */
  public static boolean isToken(String text) {
    return !text.isEmpty() && text.chars().allMatch(HttpSyntax::isTokenCharacter);
  }

  /** Request targets and hosts: no blanks and no controls. */
  public static boolean isTarget(String text) {
    return !text.isEmpty() && text.chars().allMatch(each -> each > ' ' && isOctet(each));
  }

  /** Header values: no controls but the tab. */
  public static boolean isFieldValue(String text) {
    return text.chars().allMatch(each -> each == '\t' || each >= ' ' && isOctet(each));
  }

  private static boolean isTokenCharacter(int each) {
    return each >= '0' && each <= '9'
        || each >= 'A' && each <= 'Z'
        || each >= 'a' && each <= 'z'
        || TOKEN_MARKS.indexOf(each) >= 0;
  }

  private static boolean isOctet(int each) {
    return each != DELETE && each <= LAST_OCTET;
  }
}
