package applespindle.corelogic.scaling;

import applespindle.corelogic.constants.ScalingConstants;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The last report of each edge to the holder of the scale duty. Confined to the logic thread. */
public final class DemandTable {
  private static final double HUNDREDTHS = 100;

  private record LastReport(long at, List<PoolDemand> demand) {}

  private final Map<String, LastReport> lastReports = new HashMap<>();

  /** Replaces what an edge reported before; {@code nowMs} is this node's monotonic time. */
  public void put(DemandReport report, long nowMs) {
    lastReports.put(report.edge(), new LastReport(nowMs, report.demand()));
  }

  /** Forgets all reports. */
  public void clear() {
    lastReports.clear();
  }

  /** Forgets reports that are too old. */
  public void removeExpired(long nowMs) {
    lastReports
        .values()
        .removeIf(report -> nowMs - report.at() > ScalingConstants.REPORT_EXPIRY_MS);
  }

  /** Whether no edge has reported of late. */
  public boolean isEmpty() {
    return lastReports.isEmpty();
  }

  /** Whether nearly all of these edges have reported of late. */
  public boolean isComplete(Set<String> liveEdges) {
    long reported = liveEdges.stream().filter(lastReports::containsKey).count();
    return !liveEdges.isEmpty() && reported >= ScalingConstants.COMPLETE_PART * liveEdges.size();
  }

  /** Mean number of open calls of all edges together at the workers of a pool in a zone. */
  public double callsAt(PoolZone subject) {
    long hundredths = 0;
    for (LastReport report : lastReports.values()) {
      for (PoolDemand demand : report.demand()) {
        if (demand.pool().equals(subject.pool()) && demand.zone().equals(subject.zone())) {
          hundredths += demand.hundredths();
        }
      }
    }
    return hundredths / HUNDREDTHS;
  }
}
