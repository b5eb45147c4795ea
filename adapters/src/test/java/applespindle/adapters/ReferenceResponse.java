package applespindle.adapters;

import java.util.Locale;
import java.util.Optional;

/**
 * A second reading of one response from all of its bytes at once, written for its shortness and
 * without regard to speed; what ResponseParser takes for complete must be so by this one too.
 */
record ReferenceResponse(int status, String head, String body, int length) {
  private static final int LINE_END = 2;

  /** Empty if the text does not begin with one complete response. */
  static Optional<ReferenceResponse> parse(String text) {
    int from = 0;
    while (true) {
      int headEnd = text.indexOf("\r\n\r\n", from);
      if (headEnd < 0) {
        return Optional.empty();
      }
      String head = text.substring(from, headEnd);
      if (!head.matches("(?s)HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?(\r\n.*)?")) {
        return Optional.empty();
      }
      int status = Integer.parseInt(head.substring(9, 12));
      from = headEnd + 2 * LINE_END;
      if (status >= 200) {
        return body(text, status, head, from);
      }
    }
  }

  private static Optional<ReferenceResponse> body(String text, int status, String head, int from) {
    if (status == 204 || status == 304) {
      return Optional.of(new ReferenceResponse(status, head, "", from));
    }
    if (header(head, "transfer-encoding").equalsIgnoreCase("chunked")) {
      return chunked(text, status, head, from);
    }
    String length = header(head, "content-length");
    if (!length.matches("[0-9]{1,15}") || Long.parseLong(length) > text.length() - from) {
      return Optional.empty();
    }
    int to = from + Integer.parseInt(length);
    return Optional.of(new ReferenceResponse(status, head, text.substring(from, to), to));
  }

  private static Optional<ReferenceResponse> chunked(
      String text, int status, String head, int from) {
    StringBuilder body = new StringBuilder();
    int at = from;
    while (true) {
      int lineEnd = text.indexOf("\r\n", at);
      if (lineEnd < 0) {
        return Optional.empty();
      }
      String size = text.substring(at, lineEnd).split(";", 2)[0].strip();
      if (!size.matches("[0-9A-Fa-f]{1,15}")) {
        return Optional.empty();
      }
      long bytes = Long.parseLong(size, 16);
      at = lineEnd + LINE_END;
      if (bytes == 0) {
        return trailers(text, status, head, body.toString(), at);
      }
      if (bytes > text.length() - at - LINE_END || !text.startsWith("\r\n", at + (int) bytes)) {
        return Optional.empty();
      }
      body.append(text, at, at + (int) bytes);
      at += (int) bytes + LINE_END;
    }
  }

  private static Optional<ReferenceResponse> trailers(
      String text, int status, String head, String body, int from) {
    int at = from;
    while (!text.startsWith("\r\n", at)) {
      int lineEnd = text.indexOf("\r\n", at);
      if (lineEnd < 0) {
        return Optional.empty();
      }
      at = lineEnd + LINE_END;
    }
    return Optional.of(new ReferenceResponse(status, head, body, at + LINE_END));
  }

  /** The first of that name, in lower case; empty if there is none. */
  String header(String name) {
    return header(head, name);
  }

  private static String header(String head, String name) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
        return line.substring(name.length() + 1).strip();
      }
    }
    return "";
  }
}
