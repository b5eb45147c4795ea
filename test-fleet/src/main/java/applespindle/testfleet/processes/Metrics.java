package applespindle.testfleet.processes;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the counters of a process from its response at /metrics. */
public final class Metrics {
  private static final Pattern COUNTER =
      Pattern.compile(
          "(?m)^(?:applespindle_)?([A-Za-z0-9_]+?)_total(?:\\{[^}]*})? ([0-9.eE+-]+)\\s*$");

  /** Counters by name without the common prefix and suffix, summed over their labels. */
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
