package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A small HTTP/1.1 client: one request on a connection of its own. */
final class Http {
  /** What came back. */
  static final class Answer {
    int status;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    /** The body came to its stated end. */
    boolean complete;

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Http() {}

  static byte[] request(
      String method, String target, String host, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder();
    head.append(method).append(' ').append(target).append(" HTTP/1.1\r\nHost: ").append(host);
    head.append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body.length > 0 || !method.equals("GET") && !method.equals("DELETE")) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[start.length + body.length];
    System.arraycopy(start, 0, all, 0, start.length);
    System.arraycopy(body, 0, all, start.length, body.length);
    return all;
  }

  static Answer call(
      InetSocketAddress to,
      String method,
      String target,
      String host,
      Map<String, String> headers,
      byte[] body,
      int timeoutMs)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(to, Math.min(1_000, timeoutMs));
      socket.setSoTimeout(timeoutMs);
      OutputStream out = socket.getOutputStream();
      out.write(request(method, target, host, headers, body));
      out.flush();
      return read(socket.getInputStream());
    }
  }

  static Answer read(InputStream in) throws IOException {
    Answer answer = new Answer();
    String line = line(in);
    if (line == null || line.length() < 12) {
      throw new IOException("no answer");
    }
    answer.status = Integer.parseInt(line.substring(9, 12));
    for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      answer.headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      if (answer.header("transfer-encoding").equalsIgnoreCase("chunked")) {
        while (true) {
          String size = line(in);
          if (size == null) {
            break;
          }
          int length = Integer.parseInt(size.trim(), 16);
          if (length == 0) {
            answer.complete = line(in) != null;
            break;
          }
          byte[] chunk = in.readNBytes(length);
          body.write(chunk);
          if (chunk.length < length || line(in) == null) {
            break;
          }
        }
      } else if (!answer.header("content-length").isEmpty()) {
        int length = Integer.parseInt(answer.header("content-length"));
        byte[] all = in.readNBytes(length);
        body.write(all);
        answer.complete = all.length == length;
      }
    } catch (java.net.SocketException reset) {
      answer.complete = false;
    }
    answer.body = body.toByteArray();
    return answer;
  }

  /** A line without its end; null at the end of the stream. */
  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        bytes.write(next);
      }
      next = in.read();
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }
}
