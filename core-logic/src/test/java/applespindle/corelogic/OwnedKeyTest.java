package applespindle.corelogic;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.Message.KeyAppend;
import applespindle.corelogic.Message.KeyAppended;
import applespindle.corelogic.Message.KeyPromise;
import applespindle.corelogic.Message.KeyPromised;
import applespindle.corelogic.Message.Verdict;
import applespindle.corelogic.OwnedKey.Claim;
import applespindle.corelogic.OwnedKey.Replica;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The leader's side of one key before three replicas that answer when the test lets them. */
final class OwnedKeyTest {
  private static final String KEY = "batch/one";

  private final PlayedWorld world = new PlayedWorld(1_000) {};
  private final List<KeyAppend> unanswered = new ArrayList<>();
  private final List<String> applied = new ArrayList<>();
  private final List<Fault> answers = new ArrayList<>();
  private final List<KeyPromise> asked = new ArrayList<>();
  private Verdict promiseVerdict = Verdict.OK;
  private OwnedKey leader;
  private Claim claim;
  private int timesLost;

  @BeforeEach
  void lead() {
    List<Replica> replicas =
        Stream.of("a", "b", "c").map(id -> new Replica(id, "address-" + id)).toList();
    leader = claimFor(replicas);
    leader.whenLost(() -> timesLost++);
    world.run(1);
    answerAppends();
    world.run(1);
    assertThat(claim).isEqualTo(Claim.OWNED);
    unanswered.clear();
  }

  private OwnedKey claimFor(List<Replica> replicas) {
    return new OwnedKey(
        world,
        "leader",
        (address, id, message) -> world.after(0, () -> delivered(id, message)),
        KEY,
        new ReplicaSets(1, replicas, List.of()),
        false,
        false,
        outcome -> claim = outcome.claim());
  }

  private void delivered(String replica, Message message) {
    if (message instanceof KeyPromise promise) {
      asked.add(promise);
      Verdict verdict =
          promise.trial() && promiseVerdict == Verdict.OK ? Verdict.WOULD_PROMISE : promiseVerdict;
      leader.promised(
          new KeyPromised(KEY, promise.epoch(), verdict, Epoch.NONE, "", "", 0, 0, List.of()),
          replica);
    } else if (message instanceof KeyAppend append) {
      unanswered.add(append);
    }
  }

  /** A majority says that it has synced all that it was sent. */
  private void answerAppends() {
    for (KeyAppend append : List.copyOf(unanswered)) {
      long matched = append.previousSequence() + append.entries().size();
      for (String replica : List.of("a", "b")) {
        leader.appended(
            new KeyAppended(
                KEY, append.epoch(), append.round(), Verdict.OK, append.epoch(), matched),
            replica);
      }
    }
    unanswered.clear();
  }

  private void append(String event) {
    leader.append(false, event.getBytes(UTF_8), () -> applied.add(event), answers::add);
  }

  /** The production failure: a commit later than the caller's time limit was never applied. */
  @Test
  void appliesAnEntryThatIsCommittedAfterItsCallerWasAnswered() {
    append("early");
    world.run(Constants.COMMAND_EXPIRY_MS + Constants.OWNER_BEAT_MS + 1);
    assertThat(answers).containsExactly(new Fault.OutcomeUnknown(KEY));
    assertThat(applied).isEmpty();

    append("late");
    world.run(1);
    answerAppends();

    assertThat(applied).containsExactly("early", "late").inOrder();
    assertThat(answers).containsExactly(new Fault.OutcomeUnknown(KEY), null).inOrder();
  }

  @Test
  void confirmsAReadOnlyOnceAllBeforeItIsApplied() {
    append("written");
    List<List<String>> seen = new ArrayList<>();
    leader.confirm(fault -> seen.add(List.copyOf(applied)));
    for (int round = 0; round < 3; round++) {
      world.run(1);
      answerAppends();
    }
    assertThat(seen).containsExactly(List.of("written"));
  }

  @Test
  void appliesNothingOnceTheLeadershipIsLost() {
    append("unacknowledged");
    world.run(1);
    leader.stop();
    answerAppends();
    assertThat(applied).isEmpty();
    assertThat(answers).containsExactly(new Fault.OutcomeUnknown(KEY));
  }

  /** One replica's answer to the newest append. */
  private void answerBeatOf(String replica) {
    KeyAppend newest = unanswered.get(unanswered.size() - 1);
    leader.appended(
        new KeyAppended(
            KEY, newest.epoch(), newest.round(), Verdict.OK, newest.epoch(), leader.lastSequence()),
        replica);
  }

