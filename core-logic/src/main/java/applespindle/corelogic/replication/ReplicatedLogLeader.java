package applespindle.corelogic.replication;

import static applespindle.corelogic.protocol.Message.Verdict.OK;
import static applespindle.corelogic.protocol.Message.Verdict.STALE_CONFIGURATION;
import static applespindle.corelogic.protocol.Message.Verdict.STALE_EPOCH;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.protocol.MessageSender;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The leader of one key's replicated log, from its candidacy to the end of its leadership. It
 * appends entries in order under its epoch, sends them to every replica of the configuration, and
 * answers a caller once a quorum has synced the caller's entry.
 *
 * <p>Transitions: {@code ELECTING -> ESTABLISHING} once the {@link Election} is won; {@code
 * ESTABLISHING -> LEADING} once the first entry of its own epoch, which is empty, is committed and
 * with it every entry before. Each of them ends in {@code LOST}: when the election fails, a replica
 * has promised a higher epoch, no quorum was in contact for {@link
 * ReplicationConstants#LEADER_STEP_DOWN_MS}, or {@link #resign} is called. {@code LOST} is final; a
 * new leadership needs a new object.
 *
 * <p>The log itself is in {@link LeaderLog}, what is sent to the replicas in {@link LogReplicator},
 * and who waits in {@link CommitQueue} and {@link LeadershipConfirmations}.
 *
 * <p>Invariants: an entry is committed only once a quorum has synced it and an entry of this
 * leader's own epoch at or after it; the callback of each append and read runs exactly once.
 */
public final class ReplicatedLogLeader {

  /** See the transitions in the description of the class. */
  enum LeadershipState {
    /** A candidate: nothing may be appended, and no replica is sent an append. */
    ELECTING,
    /** Elected, but entries of earlier leaders may not be committed yet. */
    ESTABLISHING,
    /** Accepts appends and reads. */
    LEADING,
    /** Neither a candidate nor a leader any more. */
    LOST
  }

  private static final LongConsumer NO_EFFECT = sequence -> {};
  private static final String LOG_PART = "owned-key";

  private final Environment environment;
  private final String nodeId;

  /** The key of the log. */
  public final String key;

  /** Whether replicas that have everything get a heartbeat only now and then. */
  private final boolean quietWhenIdle;

  private final EventRetention retention;
  private final Election election;
  private Consumer<ElectionOutcome> electionListener;
  private Runnable leadershipLostListener = () -> {};
  private LeadershipState state = LeadershipState.ELECTING;

  private final LeaderLog log = new LeaderLog();
  private final LogReplicator replicator;
  private final CommitQueue commits = new CommitQueue();
  private final LeadershipConfirmations confirmations = new LeadershipConfirmations();
  private boolean flushScheduled;
  private ScheduledTask heartbeat = () -> {};

  /**
   * Starts the election at once; the listener may run before this returns.
   *
   * @param leadershipTransferred whether the former leader has transferred the key
   * @param quietWhenIdle whether the replicas know by other messages that this node lives
   * @param retention what is kept of the events
   * @param electionListener runs once, when the election has ended; never after {@link #resign} in
   *     the state ELECTING
   */
  ReplicatedLogLeader(
      Environment environment,
      String nodeId,
      MessageSender sender,
      String key,
      ReplicaConfiguration replicaConfiguration,
      boolean leadershipTransferred,
      boolean quietWhenIdle,
      EventRetention retention,
      Consumer<ElectionOutcome> electionListener) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.key = key;
    this.quietWhenIdle = quietWhenIdle;
    this.retention = retention;
    this.electionListener = electionListener;
    this.replicator =
        new LogReplicator(environment, nodeId, sender, key, log, replicaConfiguration, retention);
    this.election =
        new Election(
            environment,
            nodeId,
            sender,
            key,
            replicaConfiguration,
            leadershipTransferred,
            retention,
            this::establishLeadership,
            this::finishElection);
    election.start();
  }

  LeadershipState state() {
    return state;
  }

  /** Whether this node is the established leader and accepts appends. */
  public boolean isLeading() {
    return state == LeadershipState.LEADING;
  }

  /** The epoch of this leader; while it is ELECTING, that of the present round. */
  public Epoch epoch() {
    return election.epoch();
  }

  /** The log as this leader holds it, with entries that aren't committed yet; not a copy. */
  public List<LogEntry> entries() {
    return log.entries();
  }

  /** The sequence of the last entry, committed or not; 0 while there is none. */
  public long lastSequence() {
    return log.lastSequence();
  }

  /**
   * Notes that the replica's process showed, other than by an answer to an append, that it receives
   * this node's messages. A replica outside of the configuration is ignored.
   */
  public void recordContact(String replicaId) {
    FollowerProgress follower = replicator.follower(replicaId);
    if (follower != null) {
      follower.recordContact();
    }
  }

  /**
   * Whether a quorum has answered within {@link ReplicationConstants#QUORUM_CONTACT_TIMEOUT_MS}.
   */
  public boolean isInContactWithQuorum() {
    return replicator.isInContactWithQuorum();
  }

  /** Sets what runs, once, when the leadership is lost other than by {@link #resign}. */
  public void onLeadershipLost(Runnable listener) {
    this.leadershipLostListener = listener;
  }

  /**
   * Goes on under a newer configuration: joining replicas get the log from its start, those that
   * left are no longer counted. One that isn't newer is ignored.
   */
  public void reconfigure(ReplicaConfiguration newer) {
    if (newer.version() <= replicator.configuration().version() || state == LeadershipState.LOST) {
      return;
    }
    replicator.reconfigure(newer);
    if (state == LeadershipState.ELECTING) {
      election.reconfigure(newer, replicator.replicas());
    } else {
      advanceCommit();
      scheduleFlush();
    }
  }

  void handleVoteResponse(VoteResponse message, String fromId) {
    election.handleVoteResponse(message, fromId);
  }

  void handleLogFetchResponse(LogFetchResponse message) {
    election.handleLogFetchResponse(message);
  }

  /** Appends the first entry of the new epoch; once it is committed, this node leads. */
  private void establishLeadership(ElectionVictory victory) {
    log.adopt(victory);
    replicator.startFrom(victory);
    state = LeadershipState.ESTABLISHING;
    commits.addCallback(
        log.firstOwnSequence(), victory.establishBeforeMs(), this::firstOwnEntryFinished);
    replicator.broadcast();
    scheduleHeartbeat();
  }

  private void firstOwnEntryFinished(ApiError error) {
    if (error == null) {
      state = LeadershipState.LEADING;
      finishElection(new ElectionOutcome(ElectionResult.ELECTED, nodeId, ""));
    } else {
      resign();
      finishElection(new ElectionOutcome(ElectionResult.NO_QUORUM, "", ""));
    }
  }

  private void finishElection(ElectionOutcome outcome) {
    election.logOutcome(outcome.result());
    if (outcome.result() != ElectionResult.ELECTED) {
      resign();
    }
    Consumer<ElectionOutcome> listener = electionListener;
    electionListener = ignored -> {};
    listener.accept(outcome);
  }

  /**
   * Appends an event whose effect the caller has applied already; see {@link #append(boolean,
   * byte[], LongConsumer, Consumer)}.
   */
  public long append(boolean snapshot, byte[] event, Consumer<ApiError> callback) {
    return append(snapshot, event, NO_EFFECT, callback);
  }

  /**
   * Appends an event.
   *
   * @param snapshot whether the event holds all state of the key, so that earlier entries may be
   *     dropped once it is committed
   * @param effect applies the event and gets its sequence: runs once a quorum has synced the entry,
   *     after those of all earlier entries; without a time limit, but never after the leadership
   *     was lost
   * @param callback answers the caller: gets null right after that, or an error when the wait was
   *     too long or the leadership was lost. {@link ApiError.OutcomeUnknown} does not mean that the
   *     entry is not committed later
   * @return the entry's sequence, or 0 if this node does not lead
   */
  public long append(
      boolean snapshot, byte[] event, LongConsumer effect, Consumer<ApiError> callback) {
    if (state != LeadershipState.LEADING) {
      callback.accept(new ApiError.NotLeader(key));
      return 0;
    }
    long sequence = log.append(snapshot, event);
    retention.appended(key, log.entryAt(sequence));
    commits.addEffect(sequence, () -> effect.accept(sequence));
    long expiresAtMs =
        environment.nowMs()
            + ReplicationConstants.COMMIT_TIMEOUT_MS
            + replicator.transferToAllReplicasMs(event.length);
    commits.addCallback(sequence, expiresAtMs, callback);
    scheduleFlush();
    return sequence;
  }

  /**
   * The entry of this sequence is applied, so that only the start of its event, as the retention
   * decides, is needed in the heap from now on.
   */
  public void releaseApplied(long sequence) {
    LogEntry entry = log.entryAt(sequence);
    if (entry != null) {
      retention.applied(key, entry);
    }
  }

  /** Names the entry of this sequence, which must be part of the log, to another reader. */
  public DetachedEntry detachedEntry(long sequence) {
    LogEntry entry = log.entryAt(sequence);
    return new DetachedEntry(key, sequence, entry.epoch(), entry.eventBytes());
  }

  /**
   * Reads a section of the event of a committed entry, from the heap if it is there, else from a
   * replica. What was committed never changes, so any replica that holds the entry will do.
   *
   * @param callback gets the bytes, possibly before this returns, or null: the entry is no longer
   *     part of the log, no replica sent it in time, or the leadership was lost
   */
  public void readEvent(long sequence, int offset, int bytes, Consumer<byte[]> callback) {
    LogEntry entry = log.entryAt(sequence);
    if (entry == null || state == LeadershipState.LOST) {
      callback.accept(null);
      return;
    }
    retention.read(
        key,
        entry,
        offset,
        bytes,
        replicator.replicasHolding(sequence),
        section -> callback.accept(state == LeadershipState.LOST ? null : section));
  }

  /**
   * Runs the callback with null once all that was appended before is committed and a quorum has
   * confirmed, after this call, that this leader's epoch still stands; with an error otherwise.
   */
  public void confirmLeadership(Consumer<ApiError> callback) {
    confirmLeadership(true, callback);
  }

  /**
   * The same, but no sooner than the next heartbeat asks the replicas anyway: costs no message of
   * its own.
   */
  public void confirmLeadershipWithHeartbeat(Consumer<ApiError> callback) {
    confirmLeadership(false, callback);
  }

  private void confirmLeadership(boolean atOnce, Consumer<ApiError> callback) {
    if (state != LeadershipState.LEADING) {
      callback.accept(new ApiError.NotLeader(key));
      return;
    }
    long expiresAtMs = environment.nowMs() + ReplicationConstants.COMMIT_TIMEOUT_MS;
    if (!log.isFullyCommitted()) {
      commits.addCallback(
          lastSequence(),
          expiresAtMs,
          error -> {
            if (error == null) {
              confirmLeadership(atOnce, callback);
            } else {
              callback.accept(error);
            }
          });
      return;
    }
    confirmations.add(replicator.nextRound(), expiresAtMs, callback);
    if (atOnce) {
      scheduleFlush();
    }
  }

  /** Sends to all replicas once the present task ends, so that its appends share one message. */
  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      environment.schedule(
          0,
          () -> {
            flushScheduled = false;
            if (isReplicating()) {
              replicator.broadcast();
            }
          });
    }
  }

  private boolean isReplicating() {
    return state == LeadershipState.LEADING || state == LeadershipState.ESTABLISHING;
  }

  /** Takes a replica's answer to an append; a higher promised epoch ends this leadership. */
  public void handleAppendResponse(AppendResponse message, String fromId) {
    FollowerProgress follower = replicator.follower(fromId);
    if (follower == null || !isReplicating()) {
      return;
    }
    if (message.verdict() == STALE_EPOCH && epoch().isBelow(message.promisedEpoch())) {
      loseLeadership();
      return;
    }
    if (!message.epoch().equals(epoch()) || message.verdict() == STALE_CONFIGURATION) {
      return;
    }
    follower.recordResponse(message.round());
    if (message.verdict() == OK) {
      follower.recordMatch(message.matchedSequence());
    } else {
      replicator.retryFrom(follower, message.matchedSequence() + 1);
    }
    advanceCommit();
  }

  /** Commits what a quorum has synced, then runs the effects and callbacks that are due. */
  private void advanceCommit() {
    if (log.commit(replicator.sequenceMatchedByQuorum())) {
      scheduleFlush();
    }
    commits.advance(log.committedSequence());
    if (state != LeadershipState.LOST) {
      confirmations.advance(replicator.roundAnsweredByQuorum());
    }
  }

  private void scheduleHeartbeat() {
    heartbeat =
        environment.schedule(ReplicationConstants.HEARTBEAT_INTERVAL_MS, this::sendHeartbeats);
  }

  private void sendHeartbeats() {
    if (!isReplicating()) {
      return;
    }
    commits.expire(environment.nowMs(), new ApiError.OutcomeUnknown(key));
    confirmations.expire(environment.nowMs(), new ApiError.NoQuorum(key));
    if (!isReplicating()) {
      return;
    }
    replicator.heartbeatElapsed();
    if (state == LeadershipState.LEADING
        && !replicator.hasQuorumContactWithin(ReplicationConstants.LEADER_STEP_DOWN_MS)) {
      environment.log(LOG_PART, "Leader steps down, no quorum in contact: key=" + key + ".");
      loseLeadership();
      return;
    }
    if (!quietWhenIdle || state == LeadershipState.ESTABLISHING || !confirmations.isEmpty()) {
      replicator.broadcast();
    } else {
      replicator.sendNeededHeartbeats();
    }
    scheduleHeartbeat();
  }

  private void loseLeadership() {
    resign();
    leadershipLostListener.run();
  }

  /**
   * Ends the candidacy or leadership without telling any replica: the next leader reads the log
   * from the replicas. Waiting callers get an error. Does nothing in the state LOST.
   */
  public void resign() {
    if (state == LeadershipState.LOST) {
      return;
    }
    state = LeadershipState.LOST;
    heartbeat.cancel();
    election.cancel();
    retention.forget(key);
    List<Consumer<ApiError>> uncommitted = commits.clear();
    List<Consumer<ApiError>> unconfirmed = confirmations.clear();
    uncommitted.forEach(callback -> callback.accept(new ApiError.OutcomeUnknown(key)));
    unconfirmed.forEach(callback -> callback.accept(new ApiError.NotLeader(key)));
  }
}
