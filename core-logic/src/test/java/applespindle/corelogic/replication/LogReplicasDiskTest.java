package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A replica on a disk that syncs only when the test says so and may lose power after any record:
 * replies wait for the records that they depend on, and every prefix of what was written is a valid
 * state.
 */
final class LogReplicasDiskTest {
  private static final String KEY = "batch/1";
  private static final Epoch FIRST = new Epoch(1, "a");
  private static final Epoch SECOND = new Epoch(2, "b");

  private final SlowDiskEnvironment disk = new SlowDiskEnvironment();
  private final IsolatedReplicas node = new IsolatedReplicas(disk, KEY);
  private final LogReplicas replicas = node.replicas();
  private final List<Message> replies = node.replies;

  private static LogEntry entry(long sequence, Epoch epoch) {
    return new LogEntry(sequence, epoch, false, ("event " + sequence).getBytes(UTF_8));
  }

  private static LogEntry snapshot(long sequence, Epoch epoch) {
    return new LogEntry(sequence, epoch, true, ("state " + sequence).getBytes(UTF_8));
  }

  private void append(
      long configurationVersion,
      Epoch epoch,
      long previous,
      Epoch previousEpoch,
      long committed,
      LogEntry... entries) {
    node.append(configurationVersion, epoch, previous, previousEpoch, committed, entries);
  }

  /** What a process that starts with the first records of the disk makes of them. */
  private IsolatedReplicas restartWith(int records) {
    IsolatedReplicas restarted = new IsolatedReplicas(new SlowDiskEnvironment(), KEY);
    disk.written.subList(0, records).forEach(restarted.replicas()::recover);
    restarted.replicas().finishRecovery();
    return restarted;
  }

  @Test
  void aReplyUnderANewConfigurationVersionWaitsForItsRecord() {
    append(1, FIRST, 0, Epoch.NONE, 0, entry(1, FIRST));
    disk.syncAll();
    replies.clear();
    append(2, FIRST, 1, FIRST, 0);
    assertThat(replies).isEmpty();
    disk.syncAll();
    assertThat(replies).hasSize(1);
    assertThat(((AppendResponse) replies.get(0)).verdict()).isEqualTo(Verdict.OK);
  }

  @Test
  void aReplyAfterAnAdoptedVersionWaitsForItsRecordToo() {
    append(1, FIRST, 0, Epoch.NONE, 0, entry(1, FIRST));
    disk.syncAll();
    replies.clear();
    replicas.adoptConfiguration(IsolatedReplicas.CONFIGURATION, 2, () -> {});
    append(2, FIRST, 1, FIRST, 0);
    assertThat(replies).isEmpty();
    disk.syncAll();
    assertThat(replies).hasSize(1);
  }

  @Test
  void aRefusedVoteUnderANewConfigurationVersionWaitsForItsRecord() {
    append(1, SECOND, 0, Epoch.NONE, 0, entry(1, SECOND));
    disk.syncAll();
    replies.clear();
    node.handle(new VoteRequest(KEY, FIRST, 2, false, 0, false));
    assertThat(replies).isEmpty();
    disk.syncAll();
    assertThat(((VoteResponse) replies.get(0)).verdict()).isEqualTo(Verdict.STALE_EPOCH);
  }

  @Test
  void noPowerLossMakesAReplacedTailCommitted() {
    append(1, FIRST, 0, Epoch.NONE, 3, entry(1, FIRST), entry(2, FIRST), entry(3, FIRST));
    append(1, FIRST, 3, FIRST, 3, entry(4, FIRST), entry(5, FIRST));
    append(1, SECOND, 3, FIRST, 6, entry(4, SECOND), entry(5, SECOND), entry(6, SECOND));
    for (int kept = 0; kept <= disk.written.size(); kept++) {
      LogReplicas restarted = restartWith(kept).replicas();
      if (!restarted.replicas().containsKey(KEY)) {
        continue;
      }
      assertWithMessage("after " + kept + " records")
          .that(
              restarted.view(KEY).committedEntries().stream()
                  .filter(entry -> entry.sequence() > 3 && entry.epoch().equals(FIRST))
                  .toList())
          .isEmpty();
    }
  }

  @Test
  void aReplacedTailWithASnapshotDropsNothingBeforeIt() {
    append(1, FIRST, 0, Epoch.NONE, 3, entry(1, FIRST), entry(2, FIRST), entry(3, FIRST));
    append(1, FIRST, 3, FIRST, 3, entry(4, FIRST), snapshot(5, FIRST));
    append(1, SECOND, 3, FIRST, 6, entry(4, SECOND), entry(5, SECOND), entry(6, SECOND));
    assertThat(restartWith(disk.written.size()).sequences())
        .containsExactly(1L, 2L, 3L, 4L, 5L, 6L);
  }

  @Test
  void aDuplicatedAppendRemovesNothingFromATrimmedLog() {
    LogEntry[] start = {entry(1, FIRST), entry(2, FIRST)};
    append(1, FIRST, 0, Epoch.NONE, 0, start);
    append(1, FIRST, 2, FIRST, 3, snapshot(3, FIRST), entry(4, FIRST));
    disk.syncAll();
    assertThat(node.sequences()).containsExactly(3L, 4L).inOrder();
    append(1, FIRST, 0, Epoch.NONE, 0, start);
    disk.syncAll();
    assertThat(node.sequences()).containsExactly(3L, 4L).inOrder();
  }

  @Test
  void aMergedLogThatBeginsEarlierRemovesNothingFromATrimmedOne() {
    append(1, FIRST, 0, Epoch.NONE, 3, entry(1, FIRST), entry(2, FIRST), snapshot(3, FIRST));
    ReplicaSnapshot longer =
        new ReplicaSnapshot(
            KEY,
            SECOND,
            3,
            false,
            List.of(entry(1, FIRST), entry(2, FIRST), snapshot(3, FIRST), entry(4, SECOND)));
    assertThat(replicas.merge(longer, () -> {})).isTrue();
    assertThat(node.sequences()).containsExactly(3L, 4L).inOrder();
  }

  @Test
  void theCommitPositionIsWrittenAfterItsEntries() {
    append(1, FIRST, 0, Epoch.NONE, 2, entry(1, FIRST), entry(2, FIRST));
    assertThat(disk.written.stream().map(LogRecord::kind).toList())
        .containsExactly(
            Kind.CONFIGURATION_VERSION, Kind.VOTE, Kind.ENTRY, Kind.ENTRY, Kind.COMMITTED)
        .inOrder();
  }

  /** Parts of two logs put together would be a log that no replica ever held. */
  @Test
  void aCandidateGetsOnlyPartsOfTheLogWhoseTailItKnows() {
    append(1, FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    disk.syncAll();
    node.handle(new VoteRequest(KEY, SECOND, 1, true, 1, false));
    disk.syncAll();
    replies.clear();
    replicas.handleLogFetchRequest(
        new LogFetchRequest(KEY, SECOND, 1, 1, SECOND), SECOND.node(), "");
    replicas.handleLogFetchRequest(
        new LogFetchRequest(KEY, SECOND, 1, 1, FIRST), SECOND.node(), "");
    assertThat(((LogFetchResponse) replies.get(0)).verdict()).isEqualTo(Verdict.STALE_EPOCH);
    assertThat(((LogFetchResponse) replies.get(0)).entries()).isEmpty();
    assertThat(((LogFetchResponse) replies.get(1)).verdict()).isEqualTo(Verdict.OK);
    assertThat(((LogFetchResponse) replies.get(1)).entries()).hasSize(1);
  }
}
