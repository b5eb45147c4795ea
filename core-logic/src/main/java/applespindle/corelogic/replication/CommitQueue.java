package applespindle.corelogic.replication;

import applespindle.corelogic.api.ApiError;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;

/**
 * The effects and callbacks of a leader's entries that aren't committed yet, in log order.
 *
 * <p>Invariants: while the node leads, every committed entry is applied exactly once and in log
 * order, however long its commit takes; only a caller's wait for it has a time limit. A callback
 * runs after the effects of its own entry and of all earlier ones, and exactly once.
 */
final class CommitQueue {
  /** A caller that waits, until the given time, for the commit of the entry. */
  private record PendingCommit(long sequence, long expiresAtMs, Consumer<ApiError> callback) {}

  /** The effect of an uncommitted entry on the leader's state machine. */
  private record PendingApply(long sequence, Runnable effect) {}

  private final ArrayDeque<PendingApply> pendingApplies = new ArrayDeque<>();
  private final ArrayDeque<PendingCommit> pendingCommits = new ArrayDeque<>();

  /** Adds the effect of an entry; sequences are added in rising order. */
  void addEffect(long sequence, Runnable effect) {
    pendingApplies.add(new PendingApply(sequence, effect));
  }

  /** Adds a callback; it gets null after the commit of the entry, or the error that ended it. */
  void addCallback(long sequence, long expiresAtMs, Consumer<ApiError> callback) {
    pendingCommits.add(new PendingCommit(sequence, expiresAtMs, callback));
  }

  /**
   * Applies what is committed in log order; each caller is answered once its own entry is applied.
   * An effect or callback may clear the queue, which ends the run.
   */
  void advance(long committedSequence) {
    while (true) {
      if (isNextEffectDue(committedSequence)) {
        pendingApplies.poll().effect().run();
      } else if (isNextCallbackDue(committedSequence)) {
        pendingCommits.poll().callback().accept(null);
      } else {
        return;
      }
    }
  }

  private boolean isNextEffectDue(long committedSequence) {
    return !pendingApplies.isEmpty()
        && pendingApplies.peek().sequence() <= committedSequence
        && (pendingCommits.isEmpty()
            || pendingApplies.peek().sequence() <= pendingCommits.peek().sequence());
  }

  private boolean isNextCallbackDue(long committedSequence) {
    return !pendingCommits.isEmpty() && pendingCommits.peek().sequence() <= committedSequence;
  }

  /** Ends the waits whose time is over with the error; the effects of their entries stay queued. */
  void expire(long nowMs, ApiError error) {
    while (!pendingCommits.isEmpty() && pendingCommits.peek().expiresAtMs() <= nowMs) {
      pendingCommits.poll().callback().accept(error);
    }
  }

  /** Empties the queue and returns the callbacks that it held, which the caller has to run. */
  List<Consumer<ApiError>> clear() {
    List<Consumer<ApiError>> callbacks =
        pendingCommits.stream().map(PendingCommit::callback).toList();
    pendingApplies.clear();
    pendingCommits.clear();
    return callbacks;
  }
}
