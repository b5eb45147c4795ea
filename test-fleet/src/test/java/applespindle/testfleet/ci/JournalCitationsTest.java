package applespindle.testfleet.ci;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** No page gives a figure of a run that did not finish, unless it says so. */
class JournalCitationsTest {
  private static final String FINISHED =
      """
      {"id": "0123abcd", "at": ["2026-12-02T01:00:00Z", "2026-12-02T01:05:00Z"],
       "days": [{"name": "quiet-1 --seed 7", "score": 0.694}]}
      """;
  private static final String UNFINISHED =
      """
      {"id": "4567ef01", "at": ["2026-12-02T01:00:00Z", ""], "days": []}
      """;

  private static List<String> findings(String... lines) throws IOException {
    ObjectMapper json = new ObjectMapper();
    List<JournalEntry> entries =
        List.of(
            JournalEntry.of(json.readTree(FINISHED)), JournalEntry.of(json.readTree(UNFINISHED)));
    return new JournalCitations(entries).findingsIn("page.md", List.of(lines));
  }

  @Test
  void figuresAndCitationsOfFinishedEntriesAreFine() throws IOException {
    assertThat(findings("| `quiet-1` | 0.69, entry 0123abcd |", "0.42 without a day")).isEmpty();
  }

  @Test
  void aCitationOfAnUnfinishedEntryIsFound() throws IOException {
    assertThat(findings("", "see 4567ef01")).containsExactly("page.md:2: 4567ef01 did not finish");
  }

  @Test
  void aScoreThatNoFinishedEntryOfItsDayHasIsFound() throws IOException {
    assertThat(findings("quiet-1: 0.69 and 0.77", "trouble-1: 0.69"))
        .containsExactly(
            "page.md:1: 0.77 is in no finished entry", "page.md:2: 0.69 is in no finished entry")
        .inOrder();
  }

  @Test
  void whatAPageMarksItselfIsLeftOut() throws IOException {
    assertThat(findings("quiet-1: 0.77, no finished entry: 4567ef01")).isEmpty();
  }

  @Test
  void thePagesOfTheProjectCiteFinishedEntriesOnly() throws IOException {
    assertThat(JournalProgram.findings(Path.of(".."))).isEmpty();
  }
}