  private boolean saysThatItHearsAMajority() {
    return unanswered.get(unanswered.size() - 1).hearsMajority();
  }

  @Test
  void saysThatItHearsNoMajorityAndThenStepsDown() {
    append("pending");
    world.run(Constants.OWNER_UNHEARD_MS - Constants.OWNER_BEAT_MS);
    assertThat(saysThatItHearsAMajority()).isTrue();
    world.run(2 * Constants.OWNER_BEAT_MS);
    assertThat(saysThatItHearsAMajority()).isFalse();
    assertThat(leader.owned()).isTrue();

    world.run(Constants.OWNER_STEP_DOWN_MS);
    assertThat(leader.state()).isEqualTo(OwnedKey.State.LOST);
    assertThat(timesLost).isEqualTo(1);
    assertThat(answers).containsExactly(new Fault.OutcomeUnknown(KEY));
    List<Fault> later = new ArrayList<>();
    leader.confirm(later::add);
    assertThat(later).containsExactly(new Fault.NotOwner(KEY));
  }

  @Test
  void oneReplicaOfThreeIsNoMajority() {
    for (long ms = 0; ms <= Constants.OWNER_STEP_DOWN_MS; ms += Constants.OWNER_BEAT_MS) {
      world.run(Constants.OWNER_BEAT_MS);
      if (leader.owned()) {
        answerBeatOf("a");
      }
    }
    assertThat(timesLost).isEqualTo(1);
  }

  @Test
  void answersOfAMajorityKeepItLeading() {
    for (long ms = 0; ms <= 2 * Constants.OWNER_STEP_DOWN_MS; ms += Constants.OWNER_BEAT_MS) {
      world.run(Constants.OWNER_BEAT_MS);
      answerBeatOf("a");
      answerBeatOf("c");
      assertThat(leader.hearsMajority()).isTrue();
    }
    assertThat(timesLost).isEqualTo(0);
  }

  @Test
  void otherSignsThatReplicasHearItCountToo() {
    for (long ms = 0; ms <= 2 * Constants.OWNER_STEP_DOWN_MS; ms += Constants.OWNER_BEAT_MS) {
      world.run(Constants.OWNER_BEAT_MS);
      leader.heardBy("b");
      leader.heardBy("c");
    }
    assertThat(leader.hearsMajority()).isTrue();
    assertThat(timesLost).isEqualTo(0);
  }

  @Test
  void aProcessThatStoodStillIsNotCutOff() {
    world.freeze(20_000);
    world.run(1);
    assertThat(leader.hearsMajority()).isTrue();
    assertThat(timesLost).isEqualTo(0);
  }

  @Test
  void asksByATrialBeforeItRaisesTheEpoch() {
    assertThat(asked.subList(0, 3).stream().allMatch(KeyPromise::trial)).isTrue();
    KeyPromise first = asked.stream().filter(each -> !each.trial()).findFirst().orElseThrow();
    assertThat(asked.get(0).epoch().below(first.epoch())).isTrue();
  }

  @Test
  void raisesNoEpochWhileReplicasKeepTheKeyForItsOwner() {
    asked.clear();
    promiseVerdict = Verdict.BUSY;
    leader = claimFor(List.of(new Replica("a", "x"), new Replica("b", "y"), new Replica("c", "z")));
    world.run(Constants.CLAIM_EXPIRY_MS);
    assertThat(claim).isEqualTo(Claim.BUSY);
    assertThat(asked.stream().allMatch(KeyPromise::trial)).isTrue();
  }

  /** An answer to an earlier trial of the same epoch is no promise. */
  @Test
  void countsNoTrialAnswerAsAPromise() {
    promiseVerdict = Verdict.REFUSED;
    leader = claimFor(List.of(new Replica("a", "x"), new Replica("b", "y"), new Replica("c", "z")));
    Epoch trialled = leader.epoch();
    for (String replica : List.of("a", "b")) {
      leader.promised(
          new KeyPromised(
              KEY, trialled, Verdict.WOULD_PROMISE, Epoch.NONE, "", "", 0, 0, List.of()),
          replica);
    }
    assertThat(trialled.below(leader.epoch())).isTrue();
    for (String replica : List.of("a", "b")) {
      leader.promised(
          new KeyPromised(
              KEY, leader.epoch(), Verdict.WOULD_PROMISE, Epoch.NONE, "", "", 0, 0, List.of()),
          replica);
    }
    assertThat(leader.state()).isEqualTo(OwnedKey.State.CLAIMING);
  }
}
