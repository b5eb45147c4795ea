package applespindle.corelogic.replication;

import static applespindle.corelogic.protocol.Message.Verdict.LEADER_ALIVE;
import static applespindle.corelogic.protocol.Message.Verdict.OK;
import static applespindle.corelogic.protocol.Message.Verdict.STALE_CONFIGURATION;
import static applespindle.corelogic.protocol.Message.Verdict.STALE_EPOCH;
import static applespindle.corelogic.protocol.Message.Verdict.WOULD_GRANT;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.StageTimer;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.protocol.MessageSender;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The owner's side of one key: claims it under a higher epoch, appends in order, and answers once a
 * majority of synced disks has the entry. It stops for good when it meets a higher epoch; a new
 * claim needs a new object.
 */
public final class ReplicatedLogLeader {

  enum LeadershipState {
    ELECTING,
    ESTABLISHING,
    LEADING,
    LOST
  }

  private static final class FollowerProgress {
    final NodeAddress replica;

    /** The replica has synced our log up to here. Never falls. */
    long matchedSequence;

    /**
     * The next sequence to send; may run ahead of matched, falls back when the replica is behind.
     */
    long nextSequence = 1;

    long lastAnsweredRound;
    boolean heardSinceHeartbeat;

    /** Beats since the replica last showed that it hears this owner. */
    int silentHeartbeats;

    /** How far the replica was last told that entries are committed, and beats since. */
    long notifiedCommittedSequence = -1;

    int heartbeatsSinceNotified;

    final InFlightAppends inFlight = new InFlightAppends();

    FollowerProgress(NodeAddress replica) {
      this.replica = replica;
    }
  }

  private record PendingCommit(long mark, long expiresAt, Consumer<ApiError> then) {}

  /** A committed entry's effect on the state machine of this leader. */
  private record PendingApply(long sequence, Runnable whenCommitted) {}

  private static final Runnable NO_EFFECT = () -> {};
  private static final String PART = "owned-key";

  private final Environment environment;
  private final String nodeId;
  private final MessageSender sender;
  public final String key;

  /** Replaced only by one of a higher number. */
  private ReplicaConfiguration replicaConfiguration;

  private final Map<String, FollowerProgress> followers = new LinkedHashMap<>();
  private final boolean leadershipTransferred;

  /**
   * Replicas hear by other ways that this owner lives: one that lacks nothing gets a beat only now
   * and then.
   */
  private final boolean quietWhenIdle;

  private long electionExpiresAt;

  /** Of the claim; its rounds are marked when they end. */
  private final StageTimer electionTimer;

  private int electionRounds;

  /** Of a claim that has its promises and reads a long log; else null. */
  private LogTransfer transfer;

  private Consumer<ElectionOutcome> electionListener;
  private Runnable leadershipLostListener = () -> {};

  private LeadershipState state = LeadershipState.ELECTING;

  /** Rises with each claim round; never used again once refused. */
  private Epoch epoch;

  private long highestSeenCounter;

  /** Whether the present claim round only asks if a majority would promise. */
  private boolean preVote;

  private final Map<String, VoteResponse> votes = new LinkedHashMap<>();

  /** Our log: contiguous; nothing before the takeover entry changes after the claim. */
  private final List<LogEntry> entries = new ArrayList<>();

  private long firstOwnSequence;

  /** Highest sequence synced on a majority in our own epoch. Never falls. */
  private long committedSequence;

  private long round;

  /**
   * By sequence, what each uncommitted entry changes here once it is committed. Invariant: while
   * this node leads, every committed entry is applied exactly once and in log order, however long
   * its commit takes; only a caller's wait for it has a time limit.
   */
  private final ArrayDeque<PendingApply> pendingApplies = new ArrayDeque<>();

  private final ArrayDeque<PendingCommit> pendingCommits = new ArrayDeque<>();
  private final ArrayDeque<PendingCommit> pendingConfirmations = new ArrayDeque<>();
  private boolean flushScheduled;
  private ScheduledTask heartbeat = () -> {};
  private ScheduledTask electionRound = () -> {};

