package applespindle.adapters;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Responses as workers may send them, valid and corrupted; one character is one byte. */
final class ResponseTexts {
  private static final int MAX_EDITS = 3;
  private static final int MAX_GARBAGE_LENGTH = 200;
  private static final int MAX_SPLITS = 12;

  private static final List<String> HEADERS =
      List.of(
          "X-Id: 1\r\n",
          "X-Id: 2\r\n",
          "X-Stamp: s\r\n",
          "X-Not-Run: 1\r\n",
          "Keep-Alive: timeout=30\r\n",
          "Connection: close\r\n",
          "Content-Type: text/event-stream\r\n",
          "X-Load: 3\r\n",
          "Content-Length: 3\r\n",
          "Transfer-Encoding: chunked\r\n",
          "X-Empty:\r\n");

  private ResponseTexts() {}

  private static Arbitrary<String> bodies() {
    return Arbitraries.of(
        "", "a", "abc", "id: 1\ndata: a\n\n", "\r\n", "0\r\n\r\n", "x".repeat(300));
  }

  private static Arbitrary<String> heads() {
    Arbitrary<String> lines =
        Arbitraries.of(
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.0 200\r\n",
            "HTTP/1.1 204 None\r\n",
            "HTTP/1.1 421 Other\r\n",
            "HTTP/1.1 500 Sorry\r\n",
            "HTTP/1.1 503 Busy\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n");
    Arbitrary<List<String>> headers = Arbitraries.of(HEADERS).list().ofMaxSize(4);
    return Combinators.combine(lines, headers)
        .as((line, all) -> line + "X-Id: 1\r\nX-Stamp: s\r\n" + String.join("", all));
  }

  private static String plain(String head, String body) {
    return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String chunked(String head, List<String> chunks, boolean trailer) {
    StringBuilder all = new StringBuilder(head).append("Transfer-Encoding: chunked\r\n\r\n");
    for (String chunk : chunks) {
      if (!chunk.isEmpty()) {
        all.append(Integer.toHexString(chunk.length())).append("\r\n").append(chunk).append("\r\n");
      }
    }
    return all.append("0\r\n").append(trailer ? "X-Trailer: 1\r\n" : "").append("\r\n").toString();
  }

  /** Complete responses; with headers that disagree with the body among them. */
  static Arbitrary<String> responses() {
    Arbitrary<String> plain = Combinators.combine(heads(), bodies()).as(ResponseTexts::plain);
    Arbitrary<String> chunked =
        Combinators.combine(heads(), bodies().list().ofMaxSize(4), Arbitraries.of(true, false))
            .as(ResponseTexts::chunked);
    return Arbitraries.oneOf(plain, chunked);
  }

  /** Responses with a few of their bytes changed, removed or doubled, and plain garbage. */
  static Arbitrary<String> texts() {
    Arbitrary<String> oneOrTwo =
        responses().list().ofMinSize(1).ofMaxSize(2).map(all -> String.join("", all));
    return SpoiledTexts.of(oneOrTwo, MAX_EDITS, MAX_GARBAGE_LENGTH);
  }

  /** Places to split at, in thousandths of the text's length. */
  static Arbitrary<List<Integer>> splits() {
    return SpoiledTexts.splits(MAX_SPLITS);
  }
}
