package applespindle.testfleet.soak;

import applespindle.operatortool.HttpCaller;
import applespindle.operatortool.HttpCaller.Result;
import applespindle.testfleet.processes.Fleet.Member;
import applespindle.testfleet.processes.Metrics;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The counters in which the processes themselves report violated invariants. They begin at 0 when a
 * process starts, so the last reading before each end counts.
 */
final class InvariantCounters {
  private static final String PREFIX = "invariant_";
  private static final Duration PATIENCE = Duration.ofSeconds(5);

  /** A process from one start to its end. */
  record Life(String process, long pid) {}

  private final HttpCaller caller = new HttpCaller(PATIENCE);
  private final Map<Life, Map<String, Double>> read = new LinkedHashMap<>();

  /**
   * Reads the counters of a process; if it did not answer, returns false and keeps the last
   * reading.
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

  /** How many different counters were seen. */
  synchronized long seen() {
    return read.values().stream()
        .flatMap(counters -> counters.keySet().stream())
        .distinct()
        .count();
  }

  /** The counters above 0, with the process. */
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
