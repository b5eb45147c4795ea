package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import applespindle.corelogic.Message.Ask;
import applespindle.corelogic.Message.Unfinished;
import applespindle.corelogic.Records.Member;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * What the leader of the batch room's key does: admits batches while their items fit under the
 * ceiling, and audits entries of which nobody speaks any more. Invariant: only a first reservation
 * is ever refused, and a refusal writes nothing.
 */
final class BatchRoomDuty {
  /** A batch's leader says how many items are unfinished; a reservation may be refused. */
  private record RoomRequest(
      String batch, long items, long ceiling, boolean reserves, String group) {
    static RoomRequest parse(JsonNode body, BatchRoomLedger ledger) {
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

  private final Surroundings surroundings;
  private final CoreTable table;
  private final CommandReplies replies;
  private final KeyReplicas.Replies sender;
  private final RoomPace pace;

  BatchRoomDuty(
      Surroundings surroundings,
      CoreTable table,
      CommandReplies replies,
      KeyReplicas.Replies sender) {
    this.surroundings = surroundings;
    this.table = table;
    this.replies = replies;
    this.sender = sender;
    this.pace = new RoomPace(surroundings);
  }

  /** Sets a batch's unfinished items and responds with the items that wait in its group. */
  void set(Ask ask, CoreKeyState state, JsonNode body) {
    BatchRoomLedger ledger = state.room;
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
    BatchRoomLedger.Event event = ledger.set(request.batch(), request.items(), request.group());
    state.key.append(
        event.whole(),
        event.content(),
        fault -> respondWaiting(ask, ledger, request.group(), fault));
  }

  /** Null if the reservation fits. */
  private Response refusal(RoomRequest request, BatchRoomLedger ledger) {
    long waiting = ledger.waitingOf(request.group());
    long items = request.items();
    long ceiling = request.ceiling();
    if (items > ceiling && request.group().isEmpty()) {
      return Response.of(new Fault.BatchOverCeiling((int) items, ceiling));
    }
    long excess = waiting + items - ceiling;
    return excess > 0
        ? Response.of(new Fault.NoRoom(waiting, ceiling), pace.secondsUntil(excess))
        : null;
  }

  private void respondWaiting(Ask ask, BatchRoomLedger ledger, String group, Fault fault) {
    replies.respond(
        ask, fault, () -> JSON.createObjectNode().put("waiting", ledger.waitingOf(group)));
  }

  /** Has an edge look whether a batch still exists of which nobody has spoken for long. */
  void audit(CoreKeyState state) {
    List<Member> edges = table.live("edge");
    long now = surroundings.now();
    List<String> untouched = state.room.untouched(now);
    if (edges.isEmpty()) {
      return;
    }
    List<String> edgeIds = edges.stream().map(Member::id).toList();
    for (String batch : untouched) {
      state.room.touch(batch, now);
      String chosenId = Rendezvous.first(batch, edgeIds);
      edges.stream()
          .filter(member -> member.id().equals(chosenId))
          .findFirst()
          .ifPresent(edge -> sendAudit(edge, batch));
    }
  }

  private void sendAudit(Member edge, String batch) {
    sender.reply(edge.peerAddress(), edge.id(), new Unfinished(List.of(BatchKeys.keyOf(batch))));
  }
}
