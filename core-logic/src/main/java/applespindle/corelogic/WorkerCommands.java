package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import applespindle.corelogic.Message.Ask;
import applespindle.corelogic.Records.ListVersion;
import applespindle.corelogic.Records.Worker;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Commands on single workers and on the version of the worker list. Invariant: a mark never creates
 * a worker, and the version rises by one with each list that was accepted.
 */
final class WorkerCommands {
  private final CoreKeys keys;
  private final CommandReplies replies;

  WorkerCommands(CoreKeys keys, CommandReplies replies) {
    this.keys = keys;
    this.replies = replies;
  }

  /** Lists a worker, or marks a known one; a mark is a worker without an address. */
  void set(Ask ask, CoreKeyState state, Worker sent) {
    Worker known = state.value.isNull() ? null : JSON.convertValue(state.value, Worker.class);
    boolean absent = known == null || known.state().equals(Worker.GONE);
    boolean isMark = sent.address().isEmpty();
    if (isMark && absent) {
      Fault unknown = new Fault.NoSuchWorker(sent.id());
      state.key.confirm(fault -> replies.refuse(ask, fault == null ? unknown : fault));
      return;
    }
    Worker next = isMark ? marked(known, sent.state()) : sent;
    if (next.equals(known)) {
      state.key.confirm(fault -> replies.respondInForce(ask, state, JSON.valueToTree(next), fault));
    } else {
      keys.put(
          state, next, fault -> replies.respondInForce(ask, state, JSON.valueToTree(next), fault));
    }
  }

  private static Worker marked(Worker known, String mark) {
    return new Worker(known.id(), known.address(), known.pool(), mark, known.zone(), known.slots());
  }

  /**
   * Compare-and-set of the worker list's version: of two platforms that start from one version, one
   * goes on.
   */
  void raiseListVersion(Ask ask, CoreKeyState state, JsonNode body) {
    long version = state.value.path("version").asLong(0);
    JsonNode from = body.path("from");
    if (from.isIntegralNumber() && from.asLong() != version) {
      Fault conflict = new Fault.VersionConflict(version);
      state.key.confirm(fault -> replies.refuse(ask, fault == null ? conflict : fault));
      return;
    }
    ListVersion next = new ListVersion(version + 1);
    keys.put(state, next, fault -> replies.respond(ask, fault, () -> next));
  }
}
