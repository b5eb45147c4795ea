package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.metadata.WorkerListVersion;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message.PeerRequest;

/**
 * Runs the commands on single workers and on the version of the worker list.
 *
 * <p>Each worker's key holds its registration, which goes from ready to leaving to gone; a worker
 * that is gone can be registered anew. It owns no state besides these keys. Invariants: marking
 * never creates a worker; the version rises by one with each list that was accepted; a change of a
 * worker is acknowledged only once it is in force.
 */
final class WorkerRegistrationManager {
  private final LedKeys keys;
  private final CommandResponder responder;

  WorkerRegistrationManager(LedKeys keys, CommandResponder responder) {
    this.keys = keys;
    this.responder = responder;
  }

  /**
   * Registers a worker, or marks a known one as leaving or gone; a mark is a registration without
   * an address. Marking a worker that is not registered is refused.
   */
  void set(PeerRequest request, LedKey ledKey, WorkerRegistration requested) {
    WorkerRegistration current = ledKey.as(WorkerRegistration.class);
    boolean isRegistered = current != null && !current.state().equals(WorkerRegistration.GONE);
    boolean isMark = requested.address().isEmpty();
    if (isMark && !isRegistered) {
      ApiError unknownWorker = new ApiError.NoSuchWorker(requested.id());
      ledKey.confirmLeadership(
          error -> responder.reject(request, error == null ? unknownWorker : error));
      return;
    }
    WorkerRegistration next = isMark ? marked(current, requested.state()) : requested;
    if (next.equals(current)) {
      ledKey.confirmLeadership(error -> responder.respondOnceInForce(request, ledKey, next, error));
    } else {
      keys.put(ledKey, next, error -> responder.respondOnceInForce(request, ledKey, next, error));
    }
  }

  private static WorkerRegistration marked(WorkerRegistration current, String state) {
    return new WorkerRegistration(
        current.id(), current.address(), current.pool(), state, current.zone(), current.slots());
  }

  /**
   * Raises the version of the worker list by one, if it is the expected one: of two platforms that
   * start from the same version, only one succeeds.
   */
  void raiseListVersion(PeerRequest request, LedKey ledKey, WorkerListVersionCheck expected) {
    WorkerListVersion current = ledKey.as(WorkerListVersion.class);
    long version = current == null ? 0 : current.version();
    if (expected.from() != null && expected.from() != version) {
      ApiError conflict = new ApiError.VersionConflict(version);
      ledKey.confirmLeadership(
          error -> responder.reject(request, error == null ? conflict : error));
      return;
    }
    WorkerListVersion next = new WorkerListVersion(version + 1);
    keys.put(ledKey, next, error -> responder.respond(request, error, () -> next));
  }
}
