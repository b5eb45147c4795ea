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
  private OwnedKey leader;
  private Claim claim;

  @BeforeEach
  void lead() {
    List<Replica> replicas =
        Stream.of("a", "b", "c").map(id -> new Replica(id, "address-" + id)).toList();
    leader =
        new OwnedKey(
            world,
            "leader",
            (address, id, message) -> world.after(0, () -> delivered(id, message)),
            KEY,
            new ReplicaSets(1, replicas, List.of()),
            false,
            false,
            outcome -> claim = outcome.claim());
    world.run(1);
    answerAppends();
    world.run(1);
    assertThat(claim).isEqualTo(Claim.OWNED);
    unanswered.clear();
  }

  private void delivered(String replica, Message message) {
    if (message instanceof KeyPromise promise) {
      Verdict verdict = promise.trial() ? Verdict.WOULD_PROMISE : Verdict.OK;
      leader.promised(
          new KeyPromised(KEY, promise.epoch(), verdict, promise.epoch(), "", "", 0, 0, List.of()),
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
}
