package applespindle.corelogic.usage;

import applespindle.corelogic.constants.UsageConstants;
import applespindle.corelogic.duty.ClosedWindow;
import applespindle.corelogic.duty.UsageSource;
import applespindle.corelogic.environment.DutySettings;
import applespindle.corelogic.environment.Environment;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * Merges what the edges report to the holder of the usage duty, and closes windows.
 *
 * <p>State belongs to one holdership, that is, to one election of a leader of the duty's key: a new
 * one starts empty, and the edges report to it again all that is open. A window is closed in order,
 * after its end, when every live edge has reported it, or when too little time is left until it is
 * due. What an edge that died had reported to this holder counts. Invariant: counts of one process
 * and window are replaced, never added, and by no report that was sent earlier. Confined to the
 * logic thread.
 */
public final class UsageCollector implements UsageSource {
  /** The edges of the deployment as far as this node knows. */
  public interface Edges {
    /** Ids of those that hold a lease. */
    Set<String> live();

    /** How many there should be: a new holder may know of no lease yet. */
    int expected();
  }

  /** One process that counts; a restarted edge is another one. */
  private record Counter(String edge, long incarnation) {}

  private final Environment environment;
  private final String ownId;
  private final DutySettings duties;
  private final BooleanSupplier isMetered;
  private final Edges edges;
  private final TrueTimeEstimator trueTime = new TrueTimeEstimator();
  private final Map<Counter, ReportedCounts> reported = new HashMap<>();

  private boolean started;

  /** Tells this holdership from all others; meaningless before the start. */
  private long holdership;

  /** When the holdership began, in monotonic milliseconds. */
  private long startedAt;

  /** The first window to close if none was ever closed; 0 while it is not known. */
  private long firstWindow;

  /**
   * Creates a collector that has heard of no edge.
   *
   * @param ownId id of this node, whose wall clock takes part in the estimate of true time
   * @param isMetered whether requests can belong to a tenant by now, so that windows count
   * @param edges those of the deployment
   */
  public UsageCollector(
      Environment environment,
      String ownId,
      DutySettings duties,
      BooleanSupplier isMetered,
      Edges edges) {
    this.environment = environment;
    this.ownId = ownId;
    this.duties = duties;
    this.isMetered = isMetered;
    this.edges = edges;
  }

  /** Starts anew for a holdership, unless it has already begun. */
  public void begin(long newHoldership) {
    if (started && holdership == newHoldership) {
      return;
    }
    started = true;
    holdership = newHoldership;
    startedAt = environment.nowMs();
    firstWindow = 0;
    reported.clear();
    trueTime.reset();
  }

  /**
   * Takes a report, and answers it.
   *
   * @param closedThrough the last window whose counts are committed; 0 if none
   */
  public UsageReportResponse handle(UsageReport report, long closedThrough) {
    long now = environment.nowMs();
    if (report.clockOffsetMs() != null && report.holdership() == holdership) {
      trueTime.putSample(report.edge(), report.clockOffsetMs(), now);
    }
    addOwnSample(now);
    reported
        .computeIfAbsent(
            new Counter(report.edge(), report.incarnation()), ignored -> new ReportedCounts())
        .merge(report, closedThrough, holdership);
    return new UsageReportResponse(
        now, isTrueTimeKnown(now) ? trueTime.trueTimeMs(now) : 0, closedThrough, holdership);
  }

  private void addOwnSample(long now) {
    trueTime.putSample(ownId, environment.wallClockMs() - now, now);
  }

  /**
   * Whether enough clocks agree, which is a majority of those expected, or half of them if all are
   * known. After some time any few clocks are enough, and after a long time any one.
   */
  private boolean isTrueTimeKnown(long now) {
    int known = trueTime.nodes(now);
    int expected = edges.expected() + 1;
    long waitedMs = now - startedAt;
    int agreeing = trueTime.agreeingNodes(now);
    return 2 * agreeing > expected
        || 2 * agreeing == expected && known >= expected
        || waitedMs >= UsageConstants.CLOCK_WAIT_MS && known >= UsageConstants.MIN_CLOCKS
        || waitedMs >= UsageConstants.MAX_CLOCK_WAIT_MS;
  }

