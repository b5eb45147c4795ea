package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A leader of one key with three replicas that answer when the test lets them. */
final class ReplicatedLogLeaderTest {
  private static final String KEY = "batch/one";

  private final FakeEnvironment environment = new FakeEnvironment(1_000) {};
  private final List<AppendRequest> unanswered = new ArrayList<>();
  private final List<String> applied = new ArrayList<>();
  private final List<ApiError> answers = new ArrayList<>();
  private final List<VoteRequest> voteRequests = new ArrayList<>();
  private Verdict voteVerdict = Verdict.OK;
  private ReplicatedLogLeader leader;
  private ElectionResult electionResult;
  private int timesLost;

  @BeforeEach
  void lead() {
    List<NodeAddress> replicas =
        Stream.of("a", "b", "c").map(id -> new NodeAddress(id, "address-" + id)).toList();
    leader = startElection(replicas);
    leader.onLeadershipLost(() -> timesLost++);
    environment.run(1);
    answerAppends();
    environment.run(1);
    assertThat(electionResult).isEqualTo(ElectionResult.ELECTED);
    unanswered.clear();
  }

  private ReplicatedLogLeader startElection(List<NodeAddress> replicas) {
    return new ReplicatedLogLeader(
        environment,
        "leader",
        (address, id, message) -> environment.schedule(0, () -> delivered(id, message)),
        KEY,
        new ReplicaConfiguration(1, replicas, List.of()),
        false,
        false,
        EventRetention.KEEP_ALL,
        outcome -> electionResult = outcome.result());
  }

  private void delivered(String replica, Message message) {
    if (message instanceof VoteRequest vote) {
      voteRequests.add(vote);
      Verdict verdict =
          vote.preVote() && voteVerdict == Verdict.OK ? Verdict.WOULD_GRANT : voteVerdict;
      leader.handleVoteResponse(
          new VoteResponse(KEY, vote.epoch(), verdict, Epoch.NONE, "", "", 0, 0, List.of()),
          replica);
    } else if (message instanceof AppendRequest append) {
      unanswered.add(append);
    }
  }

  /** A majority says that it has synced all that it was sent. */
  private void answerAppends() {
    for (AppendRequest append : List.copyOf(unanswered)) {
      long matched = append.previousSequence() + append.entries().size();
      for (String replica : List.of("a", "b")) {
        leader.handleAppendResponse(
            new AppendResponse(
                KEY, append.epoch(), append.round(), Verdict.OK, append.epoch(), matched),
            replica);
      }
    }
    unanswered.clear();
  }

  private void append(String event) {
    leader.append(false, event.getBytes(UTF_8), sequence -> applied.add(event), answers::add);
  }

  /** The production failure: a commit later than the caller's time limit was never applied. */
  @Test
  void appliesAnEntryThatIsCommittedAfterItsCallerWasAnswered() {
    append("early");
    environment.run(
        ReplicationConstants.COMMIT_TIMEOUT_MS + ReplicationConstants.HEARTBEAT_INTERVAL_MS + 1);
    assertThat(answers).containsExactly(new ApiError.OutcomeUnknown(KEY));
    assertThat(applied).isEmpty();

    append("late");
    environment.run(1);
    answerAppends();

    assertThat(applied).containsExactly("early", "late").inOrder();
    assertThat(answers).containsExactly(new ApiError.OutcomeUnknown(KEY), null).inOrder();
  }

  @Test
  void confirmsAReadOnlyOnceAllBeforeItIsApplied() {
    append("written");
    List<List<String>> seen = new ArrayList<>();
    leader.confirmLeadership(error -> seen.add(List.copyOf(applied)));
    for (int round = 0; round < 3; round++) {
      environment.run(1);
      answerAppends();
    }
    assertThat(seen).containsExactly(List.of("written"));
  }

  @Test
  void appliesNothingOnceTheLeadershipIsLost() {
    append("unacknowledged");
    environment.run(1);
    leader.resign();
    answerAppends();
    assertThat(applied).isEmpty();
    assertThat(answers).containsExactly(new ApiError.OutcomeUnknown(KEY));
  }

  /** One replica's answer to the newest append. */
  private void answerHeartbeatOf(String replica) {
    AppendRequest newest = unanswered.get(unanswered.size() - 1);
    leader.handleAppendResponse(
        new AppendResponse(
            KEY, newest.epoch(), newest.round(), Verdict.OK, newest.epoch(), leader.lastSequence()),
        replica);
  }

  private boolean reportsQuorumContact() {
    return unanswered.get(unanswered.size() - 1).inContactWithQuorum();
  }

