package applespindle.corelogic.replication;

import static applespindle.corelogic.protocol.Message.Verdict.LEADER_ALIVE;
import static applespindle.corelogic.protocol.Message.Verdict.OK;
import static applespindle.corelogic.protocol.Message.Verdict.WOULD_GRANT;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.StageTimer;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntries;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.protocol.MessageSender;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One candidacy of this node for the leadership of a key: pre-vote and vote rounds, and the
 * adoption of the most recent log of the voters.
 *
 * <p>Transitions: {@code PRE_VOTE -> VOTE} once a quorum would vote for this node; {@code VOTE ->
 * WON} once a quorum has voted, by way of {@code FETCHING_LOG} if the log is too long for the vote
 * responses. A round that can't reach a quorum, or isn't answered in time, is followed by a new
 * pre-vote round under a higher epoch. The election is {@code ENDED} when its time is over, a live
 * leader is found, the log can't be fetched, or it is cancelled.
 *
 * <p>Invariants: each round has an epoch of its own, higher than every epoch seen so far; a
 * pre-vote response never counts as a vote; exactly one of the two listeners runs, once, unless the
 * election is cancelled.
 */
final class Election {
  private enum State {
    PRE_VOTE,
    VOTE,
    FETCHING_LOG,
    WON,
    ENDED
  }

  private static final String LOG_PART = "owned-key";

  private final Environment environment;
  private final String nodeId;
  private final MessageSender sender;
  private final String key;
  private final boolean leadershipTransferred;
  private final Consumer<ElectionVictory> victoryListener;
  private final Consumer<ElectionOutcome> failureListener;
  private final EventRetention retention;
  private final StageTimer stageTimer;

  private ReplicaConfiguration configuration;

  /** Every replica of the configuration, once. */
  private List<NodeAddress> replicas;

  private State state = State.PRE_VOTE;
  private Epoch epoch = Epoch.NONE;

  /** The highest epoch counter used or seen in a response. Never falls. */
  private long highestSeenCounter;

  /** The responses of this round, by replica id. */
  private final Map<String, VoteResponse> responses = new LinkedHashMap<>();

  private long expiresAtMs;
  private int rounds;

  /** The next pre-vote round, if this one doesn't succeed. */
  private ScheduledTask nextRound = () -> {};

  /** Present in the state FETCHING_LOG only; else null. */
  private LogTransfer transfer;