  @Override
  public Optional<ClosedWindow> nextClosedWindow(long afterWindowId, long now) {
    if (!started || afterWindowId == 0 && !isMetered.getAsBoolean()) {
      return Optional.empty();
    }
    addOwnSample(now);
    if (!isTrueTimeKnown(now)) {
      return Optional.empty();
    }
    long trueNowMs = trueTime.trueTimeMs(now);
    removeClosed(afterWindowId);
    long window = afterWindowId == 0 ? firstWindow(trueNowMs) : afterWindowId + 1;
    return mayClose(window, now, trueNowMs)
        ? Optional.of(new ClosedWindow(window, sumOf(window)))
        : Optional.empty();
  }

  private void removeClosed(long closedThrough) {
    long lastKept = closedThrough - UsageConstants.KEPT_WINDOWS;
    reported.values().forEach(counts -> counts.removeThrough(closedThrough));
    reported.values().removeIf(counts -> counts.byWindow.isEmpty() && counts.through < lastKept);
  }

  /** The window in progress when requests could first be counted, or an earlier one with counts. */
  private long firstWindow(long trueNowMs) {
    if (firstWindow == 0) {
      firstWindow = Math.floorDiv(trueNowMs, duties.usageWindowMs());
    }
    for (ReportedCounts counts : reported.values()) {
      firstWindow = Math.min(firstWindow, counts.firstWindowWithCounts(firstWindow));
    }
    return firstWindow;
  }

  private boolean mayClose(long window, long now, long trueNowMs) {
    long sinceEndMs = trueNowMs - (window + 1) * duties.usageWindowMs();
    if (sinceEndMs < minGraceMs()) {
      return false;
    }
    long holdershipMs = now - startedAt;
    if (haveAllReported(window)) {
      return holdershipMs >= UsageConstants.SETTLE_MS;
    }
    return sinceEndMs >= maxGraceMs() && holdershipMs >= reportRoundMs();
  }

  private long minGraceMs() {
    return Math.min(UsageConstants.MIN_GRACE_MS, maxGraceMs());
  }

  private long maxGraceMs() {
    return (long) (duties.usageDelayMs() * UsageConstants.MAX_GRACE_PART);
  }

  /** The time within which every edge that reaches this holder has reported to it. */
  private long reportRoundMs() {
    return duties.usageWindowMs() / UsageConstants.REPORTS_PER_WINDOW
        + UsageConstants.SPREAD_MS
        + UsageConstants.RETRY_DELAY_MS;
  }

  private boolean haveAllReported(long window) {
    Set<String> live = edges.live();
    long complete =
        reported.entrySet().stream()
            .filter(entry -> entry.getValue().through >= window)
            .map(entry -> entry.getKey().edge())
            .filter(live::contains)
            .distinct()
            .count();
    return !live.isEmpty() && complete == live.size();
  }

  private SortedMap<String, Long> sumOf(long window) {
    SortedMap<String, Long> sums = new TreeMap<>();
    for (ReportedCounts counts : reported.values()) {
      counts
          .byWindow
          .getOrDefault(window, Map.of())
          .forEach((tenant, count) -> sums.merge(tenant, count, Long::sum));
    }
    return sums;
  }

  /** What one process has reported of the windows that are open. */
  private static final class ReportedCounts {
    private final TreeMap<Long, Map<String, Long>> byWindow = new TreeMap<>();
    private long lastSequence;

    /** The last window that this process has reported in full. */
    private long through;

    private void merge(UsageReport report, long closedThrough, long presentHoldership) {
      if (report.sequence() <= lastSequence) {
        return;
      }
      lastSequence = report.sequence();
      through = report.holdership() == presentHoldership ? report.through() : 0;
      report.windows().forEach(window -> byWindow.put(window.window(), window.counts()));
      removeThrough(closedThrough);
    }

    private void removeThrough(long window) {
      byWindow.headMap(window + 1).clear();
    }

    private long firstWindowWithCounts(long otherwise) {
      return byWindow.entrySet().stream()
          .filter(entry -> !entry.getValue().isEmpty())
          .map(Map.Entry::getKey)
          .findFirst()
          .orElse(otherwise);
    }
  }
}
