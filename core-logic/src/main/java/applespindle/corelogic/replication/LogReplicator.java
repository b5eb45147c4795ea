package applespindle.corelogic.replication;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.MessageSender;
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
  private final Environment environment;
  private final String nodeId;
  private final MessageSender sender;
  private final String key;
  private final LeaderLog log;
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
      ReplicaConfiguration configuration) {
    this.environment = environment;
    this.nodeId = nodeId;
    this.sender = sender;
    this.key = key;
    this.log = log;
    this.configuration = configuration;
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

  /** Sends again from the entry that the replica lacks, unless that entry is in flight. */
  void retryFrom(FollowerProgress follower, long sequence) {
    if (!follower.isInFlight(sequence, environment.nowMs())) {
      follower.nextSequence = Math.max(1, Math.min(sequence, log.lastSequence()));
      sendAppend(follower);
    }
  }

  private void sendAppend(FollowerProgress follower) {
    long first = log.firstSequence();
    long next = follower.nextSequence;
    long from = next < first || next == 1 ? first : next;
    List<LogEntry> missing = log.entriesFrom(from);
    long previous = from == first ? 0 : from - 1;
    Epoch previousEpoch = from == first ? Epoch.NONE : log.epochAt(previous);
    follower.recordAppend(log.lastSequence(), log.committedSequence());
    recordIfLarge(follower, from, missing);
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
            missing));
  }

  private void recordIfLarge(FollowerProgress follower, long from, List<LogEntry> missing) {
    long bytes = missing.stream().mapToLong(entry -> entry.eventBytes()).sum();
    if (bytes >= ReplicationConstants.LARGE_APPEND_BYTES) {
      long arrivesBeforeMs =
          environment.nowMs()
              + ReplicationConstants.LARGE_APPEND_MIN_MS
              + transferToAllReplicasMs(bytes);
      follower.recordLargeAppend(from, log.lastSequence(), arrivesBeforeMs);
    }
  }

  /**
   * The longest time, in milliseconds, to send so many bytes to all replicas over one slow link.
   */
  long transferToAllReplicasMs(long bytes) {
    return bytes * followers.size() / ReplicationConstants.SLOW_LINK_BYTES_PER_MS;
  }
}
