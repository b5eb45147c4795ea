package applespindle.testfleet.ci;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The list of files that break a rule of the linter only ever shrinks. */
class LintSuppressionsTest {
  /** Lower this with each entry that goes. */
  private static final int MAX_ENTRIES = 2;

  private static final Path ROOT = Path.of("..");
  private static final Pattern ENTRY =
      Pattern.compile(
          "<suppress (?:checks|id)=\"(\\w+)\" files=\"\\[\\\\\\\\/](\\w+)\\\\.java\\$\"/>");
  private static final Pattern LENGTH_LIMIT =
      Pattern.compile("\"FileLength\">\\s*<property name=\"max\" value=\"(\\d+)\"");

  private record Suppression(String rule, String file) {}

  private static List<Suppression> suppressions() throws IOException {
    String text = Files.readString(ROOT.resolve("checkstyle-suppressions.xml"));
    List<MatchResult> entries = ENTRY.matcher(text).results().toList();
    assertWithMessage("entries of the one form that this test reads")
        .that(entries)
        .hasSize((int) text.lines().filter(line -> line.contains("<suppress ")).count());
    return entries.stream().map(entry -> new Suppression(entry.group(1), entry.group(2))).toList();
  }

  private static List<Path> sources() throws IOException {
    try (Stream<Path> files = Files.walk(ROOT)) {
      return files
          .filter(file -> file.toString().matches(".*/src/(main|test)/java/.*\\.java"))
          .toList();
    }
  }

  private static int longestAllowed() throws IOException {
    String rules = Files.readString(ROOT.resolve("checkstyle.xml"));
    return LENGTH_LIMIT
        .matcher(rules)
        .results()
        .mapToInt(limit -> Integer.parseInt(limit.group(1)))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void areNoMoreThanWereAgreed() throws IOException {
    assertThat(suppressions().size()).isAtMost(MAX_ENTRIES);
    assertThat(suppressions()).containsNoDuplicates();
  }

  @Test
  void nameOneFileEach() throws IOException {
    List<String> names = sources().stream().map(file -> file.getFileName().toString()).toList();
    for (Suppression suppression : suppressions()) {
      String name = suppression.file() + ".java";
      assertWithMessage("files named " + name)
          .that(names.stream().filter(name::equals).count())
          .isEqualTo(1);
    }
  }

  @Test
  void ofLengthGoOnceTheFileIsShort() throws IOException {
    int most = longestAllowed();
    for (Suppression suppression : suppressions()) {
      if (suppression.rule().equals("FileLength")) {
        Path file =
            sources().stream()
                .filter(each -> each.endsWith(suppression.file() + ".java"))
                .findFirst()
                .orElseThrow();
        assertWithMessage("lines of " + file + ", which has an entry for its length")
            .that(Files.readAllLines(file).size())
            .isGreaterThan(most);
      }
    }
  }
}
