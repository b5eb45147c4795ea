package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;

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
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * An edge behind a slow link claims a batch whose log has megabytes: the largest requests that a
 * deployment takes, and the largest outputs. All replicas send over the one link of the claimant.
 */
final class SlowLinkElectionTest {
  private static final String KEY = "batch/o-large";
  private static final Epoch FORMER = new Epoch(7, "former");

  /** 21 Mbit/s. */
  private static final long SLOW_LINK_BYTES_PER_MS = 2_625;

  private static final int REPLICAS = 5;
  private static final int REQUEST_BYTES = 1_030_000;
  private static final int OUTPUTS = 25;
  private static final int OUTPUT_BYTES = 60_000;

  /** What waits is run in the order of its time; ties in the order of being handed in. */
  private record Task(long at, long order, Runnable task) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private static final class World implements Environment {
    private static final long LATENCY_MS = 1;
    private static final long SYNC_MS = 5;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long now;
    private long order;
    private long linkFreeAt;
    private long linkBytes;

    @Override
    public long nowMs() {
      return now;
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      boolean[] cancelled = new boolean[1];
      tasks.add(
          new Task(
              now + millis,
              order++,
              () -> {
                if (!cancelled[0]) {
                  task.run();
                }
              }));
      return () -> cancelled[0] = true;
    }

    /** To the claimant, over its link. */
    void overLink(long bytes, Runnable arrival) {
      linkBytes += bytes;
      linkFreeAt = Math.max(linkFreeAt, now) + bytes / SLOW_LINK_BYTES_PER_MS;
      schedule(linkFreeAt - now + LATENCY_MS, arrival);
    }

    void runUntil(long until) {
      while (!tasks.isEmpty() && tasks.peek().at() <= until) {
        Task next = tasks.poll();
        now = next.at();
        next.task().run();
      }
      now = until;
    }

    @Override
    public void send(String peerAddress, Envelope envelope) {}

