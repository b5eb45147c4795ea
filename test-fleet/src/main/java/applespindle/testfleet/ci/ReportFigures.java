package applespindle.testfleet.ci;

import java.util.List;
import java.util.Locale;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/** What a line of a page says of measurements: ids of journal entries, days and scores. */
final class ReportFigures {
  private static final Pattern ENTRY_ID = Pattern.compile("\\b(?=[0-9a-f]*[0-9])[0-9a-f]{8}\\b");
  private static final Pattern STANDARD_DAY = Pattern.compile("\\b(?:quiet|scale|trouble)-\\d\\b");
  private static final Pattern SCORE = Pattern.compile("(?<![\\d.,-])[01]\\.\\d\\d(?![\\d%])");

  private ReportFigures() {}

  /** Ids of the form of journal entries; other hexadecimal numbers may be among them. */
  static List<String> entryIds(String line) {
    return all(ENTRY_ID, line);
  }

  /** The names of standard days. */
  static List<String> standardDays(String line) {
    return all(STANDARD_DAY, line);
  }

  /** Numbers that are written like the score of a day, with two decimals. */
  static List<String> scores(String line) {
    return all(SCORE, line);
  }

  /** A score as pages write it. */
  static String rounded(double score) {
    return String.format(Locale.ROOT, "%.2f", score);
  }

  private static List<String> all(Pattern pattern, String line) {
    return pattern.matcher(line).results().map(MatchResult::group).toList();
  }
}
