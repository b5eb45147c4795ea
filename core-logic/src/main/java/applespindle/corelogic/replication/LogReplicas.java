package applespindle.corelogic.replication;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntries;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.MessageSender;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * The replicas that one node keeps, one for each key: the node's entry to them. The records and
 * their order on disk belong to {@link ReplicaStore}, elections to {@link VoteHandler}, appends to
 * {@link AppendHandler}, and what joining replicas are sent to {@link SnapshotPages}.
 *
 * <p>Order of calls: {@link #recover} for each record on disk, then {@link #finishRecovery} once,
 * then messages. A node whose disk doesn't accept writes answers neither votes nor appends.
 *
 * <p>Invariants, over restarts too: the promised epoch of a key never falls, nor does its commit
 * position; a committed entry is never replaced.
 */
public final class LogReplicas {
  private final Environment environment;
  private final ReplicaStore store;
  private final VoteHandler voteHandler;
  private final AppendHandler appendHandler;
  private final SnapshotPages snapshotPages;
  private final UncommittedEntries uncommittedEntries = new UncommittedEntries();

  /**
   * @param commitListener gets each committed entry with its key, once per process and in log order
   * @param configurationNameOf names the replica configuration that a key belongs to; keys of one
   *     configuration change their replicas together
   */
  public LogReplicas(
      Environment environment,
      MessageSender sender,
      BiConsumer<String, LogEntry> commitListener,
      UnaryOperator<String> configurationNameOf) {
    this.environment = environment;
    this.store = new ReplicaStore(environment, commitListener, configurationNameOf);
    this.voteHandler = new VoteHandler(environment, sender, store);
    this.appendHandler = new AppendHandler(environment, sender, store);
    this.snapshotPages = new SnapshotPages(store.replicas(), configurationNameOf);
  }

  /** All replicas by key, not a copy. */
  public Map<String, LogReplica> replicas() {
    return store.replicas();
  }

  /** What a checker of invariants may see of one key. */
  public record View(Epoch promisedEpoch, List<LogEntry> committedEntries) {}

  /** The key of the last message taken, for a checker; empty before the first. */
  public String lastChangedKey() {
    return store.lastChangedKey();
  }

  /** The view of a key that this node has a replica of. */
  public View view(String key) {
    LogReplica replica = store.find(key);
    return new View(
        replica.promisedEpoch,
        replica.entries.stream()
            .filter(entry -> entry.sequence() <= replica.committedSequence)
            .toList());
  }

  /** Whether an entry that matches is held at the sequence, or a snapshot after it is. */
  public boolean holds(String key, long sequence, Predicate<LogEntry> same) {
    LogReplica replica = store.find(key);
    if (replica == null || replica.entries.isEmpty()) {
      return false;
    }
    LogEntry entry = replica.entryAt(sequence);
    return entry != null ? same.test(entry) : replica.entries.get(0).sequence() > sequence;
  }

  /** The replica of a key; an empty one is created if the node has none. */
  public LogReplica replica(String key) {
    return store.getOrCreate(key);
  }

  /** Replays one record of this node's disk at the start, in the order of writing. */
  public void recover(LogRecord record) {
    store.recover(record);
  }

  /** To be called once all records are replayed; passes the committed entries to the listener. */
  public void finishRecovery() {
    store.announceRecovered();
    uncommittedEntries.recovered(store.replicas());
  }

  /**
   * Another replica knows a committed event at this sequence: recovered entries up to there are no
   * longer undecided.
   */
  public void committedElsewhere(String key, long sequence) {
    uncommittedEntries.recordCommittedElsewhere(key, sequence);
  }

  /** Whether the key may hold a recovered event whose commit is not known; its leader decides. */
  public boolean hasUncommittedEntries(String key) {
    return uncommittedEntries.contains(key, store.replicas());
  }

  /** Whether {@link #hasUncommittedEntries} holds for any key that matches. */
  public boolean anyUncommittedEntries(Predicate<String> keys) {
    return uncommittedEntries.containsAny(keys, store.replicas());
  }

  /** The records that stand for all state, so that older segments of the disk can go. */
  public List<LogRecord> checkpoint() {
    return store.checkpoint();
  }

  /**
   * Records that a configuration has this version, and with that refuses messages of lower ones;
   * the callback runs once it is synced.
   */
  public void adoptConfiguration(String name, long version, Runnable whenSynced) {
    store.configurationVersions().adopt(name, version, whenSynced);
  }

  /** The highest version known of a configuration; 0 while none is known. */
  public long configurationVersion(String name) {
    return store.configurationVersions().get(name);
  }

  /** Answers a candidate's pre-vote or vote request. */
  public void handleVoteRequest(VoteRequest message, String fromId, String fromAddress) {
    if (environment.acceptsWrites()) {
      voteHandler.handleVoteRequest(message, fromId, fromAddress);
    }
  }

  /** Sends a candidate that this replica voted for a part of its log. */
  public void handleLogFetchRequest(LogFetchRequest message, String fromId, String fromAddress) {
    voteHandler.handleLogFetchRequest(message, fromId, fromAddress);
  }

  /** Takes a leader's append or heartbeat, and answers it once what it brought is synced. */
  public void handleAppendRequest(AppendRequest message, String fromId, String fromAddress) {
    if (environment.acceptsWrites()) {
      appendHandler.handleAppendRequest(message, fromId, fromAddress);
    }
  }

  /**
   * The leader's process said that it still leads the key; as good as a heartbeat, unless another
   * leader was in contact since. Ignored for a key that this node has no replica of.
   */
  public void recordLeaderContact(String key, String leaderId, String leaderAddress) {
    LogReplica replica = store.find(key);
    if (replica != null && (replica.leaderId.isEmpty() || replica.leaderId.equals(leaderId))) {
      replica.leaderId = leaderId;
      replica.leaderAddress = leaderAddress;
      replica.leaderContactAtMs = environment.nowMs();
    }
  }

  /** Whether the key's leader was not in contact within the leader timeout, or never. */
  public boolean isLeaderTimedOut(LogReplica replica) {
    return replica.isLeaderTimedOut(environment.nowMs());
  }

  /** The candidate or leader last in contact, unless timed out; else {@link NodeAddress#NONE}. */
  public NodeAddress knownLeader(LogReplica replica) {
    return replica.knownLeader(environment.nowMs());
  }

  /** For the keys of a configuration after the given one, the end of each log that isn't empty. */
  Map<String, LogEndPosition> logEndsOf(String configurationName, String afterKey) {
    return snapshotPages.logEndsOf(configurationName, afterKey);
  }

  /**
   * The next keys of a configuration after the given one, up to a size in bytes; what a joining
   * replica starts from. For a log that it has a part of, the last entry of that part and what
   * follows.
   */
  List<ReplicaSnapshot> snapshotsOf(
      String configurationName, String afterKey, Map<String, LogEndPosition> known, int maxBytes) {
    return snapshotPages.page(configurationName, afterKey, known, maxBytes);
  }

  /** An entry that is held here, by position and epoch. */
  Optional<LogEntry> heldEntry(String key, long sequence, Epoch epoch) {
    LogReplica replica = store.find(key);
    LogEntry entry = replica == null ? null : replica.entryAt(sequence);
    return Optional.ofNullable(entry).filter(held -> held.epoch().equals(epoch));
  }

  /**
   * Takes over another replica's log of a key if it is the more recent one, by the same rule as an
   * election. The promised epoch is taken over too, so that an epoch refused there is refused here.
   *
   * @return false, and nothing is taken, if it is a part that does not follow on what is held here
   *     any more
   */
  boolean merge(ReplicaSnapshot other, Runnable whenSynced) {
    LogReplica replica = store.getOrCreate(other.key());
    if (other.partial()) {
      LogEntry shared = replica.entryAt(other.entries().get(0).sequence());
      if (shared == null || !shared.epoch().equals(other.entries().get(0).epoch())) {
        return false;
      }
    }
    List<LogRecord> records = new ArrayList<>();
    ReplicaStore.raisePromisedEpoch(other.key(), replica, other.promisedEpoch(), records);
    if (LogEntries.isMoreUpToDate(other.entries(), replica.entries)) {
      ReplicaStore.putNewEntries(other.key(), replica, other.entries(), records);
    }
    long committed = Math.min(other.committedSequence(), replica.lastSequence());
    store.commit(other.key(), replica, committed, records);
    store.afterSync(replica, records, whenSynced);
    return true;
  }
}
