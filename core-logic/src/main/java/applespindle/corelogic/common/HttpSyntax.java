package applespindle.corelogic.common;

/**
 * The characters that the parts of an HTTP/1.1 head may consist of (RFC 9110, 5.6.2 and 5.5; RFC
 * 9112, 3.2). Heads are encoded as ISO 8859-1; a character outside it would arrive as a different
 * one. Stateless; arguments must not be null.
 */
public final class HttpSyntax {
  private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
  private static final char DELETE = 127;
  private static final char LAST_OCTET = 255;

  private HttpSyntax() {}

  /** Returns whether the text is valid as a method or header name. */
  public static boolean isToken(String text) {
    return !text.isEmpty() && text.chars().allMatch(HttpSyntax::isTokenCharacter);
  }

  /**
   * Returns whether the text is valid as a request target or host: no blanks or control characters.
   */
  public static boolean isTarget(String text) {
    return !text.isEmpty()
        && text.chars().allMatch(character -> character > ' ' && isOctet(character));
  }

  /** Returns whether the text is valid as a header value: no control characters but the tab. */
  public static boolean isFieldValue(String text) {
    return text.chars()
        .allMatch(character -> character == '\t' || character >= ' ' && isOctet(character));
  }

  private static boolean isTokenCharacter(int character) {
    return character >= '0' && character <= '9'
        || character >= 'A' && character <= 'Z'
        || character >= 'a' && character <= 'z'
        || TOKEN_MARKS.indexOf(character) >= 0;
  }

  private static boolean isOctet(int character) {
    return character != DELETE && character <= LAST_OCTET;
  }
}
