package applespindle.corelogic.replication;

import static applespindle.corelogic.protocol.Message.Verdict.BUSY;
import static applespindle.corelogic.protocol.Message.Verdict.OK;
import static applespindle.corelogic.protocol.Message.Verdict.OLD_SET;
import static applespindle.corelogic.protocol.Message.Verdict.REFUSED;
import static applespindle.corelogic.protocol.Message.Verdict.WOULD_PROMISE;

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
    CLAIMING,
    SETTLING,
    OWNED,
    LOST
  }

  private static final class FollowerProgress {
    final NodeAddress replica;

    /** The replica has synced our log up to here. Never falls. */
    long matched;

    /**
     * The next sequence to send; may run ahead of matched, falls back when the replica is behind.
     */
    long next = 1;

    long heardRound;
    boolean heardSinceBeat;

    /** Beats since the replica last showed that it hears this owner. */
    int silentBeats;

    /** How far the replica was last told that entries are committed, and beats since. */
    long toldCommitted = -1;

    int beatsSince;

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

  private final Environment surroundings;
  private final String nodeId;
  private final MessageSender sender;
  public final String key;

  /** Replaced only by one of a higher number. */
  private ReplicaConfiguration sets;

  private final Map<String, FollowerProgress> progress = new LinkedHashMap<>();
  private final boolean handedOver;

  /**
   * Replicas hear by other ways that this owner lives: one that lacks nothing gets a beat only now
   * and then.
   */
  private final boolean quietWhenIdle;

  private long claimExpiresAt;

  /** Of the claim; its rounds are marked when they end. */
  private final StageTimer claimTrace;

  private int claimRounds;

  /** Of a claim that has its promises and reads a long log; else null. */
  private LogTransfer transfer;

  private Consumer<ElectionOutcome> whenClaimed;
  private Runnable whenLost = () -> {};

  private LeadershipState state = LeadershipState.CLAIMING;

  /** Rises with each claim round; never used again once refused. */
  private Epoch epoch;

  private long seenCounter;

  /** Whether the present claim round only asks if a majority would promise. */
  private boolean trial;

  private final Map<String, VoteResponse> promises = new LinkedHashMap<>();

  /** Our log: contiguous; nothing before the takeover entry changes after the claim. */
  private final List<LogEntry> entries = new ArrayList<>();

  private long takeoverSequence;

  /** Highest sequence synced on a majority in our own epoch. Never falls. */
  private long committed;

  private long round;

  /**
   * By sequence, what each uncommitted entry changes here once it is committed. Invariant: while
   * this node leads, every committed entry is applied exactly once and in log order, however long
   * its commit takes; only a caller's wait for it has a time limit.
   */
  private final ArrayDeque<PendingApply> waitingToApply = new ArrayDeque<>();

  private final ArrayDeque<PendingCommit> waitingForCommit = new ArrayDeque<>();
  private final ArrayDeque<PendingCommit> waitingForRound = new ArrayDeque<>();
  private boolean flushPlanned;
  private ScheduledTask beat = () -> {};
  private ScheduledTask claimRound = () -> {};

  ReplicatedLogLeader(
      Environment surroundings,
      String nodeId,
      MessageSender sender,
      String key,
      ReplicaConfiguration sets,
      boolean handedOver,
      boolean quietWhenIdle,
      Consumer<ElectionOutcome> whenClaimed) {
    this.surroundings = surroundings;
    this.nodeId = nodeId;
    this.sender = sender;
    this.key = key;
    this.handedOver = handedOver;
    this.quietWhenIdle = quietWhenIdle;
    this.whenClaimed = whenClaimed;
    this.claimExpiresAt = surroundings.now() + ReplicationConstants.ELECTION_TIMEOUT_MS;
    this.sets = sets;
    claimTrace = new StageTimer(surroundings);
    sets.all().forEach(replica -> progress.put(replica.id(), new FollowerProgress(replica)));
    trialRound();
  }

  LeadershipState state() {
    return state;
  }

  public boolean owned() {
    return state == LeadershipState.OWNED;
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
  public void heardBy(String replicaId) {
    FollowerProgress each = progress.get(replicaId);
    if (each != null) {
      each.silentBeats = 0;
    }
  }

  /** Whether a majority of the replicas has heard this owner of late. */
  public boolean hearsMajority() {
    return majorityHeardWithin(ReplicationConstants.QUORUM_CONTACT_TIMEOUT_MS);
  }

  /**
   * Counted in beats, not read from a clock: a process that stood still, or whose clock was
   * stepped, is not cut off.
   */
  private boolean majorityHeardWithin(long millis) {
    long beatsMost = millis / ReplicationConstants.HEARTBEAT_INTERVAL_MS;
    List<String> heard =
        progress.values().stream()
            .filter(each -> each.silentBeats < beatsMost || each.replica.id().equals(nodeId))
            .map(each -> each.replica.id())
            .toList();
    return sets.quorum(heard);
  }

  public void whenLost(Runnable whenLost) {
    this.whenLost = whenLost;
  }

  /**
   * Goes on under newer sets: newcomers get the log from its start, those that left are no longer
   * counted.
   */
  public void changeSets(ReplicaConfiguration newer) {
    if (newer.number() <= sets.number() || state == LeadershipState.LOST) {
      return;
    }
    sets = newer;
    Map<String, FollowerProgress> before = new LinkedHashMap<>(progress);
    progress.clear();
    for (NodeAddress replica : newer.all()) {
      FollowerProgress known = before.get(replica.id());
      progress.put(replica.id(), known != null ? known : new FollowerProgress(replica));
    }
    if (state == LeadershipState.CLAIMING) {
      claimRound.cancel();
      trialRound();
    } else {
      advance();
      planFlush();
    }
  }

  /**
   * Asks first whether a majority would promise: a claimant that has none, or that comes while the
   * owner lives, raises no epoch and disturbs nobody.
   */
  private void trialRound() {
    claimRound(true);
  }

  private void claimRound(boolean onlyTrial) {
    if (state != LeadershipState.CLAIMING) {
      return;
    }
    if (surroundings.now() >= claimExpiresAt || sets.isEmpty()) {
      finishClaim(new ElectionOutcome(ElectionResult.NO_MAJORITY, "", ""));
      return;
    }
    claimRounds++;
    promises.clear();
    cancelTransfer();
    trial = onlyTrial;
    epoch = new Epoch(seenCounter + 1, nodeId);
    seenCounter = epoch.counter();
    for (FollowerProgress each : progress.values()) {
      sender.send(
          each.replica.address(),
          each.replica.id(),
          new VoteRequest(
              key,
              epoch,
              sets.number(),
              handedOver,
              ReplicationConstants.MAX_VOTE_TAIL_BYTES,
              trial));
    }
    claimRound =
        surroundings.after(ReplicationConstants.ELECTION_ROUND_TIMEOUT_MS, this::trialRound);
  }

  void promised(VoteResponse message, String fromId) {
    seenCounter = Math.max(seenCounter, message.promised().counter());
    if (state != LeadershipState.CLAIMING
        || !message.asked().equals(epoch)
        || !progress.containsKey(fromId)
        || message.verdict() == WOULD_PROMISE && !trial) {
      return;
    }
    promises.put(fromId, message);
    if (transfer != null) {
      return;
    }
    if (sets.quorum(inFavour(true))) {
      claimRound.cancel();
      claimTrace.mark(trial ? "trial" : "promise");
      if (trial) {
        claimRound(false);
      } else {
        readBestLog();
      }
      return;
    }
    Set<String> stillPossible = new HashSet<>(progress.keySet());
    stillPossible.removeAll(inFavour(false));
    if (!sets.quorum(stillPossible)) {
      var busy = promises.values().stream().filter(each -> each.verdict() == BUSY).findFirst();
      if (busy.isPresent()) {
        finishClaim(
            new ElectionOutcome(
                ElectionResult.BUSY, busy.get().owner(), busy.get().ownerAddress()));
      } else {
        claimRound.cancel();
        claimRound =
            surroundings.after(
                1 + surroundings.random().nextLong(ReplicationConstants.MAX_ELECTION_BACKOFF_MS),
                this::trialRound);
      }
    }
  }

  /** Replicas that answered this round, for the claim or against it. */
  private Set<String> inFavour(boolean wanted) {
    Set<String> ids = new HashSet<>();
    promises.forEach(
        (id, promise) -> {
          boolean favours = promise.verdict() == OK || promise.verdict() == WOULD_PROMISE;
          if (favours == wanted) {
            ids.add(id);
          }
        });
    return ids;
  }

  private void readBestLog() {
    VoteResponse best = null;
    for (VoteResponse each : promises.values()) {
      if (each.verdict() == OK && (best == null || newer(each.entries(), best.entries()))) {
        best = each;
      }
    }
    if (best.wholeLog()) {
      takeOver(best.entries());
      return;
    }
    transfer =
        new LogTransfer(
            surroundings,
            sender,
            key,
            epoch,
            withTheLogOf(best),
            best.logStart(),
            best.entries(),
            log -> {
              claimExpiresAt = surroundings.now() + ReplicationConstants.ELECTION_TIMEOUT_MS;
              transfer = null;
              takeOver(log);
            },
            () -> finishClaim(new ElectionOutcome(ElectionResult.NO_MAJORITY, "", "")));
  }

  /** Those of the promising replicas whose log ends with the same entry. */
  private List<NodeAddress> withTheLogOf(VoteResponse best) {
    return progress.values().stream()
        .map(each -> each.replica)
        .filter(
            replica -> {
              VoteResponse promise = promises.get(replica.id());
              return promise != null
                  && promise.verdict() == OK
                  && !newer(best.entries(), promise.entries());
            })
        .toList();
  }

  void logPart(LogFetchResponse part) {
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

  private void takeOver(List<LogEntry> log) {
    entries.addAll(log);
    takeoverSequence = lastSequence() + 1;
    entries.add(new LogEntry(takeoverSequence, epoch, false, new byte[0]));
    for (FollowerProgress each : progress.values()) {
      VoteResponse promise = promises.get(each.replica.id());
      boolean known = promise != null && promise.verdict() == OK;
      each.next =
          known ? Math.min(lastOf(promise.entries()), takeoverSequence - 1) + 1 : takeoverSequence;
    }
    state = LeadershipState.SETTLING;
    waitingForCommit.add(
        new PendingCommit(
            takeoverSequence,
            claimExpiresAt,
            fault -> {
              if (fault == null) {
                state = LeadershipState.OWNED;
                finishClaim(new ElectionOutcome(ElectionResult.OWNED, nodeId, ""));
              } else {
                stop();
                finishClaim(new ElectionOutcome(ElectionResult.NO_MAJORITY, "", ""));
              }
            }));
    broadcast();
    beat = surroundings.after(ReplicationConstants.HEARTBEAT_INTERVAL_MS, this::beat);
  }

  /**
   * Whose log is to be believed: the one whose last entry has the higher epoch, then the higher
   * sequence.
   */
  static boolean newer(List<LogEntry> one, List<LogEntry> other) {
    if (one.isEmpty() || other.isEmpty()) {
      return !one.isEmpty();
    }
    LogEntry lastOne = one.get(one.size() - 1);
    LogEntry lastOther = other.get(other.size() - 1);
    int byEpoch = lastOne.epoch().compareTo(lastOther.epoch());
    return byEpoch != 0 ? byEpoch > 0 : lastOne.sequence() > lastOther.sequence();
  }

  private static long lastOf(List<LogEntry> entries) {
    return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).sequence();
  }

  private void finishClaim(ElectionOutcome outcome) {
    claimTrace.mark("settle");
    surroundings.log(
        PART,
        "Claim ended: key="
            + key
            + " outcome="
            + outcome.claim()
            + " rounds="
            + claimRounds
            + claimTrace
            + ".");
    if (outcome.claim() != ElectionResult.OWNED) {
      stop();
    }
    Consumer<ElectionOutcome> listener = whenClaimed;
    whenClaimed = ignored -> {};
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
   * @param whenCommitted applies the event: runs once a majority has synced the entry, after those
   *     of all earlier entries; without a time limit, but never after the leadership was lost
   * @param then answers the caller: gets null right after that, or a fault when the wait was too
   *     long or the leadership was lost. {@link ApiError.OutcomeUnknown} does not mean that the
   *     entry is not committed later
   * @return the entry's sequence, or 0 if this node does not lead
   */
  public long append(boolean whole, byte[] event, Runnable whenCommitted, Consumer<ApiError> then) {
    if (state != LeadershipState.OWNED) {
      then.accept(new ApiError.NotLeader(key));
      return 0;
    }
    long sequence = lastSequence() + 1;
    entries.add(new LogEntry(sequence, epoch, whole, event));
    waitingToApply.add(new PendingApply(sequence, whenCommitted));
    long expiresAt =
        surroundings.now() + ReplicationConstants.COMMIT_TIMEOUT_MS + toAllReplicasMs(event.length);
    waitingForCommit.add(new PendingCommit(sequence, expiresAt, then));
    planFlush();
    return sequence;
  }

  /**
   * Runs the callback with null once all that was appended before is committed and a majority has
   * confirmed, after this call, that our epoch still stands.
   */
  public void confirm(Consumer<ApiError> then) {
    confirm(true, then);
  }

  /**
   * The same, but no sooner than the next beat asks the replicas anyway: costs no message of its
   * own.
   */
  public void confirmAtBeat(Consumer<ApiError> then) {
    confirm(false, then);
  }

  private void confirm(boolean atOnce, Consumer<ApiError> then) {
    if (state != LeadershipState.OWNED) {
      then.accept(new ApiError.NotLeader(key));
      return;
    }
    if (lastSequence() > committed) {
      waitingForCommit.add(
          new PendingCommit(
              lastSequence(),
              surroundings.now() + ReplicationConstants.COMMIT_TIMEOUT_MS,
              fault -> {
                if (fault == null) {
                  confirm(atOnce, then);
                } else {
                  then.accept(fault);
                }
              }));
      return;
    }
    waitingForRound.add(
        new PendingCommit(
            round + 1, surroundings.now() + ReplicationConstants.COMMIT_TIMEOUT_MS, then));
    if (atOnce) {
      planFlush();
    }
  }

  private void planFlush() {
    if (!flushPlanned) {
      flushPlanned = true;
      surroundings.after(
          0,
          () -> {
            flushPlanned = false;
            broadcast();
          });
    }
  }

  private void broadcast() {
    if (state != LeadershipState.OWNED && state != LeadershipState.SETTLING) {
      return;
    }
    round++;
    progress.values().forEach(this::sendTo);
  }

  private void sendTo(FollowerProgress each) {
    long first = entries.get(0).sequence();
    long from = each.next < first || each.next == 1 ? first : each.next;
    List<LogEntry> lacking =
        from > lastSequence()
            ? List.of()
            : List.copyOf(entries.subList((int) (from - first), entries.size()));
    long previous = from == first ? 0 : from - 1;
    Epoch previousEpoch =
        from == first ? Epoch.NONE : entries.get((int) (from - 1 - first)).epoch();
    each.next = lastSequence() + 1;
    each.toldCommitted = committed;
    each.beatsSince = 0;
    long bytes = lacking.stream().mapToLong(entry -> entry.event().length).sum();
    if (bytes >= ReplicationConstants.LARGE_APPEND_BYTES) {
      long until =
          surroundings.now() + ReplicationConstants.LARGE_APPEND_MIN_MS + toAllReplicasMs(bytes);
      each.inFlight.add(from, lastSequence(), until);
    }
    sender.send(
        each.replica.address(),
        each.replica.id(),
        new AppendRequest(
            key,
            epoch,
            sets.number(),
            round,
            previous,
            previousEpoch,
            committed,
            hearsMajority(),
            lacking));
  }

  public void appended(AppendResponse message, String fromId) {
    FollowerProgress from = progress.get(fromId);
    if (from == null || state != LeadershipState.OWNED && state != LeadershipState.SETTLING) {
      return;
    }
    if (message.verdict() == REFUSED && epoch.below(message.promised())) {
      lose();
      return;
    }
    if (!message.epoch().equals(epoch) || message.verdict() == OLD_SET) {
      return;
    }
    from.heardSinceBeat = true;
    from.silentBeats = 0;
    from.heardRound = Math.max(from.heardRound, message.round());
    if (message.verdict() == OK) {
      from.matched = Math.max(from.matched, message.matched());
      from.next = Math.max(from.next, from.matched + 1);
      from.inFlight.arrived(from.matched);
    } else if (!onItsWay(from, message.matched() + 1)) {
      from.next = Math.max(1, Math.min(message.matched() + 1, lastSequence()));
      sendTo(from);
    }
    advance();
  }

  private boolean onItsWay(FollowerProgress each, long sequence) {
    return each.inFlight.holds(sequence, surroundings.now());
  }

  /** How long it takes at the most, on a slow link that they share, to send so much to each. */
  private long toAllReplicasMs(long bytes) {
    return bytes * progress.size() / ReplicationConstants.SLOW_LINK_BYTES_PER_MS;
  }

  private void advance() {
    long majorityMatched = sets.reached(id -> progress.get(id).matched);
    if (majorityMatched >= takeoverSequence && majorityMatched > committed) {
      committed = majorityMatched;
      LogReplicas.trim(entries, committed);
      planFlush();
    }
    answerCommitted();
    if (state == LeadershipState.LOST) {
      return;
    }
    long majorityRound = sets.reached(id -> progress.get(id).heardRound);
    while (!waitingForRound.isEmpty() && waitingForRound.peek().mark() <= majorityRound) {
      waitingForRound.poll().then().accept(null);
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
      if (!waitingToApply.isEmpty()
          && waitingToApply.peek().sequence() <= committed
          && (waitingForCommit.isEmpty()
              || waitingToApply.peek().sequence() <= waitingForCommit.peek().mark())) {
        waitingToApply.poll().whenCommitted().run();
      } else if (!waitingForCommit.isEmpty() && waitingForCommit.peek().mark() <= committed) {
        waitingForCommit.poll().then().accept(null);
      } else {
        return;
      }
    }
  }

  private void beat() {
    if (state != LeadershipState.OWNED && state != LeadershipState.SETTLING) {
      return;
    }
    expire(waitingForCommit, new ApiError.OutcomeUnknown(key));
    expire(waitingForRound, new ApiError.NoQuorum(key));
    if (state != LeadershipState.OWNED && state != LeadershipState.SETTLING) {
      return;
    }
    for (FollowerProgress each : progress.values()) {
      if (!each.heardSinceBeat && !onItsWay(each, each.matched + 1)) {
        each.next = each.matched + 1;
      }
      each.heardSinceBeat = false;
      each.silentBeats++;
    }
    if (state == LeadershipState.OWNED
        && !majorityHeardWithin(ReplicationConstants.LEADER_STEP_DOWN_MS)) {
      surroundings.log(PART, "Steps down, no majority heard: " + key + ".");
      lose();
      return;
    }
    if (!quietWhenIdle || state == LeadershipState.SETTLING || !waitingForRound.isEmpty()) {
      broadcast();
    } else {
      beatWhereNeeded();
    }
    beat = surroundings.after(ReplicationConstants.HEARTBEAT_INTERVAL_MS, this::beat);
  }

  private void beatWhereNeeded() {
    round++;
    for (FollowerProgress each : progress.values()) {
      boolean lacksNothing =
          each.matched == lastSequence()
              && each.toldCommitted == committed
              && committed == lastSequence();
      if (!lacksNothing || ++each.beatsSince >= ReplicationConstants.IDLE_HEARTBEAT_ONE_IN) {
        sendTo(each);
      }
    }
  }

  private void expire(ArrayDeque<PendingCommit> waiting, ApiError fault) {
    while (!waiting.isEmpty() && waiting.peek().expiresAt() <= surroundings.now()) {
      waiting.poll().then().accept(fault);
    }
  }

  private void lose() {
    stop();
    whenLost.run();
  }

  /** Gives the key up without a word: whoever claims it next reads the log from the replicas. */
  public void stop() {
    if (state == LeadershipState.LOST) {
      return;
    }
    state = LeadershipState.LOST;
    beat.cancel();
    claimRound.cancel();
    cancelTransfer();
    List<PendingCommit> unanswered = new ArrayList<>(waitingForCommit);
    List<PendingCommit> unconfirmed = new ArrayList<>(waitingForRound);
    waitingToApply.clear();
    waitingForCommit.clear();
    waitingForRound.clear();
    unanswered.forEach(each -> each.then().accept(new ApiError.OutcomeUnknown(key)));
    unconfirmed.forEach(each -> each.then().accept(new ApiError.NotLeader(key)));
  }
}
