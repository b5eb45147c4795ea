package applespindle.testfleet.soak;

import applespindle.operatortool.HttpCaller;
import applespindle.operatortool.HttpCaller.Result;
import applespindle.testfleet.Fleet.Member;
import applespindle.testfleet.Metrics;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The counters by which the processes themselves tell of invariants that do not hold. They begin at
 * 0 in each life of a process, so each life is counted by its last reading.
 */
final class InvariantCounters {
  private static final String PREFIX = "invariant_";
  private static final Duration PATIENCE = Duration.ofSeconds(5);

  /** A process from one start to its end. */
  record Life(String process, long pid) {}

  private final HttpCaller caller = new HttpCaller(PATIENCE);
  private final Map<Life, Map<String, Double>> read = new LinkedHashMap<>();

  /**
   * Reads a process's counters; false if it did not answer, and then what was read before stays.
   */
  boolean read(Member member) {
    return read(new Life(member.name, member.pid()), member.http);
  }

  synchronized boolean read(Life life, String http) {
    Result result = caller.get(http, "/metrics");
    if (!result.good()) {
      return false;
    }
    Map<String, Double> counters = new TreeMap<>(Metrics.counters(result.text()));
    counters.keySet().removeIf(name -> !name.startsWith(PREFIX));
    read.put(life, counters);
    return true;
  }

  /** How many different ones were seen at all. */
  synchronized long seen() {
    return read.values().stream()
        .flatMap(counters -> counters.keySet().stream())
        .distinct()
        .count();
  }

  /** Those above 0, with the process. */
  synchronized List<String> broken() {
    List<String> broken = new ArrayList<>();
    read.forEach(
        (life, counters) ->
            counters.forEach(
                (name, value) -> {
                  if (value > 0) {
                    broken.add(life.process() + " " + name + " " + value.longValue());
                  }
                }));
    return broken;
  }
}
