package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import applespindle.corelogic.protocol.Message.Verdict;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * What replicas make of appends, pre-votes and snapshots, and which recovered entries they count as
 * undecided.
 */
final class LogReplicasTest {
  private static final String KEY = "bundle";
  private static final Epoch FIRST = new Epoch(1, "a");
  private static final Epoch SECOND = new Epoch(2, "b");

  /** Syncs every write at once. */
  private final FakeEnvironment environment =
      new FakeEnvironment(0) {
        @Override
        public void write(List<LogRecord> records, Runnable whenSynced) {
          whenSynced.run();
        }
      };

  private final IsolatedReplicas node = new IsolatedReplicas(environment, KEY);
  private final LogReplicas replicas = node.replicas();

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
    node.append(1, epoch, previous, previousEpoch, committed, entries);
  }

  @Test
  void aFullyCommittedLogIsDecided() {
    recover(3, 3);
    assertThat(replicas.hasUncommittedEntries(KEY)).isFalse();
    assertThat(replicas.anyUncommittedEntries(key -> true)).isFalse();
  }

  @Test
  void anUncommittedTailIsUndecidedUntilItsLeaderCommitsIt() {
    recover(3, 2);
    assertThat(replicas.hasUncommittedEntries(KEY)).isTrue();
    assertThat(replicas.anyUncommittedEntries(key -> !key.equals(KEY))).isFalse();
    append(SECOND, 3, FIRST, 2, entry(4, SECOND));
    assertThat(replicas.anyUncommittedEntries(key -> true)).isTrue();
    append(SECOND, 4, SECOND, 4);
    assertThat(replicas.anyUncommittedEntries(key -> true)).isFalse();
  }

  @Test
  void aTailThatANewLeaderReplacesIsDecided() {
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
  void theStartOfAnEpochAloneIsNothingToDecide() {
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

  private static LogEntry event(long sequence, Epoch epoch) {
    return new LogEntry(sequence, epoch, false, "{}".getBytes(UTF_8));
  }

  private static LogEndPosition endAt(long sequence, Epoch epoch) {
    return new LogEndPosition(sequence, epoch);
  }

  private List<Long> pageFor(Map<String, LogEndPosition> known) {
    return replicas
        .snapshotsOf(IsolatedReplicas.CONFIGURATION, "", known, 1 << 20)
        .get(0)
        .entries()
        .stream()
        .map(LogEntry::sequence)
        .toList();
  }

  @Test
  void aPageHasOnlyWhatTheJoiningReplicaLacks() {
    append(FIRST, 0, Epoch.NONE, 0, event(1, FIRST), event(2, FIRST), event(3, FIRST));
    assertThat(pageFor(Map.of())).containsExactly(1L, 2L, 3L).inOrder();
    assertThat(pageFor(Map.of(KEY, endAt(2, FIRST)))).containsExactly(2L, 3L).inOrder();
    assertThat(pageFor(Map.of(KEY, endAt(3, FIRST)))).containsExactly(3L);
    assertThat(pageFor(Map.of(KEY, endAt(2, SECOND)))).containsExactly(1L, 2L, 3L).inOrder();
    assertThat(pageFor(Map.of(KEY, endAt(9, FIRST)))).containsExactly(1L, 2L, 3L).inOrder();
    assertThat(replicas.logEndsOf(IsolatedReplicas.CONFIGURATION, ""))
        .containsExactly(KEY, endAt(3, FIRST));
  }

  @Test
  void aPartialSnapshotIsInstalledOnlyIfItContinuesTheLog() {
    append(FIRST, 0, Epoch.NONE, 0, event(1, FIRST), event(2, FIRST));
    var follows =
        new ReplicaSnapshot(KEY, FIRST, 2, true, List.of(event(2, FIRST), event(3, FIRST)));
    var other =
        new ReplicaSnapshot(KEY, FIRST, 3, true, List.of(event(3, SECOND), event(4, SECOND)));
    var beyond =
        new ReplicaSnapshot(KEY, FIRST, 3, true, List.of(event(5, FIRST), event(6, FIRST)));
    assertThat(replicas.merge(follows, () -> {})).isTrue();
    assertThat(replicas.merge(other, () -> {})).isFalse();
    assertThat(replicas.merge(beyond, () -> {})).isFalse();
    assertThat(pageFor(Map.of())).containsExactly(1L, 2L, 3L).inOrder();
  }

  /** Two connections from one leader may deliver out of order: the log must not fall back. */
  @Test
  void anOvertakenAppendDoesNotDropCommittedEntries() {
    append(FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    append(FIRST, 2, FIRST, 2, entry(3, FIRST));
    append(FIRST, 3, FIRST, 3);
    append(FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    assertThat(replicas.logEndsOf(IsolatedReplicas.CONFIGURATION, ""))
        .containsExactly(KEY, endAt(3, FIRST));
    assertThat(replicas.view(KEY).committedEntries()).hasSize(1);
  }

  @Test
  void anOvertakenSnapshotDoesNotDropCommittedEntries() {
    append(FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    append(FIRST, 2, FIRST, 2, entry(3, FIRST));
    append(FIRST, 3, FIRST, 3);
    var older =
        new ReplicaSnapshot(KEY, FIRST, 2, false, List.of(entry(1, FIRST), entry(2, FIRST)));
    assertThat(replicas.merge(older, () -> {})).isTrue();
    assertThat(replicas.logEndsOf(IsolatedReplicas.CONFIGURATION, ""))
        .containsExactly(KEY, endAt(3, FIRST));
  }

  @Test
  void aPreVoteChangesNothing() {
    node.heartbeat(FIRST, false);
    assertThat(node.preVote(SECOND)).isEqualTo(Verdict.WOULD_GRANT);
    assertThat(replicas.view(KEY).promisedEpoch()).isEqualTo(FIRST);
  }

  @Test
  void aLeaderInContactWithAQuorumKeepsCandidatesAway() {
    node.heartbeat(FIRST, true);
    assertThat(node.preVote(SECOND)).isEqualTo(Verdict.LEADER_ALIVE);
  }

  @Test
  void theHeartbeatOfALeaderWithoutQuorumContactDoesNotCount() {
    node.heartbeat(FIRST, true);
    environment.freeze(ReplicationConstants.LEADER_TIMEOUT_MS);
    node.heartbeat(FIRST, false);
    assertThat(node.preVote(SECOND)).isEqualTo(Verdict.WOULD_GRANT);
  }
}
