package applespindle.corelogic;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.DiskRecord.Kind;
import applespindle.corelogic.Message.KeyAppend;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/**
 * What a replica knows of its own log when it starts again: an entry it can not call committed is
 * undecided.
 */
final class KeyReplicasTest {
  private static final String KEY = "bundle";
  private static final Epoch FIRST = new Epoch(1, "a");
  private static final Epoch SECOND = new Epoch(2, "b");

  private final class World implements Surroundings {
    @Override
    public long now() {
      return now;
    }

    @Override
    public Schedule after(long millis, Runnable task) {
      return () -> {};
    }

    @Override
    public void send(String peerAddress, Envelope envelope) {}

    @Override
    public void write(List<DiskRecord> records, Runnable whenSynced) {
      whenSynced.run();
    }

    @Override
    public boolean takesWrites() {
      return true;
    }

    @Override
    public WorkerRun run(WorkerCall call, WorkerListener listener) {
      return () -> {};
    }

    @Override
    public void readLoad(
        String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<Fault> whenFaulty) {}

    @Override
    public RandomGenerator random() {
      return RandomGenerator.getDefault();
    }

    @Override
    public void log(String part, String sentence) {}
  }

  private long now;
  private Message replied;
  private final KeyReplicas replicas =
      new KeyReplicas(
          new World(),
          (address, id, message) -> replied = message,
          (key, entry) -> {},
          key -> "set");

  private static Entry entry(long sequence, Epoch epoch) {
    return new Entry(sequence, epoch, true, "{}".getBytes(UTF_8));
  }

  private void recover(long entries, long committed) {
    for (long sequence = 1; sequence <= entries; sequence++) {
      replicas.recover(
          new DiskRecord(Kind.ENTRY, KEY, FIRST, sequence, true, "{}".getBytes(UTF_8)));
    }
    replicas.recover(
        new DiskRecord(Kind.COMMITTED, KEY, Epoch.NONE, committed, false, new byte[0]));
    replicas.recovered();
  }

  private void append(
      Epoch epoch, long previous, Epoch previousEpoch, long committed, Entry... entries) {
    replicas.append(
        new KeyAppend(KEY, epoch, 1, 1, previous, previousEpoch, committed, true, List.of(entries)),
        epoch.node(),
        "");
  }

  @Test
  void aLogWithoutATailIsDecided() {
    recover(3, 3);
    assertThat(replicas.undecided(KEY)).isFalse();
    assertThat(replicas.anyUndecided(key -> true)).isFalse();
  }

  @Test
  void aTailIsUndecidedUntilItsOwnerCommitsIt() {
    recover(3, 2);
    assertThat(replicas.undecided(KEY)).isTrue();
    assertThat(replicas.anyUndecided(key -> !key.equals(KEY))).isFalse();
    append(SECOND, 3, FIRST, 2, entry(4, SECOND));
    assertThat(replicas.anyUndecided(key -> true)).isTrue();
    append(SECOND, 4, SECOND, 4);
    assertThat(replicas.anyUndecided(key -> true)).isFalse();
  }

  @Test
  void aTailThatANewOwnerReplacesIsDecided() {
    recover(3, 2);
    append(SECOND, 2, FIRST, 2, entry(3, SECOND));
    assertThat(replicas.undecided(KEY)).isFalse();
  }

  @Test
  void aTailIsDecidedOnceAnotherReplicaKnowsACommittedEventThere() {
    recover(3, 2);
    replicas.committedElsewhere(KEY, 2);
    assertThat(replicas.undecided(KEY)).isTrue();
    replicas.committedElsewhere(KEY, 3);
    assertThat(replicas.undecided(KEY)).isFalse();
  }

  @Test
  void aTakeoverAloneIsNothingToDecide() {
    recover(2, 2);
    replicas.recover(new DiskRecord(Kind.ENTRY, KEY, SECOND, 3, false, new byte[0]));
    replicas.recovered();
    assertThat(replicas.undecided(KEY)).isFalse();
  }

  @Test
  void entriesThatCameAfterTheStartDoNotCount() {
    recover(2, 2);
    append(SECOND, 2, FIRST, 2, entry(3, SECOND));
    assertThat(replicas.undecided(KEY)).isFalse();
  }

  private static Entry part(long sequence, Epoch epoch) {
    return new Entry(sequence, epoch, false, "{}".getBytes(UTF_8));
  }

  private static KeyReplicas.Held held(long sequence, Epoch epoch) {
    return new KeyReplicas.Held(sequence, epoch);
  }

