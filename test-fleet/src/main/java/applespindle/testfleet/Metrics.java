package applespindle.testfleet;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the counters of a process from the text that it gives at /metrics. */
public final class Metrics {
  private static final Pattern COUNTER =
      Pattern.compile(
          "(?m)^(?:applespindle_)?([A-Za-z0-9_]+?)_total(?:\\{[^}]*})? ([0-9.eE+-]+)\\s*$");

  /** By name, without what all names have in common; those that differ by labels are summed. */
  public static Map<String, Double> counters(String text) {
    Map<String, Double> counters = new TreeMap<>();
    Matcher found = COUNTER.matcher(text);
    while (found.find()) {
      counters.merge(found.group(1), Double.parseDouble(found.group(2)), Double::sum);
    }
    return counters;
  }

  private Metrics() {}
}