  @Test
  void reportsThatItHasNoQuorumContactAndThenStepsDown() {
    append("pending");
    environment.run(
        ReplicationConstants.QUORUM_CONTACT_TIMEOUT_MS
            - ReplicationConstants.HEARTBEAT_INTERVAL_MS);
    assertThat(reportsQuorumContact()).isTrue();
    environment.run(2 * ReplicationConstants.HEARTBEAT_INTERVAL_MS);
    assertThat(reportsQuorumContact()).isFalse();
    assertThat(leader.isLeading()).isTrue();

    environment.run(ReplicationConstants.LEADER_STEP_DOWN_MS);
    assertThat(leader.state()).isEqualTo(ReplicatedLogLeader.LeadershipState.LOST);
    assertThat(timesLost).isEqualTo(1);
    assertThat(answers).containsExactly(new ApiError.OutcomeUnknown(KEY));
    List<ApiError> later = new ArrayList<>();
    leader.confirmLeadership(later::add);
    assertThat(later).containsExactly(new ApiError.NotLeader(KEY));
  }

  @Test
  void oneReplicaOfThreeIsNoQuorum() {
    for (long ms = 0;
        ms <= ReplicationConstants.LEADER_STEP_DOWN_MS;
        ms += ReplicationConstants.HEARTBEAT_INTERVAL_MS) {
      environment.run(ReplicationConstants.HEARTBEAT_INTERVAL_MS);
      if (leader.isLeading()) {
        answerHeartbeatOf("a");
      }
    }
    assertThat(timesLost).isEqualTo(1);
  }

  @Test
  void answersOfAQuorumKeepItLeading() {
    for (long ms = 0;
        ms <= 2 * ReplicationConstants.LEADER_STEP_DOWN_MS;
        ms += ReplicationConstants.HEARTBEAT_INTERVAL_MS) {
      environment.run(ReplicationConstants.HEARTBEAT_INTERVAL_MS);
      answerHeartbeatOf("a");
      answerHeartbeatOf("c");
      assertThat(leader.isInContactWithQuorum()).isTrue();
    }
    assertThat(timesLost).isEqualTo(0);
  }

  @Test
  void otherContactOfReplicasCountsToo() {
    for (long ms = 0;
        ms <= 2 * ReplicationConstants.LEADER_STEP_DOWN_MS;
        ms += ReplicationConstants.HEARTBEAT_INTERVAL_MS) {
      environment.run(ReplicationConstants.HEARTBEAT_INTERVAL_MS);
      leader.recordContact("b");
      leader.recordContact("c");
    }
    assertThat(leader.isInContactWithQuorum()).isTrue();
    assertThat(timesLost).isEqualTo(0);
  }

  @Test
  void aProcessThatStoodStillStaysInContact() {
    environment.freeze(20_000);
    environment.run(1);
    assertThat(leader.isInContactWithQuorum()).isTrue();
    assertThat(timesLost).isEqualTo(0);
  }

  @Test
  void sendsPreVotesBeforeItRaisesTheEpoch() {
    assertThat(voteRequests.subList(0, 3).stream().allMatch(VoteRequest::preVote)).isTrue();
    VoteRequest first =
        voteRequests.stream().filter(each -> !each.preVote()).findFirst().orElseThrow();
    assertThat(voteRequests.get(0).epoch().isBelow(first.epoch())).isTrue();
  }

  @Test
  void raisesNoEpochWhileReplicasProtectALiveLeader() {
    voteRequests.clear();
    voteVerdict = Verdict.LEADER_ALIVE;
    leader =
        startElection(
            List.of(
                new NodeAddress("a", "x"), new NodeAddress("b", "y"), new NodeAddress("c", "z")));
    environment.run(ReplicationConstants.ELECTION_TIMEOUT_MS);
    assertThat(electionResult).isEqualTo(ElectionResult.LEADER_ALIVE);
    assertThat(voteRequests.stream().allMatch(VoteRequest::preVote)).isTrue();
  }

  /** A response to an earlier pre-vote of the same epoch is no vote. */
  @Test
  void countsNoPreVoteResponseAsAVote() {
    voteVerdict = Verdict.STALE_EPOCH;
    leader =
        startElection(
            List.of(
                new NodeAddress("a", "x"), new NodeAddress("b", "y"), new NodeAddress("c", "z")));
    Epoch preVoteEpoch = leader.epoch();
    for (String replica : List.of("a", "b")) {
      leader.handleVoteResponse(
          new VoteResponse(
              KEY, preVoteEpoch, Verdict.WOULD_GRANT, Epoch.NONE, "", "", 0, 0, List.of()),
          replica);
    }
    assertThat(preVoteEpoch.isBelow(leader.epoch())).isTrue();
    for (String replica : List.of("a", "b")) {
      leader.handleVoteResponse(
          new VoteResponse(
              KEY, leader.epoch(), Verdict.WOULD_GRANT, Epoch.NONE, "", "", 0, 0, List.of()),
          replica);
    }
    assertThat(leader.state()).isEqualTo(ReplicatedLogLeader.LeadershipState.ELECTING);
  }
}
