package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.protocol.Message.LeaderlessBatches;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.MessageSender;
import java.util.List;
import java.util.Optional;

/**
 * Admits batches while their items fit under the ceiling of their group, and audits batches whose
 * leader has not reported for long.
 *
 * <p>It owns the batch capacity key with its {@link BatchCapacityLedger} while this node leads it,
 * and the recent rate at which items ended. A batch enters the ledger with its reservation, is
 * updated by reports, and leaves it when a report says that no item is unfinished. Invariants: only
 * the first reservation of a batch can be refused; a refusal writes nothing.
 */
final class BatchCapacityManager implements KeyManager {
  /** The number of unfinished items in the batch's group. */
  private record WaitingResponse(long waiting) {}

  private final Environment environment;
  private final MetadataTable table;
  private final LedKeys keys;
  private final CommandResponder responder;
  private final MessageSender sender;
  private final CapacityReleaseRate releaseRate;

  BatchCapacityManager(ControlPlaneContext context, MessageSender sender) {
    this.environment = context.environment();
    this.table = context.table();
    this.keys = context.keys();
    this.responder = context.responder();
    this.sender = sender;
    this.releaseRate = new CapacityReleaseRate(environment);
  }

  /** Has batches audited whose leader has not reported for long. */
  @Override
  public void tick() {
    LedKey ledKey = keys.get(MetadataKeys.BATCH_CAPACITY);
    if (ledKey != null) {
      audit(ledKey.capacityLedger());
    }
  }

  // ---- reservations and reports

  /**
   * Sets a batch's number of unfinished items and responds with the number in its group, or refuses
   * a first reservation that does not fit.
   */
  void set(PeerRequest request, LedKey ledKey, BatchCapacityRequest body) {
    BatchCapacityLedger ledger = ledKey.capacityLedger();
    BatchCapacityRequest change = body.withDefaultGroup(ledger.groupOf(body.batch()));
    long current = ledger.itemsOf(change.batch());
    ledger.touch(change.batch(), environment.nowMs());
    Optional<Response> refusal = refusal(change, current, ledger);
    if (refusal.isPresent()) {
      responder.respond(request, refusal.get());
    } else if (isApplied(change, current)) {
      ledKey.confirmLeadership(error -> respondWaiting(request, ledger, change.group(), error));
    } else {
      append(request, ledKey, change, current);
    }
  }

  /** True if the ledger already holds what the request asks for. */
  private static boolean isApplied(BatchCapacityRequest change, long current) {
    if (change.reserve()) {
      return current > 0;
    }
    return current == 0 || current == change.items();
  }

  private void append(
      PeerRequest request, LedKey ledKey, BatchCapacityRequest change, long current) {
    BatchCapacityLedger ledger = ledKey.capacityLedger();
    releaseRate.recordReleased(Math.max(0, current - change.items()));
    BatchCapacityLedger.LedgerEvent event =
        ledger.set(change.batch(), change.items(), change.group());
    ledKey
        .leader()
        .append(
            event.complete(),
            event.content(),
            error -> respondWaiting(request, ledger, change.group(), error));
  }

  /** Empty if the request is no first reservation, or if the reservation fits. */
  private Optional<Response> refusal(
      BatchCapacityRequest change, long current, BatchCapacityLedger ledger) {
    if (!change.reserve() || current > 0 || change.isUnlimited()) {
      return Optional.empty();
    }
    long items = change.items();
    long ceiling = change.ceiling();
    if (items > ceiling && change.group().isEmpty()) {
      return Optional.of(Response.of(new ApiError.BatchTooLarge((int) items, ceiling)));
    }
    long waiting = ledger.waitingOf(change.group());
    long excess = waiting + items - ceiling;
    if (excess <= 0) {
      return Optional.empty();
    }
    ApiError exceeded = new ApiError.CapacityExceeded(waiting, ceiling);
    return Optional.of(Response.of(exceeded, releaseRate.secondsUntilReleased(excess)));
  }

  private void respondWaiting(
      PeerRequest request, BatchCapacityLedger ledger, String group, ApiError error) {
    responder.respond(request, error, () -> new WaitingResponse(ledger.waitingOf(group)));
  }

  // ---- audit

  /** Asks one edge for each such batch to check whether the batch still exists. */
  private void audit(BatchCapacityLedger ledger) {
    List<NodeRegistration> edges = table.live("edge");
    long now = environment.nowMs();
    List<String> untouched = ledger.untouched(now);
    if (edges.isEmpty()) {
      return;
    }
    List<String> edgeIds = edges.stream().map(NodeRegistration::id).toList();
    for (String batch : untouched) {
      ledger.touch(batch, now);
      String auditorId = RendezvousHashing.first(batch, edgeIds);
      edges.stream()
          .filter(edge -> edge.id().equals(auditorId))
          .findFirst()
          .ifPresent(edge -> requestAudit(edge, batch));
    }
  }

  private void requestAudit(NodeRegistration edge, String batch) {
    sender.send(
        edge.peerAddress(), edge.id(), new LeaderlessBatches(List.of(BatchKeys.keyOf(batch))));
  }
}
