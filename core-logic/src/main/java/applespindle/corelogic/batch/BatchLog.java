package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Invariant;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.replication.ReplicatedLogLeader;
import java.util.function.Consumer;

/**
 * The replicated log of one batch, as its leader writes it, with the state folded from it.
 *
 * <p>Invariant: {@link #state} holds exactly the committed entries, in log order, so that the next
 * leader folds the same state. The age of the batch is counted from its acceptance and is carried
 * from leader to leader in the events; no wall clock is needed for it.
 */
final class BatchLog {
  /** The response callback of an append that no client waits for. */
  static final Consumer<ApiError> NO_CALLER = error -> {};

  /** The commit callback of an append after which nothing is left to do. */
  static final Runnable NO_ACTION = () -> {};

  final String batch;
  final BatchState state = new BatchState();

  /** Reads the contents that the state doesn't hold. */
  final BatchContents contents;

  private final Environment environment;
  private final BatchLeader.Context edge;
  private final ReplicatedLogLeader logLeader;
  private final long startedAt;
  private final long ageAtStartMs;
  private boolean endPending;

  /** Folds all entries that the log leader holds; an entry accepted twice is reported. */
  BatchLog(
      Environment environment, BatchLeader.Context edge, String batch, ReplicatedLogLeader leader) {
    this.environment = environment;
    this.edge = edge;
    this.batch = batch;
    this.logLeader = leader;
    for (LogEntry entry : leader.entries()) {
      if (!entry.isEpochStart()) {
        BatchEvent event = BatchEventCodec.decodeHeader(entry.payload().heldStart());
        state.apply(entry.sequence(), entry.eventBytes(), event);
        leader.releaseApplied(entry.sequence());
      }
    }
    contents = new BatchContents(leader);
    checkAcceptedOnce();
    startedAt = environment.nowMs();
    ageAtStartMs = ageAtStartMs(edge.lastKnownDueAt(batch));
  }

  /** The higher of the age in the log and the age that follows from an earlier leader's offer. */
  private long ageAtStartMs(Long lastKnownDueAt) {
    if (lastKnownDueAt == null || state.accepted == null) {
      return state.ageMs;
    }
    return Math.max(state.ageMs, state.accepted.dueInMs() - (lastKnownDueAt - startedAt));
  }

  /** When this node became the leader, on its own clock, in milliseconds. */
  long startedAt() {
    return startedAt;
  }

  /** Milliseconds since the batch was accepted, as far as its leaders know. */
  long ageMs() {
    return ageAtStartMs + environment.nowMs() - startedAt;
  }

  /** Milliseconds until the batch is due; negative once it is late. */
  long dueInMs() {
    return state.accepted.dueInMs() - ageMs();
  }

  /** Whether ranges may be assigned and results recorded: the batch is open and not being ended. */
  boolean isTakingWork() {
    return state.isOpen() && !endPending;
  }

  boolean isEndPending() {
    return endPending;
  }

  /**
   * Appends an event to the batch's log. Once it is committed it is folded into the state, then
   * whenCommitted runs; this has no time limit, so that the state holds every committed entry in
   * log order, as the next leader's will. Only the answer to a caller has a time limit.
   *
   * @param answer called once, with null after the commit or with the error
   */
  void append(BatchEvent event, Runnable whenCommitted, Consumer<ApiError> answer) {
    BatchEventCodec.Encoded encoded = BatchEventCodec.encodeWithHeader(event);
    int eventBytes = encoded.bytes().length;
    BatchEvent header = encoded.header();
    logLeader.append(
        header.kind().equals(BatchEvent.REMOVED),
        encoded.bytes(),
        sequence -> {
          state.apply(sequence, eventBytes, header);
          logLeader.releaseApplied(sequence);
          checkAcceptedOnce();
          whenCommitted.run();
        },
        answer);
  }

  /** Appends an event that no client waits for. */
  void append(BatchEvent event, Runnable whenCommitted) {
    append(event, whenCommitted, NO_CALLER);
  }

  /** Appends the end of the batch; no work is taken from now on. */
  void appendEnd(Runnable whenCommitted, Consumer<ApiError> answer) {
    endPending = true;
    append(
        BatchEvent.plain(BatchEvent.ENDED, ageMs()),
        () -> {
          endPending = false;
          whenCommitted.run();
        },
        answer);
  }

  /** Confirms the leadership with a majority immediately; the callback gets null on success. */
  void confirmLeadership(Consumer<ApiError> then) {
    logLeader.confirmLeadership(then);
  }

  /** The same with the next regular heartbeat, for callers that can wait for it. */
  void confirmWithHeartbeat(Consumer<ApiError> then) {
    logLeader.confirmLeadershipWithHeartbeat(then);
  }

  /** Where the contents of an item are, for a reader at another node. */
  ItemBody.Location location(int item) {
    EventPart part = state.itemPart(item);
    return new ItemBody.Location(
        logLeader.detachedEntry(part.section().sequence()), part, state.itemBytes(item));
  }

  private void checkAcceptedOnce() {
    if (state.acceptedTwice) {
      edge.reportViolation(Invariant.BATCH_ACCEPTED_ONCE, batch);
    }
  }
}
