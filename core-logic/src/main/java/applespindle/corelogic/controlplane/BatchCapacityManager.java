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
  private record RoomRequest(
      String batch, long items, long ceiling, boolean reserves, String group) {
    static RoomRequest parse(JsonNode body, BatchCapacityLedger ledger) {
      String batch = body.get("batch").asText();
      return new RoomRequest(
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

  private final Environment surroundings;
  private final MetadataTable table;
  private final CommandResponder replies;
  private final MessageSender sender;
  private final CapacityReleaseRate pace;

  BatchCapacityManager(
      Environment surroundings,
      MetadataTable table,
      CommandResponder replies,
      MessageSender sender) {
    this.surroundings = surroundings;
    this.table = table;
    this.replies = replies;
    this.sender = sender;
    this.pace = new CapacityReleaseRate(surroundings);
  }

  /** Sets a batch's unfinished items and responds with the items that wait in its group. */
  void set(PeerRequest ask, LedKey state, JsonNode body) {
    BatchCapacityLedger ledger = state.room;
    RoomRequest request = RoomRequest.parse(body, ledger);
    long present = ledger.itemsOf(request.batch());
    ledger.touch(request.batch(), surroundings.now());
    if (request.reserves() && present == 0 && !request.unbounded()) {
      Response refusal = refusal(request, ledger);
      if (refusal != null) {
        replies.respond(ask, refusal);
        return;
      }
    }
    boolean known = request.reserves() ? present > 0 : present == 0 || present == request.items();
    if (known) {
      state.key.confirm(fault -> respondWaiting(ask, ledger, request.group(), fault));
      return;
    }
    pace.freed(Math.max(0, present - request.items()));
    BatchCapacityLedger.LedgerEvent event =
        ledger.set(request.batch(), request.items(), request.group());
    state.key.append(
        event.whole(),
        event.content(),
        fault -> respondWaiting(ask, ledger, request.group(), fault));
  }

  /** Null if the reservation fits. */
  private Response refusal(RoomRequest request, BatchCapacityLedger ledger) {
    long waiting = ledger.waitingOf(request.group());
    long items = request.items();
    long ceiling = request.ceiling();
    if (items > ceiling && request.group().isEmpty()) {
      return Response.of(new ApiError.BatchTooLarge((int) items, ceiling));
    }
    long excess = waiting + items - ceiling;
    return excess > 0
        ? Response.of(new ApiError.CapacityExceeded(waiting, ceiling), pace.secondsUntil(excess))
        : null;
  }

  private void respondWaiting(
      PeerRequest ask, BatchCapacityLedger ledger, String group, ApiError fault) {
    replies.respond(
        ask, fault, () -> JSON.createObjectNode().put("waiting", ledger.waitingOf(group)));
  }

  /** Has an edge look whether a batch still exists of which nobody has spoken for long. */
  void audit(LedKey state) {
    List<NodeRegistration> edges = table.live("edge");
    long now = surroundings.now();
    List<String> untouched = state.room.untouched(now);
    if (edges.isEmpty()) {
      return;
    }
    List<String> edgeIds = edges.stream().map(NodeRegistration::id).toList();
    for (String batch : untouched) {
      state.room.touch(batch, now);
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
