package applespindle.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * A second reading of one request from all of its bytes at once, as strict as RFC 9112 allows and
 * without regard to speed; what the endpoint passes on must be so by this one too.
 */
record ReferenceRequest(String method, String target, List<String> headers, String body) {
  private static final int LINE_END = 2;

  /** Empty if the text does not begin with one complete, valid request. */
  static Optional<ReferenceRequest> parse(String text) {
    int headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
      return Optional.empty();
    }
    String[] lines = text.substring(0, headEnd).split("\r\n", -1);
    String[] first = lines[0].split(" ", -1);
    if (first.length != 3 || !first[2].matches("HTTP/1\\.[01]")) {
      return Optional.empty();
    }
    List<String> headers = new ArrayList<>();
    for (int index = 1; index < lines.length; index++) {
      if (!lines[index].matches("[-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*")) {
        return Optional.empty();
      }
      headers.add(lines[index]);
    }
    Optional<String> body = body(headers, text.substring(headEnd + 2 * LINE_END));
    return body.map(bytes -> new ReferenceRequest(first[0], first[1], headers, bytes));
  }

  private static Optional<String> body(List<String> headers, String rest) {
    List<String> lengths = values(headers, "content-length");
    List<String> encodings = values(headers, "transfer-encoding");
    if (lengths.size() + encodings.size() > 1) {
      return Optional.empty();
    }
    if (!encodings.isEmpty()) {
      return encodings.get(0).equalsIgnoreCase("chunked") ? chunked(rest) : Optional.empty();
    }
    if (lengths.isEmpty()) {
      return Optional.of("");
    }
    if (!lengths.get(0).matches("[0-9]{1,9}") || Integer.parseInt(lengths.get(0)) > rest.length()) {
      return Optional.empty();
    }
    return Optional.of(rest.substring(0, Integer.parseInt(lengths.get(0))));
  }

  private static Optional<String> chunked(String rest) {
    StringBuilder body = new StringBuilder();
    int at = 0;
    while (true) {
      int lineEnd = rest.indexOf("\r\n", at);
      if (lineEnd < 0) {
        return Optional.empty();
      }
      String size = rest.substring(at, lineEnd).split(";", 2)[0].strip();
      if (!size.matches("[0-9A-Fa-f]{1,7}")) {
        return Optional.empty();
      }
      int bytes = Integer.parseInt(size, 16);
      at = lineEnd + LINE_END;
      if (bytes == 0) {
        return rest.startsWith("\r\n", at) || rest.indexOf("\r\n\r\n", at) >= 0
            ? Optional.of(body.toString())
            : Optional.empty();
      }
      if (bytes > rest.length() - at - LINE_END || !rest.startsWith("\r\n", at + bytes)) {
        return Optional.empty();
      }
      body.append(rest, at, at + bytes);
      at += bytes + LINE_END;
    }
  }

  private static List<String> values(List<String> headers, String name) {
    return headers.stream()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(line -> line.substring(name.length() + 1).strip())
        .toList();
  }

  List<String> values(String name) {
    return values(headers, name);
  }
}
