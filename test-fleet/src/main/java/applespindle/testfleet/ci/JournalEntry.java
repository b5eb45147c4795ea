package applespindle.testfleet.ci;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One entry of the measurement journal, as far as the pages rely on it.
 *
 * @param id the id that pages cite, eight hexadecimal digits
 * @param finished whether the run has ended by itself; an unfinished run has no figures
 * @param days the scores by the name of the day, without its seed; empty for a run without days
 */
record JournalEntry(String id, boolean finished, Map<String, Set<String>> days) {
  private static final String START_AND_END = "at";

  /** Reads an entry from the journal's JSON. */
  static JournalEntry of(JsonNode document) {
    Map<String, Set<String>> days = new LinkedHashMap<>();
    for (JsonNode day : document.path("days")) {
      String name = day.path("name").asText().split(" ", 2)[0];
      days.computeIfAbsent(name, unseen -> new TreeSet<>())
          .add(ReportFigures.rounded(day.path("score").asDouble()));
    }
    boolean finished = !document.path(START_AND_END).path(1).asText().isEmpty();
    return new JournalEntry(document.path("id").asText(), finished, days);
  }
}
