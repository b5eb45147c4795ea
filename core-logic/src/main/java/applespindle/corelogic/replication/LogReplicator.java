package applespindle.corelogic.replication;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.MessageSender;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Sends a leader's log to the replicas of its configuration, and keeps how far each of them has
 * come. It decides neither what is committed nor when to send: {@link ReplicatedLogLeader} does.
 *
 * <p>Invariants: there is progress for exactly the replicas of the configuration, in its order; the
 * version of the configuration and the append round never fall.
 */
final class LogReplicator {
  private static final long CONTACT_HEARTBEATS =
      ReplicationConstants.QUORUM_CONTACT_TIMEOUT_MS / ReplicationConstants.HEARTBEAT_INTERVAL_MS;

  private final Environment environment;
  private final String nodeId;
  private final MessageSender sender;
  private final String key;
  private final LeaderLog log;
  private final EventRetention retention;
  private final Map<String, FollowerProgress> followers = new LinkedHashMap<>();
  private ReplicaConfiguration configuration;

  /** The number of the last append round; in a round each replica gets one append at most. */
  private long round;

  LogReplicator(
      Environment environment,
      String nodeId,
      MessageSender sender,
      String key,
      LeaderLog log,
      ReplicaConfiguration configuration,
      EventRetention retention) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.sender = sender;
    this.key = key;
    this.log = log;
    this.configuration = configuration;
    this.retention = retention;
    configuration
        .allReplicas()
        .forEach(replica -> followers.put(replica.id(), new FollowerProgress(replica)));
  }

  ReplicaConfiguration configuration() {
    return configuration;
  }

  /**
   * Continues with the replicas of a newer configuration: those that stay keep their progress, and
   * joining ones get the log from its start.
   */
  void reconfigure(ReplicaConfiguration newer) {
    configuration = newer;
    Map<String, FollowerProgress> before = new LinkedHashMap<>(followers);
    followers.clear();
    for (NodeAddress replica : newer.allReplicas()) {
      FollowerProgress known = before.get(replica.id());
      followers.put(replica.id(), known != null ? known : new FollowerProgress(replica));
    }
  }

  /** The replicas of the configuration, at the addresses that this leader sends to. */
  List<NodeAddress> replicas() {
    return followers.values().stream().map(each -> each.replica).toList();
  }

  /** The replicas, those first that are in contact and have synced the entry of this sequence. */
  List<NodeAddress> replicasHolding(long sequence) {
    return followers.values().stream()
        .sorted(Comparator.comparing(each -> !isHolding(each, sequence)))
        .map(each -> each.replica)
        .toList();
  }

  private static boolean isHolding(FollowerProgress follower, long sequence) {
    return follower.isInContactWithin(CONTACT_HEARTBEATS) && follower.matchedSequence >= sequence;
  }

  /** A replica's progress, or null if it isn't part of the configuration. */
  FollowerProgress follower(String replicaId) {
    return followers.get(replicaId);
  }

  /** The number of the round that the next broadcast or heartbeat begins. */
  long nextRound() {
    return round + 1;
  }

  /** The highest sequence that a quorum has synced. */
  long sequenceMatchedByQuorum() {
    return configuration.valueReachedByQuorum(id -> followers.get(id).matchedSequence);
  }

  /** The last round that a quorum has answered. */
  long roundAnsweredByQuorum() {
    return configuration.valueReachedByQuorum(id -> followers.get(id).lastAnsweredRound);
  }

  /** Whether a quorum, this node counted, has shown contact within the time, in milliseconds. */
  boolean hasQuorumContactWithin(long millis) {
    long heartbeats = millis / ReplicationConstants.HEARTBEAT_INTERVAL_MS;
    List<String> inContact =
        followers.values().stream()
            .filter(each -> each.isInContactWithin(heartbeats) || each.replica.id().equals(nodeId))
            .map(each -> each.replica.id())
            .toList();
    return configuration.isQuorum(inContact);
  }

  boolean isInContactWithQuorum() {
    return hasQuorumContactWithin(ReplicationConstants.QUORUM_CONTACT_TIMEOUT_MS);
  }

  /**
   * Starts from the replicas' logs as their votes describe them; others are assumed to be complete.
   */
  void startFrom(ElectionVictory victory) {
    long lastAdopted = log.firstOwnSequence() - 1;
    for (FollowerProgress each : followers.values()) {
      long lastOfReplica =
          victory.lastSequenceByVoter().getOrDefault(each.replica.id(), lastAdopted);
      each.nextSequence = Math.min(lastOfReplica, lastAdopted) + 1;
    }
  }

  /** Begins a round and sends each replica what it lacks, or an empty append. */
  void broadcast() {
    round++;
    followers.values().forEach(this::sendAppend);
  }

  /** Notes for each replica that a heartbeat interval has passed. */
  void heartbeatElapsed() {
    followers.values().forEach(each -> each.heartbeatElapsed(environment.nowMs()));
  }

  /** Begins a round in which up-to-date replicas get only some of their heartbeats. */
  void sendNeededHeartbeats() {
    round++;
    for (FollowerProgress each : followers.values()) {
      if (!each.isUpToDate(log.lastSequence(), log.committedSequence())
          || each.countIdleHeartbeat() >= ReplicationConstants.IDLE_HEARTBEAT_ONE_IN) {
        sendAppend(each);
      }
    }
  }

  /**
   * Sends again from the entry that the replica lacks, unless that entry is in flight or being read
   * from another replica.
   */
  void retryFrom(FollowerProgress follower, long sequence) {
    if (!follower.isInFlight(sequence, environment.nowMs())) {
      follower.nextSequence = Math.max(1, Math.min(sequence, log.lastSequence()));
      if (!follower.fetching) {
        sendAppend(follower);
      }
    }
  }

  /**
   * Sends what the replica lacks as far as it can be read here. If the first entry of it can't, the
   * append is empty, and the entry follows once another replica has sent it; for a replica that is
   * not in contact nothing is fetched.
   */
  private void sendAppend(FollowerProgress follower) {
    long first = log.firstSequence();
    long next = follower.nextSequence;
    long from = next < first || next == 1 ? first : next;
    List<LogEntry> missing = log.entriesFrom(from);
    List<LogEntry> held = readablePrefix(missing);
    boolean inContact = follower.isInContactWithin(CONTACT_HEARTBEATS);
    if (held.isEmpty() && !missing.isEmpty() && inContact) {
      fetchThenSend(follower, missing.get(0));
    }
    sendAppend(follower, from, held);
  }

  private static List<LogEntry> readablePrefix(List<LogEntry> entries) {
    return entries.stream()
        .takeWhile(entry -> entry.payload().isReadable())
        .map(LogEntry::pinned)
        .toList();
  }

  private void sendAppend(FollowerProgress follower, long from, List<LogEntry> entries) {
    boolean atStart = from == log.firstSequence();
    long previous = atStart ? 0 : from - 1;
    Epoch previousEpoch = atStart ? Epoch.NONE : log.epochAt(previous);
    follower.recordAppend(from + entries.size() - 1, log.committedSequence());
    recordIfLarge(follower, from, entries);
    sender.send(
        follower.replica.address(),
        follower.replica.id(),
        new AppendRequest(
            key,
            log.epoch(),
            configuration.version(),
            round,
            previous,
            previousEpoch,
            log.committedSequence(),
            isInContactWithQuorum(),
            entries));
  }

  /** Sends one entry whose event is not in the heap, unless the replica has got it meanwhile. */
  private void fetchThenSend(FollowerProgress follower, LogEntry entry) {
    if (follower.fetching) {
      return;
    }
    follower.fetching = true;
    retention.read(
        key,
        entry,
        0,
        entry.eventBytes(),
        replicasHolding(entry.sequence()),
        event -> {
          follower.fetching = false;
          boolean stillNext =
              followers.get(follower.replica.id()) == follower
                  && follower.nextSequence == entry.sequence()
                  && log.entryAt(entry.sequence()) == entry;
          if (event != null && stillNext) {
            sendAppend(
                follower,
                entry.sequence(),
                List.of(new LogEntry(entry.sequence(), entry.epoch(), entry.snapshot(), event)));
            sendRest(follower);
          }
        });
  }

  private void sendRest(FollowerProgress follower) {
    if (follower.nextSequence <= log.lastSequence()) {
      sendAppend(follower);
    }
  }

  private void recordIfLarge(FollowerProgress follower, long from, List<LogEntry> missing) {
    long bytes = missing.stream().mapToLong(entry -> entry.eventBytes()).sum();
    if (bytes >= ReplicationConstants.LARGE_APPEND_BYTES) {
      long arrivesBeforeMs =
          environment.nowMs()
              + ReplicationConstants.LARGE_APPEND_MIN_MS
              + transferToAllReplicasMs(bytes);
      follower.recordLargeAppend(from, from + missing.size() - 1, arrivesBeforeMs);
    }
  }

  /**
   * The longest time, in milliseconds, to send so many bytes to all replicas over one slow link.
   */
  long transferToAllReplicasMs(long bytes) {
    return bytes * followers.size() / ReplicationConstants.SLOW_LINK_BYTES_PER_MS;
  }
}