    @Override
    public void write(List<LogRecord> records, Runnable whenSynced) {
      schedule(SYNC_MS, whenSynced);
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

  private final World world = new World();
  private final Map<String, LogReplicas> replicas = new LinkedHashMap<>();
  private final List<ElectionOutcome> outcomes = new ArrayList<>();
  private final List<ReplicatedLogLeader> owned = new ArrayList<>();
  private final List<LogEntry> log = new ArrayList<>();
  private long ownedAt = Long.MAX_VALUE;
  private Elections elections;

  /** Whom the claimant asked for parts of the log, in order. */
  private final List<String> sources = new ArrayList<>();

  /** A replica that hears nothing any more. */
  private String silent = "";

  private void givenALargeLog() {
    log.add(new LogEntry(1, FORMER, false, new byte[REQUEST_BYTES]));
    IntStream.rangeClosed(2, 1 + OUTPUTS)
        .forEach(
            sequence -> log.add(new LogEntry(sequence, FORMER, false, new byte[OUTPUT_BYTES])));
    for (int number = 1; number <= REPLICAS; number++) {
      String id = "storage-" + number;
      LogReplicas copy =
          new LogReplicas(
              world,
              (address, to, message) -> world.overLink(sizeOf(message), () -> take(message, id)),
              (key, entry) -> {},
              key -> "set");
      copy.handleAppendRequest(
          new AppendRequest(KEY, FORMER, 1, 1, 0, Epoch.NONE, log.size(), true, List.copyOf(log)),
          FORMER.node(),
          FORMER.node());
      replicas.put(id, copy);
    }
    world.runUntil(3_000);
  }

  private static long sizeOf(Message message) {
    List<LogEntry> entries =
        message instanceof Message.VoteResponse promised
            ? promised.entries()
            : message instanceof Message.LogFetchResponse part ? part.entries() : List.of();
    return 200 + entries.stream().mapToLong(entry -> entry.event().length).sum();
  }

  private void take(Message message, String fromId) {
    if (elections == null) {
      return;
    }
    if (message instanceof Message.VoteResponse promised) {
      elections.handleVoteResponse(promised, fromId);
    } else if (message instanceof Message.LogFetchResponse part) {
      elections.handleLogFetchResponse(part);
    } else if (message instanceof AppendResponse appended) {
      ReplicatedLogLeader key = owned.isEmpty() ? elections.inProgress(KEY) : owned.get(0);
      if (key != null) {
        key.handleAppendResponse(appended, fromId);
      }
    }
  }

  private void claim() {
    ReplicaConfiguration replicaConfiguration =
        new ReplicaConfiguration(
            1, replicas.keySet().stream().map(id -> new NodeAddress(id, id)).toList(), List.of());
    elections =
        new Elections(
            world,
            "edge",
            (address, id, message) -> world.schedule(1, () -> atReplica(id, message)),
            key -> replicaConfiguration,
            owned::add);
    elections.elect(
        KEY,
        false,
        outcome -> {
          outcomes.add(outcome);
          ownedAt = world.nowMs();
        });
  }

  private void atReplica(String id, Message message) {
    LogReplicas copy = replicas.get(id);
    if (message instanceof Message.LogFetchRequest) {
      sources.add(id);
    }
    if (id.equals(silent)) {
      return;
    }
    if (message instanceof Message.VoteRequest promise) {
      copy.handleVoteRequest(promise, "edge", "edge");
    } else if (message instanceof Message.LogFetchRequest ask) {
      copy.handleLogFetchRequest(ask, "edge", "edge");
    } else if (message instanceof AppendRequest append) {
      copy.handleAppendRequest(append, "edge", "edge");
    }
  }

  @Test
  void aLogOfMegabytesIsTakenOverWhileAClientStillWaits() {
    givenALargeLog();
    long askedAt = world.nowMs();
    claim();
    world.runUntil(askedAt + 20_000);
    assertThat(outcomes.stream().map(ElectionOutcome::result).toList())
        .containsExactly(ElectionResult.ELECTED);
    assertThat(owned.get(0).entries().subList(0, log.size())).containsExactlyElementsIn(log);
    assertThat(ownedAt - askedAt).isLessThan(1_500L);
  }

  @Test
  void aSourceThatFallsSilentIsReplacedByAnother() {
    givenALargeLog();
    claim();
    world.runUntil(world.nowMs() + 500);
    assertThat(outcomes).isEmpty();
    silent = sources.get(0);
    world.runUntil(world.nowMs() + 3_000);
    assertThat(outcomes.stream().map(ElectionOutcome::result).toList())
        .containsExactly(ElectionResult.ELECTED);
    assertThat(owned.get(0).entries().subList(0, log.size())).containsExactlyElementsIn(log);
    assertThat(Set.copyOf(sources)).hasSize(2);
  }

  @Test
  void aClaimThatIsOvertakenWhileItReadsEndsAndTakesNothingOver() {
    givenALargeLog();
    claim();
    world.runUntil(world.nowMs() + 300);
    replicas
        .values()
        .forEach(
            copy ->
                copy.handleVoteRequest(
                    new Message.VoteRequest(KEY, new Epoch(99, "other"), 1, false, 1, false),
                    "other",
                    ""));
    world.runUntil(world.nowMs() + 5_000);
    assertThat(outcomes.stream().map(ElectionOutcome::result).toList())
        .containsExactly(ElectionResult.NO_QUORUM);
    assertThat(owned).isEmpty();
  }

  @Test
  void aClaimantOfTheVersionBeforeGetsTheWholeLogWithThePromise() {
    givenALargeLog();
    List<Message> told = new ArrayList<>();
    LogReplicas copy =
        new LogReplicas(
            world, (address, to, message) -> told.add(message), (key, entry) -> {}, key -> "set");
    copy.handleAppendRequest(
        new AppendRequest(KEY, FORMER, 1, 1, 0, Epoch.NONE, 0, true, List.copyOf(log)),
        "former",
        "former");
    copy.handleVoteRequest(
        new Message.VoteRequest(KEY, new Epoch(8, "former"), 1, false, Integer.MIN_VALUE, false),
        "",
        "");
    world.runUntil(world.nowMs() + 100);
    Message.VoteResponse last = (Message.VoteResponse) told.get(told.size() - 1);
    assertThat(last.entries()).containsExactlyElementsIn(log).inOrder();
    assertThat(last.isCompleteLog()).isTrue();
  }
}
