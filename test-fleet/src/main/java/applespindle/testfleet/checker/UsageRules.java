package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Compares the usage that the platform takes with what workers began, window by window. */
final class UsageRules extends RuleGroup<ObservedTraffic> {
  private static final int STATUS_TAKEN = 200;

  /** By how much a count may differ from the truth. */
  private static final double TOLERANCE = 0.05;

  /** Requests at the ends of a window that may count in the next one or the last. */
  private static final long SLACK_REQUESTS = 3;

  /** Part of a window's requests of one edge that are lost with it, at most. */
  private static final double LOST_PART = 0.25;

  private static final Pattern COUNTER = Pattern.compile("([^{=, ]+)=(\\d+)");

  UsageRules(ObservedTraffic traffic, List<Violation> violations) {
    super(traffic, violations);
  }

  /**
   * The total of each reported window, and each tenant's part of all of them, is right. An edge
   * that dies in or right after a window takes what it has not reported along.
   */
  void usageIsAsBegun() {
    long windowMs = bound("usageWindowMs");
    Map<Long, Map<String, Long>> reported = reportedWindows();
    if (bound("usageOfEdges") == 0 || reported.isEmpty()) {
      return;
    }
    Map<Long, Map<String, Long>> begun = begunWindows(windowMs);
    double lostInAll = 0;
    for (Map.Entry<Long, Map<String, Long>> window : reported.entrySet()) {
      Map<String, Long> truth = begun.getOrDefault(window.getKey(), Map.of());
      double lost = LOST_PART * sum(truth) * deathsIn(window.getKey(), windowMs) / edges();
      lostInAll += lost;
      compare("window " + window.getKey(), sum(window.getValue()), sum(truth), lost);
    }
    begun.keySet().retainAll(reported.keySet());
    Map<String, Long> reportedByTenant = sumByTenant(reported);
    Map<String, Long> begunByTenant = sumByTenant(begun);
    Set<String> tenants = new HashSet<>(reportedByTenant.keySet());
    tenants.addAll(begunByTenant.keySet());
    for (String tenant : tenants) {
      compare(
          tenant,
          reportedByTenant.getOrDefault(tenant, 0L),
          begunByTenant.getOrDefault(tenant, 0L),
          lostInAll);
    }
  }

  private void compare(String what, long reported, long begun, double lost) {
    double allowed = TOLERANCE * begun + SLACK_REQUESTS;
    if (reported > begun + allowed || reported < begun - allowed - lost) {
      violated(Rule.USAGE_WRONG, 0, what + ": " + reported + " reported, " + begun + " begun");
    }
  }

  private Map<Long, Map<String, Long>> reportedWindows() {
    Map<Long, Map<String, Long>> windows = new TreeMap<>();
    for (Seen report : traffic.of(Kind.USAGE_REPORTED)) {
      if (report.number() == STATUS_TAKEN) {
        int space = report.text().indexOf(' ');
        long window = Long.parseLong(report.text().substring(0, space));
        windows.putIfAbsent(window, counters(report.text().substring(space)));
      }
    }
    return windows;
  }

  private static Map<String, Long> counters(String text) {
    Map<String, Long> counters = new HashMap<>();
    Matcher matcher = COUNTER.matcher(text);
    while (matcher.find()) {
      counters.put(matcher.group(1), Long.parseLong(matcher.group(2)));
    }
    return counters;
  }

  /** The first output of each live request, by window and tenant. */
  private Map<Long, Map<String, Long>> begunWindows(long windowMs) {
    Set<String> live = new HashSet<>();
    traffic.of(Kind.REQUEST_SENT).forEach(each -> live.add(each.subject()));
    Map<Long, Map<String, Long>> windows = new TreeMap<>();
    Set<String> counted = new HashSet<>();
    for (Seen output : traffic.of(Kind.RUN_PUT_OUT)) {
      if (live.contains(output.detail()) && counted.add(output.detail())) {
        windows
            .computeIfAbsent(output.atMs() / windowMs, ignored -> new HashMap<>())
            .merge(output.subject(), 1L, Long::sum);
      }
    }
    return windows;
  }

  /** Deaths of edges from the start of a window until its counts are certainly reported. */
  private long deathsIn(long window, long windowMs) {
    return traffic.of(Kind.TROUBLE).stream()
        .filter(each -> each.text().equals("edge") && each.detail().equals("began down"))
        .filter(each -> each.atMs() >= window * windowMs)
        .filter(each -> each.atMs() < (window + 2) * windowMs)
        .count();
  }

  private long edges() {
    return Math.max(
        1,
        traffic.of(Kind.REQUEST_SENT).stream()
            .map(each -> each.detail().split(" ")[1])
            .distinct()
            .count());
  }

  private static long sum(Map<String, Long> counts) {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }

  private static Map<String, Long> sumByTenant(Map<Long, Map<String, Long>> windows) {
    Map<String, Long> sums = new TreeMap<>();
    windows
        .values()
        .forEach(counts -> counts.forEach((tenant, count) -> sums.merge(tenant, count, Long::sum)));
    return sums;
  }

  private long bound(String name) {
    return traffic.of(Kind.BOUND).stream()
        .filter(each -> each.subject().equals(name))
        .mapToLong(Seen::number)
        .findFirst()
        .orElse(0);
  }
}
