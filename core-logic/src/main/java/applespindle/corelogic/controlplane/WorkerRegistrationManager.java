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
  private final CommandResponder responder;

  WorkerRegistrationManager(LedKeys keys, CommandResponder responder) {
    this.keys = keys;
    this.responder = responder;
  }

  /** Lists a worker, or marks a known one; a mark is a worker without an address. */
  void set(PeerRequest request, LedKey ledKey, WorkerRegistration sent) {
    WorkerRegistration known =
        ledKey.value.isNull() ? null : JSON.convertValue(ledKey.value, WorkerRegistration.class);
    boolean absent = known == null || known.state().equals(WorkerRegistration.GONE);
    boolean isMark = sent.address().isEmpty();
    if (isMark && absent) {
      ApiError unknown = new ApiError.NoSuchWorker(sent.id());
      ledKey.leader.confirmLeadership(
          error -> responder.reject(request, error == null ? unknown : error));
      return;
    }
    WorkerRegistration next = isMark ? marked(known, sent.state()) : sent;
    if (next.equals(known)) {
      ledKey.leader.confirmLeadership(
          error -> responder.respondOnceInForce(request, ledKey, JSON.valueToTree(next), error));
    } else {
      keys.put(
          ledKey,
          next,
          error -> responder.respondOnceInForce(request, ledKey, JSON.valueToTree(next), error));
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
  void raiseListVersion(PeerRequest request, LedKey ledKey, JsonNode body) {
    long version = ledKey.value.path("version").asLong(0);
    JsonNode from = body.path("from");
    if (from.isIntegralNumber() && from.asLong() != version) {
      ApiError conflict = new ApiError.VersionConflict(version);
      ledKey.leader.confirmLeadership(
          error -> responder.reject(request, error == null ? conflict : error));
      return;
    }
    WorkerListVersion next = new WorkerListVersion(version + 1);
    keys.put(ledKey, next, error -> responder.respond(request, error, () -> next));
  }
}
