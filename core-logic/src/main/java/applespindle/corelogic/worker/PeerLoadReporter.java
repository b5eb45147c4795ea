package applespindle.corelogic.worker;

import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.protocol.Message.PeerLoadReport;
import applespindle.corelogic.protocol.Message.PeerLoadReport.OwnLoad;
import applespindle.corelogic.protocol.MessageSender;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Reports the calls that this edge has just sent to workers to the other edges of its zone, so that
 * prompts sent at the same time do not meet at one worker.
 *
 * <p>Reports are hints: receivers discount them by age, so that lost or late ones do no harm. Each
 * carries this edge's total load at a worker and is therefore safe to repeat. Invariant: at most
 * one report is scheduled. Confined to the logic thread.
 */
public final class PeerLoadReporter {
  private final Environment environment;
  private final WorkerRegistry registry;
  private final Supplier<List<NodeRegistration>> peers;
  private final MessageSender sender;

  /** Workers that calls were sent to since the last report. */
  private final Set<WorkerState> changedWorkers = new LinkedHashSet<>();

  private boolean reportScheduled;

  /**
   * Creates a reporter that has nothing to report.
   *
   * @param peers gives the other edges of the zone
   */
  public PeerLoadReporter(
      Environment environment,
      WorkerRegistry registry,
      Supplier<List<NodeRegistration>> peers,
      MessageSender sender) {
    this.environment = environment;
    this.registry = registry;
    this.peers = peers;
    this.sender = sender;
  }

  /**
   * A call to a worker starts. The delay of the report grows with the number of peers, so that the
   * number of messages per second stays the same. Workers that are polled are not reported, as they
   * report their load to all edges themselves.
   */
  public void reportCallStart(WorkerState worker) {
    if (!worker.hasListedSlots()) {
      return;
    }
    changedWorkers.add(worker);
    int peerCount = reportScheduled ? 0 : peers.get().size();
    if (!reportScheduled && peerCount > 0) {
      reportScheduled = true;
      environment.schedule(WorkerConstants.PEER_LOAD_REPORT_DELAY_MS * peerCount, this::sendReport);
    }
  }

  private void sendReport() {
    reportScheduled = false;
    List<OwnLoad> loads = new ArrayList<>();
    for (WorkerState worker : changedWorkers) {
      if (registry.isListed(worker)) {
        loads.add(
            new OwnLoad(
                worker.registration.id(),
                worker.ownCalls(),
                (int) Math.round(worker.pendingPrefillTokens)));
      }
    }
    changedWorkers.clear();
    if (!loads.isEmpty()) {
      PeerLoadReport report = new PeerLoadReport(loads);
      peers.get().forEach(peer -> sender.send(peer.peerAddress(), peer.id(), report));
    }
  }
}
