package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.FramedEvent;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.Message.EntryChunkRequest;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A leader without a disk, whose replicas a and b have synced everything and c nothing. */
final class LeaderPayloadsTest {
  private static final String KEY = "batch/one";
  private static final int EVENTS = 40;
  private static final int FRAME_BYTES = 300_000;
  private static final int MAX_RESIDENT_BYTES = 1_000_000;
  private static final int HEADER_BYTES_MOST = 1_000;

  /** A cache of events may have a quarter of the memory of a process. */
  private final MemoryAccount memory = new MemoryAccount(4 * MAX_RESIDENT_BYTES, Runnable::run);

  private final FakeEnvironment environment =
      new FakeEnvironment(1_000) {
        @Override
        public MemoryAccount memory() {
          return memory;
        }
      };
  private final LeaderPayloads payloads = new LeaderPayloads(environment, this::send);
  private final Map<Long, LogEntry> stored = new HashMap<>();
  private final List<AppendRequest> appendsToLagging = new ArrayList<>();
  private final List<LogEntry> votedLog = new ArrayList<>();
  private final Set<String> silent = new HashSet<>();
  private boolean lagging = true;
  private int chunksServed;
  private ReplicatedLogLeader leader;

  @BeforeEach
  void lead() {
    leader = elect();
  }

  private ReplicatedLogLeader elect() {
    List<NodeAddress> replicas =
        Stream.of("a", "b", "c").map(id -> new NodeAddress(id, "address-" + id)).toList();
    leader =
        new ReplicatedLogLeader(
            environment,
            "leader",
            this::send,
            KEY,
            new ReplicaConfiguration(1, replicas, List.of()),
            false,
            false,
            payloads,
            outcome -> {});
    environment.run(20);
    assertThat(leader.isLeading()).isTrue();
    return leader;
  }

  private void send(String address, String replica, Message message) {
    environment.schedule(1, () -> deliver(replica, message));
  }

  private void deliver(String replica, Message message) {
    if (silent.contains(replica)) {
      return;
    }
    if (message instanceof VoteRequest vote) {
      Verdict verdict = vote.preVote() ? Verdict.WOULD_GRANT : Verdict.OK;
      List<LogEntry> log = vote.preVote() ? List.of() : copyOfVotedLog();
      leader.handleVoteResponse(
          new VoteResponse(KEY, vote.epoch(), verdict, Epoch.NONE, "", "", 0, 0, log), replica);
    } else if (message instanceof AppendRequest append) {
      handleAppend(replica, append);
    } else if (message instanceof EntryChunkRequest request) {
      serveChunk(replica, request);
    }
  }

  /** Each replica sends bytes of its own. */
  private List<LogEntry> copyOfVotedLog() {
    return votedLog.stream().map(LogEntry::pinned).toList();
  }

  private void handleAppend(String replica, AppendRequest append) {
    if (replica.equals("c") && lagging) {
      appendsToLagging.add(append);
      return;
    }
    for (LogEntry entry : append.entries()) {
      byte[] copy = entry.event().clone();
      stored.put(
          entry.sequence(), new LogEntry(entry.sequence(), entry.epoch(), entry.snapshot(), copy));
    }
    long matched = append.previousSequence() + append.entries().size();
    leader.handleAppendResponse(
        new AppendResponse(
            KEY, append.epoch(), append.round(), Verdict.OK, append.epoch(), matched),
        replica);
  }

  private void serveChunk(String replica, EntryChunkRequest request) {
    boolean holds = !replica.equals("c") || !lagging;
    byte[] event = holds ? stored.get(request.sequence()).event() : new byte[0];
    int from = Math.min(request.offset(), event.length);
    int to = Math.min(from + request.maxBytes(), event.length);
    chunksServed++;
    payloads.handleChunk(
        new EntryChunk(
            KEY,
            request.sequence(),
            request.epoch(),
            request.offset(),
            event.length,
            Arrays.copyOfRange(event, from, to)),
        replica);
  }

  private static byte[] framedEvent(int seed) {
    byte[] frame = new byte[FRAME_BYTES];
    new Random(seed).nextBytes(frame);
    return FramedEvent.join("{\"kind\":\"recorded\"}".getBytes(UTF_8), List.of(frame));
  }

  /** The first event has the sequence 2, after the entry that begins the epoch. */
  private void appendEvents() {
    for (int number = 0; number < EVENTS; number++) {
      leader.append(false, framedEvent(number), leader::releaseApplied, error -> {});
      environment.run(10);
    }
  }

  private long heldBytes() {
    return leader.entries().stream().mapToLong(entry -> entry.payload().heldStart().length).sum();
  }

  /** Guards against a leader that holds all results of its batches until they are removed. */
  @Test
  void holdsNoMoreOfTheAppliedEventsThanItsLimit() {
    appendEvents();

    assertThat(heldBytes()).isAtMost(MAX_RESIDENT_BYTES + EVENTS * HEADER_BYTES_MOST);
    assertThat(payloads.residentBytes()).isAtMost(MAX_RESIDENT_BYTES);
    assertThat(payloads.unappliedBytes()).isEqualTo(0);
    leader.resign();
    assertThat(payloads.residentBytes()).isEqualTo(0);
  }

