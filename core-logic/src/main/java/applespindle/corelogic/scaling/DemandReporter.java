package applespindle.corelogic.scaling;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.ScalingConstants;
import applespindle.corelogic.environment.Environment;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reports this edge's demand to the holder of the scale duty at regular intervals. A report that is
 * lost is not repeated, since the next one replaces it. Confined to the logic thread.
 */
public final class DemandReporter {
  private final Environment environment;
  private final String edgeId;
  private final DemandSampler sampler;
  private final Consumer<DemandReport> sender;

  /** When the next report is due, in monotonic milliseconds; 0 before the first. */
  private long nextReportAt;

  /** Creates a reporter that has sent nothing. */
  public DemandReporter(
      Environment environment,
      String edgeId,
      DemandSampler sampler,
      Consumer<DemandReport> sender) {
    this.environment = environment;
    this.edgeId = edgeId;
    this.sampler = sampler;
    this.sender = sender;
  }

  /** Takes a sample, and sends a report if one is due; {@code pools} are those that are scaled. */
  public void tick(Set<String> pools) {
    long now = environment.nowMs();
    if (nextReportAt == 0) {
      nextReportAt =
          now + Math.floorMod(RendezvousHashing.hash(edgeId), ScalingConstants.REPORT_INTERVAL_MS);
    }
    sampler.sample(pools);
    if (now >= nextReportAt) {
      nextReportAt = now + ScalingConstants.REPORT_INTERVAL_MS;
      sender.accept(new DemandReport(edgeId, sampler.takeMeans()));
    }
  }
}
