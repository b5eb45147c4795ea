package applespindle.corelogic.worker;

import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.PeerLoadReport;
import applespindle.corelogic.protocol.Message.PeerLoadReport.OwnLoad;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Tells the other edges of the zone what this one has just sent to workers, so that prompts sent at
 * the same time do not meet at one worker. Only a hint: what is lost or late fades by itself. What
 * is told is the whole of this edge's load at a worker, so that a repeat does no harm.
 */
public final class PeerLoadReporter {
  /** How a message gets to another edge. */
  public interface PeerSender {
    void send(String toAddress, String toId, Message message);
  }

  private final Environment environment;
  private final WorkerRegistry registry;
  private final Supplier<List<NodeRegistration>> peers;
  private final PeerSender sender;
  private final Set<WorkerState> changed = new LinkedHashSet<>();
  private boolean due;

  public PeerLoadReporter(
      Environment environment,
      WorkerRegistry registry,
      Supplier<List<NodeRegistration>> peers,
      PeerSender sender) {
    this.environment = environment;
    this.registry = registry;
    this.peers = peers;
    this.sender = sender;
  }

  /**
   * A run began there. Grouped the longer the more peers there are: the messages in a second stay
   * as many. A worker that is asked for its load tells it to all.
   */
  public void reportCallStart(WorkerState worker) {
    if (!worker.hasListedSlots()) {
      return;
    }
    changed.add(worker);
    int many = due ? 0 : peers.get().size();
    if (!due && many > 0) {
      due = true;
      environment.schedule(WorkerConstants.PEER_LOAD_REPORT_DELAY_MS * many, this::tell);
    }
  }

  private void tell() {
    due = false;
    List<OwnLoad> loads = new ArrayList<>();
    for (WorkerState each : changed) {
      if (registry.isListed(each)) {
        loads.add(
            new OwnLoad(
                each.registration.id(),
                each.liveCalls + each.batchCalls,
                (int) Math.round(each.pendingPrefillTokens)));
      }
    }
    changed.clear();
    if (!loads.isEmpty()) {
      PeerLoadReport message = new PeerLoadReport(loads);
      peers.get().forEach(peer -> sender.send(peer.peerAddress(), peer.id(), message));
    }
  }
}