  @Test
  void countsAnEventUntilItIsApplied() {
    leader.append(false, framedEvent(1), sequence -> {}, error -> {});
    assertThat(payloads.unappliedBytes()).isEqualTo(framedEvent(1).length);
    leader.resign();
    assertThat(payloads.unappliedBytes()).isEqualTo(0);
  }

  @Test
  void readsASectionThatItHoldsNoMoreFromAReplica() {
    appendEvents();
    byte[] event = framedEvent(0);
    List<byte[]> read = new ArrayList<>();
    leader.readEvent(2, 1_234, 150_000, read::add);
    leader.readEvent(2, 4_321, 150_000, read::add);
    environment.run(ReplicationConstants.LOG_FETCH_TIMEOUT_MS);

    assertThat(read).hasSize(2);
    assertThat(read.get(0)).isEqualTo(Arrays.copyOfRange(event, 1_234, 151_234));
    assertThat(read.get(1)).isEqualTo(Arrays.copyOfRange(event, 4_321, 154_321));
    assertThat(chunksServed).isGreaterThan(0);
  }

  @Test
  void readsTheNewestEventWithoutAReplica() {
    appendEvents();
    long fetchesBefore = payloads.fetches();
    List<byte[]> read = new ArrayList<>();
    leader.readEvent(EVENTS + 1, 0, 1_000, read::add);

    assertThat(read).hasSize(1);
    assertThat(payloads.fetches()).isEqualTo(fetchesBefore);
  }

  @Test
  void aReadEndsWithTheLeadership() {
    appendEvents();
    List<byte[]> read = new ArrayList<>();
    leader.readEvent(2, 0, FRAME_BYTES, read::add);
    leader.resign();
    environment.run(ReplicationConstants.LOG_FETCH_TIMEOUT_MS);

    assertThat(read).containsExactly((byte[]) null);
  }

  /** The events that a replica lacks are no longer at the leader: it gets them from the others. */
  @Test
  void bringsAReplicaThatWasAwayUpToDate() {
    appendEvents();
    long synced = 0;
    for (int round = 0; round < 2 * EVENTS && synced < EVENTS + 1; round++) {
      environment.run(ReplicationConstants.HEARTBEAT_INTERVAL_MS);
      synced = acceptAppends(synced);
    }

    assertThat(synced).isEqualTo(EVENTS + 1);
    assertThat(heldBytes()).isAtMost(MAX_RESIDENT_BYTES + EVENTS * HEADER_BYTES_MOST);
  }

  /** A replica that is gone for long costs the others nothing. */
  @Test
  void readsNothingForAReplicaThatIsNotInContact() {
    appendEvents();
    environment.run(ReplicationConstants.LEADER_STEP_DOWN_MS);
    long fetchesBefore = payloads.fetches();
    environment.run(ReplicationConstants.LEADER_STEP_DOWN_MS);

    assertThat(leader.isLeading()).isTrue();
    assertThat(payloads.fetches()).isEqualTo(fetchesBefore);
  }

  /** Guards against reads that wait for a replica of which the leader knows that it is gone. */
  @Test
  void readsFromAReplicaInContactFirst() {
    lagging = false;
    appendEvents();
    silent.add("a");
    environment.run(ReplicationConstants.LEADER_STEP_DOWN_MS);
    assertThat(leader.isLeading()).isTrue();
    List<byte[]> read = new ArrayList<>();
    leader.readEvent(2, 0, FRAME_BYTES, read::add);
    environment.run(ReplicationConstants.LOG_FETCH_TIMEOUT_MS / 2);

    assertThat(read).hasSize(1);
  }

  /** The lagging replica takes what follows on its log, as replicas do. */
  private long acceptAppends(long syncedBefore) {
    long synced = syncedBefore;
    List<AppendRequest> appends = List.copyOf(appendsToLagging);
    appendsToLagging.clear();
    for (AppendRequest append : appends) {
      boolean follows = append.previousSequence() <= synced;
      for (LogEntry entry : follows ? append.entries() : List.<LogEntry>of()) {
        assertThat(entry.event()).isEqualTo(stored.get(entry.sequence()).event());
        synced = Math.max(synced, entry.sequence());
      }
      leader.handleAppendResponse(
          new AppendResponse(
              KEY,
              append.epoch(),
              append.round(),
              follows ? Verdict.OK : Verdict.LOG_MISMATCH,
              append.epoch(),
              synced),
          "c");
    }
    return synced;
  }

  /** Guards against an edge that takes over more than it has room for. */
  @Test
  void anElectionKeepsTheHeadersOfTheLogOnly() {
    appendEvents();
    leader.resign();
    stored.values().stream()
        .sorted((one, other) -> Long.compare(one.sequence(), other.sequence()))
        .map(LogEntry::pinned)
        .forEach(votedLog::add);
    elect();

    assertThat(leader.lastSequence()).isEqualTo(EVENTS + 2);
    assertThat(heldBytes()).isAtMost(EVENTS * HEADER_BYTES_MOST);
  }
}
