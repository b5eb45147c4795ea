package applespindle.adapters;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/** Texts with a few errors in them, and ways to split one; one character is one byte. */
public final class SpoiledTexts {
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

  private SpoiledTexts() {}

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

  /**
   * Valid texts with some of their bytes changed, removed or doubled, and, one time in ten, plain
   * garbage.
   */
  public static Arbitrary<String> of(Arbitrary<String> valid, int maxEdits, int maxGarbageLength) {
    Arbitrary<String> spoiled =
        Combinators.combine(valid, edits().list().ofMaxSize(maxEdits)).as(SpoiledTexts::apply);
    Arbitrary<String> garbage =
        Arbitraries.strings().withCharRange((char) 0, (char) 255).ofMaxLength(maxGarbageLength);
    return Arbitraries.frequencyOf(Tuple.of(9, spoiled), Tuple.of(1, garbage));
  }

  private static String apply(String valid, List<Edit> edits) {
    String text = valid;
    for (Edit edit : edits) {
      text = edit.apply(text);
    }
    return text;
  }

  /** Places to split at, in thousandths of the text's length. */
  public static Arbitrary<List<Integer>> splits(int maxSplits) {
    return Arbitraries.integers().between(0, 1_000).list().ofMaxSize(maxSplits);
  }

  /** The parts of a text between places. */
  public static List<String> split(String text, List<Integer> places) {
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