  private List<Long> copied(Map<String, KeyReplicas.Held> held) {
    return replicas.copiesOf("set", "", held, 1 << 20).get(0).entries().stream()
        .map(Entry::sequence)
        .toList();
  }

  @Test
  void aCopyBringsOnlyWhatTheOtherLacks() {
    append(FIRST, 0, Epoch.NONE, 0, part(1, FIRST), part(2, FIRST), part(3, FIRST));
    assertThat(copied(Map.of())).containsExactly(1L, 2L, 3L).inOrder();
    assertThat(copied(Map.of(KEY, held(2, FIRST)))).containsExactly(2L, 3L).inOrder();
    assertThat(copied(Map.of(KEY, held(3, FIRST)))).containsExactly(3L);
    assertThat(copied(Map.of(KEY, held(2, SECOND)))).containsExactly(1L, 2L, 3L).inOrder();
    assertThat(copied(Map.of(KEY, held(9, FIRST)))).containsExactly(1L, 2L, 3L).inOrder();
    assertThat(replicas.heldOf("set", "")).containsExactly(KEY, held(3, FIRST));
  }

  @Test
  void aPartIsTakenOnlyBehindWhatItFollows() {
    append(FIRST, 0, Epoch.NONE, 0, part(1, FIRST), part(2, FIRST));
    var follows =
        new KeyReplicas.Copied(KEY, FIRST, 2, true, List.of(part(2, FIRST), part(3, FIRST)));
    var other =
        new KeyReplicas.Copied(KEY, FIRST, 3, true, List.of(part(3, SECOND), part(4, SECOND)));
    var beyond =
        new KeyReplicas.Copied(KEY, FIRST, 3, true, List.of(part(5, FIRST), part(6, FIRST)));
    assertThat(replicas.absorb(follows, () -> {})).isTrue();
    assertThat(replicas.absorb(other, () -> {})).isFalse();
    assertThat(replicas.absorb(beyond, () -> {})).isFalse();
    assertThat(copied(Map.of())).containsExactly(1L, 2L, 3L).inOrder();
  }

  /** Two connections from one leader may deliver out of order: the log must not fall back. */
  @Test
  void anOvertakenAppendDoesNotDropCommittedEntries() {
    append(FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    append(FIRST, 2, FIRST, 2, entry(3, FIRST));
    append(FIRST, 3, FIRST, 3);
    append(FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    assertThat(replicas.heldOf("set", "")).containsExactly(KEY, held(3, FIRST));
    assertThat(replicas.view(KEY).committedEntries()).hasSize(1);
  }

  @Test
  void anOvertakenCopyDoesNotDropCommittedEntries() {
    append(FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    append(FIRST, 2, FIRST, 2, entry(3, FIRST));
    append(FIRST, 3, FIRST, 3);
    var older =
        new KeyReplicas.Copied(KEY, FIRST, 2, false, List.of(entry(1, FIRST), entry(2, FIRST)));
    assertThat(replicas.absorb(older, () -> {})).isTrue();
    assertThat(replicas.heldOf("set", "")).containsExactly(KEY, held(3, FIRST));
  }

  private Message.Verdict tried(Epoch epoch) {
    replicas.promise(new Message.KeyPromise(KEY, epoch, 1, false, 0, true), epoch.node(), "");
    return ((Message.KeyPromised) replied).verdict();
  }

  private void beat(Epoch epoch, boolean hearsMajority) {
    replicas.append(
        new KeyAppend(KEY, epoch, 1, 1, 0, Epoch.NONE, 0, hearsMajority, List.of()),
        epoch.node(),
        "");
  }

  @Test
  void aTrialChangesNothing() {
    beat(FIRST, false);
    assertThat(tried(SECOND)).isEqualTo(Message.Verdict.WOULD_PROMISE);
    assertThat(replicas.view(KEY).promised()).isEqualTo(FIRST);
  }

  @Test
  void anOwnerThatHearsAMajorityKeepsClaimantsAway() {
    beat(FIRST, true);
    assertThat(tried(SECOND)).isEqualTo(Message.Verdict.BUSY);
  }

  @Test
  void theBeatOfAnOwnerThatHearsNoMajorityDoesNotCount() {
    beat(FIRST, true);
    now += Constants.TAKEOVER_MS;
    beat(FIRST, false);
    assertThat(tried(SECOND)).isEqualTo(Message.Verdict.WOULD_PROMISE);
  }
}
