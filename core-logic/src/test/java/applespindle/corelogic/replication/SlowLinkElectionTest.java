package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * An edge behind a slow link is a candidate for a batch whose log has megabytes: the largest
 * requests that a deployment takes, and the largest outputs. All replicas send over the one link of
 * the candidate.
 */
final class SlowLinkElectionTest {
  private static final String KEY = "batch/o-large";
  private static final Epoch FORMER = new Epoch(7, "former");

  /** 21 Mbit/s. */
  private static final long SLOW_LINK_BYTES_PER_MS = 2_625;

  /** What a message has besides its entries. */
  private static final int MESSAGE_BYTES = 200;

  private static final int REPLICAS = 5;
  private static final int REQUEST_BYTES = 1_030_000;
  private static final int OUTPUTS = 25;
  private static final int OUTPUT_BYTES = 60_000;

  /** All messages to the candidate share its one link. */
  private static final class SlowLinkEnvironment extends FakeEnvironment {
    private static final long LATENCY_MS = 1;
    private static final long SYNC_MS = 5;
    private long linkFreeAtMs;

    SlowLinkEnvironment() {
      super(0);
    }

    void sendOverLink(long bytes, Runnable arrival) {
      linkFreeAtMs = Math.max(linkFreeAtMs, nowMs()) + bytes / SLOW_LINK_BYTES_PER_MS;
      schedule(linkFreeAtMs - nowMs() + LATENCY_MS, arrival);
    }

    void runUntil(long untilMs) {
      run(untilMs - nowMs());
    }

    @Override
    public void write(List<LogRecord> records, Runnable whenSynced) {
      schedule(SYNC_MS, whenSynced);
    }
  }

  private final SlowLinkEnvironment environment = new SlowLinkEnvironment();
  private final Map<String, LogReplicas> replicas = new LinkedHashMap<>();
  private final List<ElectionOutcome> outcomes = new ArrayList<>();
  private final List<ReplicatedLogLeader> elected = new ArrayList<>();
  private final List<LogEntry> log = new ArrayList<>();
  private long electedAtMs = Long.MAX_VALUE;
  private Elections elections;

  /** The replicas that were asked for parts of the log, in order. */
  private final List<String> sources = new ArrayList<>();

  /** A replica that gets no message any more. */
  private String stopped = "";

  private void givenALargeLog() {
    log.add(new LogEntry(1, FORMER, false, new byte[REQUEST_BYTES]));
    IntStream.rangeClosed(2, 1 + OUTPUTS)
        .forEach(
            sequence -> log.add(new LogEntry(sequence, FORMER, false, new byte[OUTPUT_BYTES])));
    for (int number = 1; number <= REPLICAS; number++) {
      String id = "storage-" + number;
      LogReplicas replica =
          new IsolatedReplicas(
                  environment,
                  KEY,
                  message -> environment.sendOverLink(sizeOf(message), () -> deliver(message, id)))
              .replicas();
      replica.handleAppendRequest(
          new AppendRequest(KEY, FORMER, 1, 1, 0, Epoch.NONE, log.size(), true, List.copyOf(log)),
          FORMER.node(),
          FORMER.node());
      replicas.put(id, replica);
    }
    environment.runUntil(3_000);
  }

  private static long sizeOf(Message message) {
    return MESSAGE_BYTES
        + entriesOf(message).stream().mapToLong(entry -> entry.event().length).sum();
  }

  private static List<LogEntry> entriesOf(Message message) {
    if (message instanceof Message.VoteResponse vote) {
      return vote.entries();
    }
    return message instanceof Message.LogFetchResponse part ? part.entries() : List.of();
  }

  private void deliver(Message message, String fromId) {
    if (elections == null) {
      return;
    }
    if (message instanceof Message.VoteResponse vote) {
      elections.handleVoteResponse(vote, fromId);
    } else if (message instanceof Message.LogFetchResponse part) {
      elections.handleLogFetchResponse(part);
    } else if (message instanceof AppendResponse appended) {
      ReplicatedLogLeader leader = elected.isEmpty() ? elections.inProgress(KEY) : elected.get(0);
      if (leader != null) {
        leader.handleAppendResponse(appended, fromId);
      }
    }
  }

