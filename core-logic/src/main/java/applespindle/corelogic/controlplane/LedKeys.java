package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.membership.KeyLeadership;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.node.TraceLog;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.LeadershipTransfer;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.protocol.MessageSender;
import applespindle.corelogic.replication.ElectionOutcome;
import applespindle.corelogic.replication.Elections;
import applespindle.corelogic.replication.LogReplica;
import applespindle.corelogic.replication.LogReplicas;
import applespindle.corelogic.replication.ReplicatedLogLeader;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The keys of the control plane that this node leads, and the elections by which it becomes the
 * leader of others.
 *
 * <p>State owned: the led keys and the elections in progress. A key is added when an election is
 * won and removed when its leadership is lost, transferred or resigned. Invariants: a key is listed
 * exactly while this node believes to lead it; except for a transfer, an election starts only at
 * the live member that is first in the key's rendezvous order, and only once the key's leader has
 * timed out.
 */
final class LedKeys implements KeyLeadership {
  private final Environment environment;
  private final NodeIdentity identity;
  private final QuorumView quorum;
  private final LogReplicas replicas;
  private final MetadataTable table;
  private final TraceLog traceLog;
  private final MessageSender sender;
  private final BooleanSupplier stopping;
  private final Consumer<LedKey> leadershipListener;
  private final Elections elections;

  /** By key, in the order of the keys. */
  private final Map<String, LedKey> ledKeys = new TreeMap<>();

  LedKeys(
      Environment environment,
      NodeIdentity identity,
      QuorumView quorum,
      LogReplicas replicas,
      MetadataTable table,
      TraceLog traceLog,
      MessageSender sender,
      BooleanSupplier stopping,
      Consumer<LedKey> leadershipListener) {
    this.environment = environment;
    this.identity = identity;
    this.quorum = quorum;
    this.replicas = replicas;
    this.table = table;
    this.traceLog = traceLog;
    this.sender = sender;
    this.stopping = stopping;
    this.leadershipListener = leadershipListener;
    this.elections =
        new Elections(
            environment,
            identity.id(),
            sender,
            key -> quorum.replicaConfiguration(),
            this::leadershipTaken,
            true);
  }

  /** By key, in the order of the keys. */
  Map<String, LedKey> all() {
    return ledKeys;
  }

  /** The key with its state; null if this node does not lead it. */
  LedKey get(String key) {
    return ledKeys.get(key);
  }

  @Override
  public List<String> keysInContactWithQuorum() {
    return ledKeys.values().stream()
        .filter(ledKey -> ledKey.leader().isInContactWithQuorum())
        .map(ledKey -> ledKey.key())
        .toList();
  }

  @Override
  public void noteContact(String replicaId) {
    ledKeys.values().forEach(ledKey -> ledKey.leader().recordContact(replicaId));
  }

  // ---- taking the leadership

  /** Starts an election for the key, or joins the one in progress. */
  void elect(String key) {
    elect(key, outcome -> {});
  }

  /** The same; the callback gets the outcome once. */
  void elect(String key, Consumer<ElectionOutcome> then) {
    elections.elect(key, false, then);
  }

  /** Starts an election for a key whose leader transfers the leadership to this node. */
  void acceptTransfer(String key) {
    elections.elect(key, true, outcome -> {});
  }

  /** Starts an election if the key has no leader in contact and this node is preferred for it. */
  void electIfVacant(String key) {
    LogReplica replica = replicas.replicas().get(key);
    if ((replica == null || replicas.isLeaderTimedOut(replica))
        && quorum.isPreferredLeaderOf(key)) {
      elect(key);
    }
  }

  /**
   * Starts elections for the keys with a replica here that have no leader in contact and for which
   * this node is preferred. Does nothing without contact to a majority.
   */
  void electForLeaderlessKeys() {
    if (!quorum.isInContactWithMajority()) {
      return;
    }
    List<String> live = quorum.liveMembers();
    replicas
        .replicas()
        .forEach(
            (key, replica) -> {
              if (!ledKeys.containsKey(key)
                  && replicas.isLeaderTimedOut(replica)
                  && (needsLeader(key) || replicas.hasUncommittedEntries(key))
                  && identity.id().equals(RendezvousHashing.first(key, live))) {
                elect(key);
              }
            });
  }

  /** Keys of members that are not live need no leader until a command is sent for them. */
  private boolean needsLeader(String key) {
    MetadataRecord metadataRecord = table.get(key);
    if (metadataRecord != null && key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      return Json.read(metadataRecord.value(), NodeRegistration.class).live();
    }
    return metadataRecord != null || key.equals(MetadataKeys.BATCH_CAPACITY);
  }

  private void leadershipTaken(ReplicatedLogLeader logLeader) {
    LedKey ledKey = new LedKey(logLeader);
    logLeader.entries().forEach(ledKey::replay);
    ledKey.setLeaseExpiry(environment.nowMs() + MembershipConstants.LEASE_DURATION_MS);
    ledKeys.put(logLeader.key, ledKey);
    logLeader.onLeadershipLost(
        () -> {
          ledKeys.remove(logLeader.key);
          traceLog.add("lost", logLeader.key, "");
        });
    traceLog.add("owned", logLeader.key, "epoch " + logLeader.epoch().counter());
    leadershipListener.accept(ledKey);
  }

  // ---- leading

  /**
   * Appends a complete new value of the key. The callback gets null once a majority has stored it,
   * or an error if that took too long or the leadership was lost.
   */
  void put(LedKey ledKey, Object value, Consumer<ApiError> then) {
    ledKey.append(value, then);
  }

  /** Lets every led key and every election continue with the membership as it is known now. */
  void reconfigure() {
    List.copyOf(ledKeys.values())
        .forEach(ledKey -> ledKey.leader().reconfigure(quorum.replicaConfiguration()));
    elections.reconfigure();
  }

  void handleVoteResponse(VoteResponse message, String fromId) {
    elections.handleVoteResponse(message, fromId);
  }

  void handleLogFetchResponse(LogFetchResponse message) {
    elections.handleLogFetchResponse(message);
  }

  void handleAppendResponse(AppendResponse message, String fromId) {
    LedKey ledKey = ledKeys.get(message.key());
    ReplicatedLogLeader logLeader =
        ledKey != null ? ledKey.leader() : elections.inProgress(message.key());
    if (logLeader != null) {
      logLeader.handleAppendResponse(message, fromId);
    }
  }

  // ---- ending the leadership

  /** Resigns from all keys without a successor, because this node is no longer a replica. */
  void resignAll() {
    List.copyOf(ledKeys.values()).forEach(ledKey -> ledKey.leader().resign());
    ledKeys.clear();
  }

  /** Transfers all keys, because this process stops. */
  void transferAll() {
    List.copyOf(ledKeys.keySet()).forEach(this::transfer);
  }

  /**
   * Resigns from a key and has the next live member in the key's order start an election. Without
   * such a member the leadership is kept, unless this process stops.
   */
  void transfer(String key) {
    String successor =
        RendezvousHashing.order(key, quorum.liveMembers()).stream()
            .filter(id -> !id.equals(identity.id()))
            .findFirst()
            .orElse("");
    if (successor.isEmpty() && !stopping.getAsBoolean()) {
      return;
    }
    ReplicatedLogLeader logLeader = ledKeys.remove(key).leader();
    logLeader.resign();
    if (!successor.isEmpty()) {
      sender.send(
          quorum.addressOf(successor),
          successor,
          new LeadershipTransfer(key, logLeader.epoch(), logLeader.lastSequence()));
    }
  }
}
