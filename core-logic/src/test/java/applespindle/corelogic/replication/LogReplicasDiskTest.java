package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
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
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/**
 * A replica on a disk that syncs only when told to and may lose power after any record: replies
 * wait for what they speak of, and every prefix of what was written is a sound state.
 */
final class LogReplicasDiskTest {
  private static final String KEY = "batch/1";
  private static final String SET = "shard/1";
  private static final Epoch FIRST = new Epoch(1, "a");
  private static final Epoch SECOND = new Epoch(2, "b");

  /** Keeps what is written in order; callbacks wait for {@link #sync}. */
  private static final class SlowDisk implements Environment {
    final List<LogRecord> written = new ArrayList<>();
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

    /** Syncs the oldest write that still waits. */
    void sync() {
      waiting.remove().run();
    }

    void syncAll() {
      while (!waiting.isEmpty()) {
        sync();
      }
    }

    @Override
    public void write(List<LogRecord> records, Runnable whenSynced) {
      written.addAll(records);
      waiting.add(whenSynced);
    }

    @Override
    public long nowMs() {
      return 0;
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      return () -> {};
    }

    @Override
    public void send(String peerAddress, Envelope envelope) {}

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

  private final SlowDisk disk = new SlowDisk();
  private final List<Message> replies = new ArrayList<>();
  private final LogReplicas replicas =
      new LogReplicas(
          disk, (address, id, message) -> replies.add(message), (key, entry) -> {}, key -> SET);

  private static LogEntry entry(long sequence, Epoch epoch) {
    return new LogEntry(sequence, epoch, false, ("event " + sequence).getBytes(UTF_8));
  }

  private static LogEntry whole(long sequence, Epoch epoch) {
    return new LogEntry(sequence, epoch, true, ("state " + sequence).getBytes(UTF_8));
  }

  private void append(
      long setNumber,
      Epoch epoch,
      long previous,
      Epoch previousEpoch,
      long committed,
      LogEntry... entries) {
    replicas.handleAppendRequest(
        new AppendRequest(
            KEY, epoch, setNumber, 1, previous, previousEpoch, committed, true, List.of(entries)),
        epoch.node(),
        "");
  }

  private static List<Long> sequences(List<LogEntry> entries) {
    return entries.stream().map(LogEntry::sequence).toList();
  }

  @Test
  void aReplyUnderANewSetNumberWaitsForItsRecord() {
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
  void aReplyForAnotherKeyOfTheSetWaitsForThatRecordToo() {
    append(1, FIRST, 0, Epoch.NONE, 0, entry(1, FIRST));
    disk.syncAll();
    replies.clear();
    replicas.adoptConfiguration(SET, 2, () -> {});
    append(2, FIRST, 1, FIRST, 0);
    assertThat(replies).isEmpty();
    disk.syncAll();
    assertThat(replies).hasSize(1);
  }

  @Test
  void aRefusedPromiseUnderANewSetNumberWaitsForItsRecord() {
    append(1, SECOND, 0, Epoch.NONE, 0, entry(1, SECOND));
    disk.syncAll();
    replies.clear();
    replicas.handleVoteRequest(new VoteRequest(KEY, FIRST, 2, false, 0, false), FIRST.node(), "");
    assertThat(replies).isEmpty();
    disk.syncAll();
    assertThat(((VoteResponse) replies.get(0)).verdict()).isEqualTo(Verdict.STALE_EPOCH);
  }

  @Test
  void noLossOfPowerMakesAReplacedTailCommitted() {
    append(1, FIRST, 0, Epoch.NONE, 3, entry(1, FIRST), entry(2, FIRST), entry(3, FIRST));
    append(1, FIRST, 3, FIRST, 3, entry(4, FIRST), entry(5, FIRST));
    append(1, SECOND, 3, FIRST, 6, entry(4, SECOND), entry(5, SECOND), entry(6, SECOND));
    for (int kept = 0; kept <= disk.written.size(); kept++) {
      LogReplicas again =
          new LogReplicas(
              new SlowDisk(), (address, id, message) -> {}, (key, entry) -> {}, key -> SET);
      disk.written.subList(0, kept).forEach(again::recover);
      again.finishRecovery();
      if (!again.replicas().containsKey(KEY)) {
        continue;
      }
      assertWithMessage("after " + kept + " records")
          .that(
              again.view(KEY).committedEntries().stream()
                  .filter(entry -> entry.sequence() > 3 && entry.epoch().equals(FIRST))
                  .toList())
          .isEmpty();
    }
  }

  @Test
  void aReplacedTailWithAWholeEntryDropsNothingBeforeIt() {
    append(1, FIRST, 0, Epoch.NONE, 3, entry(1, FIRST), entry(2, FIRST), entry(3, FIRST));
    append(1, FIRST, 3, FIRST, 3, entry(4, FIRST), whole(5, FIRST));
    append(1, SECOND, 3, FIRST, 6, entry(4, SECOND), entry(5, SECOND), entry(6, SECOND));
    LogReplicas again =
        new LogReplicas(
            new SlowDisk(), (address, id, message) -> {}, (key, entry) -> {}, key -> SET);
    disk.written.forEach(again::recover);
    again.finishRecovery();
    assertThat(sequences(again.replicas().get(KEY).entries))
        .containsExactly(1L, 2L, 3L, 4L, 5L, 6L);
  }

  @Test
  void aMessageThatComesTwiceTakesNothingFromATrimmedLog() {
    LogEntry[] start = {entry(1, FIRST), entry(2, FIRST)};
    append(1, FIRST, 0, Epoch.NONE, 0, start);
    append(1, FIRST, 2, FIRST, 3, whole(3, FIRST), entry(4, FIRST));
    disk.syncAll();
    assertThat(sequences(replicas.replicas().get(KEY).entries)).containsExactly(3L, 4L).inOrder();
    append(1, FIRST, 0, Epoch.NONE, 0, start);
    disk.syncAll();
    assertThat(sequences(replicas.replicas().get(KEY).entries)).containsExactly(3L, 4L).inOrder();
  }

  @Test
  void aCopyOfALogThatBeginsEarlierTakesNothingFromATrimmedOne() {
    append(1, FIRST, 0, Epoch.NONE, 3, entry(1, FIRST), entry(2, FIRST), whole(3, FIRST));
    ReplicaSnapshot longer =
        new ReplicaSnapshot(
            KEY,
            SECOND,
            3,
            false,
            List.of(entry(1, FIRST), entry(2, FIRST), whole(3, FIRST), entry(4, SECOND)));
    assertThat(replicas.merge(longer, () -> {})).isTrue();
    assertThat(sequences(replicas.replicas().get(KEY).entries)).containsExactly(3L, 4L).inOrder();
  }

  @Test
  void theMarkOfWhatIsCommittedFollowsItsEntries() {
    append(1, FIRST, 0, Epoch.NONE, 2, entry(1, FIRST), entry(2, FIRST));
    assertThat(disk.written.stream().map(LogRecord::kind).toList())
        .containsExactly(
            Kind.CONFIGURATION_VERSION, Kind.VOTE, Kind.ENTRY, Kind.ENTRY, Kind.COMMITTED)
        .inOrder();
  }

  /** Parts of two logs put together would be a log that no replica ever held. */
  @Test
  void aClaimantGetsPartsOfTheLogThatItKnowsTheTailOfAlone() {
    append(1, FIRST, 0, Epoch.NONE, 0, entry(1, FIRST), entry(2, FIRST));
    disk.syncAll();
    replicas.handleVoteRequest(new VoteRequest(KEY, SECOND, 1, true, 1, false), SECOND.node(), "");
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
