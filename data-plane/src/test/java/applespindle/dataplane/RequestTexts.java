package applespindle.dataplane;

import applespindle.adapters.SpoiledTexts;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Requests as clients may send them, valid and corrupted; one character is one byte. */
final class RequestTexts {
  private static final int MAX_EDITS = 2;
  private static final int MAX_GARBAGE_LENGTH = 100;
  private static final int MAX_SPLITS = 6;

  private RequestTexts() {}

  private static Arbitrary<String> heads() {
    Arbitrary<String> methods = Arbitraries.of("POST", "POST", "PUT", "GET");
    Arbitrary<String> targets =
        Arbitraries.of(
            "/x", "/x/y?z=%20a&b=c", "/x//../y", "/x;p=1", "/x?a=/b/", "/%C3%A9", "/x|y");
    Arbitrary<List<String>> headers =
        Arbitraries.of(
                "X-Any: 1\r\n",
                "X-Any:  two words \r\n",
                "X-Empty:\r\n",
                "Content-Encoding: gzip\r\n",
                "Connection: keep-alive, X-Any\r\n",
                "Connection: close\r\n",
                "Expect: 100-continue\r\n",
                "Upgrade: websocket\r\n",
                "Transfer-Encoding: chunked\r\n",
                "Content-Length: 3\r\n",
                "X-High: \u00e9\u00ff\r\n")
            .list()
            .ofMaxSize(3);
    return Combinators.combine(methods, targets, headers)
        .as(
            (method, target, all) ->
                method + " " + target + " HTTP/1.1\r\nHost: h\r\n" + String.join("", all));
  }

  private static Arbitrary<String> bodies() {
    return Arbitraries.of("", "a", "abc", "0\r\n\r\n", "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
  }

  /** Complete requests; with headers that disagree with the body among them. */
  static Arbitrary<String> requests() {
    Arbitrary<String> plain =
        Combinators.combine(heads(), bodies())
            .as((head, body) -> head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    Arbitrary<String> chunked =
        Combinators.combine(heads(), bodies().list().ofMaxSize(3))
            .as(
                (head, chunks) -> {
                  StringBuilder all =
                      new StringBuilder(head).append("Transfer-Encoding: chunked\r\n\r\n");
                  for (String chunk : chunks) {
                    if (!chunk.isEmpty()) {
                      all.append(Integer.toHexString(chunk.length()))
                          .append("\r\n")
                          .append(chunk)
                          .append("\r\n");
                    }
                  }
                  return all.append("0\r\n\r\n").toString();
                });
    return Arbitraries.oneOf(plain, chunked);
  }

  /** Requests with a few of their bytes changed, removed or doubled, and plain garbage. */
  static Arbitrary<String> texts() {
    return SpoiledTexts.of(requests(), MAX_EDITS, MAX_GARBAGE_LENGTH);
  }

  /** Places to split at, in thousandths of the text's length. */
  static Arbitrary<List<Integer>> splits() {
    return SpoiledTexts.splits(MAX_SPLITS);
  }
}