  /**
   * @param leadershipTransferred whether the former leader has transferred the key, so that
   *     replicas vote even if they were in contact with it recently
   * @param victoryListener runs once a quorum has voted and the log is complete
   * @param failureListener runs once the election has failed
   */
  Election(
      Environment environment,
      String nodeId,
      MessageSender sender,
      String key,
      ReplicaConfiguration configuration,
      boolean leadershipTransferred,
      EventRetention retention,
      Consumer<ElectionVictory> victoryListener,
      Consumer<ElectionOutcome> failureListener) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.sender = sender;
    this.key = key;
    this.configuration = configuration;
    this.replicas = List.copyOf(configuration.allReplicas());
    this.leadershipTransferred = leadershipTransferred;
    this.retention = retention;
    this.victoryListener = victoryListener;
    this.failureListener = failureListener;
    this.stageTimer = new StageTimer(environment);
    this.expiresAtMs = environment.nowMs() + ReplicationConstants.ELECTION_TIMEOUT_MS;
  }

  /** Begins the first round. A listener may run before this returns. */
  void start() {
    startPreVoteRound();
  }

  /** The epoch of the present round, or of the victory. */
  Epoch epoch() {
    return epoch;
  }

  /** Starts again with the replicas of a newer configuration, at the addresses given. */
  void reconfigure(ReplicaConfiguration newer, List<NodeAddress> replicasOfNewer) {
    configuration = newer;
    replicas = List.copyOf(replicasOfNewer);
    nextRound.cancel();
    startPreVoteRound();
  }

  /** Ends the election; no listener runs any more. */
  void cancel() {
    state = State.ENDED;
    nextRound.cancel();
    cancelTransfer();
  }

  /** Writes the outcome, the rounds and the time of each stage to the log of events. */
  void logOutcome(ElectionResult result) {
    stageTimer.mark("establish");
    environment.log(
        LOG_PART,
        "Election ended: key="
            + key
            + " outcome="
            + result
            + " rounds="
            + rounds
            + stageTimer
            + ".");
  }

  private boolean isOver() {
    return state == State.WON || state == State.ENDED;
  }

  /**
   * Starts a pre-vote round, which asks whether a quorum would vote for this node. A candidate that
   * reaches no quorum, or that meets a live leader, thus raises no replica's epoch.
   */
  private void startPreVoteRound() {
    startRound(State.PRE_VOTE);
  }

  private void startRound(State kind) {
    if (isOver()) {
      return;
    }
    if (environment.nowMs() >= expiresAtMs || configuration.isEmpty()) {
      fail();
      return;
    }
    rounds++;
    responses.clear();
    cancelTransfer();
    state = kind;
    epoch = new Epoch(highestSeenCounter + 1, nodeId);
    highestSeenCounter = epoch.counter();
    for (NodeAddress replica : replicas) {
      sender.send(replica.address(), replica.id(), voteRequest(kind == State.PRE_VOTE));
    }
    nextRound =
        environment.schedule(
            ReplicationConstants.ELECTION_ROUND_TIMEOUT_MS, this::startPreVoteRound);
  }

  private VoteRequest voteRequest(boolean preVote) {
    return new VoteRequest(
        key,
        epoch,
        configuration.version(),
        leadershipTransferred,
        ReplicationConstants.MAX_VOTE_TAIL_BYTES,
        preVote);
  }

  /** Takes a replica's response to a pre-vote or vote request; one of another round is ignored. */
  void handleVoteResponse(VoteResponse message, String fromId) {
    highestSeenCounter = Math.max(highestSeenCounter, message.promisedEpoch().counter());
    if (isOver()
        || !message.requestedEpoch().equals(epoch)
        || !replicaIds().contains(fromId)
        || message.verdict() == WOULD_GRANT && state != State.PRE_VOTE) {
      return;
    }
    message.entries().forEach(retention::received);
    responses.put(fromId, message);
    if (state == State.FETCHING_LOG) {
      return;
    }
    if (configuration.isQuorum(respondents(true))) {
      endWonRound();
    } else if (!isQuorumPossible()) {
      endLostRound();
    }
  }

  private void endWonRound() {
    nextRound.cancel();
    if (state == State.PRE_VOTE) {
      stageTimer.mark("preVote");
      startRound(State.VOTE);
    } else {
      stageTimer.mark("vote");
      adoptMostRecentLog();
    }
  }

  /** Whether the replicas that haven't refused are a quorum. */
  private boolean isQuorumPossible() {
    Set<String> notRefused = replicaIds();
    notRefused.removeAll(respondents(false));
    return configuration.isQuorum(notRefused);
  }

  /** Fails if a live leader was found; else tries again after a random delay. */
  private void endLostRound() {
    Optional<VoteResponse> leaderAlive =
        responses.values().stream().filter(each -> each.verdict() == LEADER_ALIVE).findFirst();
    if (leaderAlive.isPresent()) {
      fail(
          new ElectionOutcome(
              ElectionResult.LEADER_ALIVE,
              leaderAlive.get().leaderId(),
              leaderAlive.get().leaderAddress()));
      return;
    }
    nextRound.cancel();
    nextRound =
        environment.schedule(
            1 + environment.random().nextLong(ReplicationConstants.MAX_ELECTION_BACKOFF_MS),
            this::startPreVoteRound);
  }

  private Set<String> replicaIds() {
    Set<String> ids = new HashSet<>();
    replicas.forEach(replica -> ids.add(replica.id()));
    return ids;
  }

  /** The replicas that answered in this round, either in favour of this node or against it. */
  private Set<String> respondents(boolean inFavour) {
    Set<String> ids = new HashSet<>();
    responses.forEach(
        (id, response) -> {
          boolean favours = response.verdict() == OK || response.verdict() == WOULD_GRANT;
          if (favours == inFavour) {
            ids.add(id);
          }
        });
    return ids;
  }

  private void adoptMostRecentLog() {
    VoteResponse mostRecent = mostRecentLog(responses.values());
    if (mostRecent.isCompleteLog()) {
      win(mostRecent.entries());
      return;
    }
    state = State.FETCHING_LOG;
    transfer =
        new LogTransfer(
            environment,
            sender,
            key,
            epoch,
            replicasWithLogOf(mostRecent),
            mostRecent.logStartSequence(),
            mostRecent.entries(),
            retention,
            log -> {
              expiresAtMs = environment.nowMs() + ReplicationConstants.ELECTION_TIMEOUT_MS;
              transfer = null;
              win(log);
            },
            this::fail);
  }

  /** The vote with the most recent log. A quorum has voted, so there is one. */
  private static VoteResponse mostRecentLog(Collection<VoteResponse> votes) {
    VoteResponse mostRecent = null;
    for (VoteResponse each : votes) {
      if (each.verdict() == OK
          && (mostRecent == null
              || LogEntries.isMoreUpToDate(each.entries(), mostRecent.entries()))) {
        mostRecent = each;
      }
    }
    return mostRecent;
  }

  /** The voters whose log ends with the same entry. */
  private List<NodeAddress> replicasWithLogOf(VoteResponse mostRecent) {
    return replicas.stream()
        .filter(
            replica -> {
              VoteResponse vote = responses.get(replica.id());
              return vote != null
                  && vote.verdict() == OK
                  && !LogEntries.isMoreUpToDate(mostRecent.entries(), vote.entries());
            })
        .toList();
  }

  /** Takes a part of the log that is being fetched; one of another epoch is ignored. */
  void handleLogFetchResponse(LogFetchResponse message) {
    if (transfer != null && message.epoch().equals(epoch)) {
      transfer.handleResponse(message);
    }
  }

  private void cancelTransfer() {
    if (transfer != null) {
      transfer.cancel();
      transfer = null;
    }
  }

  private void win(List<LogEntry> log) {
    state = State.WON;
    Map<String, Long> lastSequenceByVoter = new HashMap<>();
    responses.forEach(
        (id, response) -> {
          if (response.verdict() == OK) {
            lastSequenceByVoter.put(id, LogEntries.lastSequence(response.entries()));
          }
        });
    responses.clear();
    victoryListener.accept(new ElectionVictory(epoch, log, lastSequenceByVoter, expiresAtMs));
  }

  private void fail() {
    fail(new ElectionOutcome(ElectionResult.NO_QUORUM, "", ""));
  }

  private void fail(ElectionOutcome outcome) {
    failureListener.accept(outcome);
  }
}
