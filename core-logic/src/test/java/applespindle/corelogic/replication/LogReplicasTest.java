package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/**
 * What a replica knows of its own log when it starts again: an entry it can not call committed is
 * undecided.
 */
final class LogReplicasTest {
  private static final String KEY = "bundle";
  private static final Epoch FIRST = new Epoch(1, "a");
  private static final Epoch SECOND = new Epoch(2, "b");

  private final class World implements Environment {
    @Override
    public long nowMs() {
      return now;
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      return () -> {};
    }

    @Override
    public void send(String peerAddress, Envelope envelope) {}

    @Override
    public void write(List<LogRecord> records, Runnable whenSynced) {
      whenSynced.run();
    }

    @Override
    public boolean acceptsWrites() {
      return true;
    }

    @Override
    public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
      return () -> {};
    }

    @Override
    public void readLoad(
        String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {}

    @Override
    public RandomGenerator random() {
      return RandomGenerator.getDefault();
    }

    @Override
    public void log(String part, String sentence) {}
  }

  private long now;
  private Message replied;
  private final LogReplicas replicas =
      new LogReplicas(
          new World(),
          (address, id, message) -> replied = message,
          (key, entry) -> {},
          key -> "set");

  private static LogEntry entry(long sequence, Epoch epoch) {
    return new LogEntry(sequence, epoch, true, "{}".getBytes(UTF_8));
  }

  private void recover(long entries, long committed) {
    for (long sequence = 1; sequence <= entries; sequence++) {
      replicas.recover(new LogRecord(Kind.ENTRY, KEY, FIRST, sequence, true, "{}".getBytes(UTF_8)));
    }
    replicas.recover(new LogRecord(Kind.COMMITTED, KEY, Epoch.NONE, committed, false, new byte[0]));
    replicas.finishRecovery();
  }

  private void append(
      Epoch epoch, long previous, Epoch previousEpoch, long committed, LogEntry... entries) {
    replicas.handleAppendRequest(
        new AppendRequest(
            KEY, epoch, 1, 1, previous, previousEpoch, committed, true, List.of(entries)),
        epoch.node(),
        "");
  }

  @Test
  void aLogWithoutATailIsDecided() {
    recover(3, 3);
    assertThat(replicas.hasUncommittedEntries(KEY)).isFalse();
    assertThat(replicas.anyUncommittedEntries(key -> true)).isFalse();
  }

  @Test
  void aTailIsUndecidedUntilItsOwnerCommitsIt() {
    recover(3, 2);
    assertThat(replicas.hasUncommittedEntries(KEY)).isTrue();
    assertThat(replicas.anyUncommittedEntries(key -> !key.equals(KEY))).isFalse();
    append(SECOND, 3, FIRST, 2, entry(4, SECOND));
    assertThat(replicas.anyUncommittedEntries(key -> true)).isTrue();
    append(SECOND, 4, SECOND, 4);
    assertThat(replicas.anyUncommittedEntries(key -> true)).isFalse();
  }

  @Test
  void aTailThatANewOwnerReplacesIsDecided() {
    recover(3, 2);
    append(SECOND, 2, FIRST, 2, entry(3, SECOND));
    assertThat(replicas.hasUncommittedEntries(KEY)).isFalse();
  }

  @Test
  void aTailIsDecidedOnceAnotherReplicaKnowsACommittedEventThere() {
    recover(3, 2);
    replicas.committedElsewhere(KEY, 2);
    assertThat(replicas.hasUncommittedEntries(KEY)).isTrue();
    replicas.committedElsewhere(KEY, 3);
    assertThat(replicas.hasUncommittedEntries(KEY)).isFalse();
  }

  @Test
  void aTakeoverAloneIsNothingToDecide() {
    recover(2, 2);
    replicas.recover(new LogRecord(Kind.ENTRY, KEY, SECOND, 3, false, new byte[0]));
    replicas.finishRecovery();
    assertThat(replicas.hasUncommittedEntries(KEY)).isFalse();
  }

