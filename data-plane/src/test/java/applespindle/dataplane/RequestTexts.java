package applespindle.dataplane;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/** Requests as clients may send them, sound and spoiled; one character is one byte. */
final class RequestTexts {
  /** One change of a text, at a place given in thousandths of its length. */
  private record Edit(int kind, int place, int size, char letter) {
    String apply(String text) {
      int at = (int) ((long) text.length() * place / 1_000);
      int to = Math.min(text.length(), at + size);
      return switch (kind) {
        case 0 -> text.substring(0, at) + letter + text.substring(Math.min(text.length(), at + 1));
        case 1 -> text.substring(0, at) + text.substring(to);
        case 2 -> text.substring(0, at) + text.substring(at, to) + text.substring(at);
        case 3 -> text.substring(0, at) + letter + text.substring(at);
        case 4 -> text.substring(0, at);
        default -> text + text.substring(at);
      };
    }
  }

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

  /** Whole requests; with headers that disagree with the body among them. */
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

  private static Arbitrary<Edit> edits() {
    Arbitrary<Character> letters =
        Arbitraries.oneOf(
            Arbitraries.of('\r', '\n', ' ', ':', '0', '1', 'f', ';', '-', '\t', '\u0000'),
            Arbitraries.chars().range((char) 0, (char) 255));
    return Combinators.combine(
            Arbitraries.integers().between(0, 5),
            Arbitraries.integers().between(0, 1_000),
            Arbitraries.integers().between(1, 40),
            letters)
        .as(Edit::new);
  }

  /** Requests with a few of their bytes changed, cut off or doubled, and plain garbage. */
  static Arbitrary<String> texts() {
    Arbitrary<String> spoiled =
        Combinators.combine(requests(), edits().list().ofMaxSize(2))
            .as(
                (request, edits) -> {
                  String text = request;
                  for (Edit edit : edits) {
                    text = edit.apply(text);
                  }
                  return text;
                });
    Arbitrary<String> garbage =
        Arbitraries.strings().withCharRange((char) 0, (char) 255).ofMaxLength(100);
    return Arbitraries.frequencyOf(Tuple.of(9, spoiled), Tuple.of(1, garbage));
  }

  /** Places to split at, in thousandths of the text's length. */
  static Arbitrary<List<Integer>> splits() {
    return Arbitraries.integers().between(0, 1_000).list().ofMaxSize(6);
  }

  static List<String> split(String text, List<Integer> places) {
    List<Integer> sorted =
        places.stream()
            .map(place -> (int) ((long) text.length() * place / 1_000))
            .sorted()
            .toList();
    List<String> parts = new ArrayList<>();
    int from = 0;
    for (int at : sorted) {
      parts.add(text.substring(from, at));
      from = at;
    }
    parts.add(text.substring(from));
    return parts;
  }
}