  ReplicatedLogLeader(
      Environment environment,
      String nodeId,
      MessageSender sender,
      String key,
      ReplicaConfiguration replicaConfiguration,
      boolean handedOver,
      boolean quietWhenIdle,
      Consumer<ElectionOutcome> whenClaimed) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.sender = sender;
    this.key = key;
    this.leadershipTransferred = handedOver;
    this.quietWhenIdle = quietWhenIdle;
    this.electionListener = whenClaimed;
    this.electionExpiresAt = environment.nowMs() + ReplicationConstants.ELECTION_TIMEOUT_MS;
    this.replicaConfiguration = replicaConfiguration;
    electionTimer = new StageTimer(environment);
    replicaConfiguration
        .allReplicas()
        .forEach(replica -> followers.put(replica.id(), new FollowerProgress(replica)));
    startPreVoteRound();
  }

  LeadershipState state() {
    return state;
  }

  public boolean isLeading() {
    return state == LeadershipState.LEADING;
  }

  public Epoch epoch() {
    return epoch;
  }

  public List<LogEntry> entries() {
    return entries;
  }

  public long lastSequence() {
    return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).sequence();
  }

  /** A replica's process showed, other than by an answer to an append, that it hears this one. */
  public void noteContact(String replicaId) {
    FollowerProgress each = followers.get(replicaId);
    if (each != null) {
      each.silentHeartbeats = 0;
    }
  }

  /** Whether a majority of the replicas has heard this owner of late. */
  public boolean isInContactWithQuorum() {
    return quorumHeardWithin(ReplicationConstants.QUORUM_CONTACT_TIMEOUT_MS);
  }

  /**
   * Counted in beats, not read from a clock: a process that stood still, or whose clock was
   * stepped, is not cut off.
   */
  private boolean quorumHeardWithin(long millis) {
    long beatsMost = millis / ReplicationConstants.HEARTBEAT_INTERVAL_MS;
    List<String> heard =
        followers.values().stream()
            .filter(each -> each.silentHeartbeats < beatsMost || each.replica.id().equals(nodeId))
            .map(each -> each.replica.id())
            .toList();
    return replicaConfiguration.isQuorum(heard);
  }

  public void onLeadershipLost(Runnable whenLost) {
    this.leadershipLostListener = whenLost;
  }

  /**
   * Goes on under newer sets: newcomers get the log from its start, those that left are no longer
   * counted.
   */
  public void reconfigure(ReplicaConfiguration newer) {
    if (newer.version() <= replicaConfiguration.version() || state == LeadershipState.LOST) {
      return;
    }
    replicaConfiguration = newer;
    Map<String, FollowerProgress> before = new LinkedHashMap<>(followers);
    followers.clear();
    for (NodeAddress replica : newer.allReplicas()) {
      FollowerProgress known = before.get(replica.id());
      followers.put(replica.id(), known != null ? known : new FollowerProgress(replica));
    }
    if (state == LeadershipState.ELECTING) {
      electionRound.cancel();
      startPreVoteRound();
    } else {
      advance();
      planFlush();
    }
  }

  /**
   * Asks first whether a majority would promise: a claimant that has none, or that comes while the
   * owner lives, raises no epoch and disturbs nobody.
   */
  private void startPreVoteRound() {
    startElectionRound(true);
  }

  private void startElectionRound(boolean onlyTrial) {
    if (state != LeadershipState.ELECTING) {
      return;
    }
    if (environment.nowMs() >= electionExpiresAt || replicaConfiguration.isEmpty()) {
      finishElection(new ElectionOutcome(ElectionResult.NO_QUORUM, "", ""));
      return;
    }
    electionRounds++;
    votes.clear();
    cancelTransfer();
    preVote = onlyTrial;
    epoch = new Epoch(highestSeenCounter + 1, nodeId);
    highestSeenCounter = epoch.counter();
    for (FollowerProgress each : followers.values()) {
      sender.send(
          each.replica.address(),
          each.replica.id(),
          new VoteRequest(
              key,
              epoch,
              replicaConfiguration.version(),
              leadershipTransferred,
              ReplicationConstants.MAX_VOTE_TAIL_BYTES,
              preVote));
    }
    electionRound =
        environment.schedule(
            ReplicationConstants.ELECTION_ROUND_TIMEOUT_MS, this::startPreVoteRound);
  }

  void handleVoteResponse(VoteResponse message, String fromId) {
    highestSeenCounter = Math.max(highestSeenCounter, message.promisedEpoch().counter());
    if (state != LeadershipState.ELECTING
        || !message.requestedEpoch().equals(epoch)
        || !followers.containsKey(fromId)
        || message.verdict() == WOULD_GRANT && !preVote) {
      return;
    }
    votes.put(fromId, message);
    if (transfer != null) {
      return;
    }
    if (replicaConfiguration.isQuorum(votersFor(true))) {
      electionRound.cancel();
      electionTimer.mark(preVote ? "trial" : "promise");
      if (preVote) {
        startElectionRound(false);
      } else {
        adoptMostRecentLog();
      }
      return;
    }
    Set<String> stillPossible = new HashSet<>(followers.keySet());
    stillPossible.removeAll(votersFor(false));
    if (!replicaConfiguration.isQuorum(stillPossible)) {
      var busy = votes.values().stream().filter(each -> each.verdict() == LEADER_ALIVE).findFirst();
      if (busy.isPresent()) {
        finishElection(
            new ElectionOutcome(
                ElectionResult.LEADER_ALIVE, busy.get().leaderId(), busy.get().leaderAddress()));
      } else {
        electionRound.cancel();
        electionRound =
            environment.schedule(
                1 + environment.random().nextLong(ReplicationConstants.MAX_ELECTION_BACKOFF_MS),
                this::startPreVoteRound);
      }
    }
  }

  /** Replicas that answered this round, for the claim or against it. */
  private Set<String> votersFor(boolean wanted) {
    Set<String> ids = new HashSet<>();
    votes.forEach(
        (id, promise) -> {
          boolean favours = promise.verdict() == OK || promise.verdict() == WOULD_GRANT;
          if (favours == wanted) {
            ids.add(id);
          }
        });
    return ids;
  }

  private void adoptMostRecentLog() {
    VoteResponse best = null;
    for (VoteResponse each : votes.values()) {
      if (each.verdict() == OK
          && (best == null || isMoreUpToDate(each.entries(), best.entries()))) {
        best = each;
      }
    }
    if (best.isCompleteLog()) {
      assumeLeadership(best.entries());
      return;
    }
    transfer =
        new LogTransfer(
            environment,
            sender,
            key,
            epoch,
            replicasWithLogOf(best),
            best.logStartSequence(),
            best.entries(),
            log -> {
              electionExpiresAt = environment.nowMs() + ReplicationConstants.ELECTION_TIMEOUT_MS;
              transfer = null;
              assumeLeadership(log);
            },
            () -> finishElection(new ElectionOutcome(ElectionResult.NO_QUORUM, "", "")));
  }

  /** Those of the promising replicas whose log ends with the same entry. */
  private List<NodeAddress> replicasWithLogOf(VoteResponse best) {
    return followers.values().stream()
        .map(each -> each.replica)
        .filter(
            replica -> {
              VoteResponse promise = votes.get(replica.id());
              return promise != null
                  && promise.verdict() == OK
                  && !isMoreUpToDate(best.entries(), promise.entries());
            })
        .toList();
  }

  void handleLogFetchResponse(LogFetchResponse part) {
    if (transfer != null && part.epoch().equals(epoch)) {
      transfer.take(part);
    }
  }

  private void cancelTransfer() {
    if (transfer != null) {
      transfer.cancel();
      transfer = null;
    }
  }

  private void assumeLeadership(List<LogEntry> log) {
    entries.addAll(log);
    firstOwnSequence = lastSequence() + 1;
    entries.add(new LogEntry(firstOwnSequence, epoch, false, new byte[0]));
    for (FollowerProgress each : followers.values()) {
      VoteResponse promise = votes.get(each.replica.id());
      boolean known = promise != null && promise.verdict() == OK;
      each.nextSequence =
          known
              ? Math.min(lastSequenceOf(promise.entries()), firstOwnSequence - 1) + 1
              : firstOwnSequence;
    }
    state = LeadershipState.ESTABLISHING;
    pendingCommits.add(
        new PendingCommit(
            firstOwnSequence,
            electionExpiresAt,
            error -> {
              if (error == null) {
                state = LeadershipState.LEADING;
                finishElection(new ElectionOutcome(ElectionResult.ELECTED, nodeId, ""));
              } else {
                resign();
                finishElection(new ElectionOutcome(ElectionResult.NO_QUORUM, "", ""));
              }
            }));
    broadcast();
    heartbeat =
        environment.schedule(ReplicationConstants.HEARTBEAT_INTERVAL_MS, this::sendHeartbeats);
  }

  /**
   * Whose log is to be believed: the one whose last entry has the higher epoch, then the higher
   * sequence.
   */
  static boolean isMoreUpToDate(List<LogEntry> one, List<LogEntry> other) {
    if (one.isEmpty() || other.isEmpty()) {
      return !one.isEmpty();
    }
    LogEntry lastOne = one.get(one.size() - 1);
    LogEntry lastOther = other.get(other.size() - 1);
    int byEpoch = lastOne.epoch().compareTo(lastOther.epoch());
    return byEpoch != 0 ? byEpoch > 0 : lastOne.sequence() > lastOther.sequence();
  }

  private static long lastSequenceOf(List<LogEntry> entries) {
    return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).sequence();
  }

  private void finishElection(ElectionOutcome outcome) {
    electionTimer.mark("settle");
    environment.log(
        PART,
        "Claim ended: key="
            + key
            + " outcome="
            + outcome.result()
            + " rounds="
            + electionRounds
            + electionTimer
            + ".");
    if (outcome.result() != ElectionResult.ELECTED) {
      resign();
    }
    Consumer<ElectionOutcome> listener = electionListener;
    electionListener = ignored -> {};
    listener.accept(outcome);
  }

  /**
   * Appends an event whose state is kept by the caller already; see {@link #append(boolean, byte[],
   * Runnable, Consumer)}.
   */
  public long append(boolean whole, byte[] event, Consumer<ApiError> then) {
    return append(whole, event, NO_EFFECT, then);
  }

  /**
   * Appends an event.
   *
   * @param commitListener applies the event: runs once a majority has synced the entry, after those
   *     of all earlier entries; without a time limit, but never after the leadership was lost
   * @param then answers the caller: gets null right after that, or a fault when the wait was too
   *     long or the leadership was lost. {@link ApiError.OutcomeUnknown} does not mean that the
   *     entry is not committed later
   * @return the entry's sequence, or 0 if this node does not lead
   */
  public long append(boolean whole, byte[] event, Runnable whenCommitted, Consumer<ApiError> then) {
    if (state != LeadershipState.LEADING) {
      then.accept(new ApiError.NotLeader(key));
      return 0;
    }
    long sequence = lastSequence() + 1;
    entries.add(new LogEntry(sequence, epoch, whole, event));
    pendingApplies.add(new PendingApply(sequence, whenCommitted));
    long expiresAt =
        environment.nowMs()
            + ReplicationConstants.COMMIT_TIMEOUT_MS
            + toAllReplicasMs(event.length);
    pendingCommits.add(new PendingCommit(sequence, expiresAt, then));
    planFlush();
    return sequence;
  }

  /**
   * Runs the callback with null once all that was appended before is committed and a majority has
   * confirmed, after this call, that our epoch still stands.
   */
  public void confirmLeadership(Consumer<ApiError> then) {
    confirmLeadership(true, then);
  }

  /**
   * The same, but no sooner than the next beat asks the replicas anyway: costs no message of its
   * own.
   */
  public void confirmAtBeat(Consumer<ApiError> then) {
    confirmLeadership(false, then);
  }

  private void confirmLeadership(boolean atOnce, Consumer<ApiError> then) {
    if (state != LeadershipState.LEADING) {
      then.accept(new ApiError.NotLeader(key));
      return;
    }
    if (lastSequence() > committedSequence) {
      pendingCommits.add(
          new PendingCommit(
              lastSequence(),
              environment.nowMs() + ReplicationConstants.COMMIT_TIMEOUT_MS,
              error -> {
                if (error == null) {
                  confirmLeadership(atOnce, then);
                } else {
                  then.accept(error);
                }
              }));
      return;
    }
    pendingConfirmations.add(
        new PendingCommit(
            round + 1, environment.nowMs() + ReplicationConstants.COMMIT_TIMEOUT_MS, then));
    if (atOnce) {
      planFlush();
    }
  }

  private void planFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      environment.schedule(
          0,
          () -> {
            flushScheduled = false;
            broadcast();
          });
    }
  }

  private void broadcast() {
    if (state != LeadershipState.LEADING && state != LeadershipState.ESTABLISHING) {
      return;
    }
    round++;
    followers.values().forEach(this::sendTo);
  }

  private void sendTo(FollowerProgress each) {
    long first = entries.get(0).sequence();
    long from = each.nextSequence < first || each.nextSequence == 1 ? first : each.nextSequence;
    List<LogEntry> lacking =
        from > lastSequence()
            ? List.of()
            : List.copyOf(entries.subList((int) (from - first), entries.size()));
    long previous = from == first ? 0 : from - 1;
    Epoch previousEpoch =
        from == first ? Epoch.NONE : entries.get((int) (from - 1 - first)).epoch();
    each.nextSequence = lastSequence() + 1;
    each.notifiedCommittedSequence = committedSequence;
    each.heartbeatsSinceNotified = 0;
    long bytes = lacking.stream().mapToLong(entry -> entry.event().length).sum();
    if (bytes >= ReplicationConstants.LARGE_APPEND_BYTES) {
      long until =
          environment.nowMs() + ReplicationConstants.LARGE_APPEND_MIN_MS + toAllReplicasMs(bytes);
      each.inFlight.add(from, lastSequence(), until);
    }
    sender.send(
        each.replica.address(),
        each.replica.id(),
        new AppendRequest(
            key,
            epoch,
            replicaConfiguration.version(),
            round,
            previous,
            previousEpoch,
            committedSequence,
            isInContactWithQuorum(),
            lacking));
  }

  public void handleAppendResponse(AppendResponse message, String fromId) {
    FollowerProgress from = followers.get(fromId);
    if (from == null || state != LeadershipState.LEADING && state != LeadershipState.ESTABLISHING) {
      return;
    }
    if (message.verdict() == STALE_EPOCH && epoch.isBelow(message.promisedEpoch())) {
      loseLeadership();
      return;
    }
    if (!message.epoch().equals(epoch) || message.verdict() == STALE_CONFIGURATION) {
      return;
    }
    from.heardSinceHeartbeat = true;
    from.silentHeartbeats = 0;
    from.lastAnsweredRound = Math.max(from.lastAnsweredRound, message.round());
    if (message.verdict() == OK) {
      from.matchedSequence = Math.max(from.matchedSequence, message.matchedSequence());
      from.nextSequence = Math.max(from.nextSequence, from.matchedSequence + 1);
      from.inFlight.arrived(from.matchedSequence);
    } else if (!onItsWay(from, message.matchedSequence() + 1)) {
      from.nextSequence = Math.max(1, Math.min(message.matchedSequence() + 1, lastSequence()));
      sendTo(from);
    }
    advance();
  }

  private boolean onItsWay(FollowerProgress each, long sequence) {
    return each.inFlight.holds(sequence, environment.nowMs());
  }

  /** How long it takes at the most, on a slow link that they share, to send so much to each. */
  private long toAllReplicasMs(long bytes) {
    return bytes * followers.size() / ReplicationConstants.SLOW_LINK_BYTES_PER_MS;
  }

  private void advance() {
    long majorityMatched =
        replicaConfiguration.valueReachedByQuorum(id -> followers.get(id).matchedSequence);
    if (majorityMatched >= firstOwnSequence && majorityMatched > committedSequence) {
      committedSequence = majorityMatched;
      LogReplicas.trim(entries, committedSequence);
      planFlush();
    }
    answerCommitted();
    if (state == LeadershipState.LOST) {
      return;
    }
    long majorityRound =
        replicaConfiguration.valueReachedByQuorum(id -> followers.get(id).lastAnsweredRound);
    while (!pendingConfirmations.isEmpty() && pendingConfirmations.peek().mark() <= majorityRound) {
      pendingConfirmations.poll().then().accept(null);
      if (state == LeadershipState.LOST) {
        return;
      }
    }
  }

  /**
   * Applies what is committed in log order; each caller is answered once its own entry is applied.
   */
  private void answerCommitted() {
    while (state != LeadershipState.LOST) {
      if (!pendingApplies.isEmpty()
          && pendingApplies.peek().sequence() <= committedSequence
          && (pendingCommits.isEmpty()
              || pendingApplies.peek().sequence() <= pendingCommits.peek().mark())) {
        pendingApplies.poll().whenCommitted().run();
      } else if (!pendingCommits.isEmpty() && pendingCommits.peek().mark() <= committedSequence) {
        pendingCommits.poll().then().accept(null);
      } else {
        return;
      }
    }
  }

  private void sendHeartbeats() {
    if (state != LeadershipState.LEADING && state != LeadershipState.ESTABLISHING) {
      return;
    }
    expire(pendingCommits, new ApiError.OutcomeUnknown(key));
    expire(pendingConfirmations, new ApiError.NoQuorum(key));
    if (state != LeadershipState.LEADING && state != LeadershipState.ESTABLISHING) {
      return;
    }
    for (FollowerProgress each : followers.values()) {
      if (!each.heardSinceHeartbeat && !onItsWay(each, each.matchedSequence + 1)) {
        each.nextSequence = each.matchedSequence + 1;
      }
      each.heardSinceHeartbeat = false;
      each.silentHeartbeats++;
    }
    if (state == LeadershipState.LEADING
        && !quorumHeardWithin(ReplicationConstants.LEADER_STEP_DOWN_MS)) {
      environment.log(PART, "Steps down, no majority heard: " + key + ".");
      loseLeadership();
      return;
    }
    if (!quietWhenIdle
        || state == LeadershipState.ESTABLISHING
        || !pendingConfirmations.isEmpty()) {
      broadcast();
    } else {
      beatWhereNeeded();
    }
    heartbeat =
        environment.schedule(ReplicationConstants.HEARTBEAT_INTERVAL_MS, this::sendHeartbeats);
  }

  private void beatWhereNeeded() {
    round++;
    for (FollowerProgress each : followers.values()) {
      boolean lacksNothing =
          each.matchedSequence == lastSequence()
              && each.notifiedCommittedSequence == committedSequence
              && committedSequence == lastSequence();
      if (!lacksNothing
          || ++each.heartbeatsSinceNotified >= ReplicationConstants.IDLE_HEARTBEAT_ONE_IN) {
        sendTo(each);
      }
    }
  }

  private void expire(ArrayDeque<PendingCommit> waiting, ApiError error) {
    while (!waiting.isEmpty() && waiting.peek().expiresAt() <= environment.nowMs()) {
      waiting.poll().then().accept(error);
    }
  }

  private void loseLeadership() {
    resign();
    leadershipLostListener.run();
  }

  /** Gives the key up without a word: whoever claims it next reads the log from the replicas. */
  public void resign() {
    if (state == LeadershipState.LOST) {
      return;
    }
    state = LeadershipState.LOST;
    heartbeat.cancel();
    electionRound.cancel();
    cancelTransfer();
    List<PendingCommit> unanswered = new ArrayList<>(pendingCommits);
    List<PendingCommit> unconfirmed = new ArrayList<>(pendingConfirmations);
    pendingApplies.clear();
    pendingCommits.clear();
    pendingConfirmations.clear();
    unanswered.forEach(each -> each.then().accept(new ApiError.OutcomeUnknown(key)));
    unconfirmed.forEach(each -> each.then().accept(new ApiError.NotLeader(key)));
  }
}
