package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.metadata.WorkerListVersion;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message.PeerRequest;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Commands on single workers and on the version of the worker list. Invariant: a mark never creates
 * a worker, and the version rises by one with each list that was accepted.
 */
final class WorkerRegistrationManager {
  private final LedKeys keys;
  private final CommandResponder replies;

  WorkerRegistrationManager(LedKeys keys, CommandResponder replies) {
    this.keys = keys;
    this.replies = replies;
  }

  /** Lists a worker, or marks a known one; a mark is a worker without an address. */
  void set(PeerRequest ask, LedKey state, WorkerRegistration sent) {
    WorkerRegistration known =
        state.value.isNull() ? null : JSON.convertValue(state.value, WorkerRegistration.class);
    boolean absent = known == null || known.state().equals(WorkerRegistration.GONE);
    boolean isMark = sent.address().isEmpty();
    if (isMark && absent) {
      ApiError unknown = new ApiError.NoSuchWorker(sent.id());
      state.key.confirm(fault -> replies.refuse(ask, fault == null ? unknown : fault));
      return;
    }
    WorkerRegistration next = isMark ? marked(known, sent.state()) : sent;
    if (next.equals(known)) {
      state.key.confirm(fault -> replies.respondInForce(ask, state, JSON.valueToTree(next), fault));
    } else {
      keys.put(
          state, next, fault -> replies.respondInForce(ask, state, JSON.valueToTree(next), fault));
    }
  }

  private static WorkerRegistration marked(WorkerRegistration known, String mark) {
    return new WorkerRegistration(
        known.id(), known.address(), known.pool(), mark, known.zone(), known.slots());
  }

  /**
   * Compare-and-set of the worker list's version: of two platforms that start from one version, one
   * goes on.
   */
  void raiseListVersion(PeerRequest ask, LedKey state, JsonNode body) {
    long version = state.value.path("version").asLong(0);
    JsonNode from = body.path("from");
    if (from.isIntegralNumber() && from.asLong() != version) {
      ApiError conflict = new ApiError.VersionConflict(version);
      state.key.confirm(fault -> replies.refuse(ask, fault == null ? conflict : fault));
      return;
    }
    WorkerListVersion next = new WorkerListVersion(version + 1);
    keys.put(state, next, fault -> replies.respond(ask, fault, () -> next));
  }
}
