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
 * The core keys that this node leads, and its claims to lead others. Invariant: a key is listed
 * from a won claim until its leadership is lost, transferred or given up; of the live members the
 * first in the key's agreed order claims it, and only once its leader has been silent.
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
      Consumer<LedKey> whenLed) {
    this.environment = environment;
    this.identity = identity;
    this.quorum = quorum;
    this.replicas = replicas;
    this.table = table;
    this.traceLog = traceLog;
    this.sender = sender;
    this.stopping = stopping;
    this.leadershipListener = whenLed;
    this.elections =
        new Elections(
            environment,
            identity.id(),
            sender,
            key -> quorum.replicaConfiguration(),
            this::begin,
            true);
  }

  /** By key, in the order of the keys. */
  Map<String, LedKey> all() {
    return ledKeys;
  }

  /** Null if this node does not lead the key. */
  LedKey get(String key) {
    return ledKeys.get(key);
  }

  @Override
  public List<String> keysInContactWithQuorum() {
    return ledKeys.values().stream()
        .filter(ledKey -> ledKey.leader.isInContactWithQuorum())
        .map(ledKey -> ledKey.leader.key)
        .toList();
  }

  @Override
  public void noteContact(String replicaId) {
    ledKeys.values().forEach(ledKey -> ledKey.leader.noteContact(replicaId));
  }

  // ---- taking the leadership

  void elect(String key) {
    elect(key, outcome -> {});
  }

  void elect(String key, Consumer<ElectionOutcome> then) {
    elections.elect(key, false, then);
  }

  /** Takes a key that its leader transfers to this node. */
  void acceptTransfer(String key) {
    elections.elect(key, true, outcome -> {});
  }

  /** Claims a key if nobody is heard to lead it and this node comes first for it. */
  void electIfVacant(String key) {
    LogReplica replica = replicas.replicas().get(key);
    if ((replica == null || replicas.isLeaderTimedOut(replica))
        && quorum.isPreferredLeaderOf(key)) {
      elect(key);
    }
  }

  /** Claims the keys held here that have lost their leader and for which this node comes first. */
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

  /**
   * Keys of members that have gone and of workers that were removed rest until a command asks for
   * them.
   */
  private boolean needsLeader(String key) {
    MetadataRecord metadataRecord = table.get(key);
    if (metadataRecord != null && key.startsWith(MetadataKeys.MEMBER_PREFIX)) {
      return Json.read(metadataRecord.value(), NodeRegistration.class).live();
    }
    return metadataRecord != null || key.equals(MetadataKeys.BATCH_CAPACITY);
  }

  private void begin(ReplicatedLogLeader logLeader) {
    LedKey ledKey = new LedKey(logLeader);
    logLeader.entries().forEach(ledKey::replay);
    ledKey.leaseExpiresAt = environment.nowMs() + MembershipConstants.LEASE_DURATION_MS;
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

  /** Appends the key's whole new value; the callback runs once it is on a majority. */
  void put(LedKey ledKey, Object value, Consumer<ApiError> then) {
    byte[] event = Json.bytes(value);
    ledKey.value = Json.tree(event);
    ledKey.valueSequence = ledKey.leader.append(true, event, then);
  }

  /** Lets every key and every claim go on with the membership as it is known now. */
  void reconfigure() {
    List.copyOf(ledKeys.values())
        .forEach(ledKey -> ledKey.leader.reconfigure(quorum.replicaConfiguration()));
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
        ledKey != null ? ledKey.leader : elections.inProgress(message.key());
    if (logLeader != null) {
      logLeader.handleAppendResponse(message, fromId);
    }
  }

  // ---- giving the leadership up

  /** Gives all keys up at once, without a successor: this node is no replica any more. */
  void resignAll() {
    List.copyOf(ledKeys.values()).forEach(ledKey -> ledKey.leader.resign());
    ledKeys.clear();
  }

  void transferAll() {
    List.copyOf(ledKeys.keySet()).forEach(this::transfer);
  }

  /**
   * Gives a key up and tells the next live member to take it. With no such member the key is kept,
   * unless this process stops.
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
    ReplicatedLogLeader logLeader = ledKeys.remove(key).leader;
    logLeader.resign();
    if (!successor.isEmpty()) {
      sender.send(
          quorum.addressOf(successor),
          successor,
          new LeadershipTransfer(key, logLeader.epoch(), logLeader.lastSequence()));
    }
  }
}