  @Test
  void entriesThatCameAfterTheStartDoNotCount() {
    recover(2, 2);
    append(SECOND, 2, FIRST, 2, entry(3, SECOND));
    assertThat(replicas.hasUncommittedEntries(KEY)).isFalse();
  }

  private static LogEntry part(long sequence, Epoch epoch) {
    return new LogEntry(sequence, epoch, false, "{}".getBytes(UTF_8));
  }

  private static LogEndPosition held(long sequence, Epoch epoch) {
    return new LogEndPosition(sequence, epoch);
  }

  private List<Long> copied(Map<String, LogEndPosition> held) {
    return replicas.snapshotsOf("set", "", held, 1 << 20).get(0).entries().stream()
        .map(LogEntry::sequence)
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
    assertThat(replicas.logEndsOf("set", "")).containsExactly(KEY, held(3, FIRST));
  }

  @Test
  void aPartIsTakenOnlyBehindWhatItFollows() {
    append(FIRST, 0, Epoch.NONE, 0, part(1, FIRST), part(2, FIRST));
    var follows = new ReplicaSnapshot(KEY, FIRST, 2, true, List.of(part(2, FIRST), part(3, FIRST)));
    var other = new ReplicaSnapshot(KEY, FIRST, 3, true, List.of(part(3, SECOND), part(4, SECOND)));
    var beyond = new ReplicaSnapshot(KEY, FIRST, 3, true, List.of(part(5, FIRST), part(6, FIRST)));
    assertThat(replicas.merge(follows, () -> {})).isTrue();
    assertThat(replicas.merge(other, () -> {})).isFalse();
    assertThat(replicas.merge(beyond, () -> {})).isFalse();
    assertThat(copied(Map.of())).containsExactly(1L, 2L, 3L).inOrder();
  }

  /** Two connections from one leader may deliver out of order: the log must not fall back. */
  @Test
  void anOvertakenAppendDoesNotDropCommittedEntries() {
    append(FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    append(FIRST, 2, FIRST, 2, entry(3, FIRST));
    append(FIRST, 3, FIRST, 3);
    append(FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    assertThat(replicas.logEndsOf("set", "")).containsExactly(KEY, held(3, FIRST));
    assertThat(replicas.view(KEY).committedEntries()).hasSize(1);
  }

  @Test
  void anOvertakenCopyDoesNotDropCommittedEntries() {
    append(FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    append(FIRST, 2, FIRST, 2, entry(3, FIRST));
    append(FIRST, 3, FIRST, 3);
    var older =
        new ReplicaSnapshot(KEY, FIRST, 2, false, List.of(entry(1, FIRST), entry(2, FIRST)));
    assertThat(replicas.merge(older, () -> {})).isTrue();
    assertThat(replicas.logEndsOf("set", "")).containsExactly(KEY, held(3, FIRST));
  }

  private Message.Verdict tried(Epoch epoch) {
    replicas.handleVoteRequest(
        new Message.VoteRequest(KEY, epoch, 1, false, 0, true), epoch.node(), "");
    return ((Message.VoteResponse) replied).verdict();
  }

  private void beat(Epoch epoch, boolean hearsMajority) {
    replicas.handleAppendRequest(
        new AppendRequest(KEY, epoch, 1, 1, 0, Epoch.NONE, 0, hearsMajority, List.of()),
        epoch.node(),
        "");
  }

  @Test
  void aTrialChangesNothing() {
    beat(FIRST, false);
    assertThat(tried(SECOND)).isEqualTo(Message.Verdict.WOULD_GRANT);
    assertThat(replicas.view(KEY).promisedEpoch()).isEqualTo(FIRST);
  }

  @Test
  void anOwnerThatHearsAMajorityKeepsClaimantsAway() {
    beat(FIRST, true);
    assertThat(tried(SECOND)).isEqualTo(Message.Verdict.LEADER_ALIVE);
  }

  @Test
  void theBeatOfAnOwnerThatHearsNoMajorityDoesNotCount() {
    beat(FIRST, true);
    now += ReplicationConstants.LEADER_TIMEOUT_MS;
    beat(FIRST, false);
    assertThat(tried(SECOND)).isEqualTo(Message.Verdict.WOULD_GRANT);
  }
}
