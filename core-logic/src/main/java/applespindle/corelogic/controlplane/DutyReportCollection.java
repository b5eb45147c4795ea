package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.duty.DutyInputs;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.replication.ReplicatedLogLeader;
import applespindle.corelogic.scaling.DemandReport;
import applespindle.corelogic.scaling.DemandScaleAdvisor;
import applespindle.corelogic.usage.UsageCollector;
import applespindle.corelogic.usage.UsageReport;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Takes what the edges report to the holders of the duties at the platform, and makes of it what
 * the duties are to report and to order.
 *
 * <p>Owns the {@link UsageCollector} and the {@link DemandScaleAdvisor}; both start anew whenever
 * this node becomes the leader of their duty's key.
 */
final class DutyReportCollection {
  private final CommandResponder responder;
  private final LongSupplier committedWindow;
  private final UsageCollector usage;
  private final DemandScaleAdvisor scale;

  /**
   * Creates a collection without reports.
   *
   * @param committedWindow the last window whose intent is known to be committed; 0 if none
   */
  DutyReportCollection(ControlPlaneContext context, LongSupplier committedWindow) {
    DutyFleetView fleet = new DutyFleetView(context.table());
    this.responder = context.responder();
    this.committedWindow = committedWindow;
    this.usage =
        new UsageCollector(
            context.environment(),
            context.identity().id(),
            context.settings().duties(),
            fleet::hasTenants,
            new KnownEdges(fleet));
    this.scale =
        new DemandScaleAdvisor(
            context.environment(), fleet::pools, fleet::workers, fleet::liveEdgeIds);
  }

  private record KnownEdges(DutyFleetView fleet) implements UsageCollector.Edges {
    @Override
    public Set<String> live() {
      return fleet.liveEdgeIds();
    }

    @Override
    public int expected() {
      return fleet.expectedEdges();
    }
  }

  /** What the duties are to do. */
  DutyInputs inputs() {
    return new DutyInputs(usage, scale);
  }

  /** This node has become the leader of a key. */
  void leadershipTaken(LedKey ledKey) {
    if (ledKey.key().equals(MetadataKeys.USAGE_DUTY)) {
      usage.begin(holdership(ledKey.leader()));
    } else if (ledKey.key().equals(MetadataKeys.SCALE_DUTY)) {
      scale.begin();
    }
  }

  /** Tells this leadership from all others, also from one of another node in the same round. */
  private static long holdership(ReplicatedLogLeader leader) {
    return Math.max(1, leader.epoch().hashCode() & Integer.MAX_VALUE);
  }

  void handle(PeerRequest request, UsageReport report) {
    responder.respond(
        request,
        Response.of(CommandResponder.STATUS_OK, usage.handle(report, committedWindow.getAsLong())));
  }

  void handle(PeerRequest request, DemandReport report) {
    scale.handle(report);
    responder.respond(request, Response.of(CommandResponder.STATUS_OK, JSON.createObjectNode()));
  }

  /** Adds the last decisions about numbers of workers. */
  void describe(ObjectNode status) {
    ArrayNode rows = status.putArray("scaleDecisions");
    scale.describe(rows);
  }
}
