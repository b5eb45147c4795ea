package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.protocol.Message.LeaderlessBatches;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.MessageSender;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * What the leader of the batch room's key does: admits batches while their items fit under the
 * ceiling, and audits entries of which nobody speaks any more. Invariant: only a first reservation
 * is ever refused, and a refusal writes nothing.
 */
final class BatchCapacityManager {
  /** A batch's leader says how many items are unfinished; a reservation may be refused. */
  private record CapacityRequest(
      String batch, long items, long ceiling, boolean reserves, String group) {
    static CapacityRequest parse(JsonNode body, BatchCapacityLedger ledger) {
      String batch = body.get("batch").asText();
      return new CapacityRequest(
          batch,
          body.get("items").asLong(),
          body.path("ceiling").asLong(0),
          body.path("reserve").asBoolean(),
          body.path("group").asText(ledger.groupOf(batch)));
    }

    boolean unbounded() {
      return !group.isEmpty() && ceiling == 0;
    }
  }

  private final Environment environment;
  private final MetadataTable table;
  private final CommandResponder responder;
  private final MessageSender sender;
  private final CapacityReleaseRate pace;

  BatchCapacityManager(
      Environment environment,
      MetadataTable table,
      CommandResponder responder,
      MessageSender sender) {
    this.environment = environment;
    this.table = table;
    this.responder = responder;
    this.sender = sender;
    this.pace = new CapacityReleaseRate(environment);
  }

  /** Sets a batch's unfinished items and responds with the items that wait in its group. */
  void set(PeerRequest request, LedKey ledKey, JsonNode body) {
    BatchCapacityLedger ledger = ledKey.capacityLedger;
    CapacityRequest capacityRequest = CapacityRequest.parse(body, ledger);
    long present = ledger.itemsOf(capacityRequest.batch());
    ledger.touch(capacityRequest.batch(), environment.nowMs());
    if (capacityRequest.reserves() && present == 0 && !capacityRequest.unbounded()) {
      Response refusal = refusal(capacityRequest, ledger);
      if (refusal != null) {
        responder.respond(request, refusal);
        return;
      }
    }
    boolean known =
        capacityRequest.reserves()
            ? present > 0
            : present == 0 || present == capacityRequest.items();
    if (known) {
      ledKey.leader.confirmLeadership(
          error -> respondWaiting(request, ledger, capacityRequest.group(), error));
      return;
    }
    pace.freed(Math.max(0, present - capacityRequest.items()));
    BatchCapacityLedger.LedgerEvent event =
        ledger.set(capacityRequest.batch(), capacityRequest.items(), capacityRequest.group());
    ledKey.leader.append(
        event.whole(),
        event.content(),
        error -> respondWaiting(request, ledger, capacityRequest.group(), error));
  }

  /** Null if the reservation fits. */
  private Response refusal(CapacityRequest capacityRequest, BatchCapacityLedger ledger) {
    long waiting = ledger.waitingOf(capacityRequest.group());
    long items = capacityRequest.items();
    long ceiling = capacityRequest.ceiling();
    if (items > ceiling && capacityRequest.group().isEmpty()) {
      return Response.of(new ApiError.BatchTooLarge((int) items, ceiling));
    }
    long excess = waiting + items - ceiling;
    return excess > 0
        ? Response.of(new ApiError.CapacityExceeded(waiting, ceiling), pace.secondsUntil(excess))
        : null;
  }

  private void respondWaiting(
      PeerRequest request, BatchCapacityLedger ledger, String group, ApiError error) {
    responder.respond(
        request, error, () -> JSON.createObjectNode().put("waiting", ledger.waitingOf(group)));
  }

  /** Has an edge look whether a batch still exists of which nobody has spoken for long. */
  void audit(LedKey ledKey) {
    List<NodeRegistration> edges = table.live("edge");
    long now = environment.nowMs();
    List<String> untouched = ledKey.capacityLedger.untouched(now);
    if (edges.isEmpty()) {
      return;
    }
    List<String> edgeIds = edges.stream().map(NodeRegistration::id).toList();
    for (String batch : untouched) {
      ledKey.capacityLedger.touch(batch, now);
      String chosenId = RendezvousHashing.first(batch, edgeIds);
      edges.stream()
          .filter(member -> member.id().equals(chosenId))
          .findFirst()
          .ifPresent(edge -> sendAudit(edge, batch));
    }
  }

  private void sendAudit(NodeRegistration edge, String batch) {
    sender.send(
        edge.peerAddress(), edge.id(), new LeaderlessBatches(List.of(BatchKeys.keyOf(batch))));
  }
}
