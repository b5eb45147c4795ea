package applespindle.testfleet.ci;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Finds what pages say of measurements that no finished journal entry shows: a citation of an entry
 * whose run did not end, and a score of a standard day that no finished entry has. A line that says
 * itself that there is {@link #MARK} is left out.
 */
final class JournalCitations {
  /** The words by which a page marks a figure or a citation as one without a finished run. */
  static final String MARK = "no finished entry";

  private final Set<String> unfinished = new HashSet<>();
  private final Map<String, Set<String>> finishedScoresOfDay = new HashMap<>();

  JournalCitations(List<JournalEntry> entries) {
    for (JournalEntry entry : entries) {
      if (entry.finished()) {
        entry
            .days()
            .forEach(
                (day, scores) ->
                    finishedScoresOfDay
                        .computeIfAbsent(day, unseen -> new HashSet<>())
                        .addAll(scores));
      } else {
        unfinished.add(entry.id());
      }
    }
  }

  /** Citations of unfinished entries and scores without an entry, each with its line. */
  List<String> findingsIn(String page, List<String> lines) {
    List<String> findings = new ArrayList<>(citationsIn(page, lines));
    findings.addAll(find(page, lines, this::unknownScoresIn, " is in no finished entry"));
    return findings;
  }

  /** Citations of unfinished entries, each with its line. */
  List<String> citationsIn(String page, List<String> lines) {
    return find(page, lines, this::unfinishedIn, " did not finish");
  }

  private static List<String> find(
      String page, List<String> lines, Function<String, List<String>> search, String finding) {
    List<String> findings = new ArrayList<>();
    for (int index = 0; index < lines.size(); index++) {
      String line = lines.get(index);
      if (!line.contains(MARK)) {
        String place = page + ":" + (index + 1) + ": ";
        search.apply(line).forEach(found -> findings.add(place + found + finding));
      }
    }
    return findings;
  }

  private List<String> unfinishedIn(String line) {
    return ReportFigures.entryIds(line).stream().filter(unfinished::contains).toList();
  }

  /** Where a line names several days, a score may be one of any of them. */
  private List<String> unknownScoresIn(String line) {
    List<String> days = ReportFigures.standardDays(line);
    if (days.isEmpty()) {
      return List.of();
    }
    return ReportFigures.scores(line).stream()
        .filter(score -> days.stream().noneMatch(day -> scoresOf(day).contains(score)))
        .toList();
  }

  private Set<String> scoresOf(String day) {
    return finishedScoresOfDay.getOrDefault(day, Set.of());
  }
}
