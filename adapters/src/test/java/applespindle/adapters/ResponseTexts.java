package applespindle.adapters;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Responses as workers may send them, sound and spoiled; one character is one byte. */
final class ResponseTexts {
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

  /** Whole responses; with headers that disagree with the body among them. */
  static Arbitrary<String> responses() {
    Arbitrary<String> plain = Combinators.combine(heads(), bodies()).as(ResponseTexts::plain);
    Arbitrary<String> chunked =
        Combinators.combine(heads(), bodies().list().ofMaxSize(4), Arbitraries.of(true, false))
            .as(ResponseTexts::chunked);
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

  /** Responses with a few of their bytes changed, cut off or doubled, and plain garbage. */
  static Arbitrary<String> texts() {
    Arbitrary<String> spoiled =
        Combinators.combine(
                responses().list().ofMinSize(1).ofMaxSize(2), edits().list().ofMaxSize(3))
            .as(
                (responses, edits) -> {
                  String text = String.join("", responses);
                  for (Edit edit : edits) {
                    text = edit.apply(text);
                  }
                  return text;
                });
    Arbitrary<String> garbage =
        Arbitraries.strings().withCharRange((char) 0, (char) 255).ofMaxLength(200);
    return Arbitraries.frequencyOf(
        net.jqwik.api.Tuple.of(9, spoiled), net.jqwik.api.Tuple.of(1, garbage));
  }

  /** Places to split at, in thousandths of the text's length. */
  static Arbitrary<List<Integer>> splits() {
    return Arbitraries.integers().between(0, 1_000).list().ofMaxSize(12);
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