  private void startElection() {
    ReplicaConfiguration replicaConfiguration =
        new ReplicaConfiguration(
            1, replicas.keySet().stream().map(id -> new NodeAddress(id, id)).toList(), List.of());
    elections =
        new Elections(
            environment,
            "edge",
            (address, id, message) -> environment.schedule(1, () -> handleAtReplica(id, message)),
            key -> replicaConfiguration,
            elected::add);
    elections.elect(
        KEY,
        false,
        outcome -> {
          outcomes.add(outcome);
          electedAtMs = environment.nowMs();
        });
  }

  private void handleAtReplica(String id, Message message) {
    LogReplicas replica = replicas.get(id);
    if (message instanceof Message.LogFetchRequest) {
      sources.add(id);
    }
    if (id.equals(stopped)) {
      return;
    }
    if (message instanceof Message.VoteRequest vote) {
      replica.handleVoteRequest(vote, "edge", "edge");
    } else if (message instanceof Message.LogFetchRequest fetch) {
      replica.handleLogFetchRequest(fetch, "edge", "edge");
    } else if (message instanceof AppendRequest append) {
      replica.handleAppendRequest(append, "edge", "edge");
    }
  }

  @Test
  void aLogOfMegabytesIsAdoptedWhileAClientStillWaits() {
    givenALargeLog();
    long startedAtMs = environment.nowMs();
    startElection();
    environment.runUntil(startedAtMs + 20_000);
    assertThat(outcomes.stream().map(ElectionOutcome::result).toList())
        .containsExactly(ElectionResult.ELECTED);
    assertThat(elected.get(0).entries().subList(0, log.size())).containsExactlyElementsIn(log);
    assertThat(electedAtMs - startedAtMs).isLessThan(1_500L);
  }

  @Test
  void aSourceThatStopsAnsweringIsReplacedByAnother() {
    givenALargeLog();
    startElection();
    environment.runUntil(environment.nowMs() + 500);
    assertThat(outcomes).isEmpty();
    stopped = sources.get(0);
    environment.runUntil(environment.nowMs() + 3_000);
    assertThat(outcomes.stream().map(ElectionOutcome::result).toList())
        .containsExactly(ElectionResult.ELECTED);
    assertThat(elected.get(0).entries().subList(0, log.size())).containsExactlyElementsIn(log);
    assertThat(Set.copyOf(sources)).hasSize(2);
  }

  @Test
  void anElectionThatIsOvertakenWhileItFetchesTheLogFails() {
    givenALargeLog();
    startElection();
    environment.runUntil(environment.nowMs() + 300);
    replicas
        .values()
        .forEach(
            replica ->
                replica.handleVoteRequest(
                    new Message.VoteRequest(KEY, new Epoch(99, "other"), 1, false, 1, false),
                    "other",
                    ""));
    environment.runUntil(environment.nowMs() + 5_000);
    assertThat(outcomes.stream().map(ElectionOutcome::result).toList())
        .containsExactly(ElectionResult.NO_QUORUM);
    assertThat(elected).isEmpty();
  }

  @Test
  void aCandidateOfTheVersionBeforeGetsTheCompleteLogWithTheVote() {
    givenALargeLog();
    IsolatedReplicas node = new IsolatedReplicas(environment, KEY);
    LogReplicas replica = node.replicas();
    replica.handleAppendRequest(
        new AppendRequest(KEY, FORMER, 1, 1, 0, Epoch.NONE, 0, true, List.copyOf(log)),
        "former",
        "former");
    replica.handleVoteRequest(
        new Message.VoteRequest(KEY, new Epoch(8, "former"), 1, false, Integer.MIN_VALUE, false),
        "",
        "");
    environment.runUntil(environment.nowMs() + 100);
    Message.VoteResponse last = (Message.VoteResponse) node.lastReply();
    assertThat(last.entries()).containsExactlyElementsIn(log).inOrder();
    assertThat(last.isCompleteLog()).isTrue();
  }
}
