package applespindle.corelogic.replication;

import applespindle.corelogic.api.ApiError;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads that wait until a quorum has confirmed the leader's epoch in an append round begun after
 * the read (read index, as in Raft).
 *
 * <p>Invariant: rounds are added in rising order, and a callback runs exactly once.
 */
final class LeadershipConfirmations {
  private record PendingConfirmation(long round, long expiresAtMs, Consumer<ApiError> callback) {}

  private final ArrayDeque<PendingConfirmation> pending = new ArrayDeque<>();

  /** Adds a callback; it gets null once a quorum has answered the round, or an error. */
  void add(long round, long expiresAtMs, Consumer<ApiError> callback) {
    pending.add(new PendingConfirmation(round, expiresAtMs, callback));
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Runs the callbacks of all rounds up to the one that a quorum has answered. */
  void advance(long roundOfQuorum) {
    while (!pending.isEmpty() && pending.peek().round() <= roundOfQuorum) {
      pending.poll().callback().accept(null);
    }
  }

  /** Ends the waits whose time is over with the error. */
  void expire(long nowMs, ApiError error) {
    while (!pending.isEmpty() && pending.peek().expiresAtMs() <= nowMs) {
      pending.poll().callback().accept(error);
    }
  }

  /** Empties the queue and returns the callbacks that it held, which the caller has to run. */
  List<Consumer<ApiError>> clear() {
    List<Consumer<ApiError>> callbacks =
        pending.stream().map(PendingConfirmation::callback).toList();
    pending.clear();
    return callbacks;
  }
}
