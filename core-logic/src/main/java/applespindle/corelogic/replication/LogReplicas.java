package applespindle.corelogic.replication;

import static applespindle.corelogic.protocol.Message.Verdict.LEADER_ALIVE;
import static applespindle.corelogic.protocol.Message.Verdict.LOG_MISMATCH;
import static applespindle.corelogic.protocol.Message.Verdict.OK;
import static applespindle.corelogic.protocol.Message.Verdict.STALE_CONFIGURATION;
import static applespindle.corelogic.protocol.Message.Verdict.STALE_EPOCH;
import static applespindle.corelogic.protocol.Message.Verdict.WOULD_GRANT;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntries;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.protocol.MessageSender;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * One node's copies of owned keys: it promises epochs, takes entries in order, and refuses older
 * epochs.
 */
public final class LogReplicas {

  private final Environment environment;
  private final BiConsumer<String, LogEntry> commitListener;
  private final TreeMap<String, LogReplica> replicas = new TreeMap<>();

  private final ReplicaConfigurationVersions configurationVersions;
  private final UnaryOperator<String> configurationNameOf;
  private final MessageSender sender;
  private String lastChangedKey = "";

  private final UncommittedEntries uncommittedEntries = new UncommittedEntries();
  private final SnapshotPages pages;

  /**
   * configurationNameOf tells which set a key belongs to: keys of one set change their replicas
   * together.
   */
  public LogReplicas(
      Environment environment,
      MessageSender sender,
      BiConsumer<String, LogEntry> whenCommitted,
      UnaryOperator<String> setNameOf) {
    this.configurationNameOf = setNameOf;
    this.environment = environment;
    this.sender = sender;
    this.commitListener = whenCommitted;
    this.configurationVersions = new ReplicaConfigurationVersions(environment);
    this.pages = new SnapshotPages(replicas, setNameOf);
  }

  public Map<String, LogReplica> replicas() {
    return replicas;
  }

  /** What a checker of invariants may see of one key. */
  public record View(Epoch promised, List<LogEntry> committedEntries) {}

  /** The key of the last message taken, for a checker; empty before the first. */
  public String lastChangedKey() {
    return lastChangedKey;
  }

  public View view(String key) {
    LogReplica replica = replicas.get(key);
    return new View(
        replica.promisedEpoch,
        replica.entries.stream()
            .filter(entry -> entry.sequence() <= replica.committedSequence)
            .toList());
  }

  /** Whether the entry stands here, or a whole entry after it does. */
  public boolean holds(String key, long sequence, Predicate<LogEntry> same) {
    LogReplica replica = replicas.get(key);
    if (replica == null || replica.entries.isEmpty()) {
      return false;
    }
    LogEntry entry = replica.entryAt(sequence);
    return entry != null ? same.test(entry) : replica.entries.get(0).sequence() > sequence;
  }

  public LogReplica replica(String key) {
    lastChangedKey = key;
    return replicas.computeIfAbsent(key, missing -> new LogReplica());
  }

  /** Replays one record of this node's log at start. */
  public void recover(LogRecord record) {
    if (record.kind() == Kind.SET) {
      configurationVersions.recover(record);
      return;
    }
    LogReplica replica = replica(record.key());
    switch (record.kind()) {
      case PROMISE -> {
        if (replica.promisedEpoch.isBelow(record.epoch())) {
          replica.promisedEpoch = record.epoch();
        }
      }
      case ENTRY ->
          replica.put(
              new LogEntry(record.sequence(), record.epoch(), record.snapshot(), record.payload()));
      case COMMITTED -> {
        replica.committedSequence =
            Math.max(
                replica.committedSequence, Math.min(record.sequence(), replica.lastSequence()));
        replica.trim();
      }
      default -> {}
    }
  }

  public void finishRecovery() {
    replicas.forEach(this::announce);
    uncommittedEntries.recovered(replicas);
  }

  /** Another replica knows a committed event at this place: what stands up to there is decided. */
  public void committedElsewhere(String key, long sequence) {
    uncommittedEntries.committedElsewhere(key, sequence);
  }

  /** Whether the key may hold an event whose commit is not known; its leader decides that. */
  public boolean hasUncommittedEntries(String key) {
    return uncommittedEntries.contains(key, replicas);
  }

  public boolean anyUncommittedEntries(Predicate<String> keys) {
    return uncommittedEntries.containsAny(keys, replicas);
  }

  /** Everything a new log needs in order to stand without the older segments. */
  public List<LogRecord> checkpoint() {
    List<LogRecord> records = new ArrayList<>(configurationVersions.records());
    replicas.forEach(
        (key, replica) -> {
          records.add(LogRecords.promise(key, replica.promisedEpoch));
          replica.entries.forEach(entry -> records.add(LogRecords.entry(key, entry)));
          records.add(LogRecords.committed(key, replica.committedSequence));
        });
    return records;
  }

  /**
   * Records that the set has this number, and with that refuses lower ones; the callback runs once
   * it is synced.
   */
  public void adoptConfiguration(String name, long number, Runnable whenSynced) {
    configurationVersions.adopt(name, number, whenSynced);
  }

  public long configurationVersion(String name) {
    return configurationVersions.get(name);
  }

  /**
   * True if the message speaks of an older set than the one known here; a newer one is recorded at
   * once, and afterSync holds the reply back until that record is synced.
   */
  private boolean isStaleConfiguration(String key, long setNumber) {
    return configurationVersions.isStale(configurationNameOf.apply(key), setNumber);
  }

  public void handleVoteRequest(VoteRequest message, String fromId, String fromAddress) {
    if (!environment.acceptsWrites()) {
      return;
    }
    if (message.preVote()) {
      sender.send(fromAddress, fromId, preVoteResponse(message));
      return;
    }
    LogReplica replica = replica(message.key());
    if (isStaleConfiguration(message.key(), message.configurationVersion())) {
      sender.send(fromAddress, fromId, voteResponse(message, replica, STALE_CONFIGURATION));
      return;
    }
    if (message.epoch().compareTo(replica.promisedEpoch) <= 0) {
      afterSync(
          replica,
          List.of(),
          () -> sender.send(fromAddress, fromId, voteResponse(message, replica, STALE_EPOCH)));
      return;
    }
    if (isProtectedForLeader(replica, message)) {
      sender.send(fromAddress, fromId, voteResponse(message, replica, LEADER_ALIVE));
      return;
    }
    replica.promisedEpoch = message.epoch();
    noteCandidate(replica, message.epoch(), fromAddress);
    afterSync(
        replica,
        List.of(LogRecords.promise(message.key(), replica.promisedEpoch)),
        () -> {
          boolean overtaken = message.epoch().isBelow(replica.promisedEpoch);
          sender.send(
              fromAddress, fromId, voteResponse(message, replica, overtaken ? STALE_EPOCH : OK));
        });
  }

  /** Another owner was heard within the takeover interval, and has not handed the key over. */
  private boolean isProtectedForLeader(LogReplica replica, VoteRequest message) {
    return !isLeaderSilent(replica)
        && !message.leadershipTransferred()
        && !replica.leaderId.equals(message.epoch().node());
  }

  /**
   * What a promise would meet here now; nothing is changed or written. The promised epoch is told,
   * so that the claimant's next is above it.
   */
  private VoteResponse preVoteResponse(VoteRequest message) {
    LogReplica known = replicas.get(message.key());
    LogReplica replica = known == null ? new LogReplica() : known;
    boolean old =
        message.configurationVersion()
            < configurationVersion(configurationNameOf.apply(message.key()));
    if (old) {
      return voteResponse(message, replica, STALE_CONFIGURATION);
    }
    return voteResponse(
        message, replica, isProtectedForLeader(replica, message) ? LEADER_ALIVE : WOULD_GRANT);
  }

  private VoteResponse voteResponse(VoteRequest message, LogReplica replica, Verdict verdict) {
    return new VoteResponse(
        message.key(),
        message.epoch(),
        verdict,
        replica.promisedEpoch,
        replica.leaderId,
        replica.leaderAddress,
        replica.committedSequence,
        replica.entries.isEmpty() ? 0 : replica.entries.get(0).sequence(),
        verdict == OK ? LogEntries.tail(replica.entries, message.maxTailBytes()) : List.of());
  }

  private void noteCandidate(LogReplica replica, Epoch epoch, String address) {
    replica.candidateId = epoch.node();
    replica.candidateAddress = address;
    replica.candidateHeardAt = environment.nowMs();
  }

  /**
   * Tells a claimant a part of the log. Logs that hold the same entry are the same up to it; one
   * that holds another entry behind the part, as after a copy was taken in, is refused, so that no
   * log is put together of two.
   */
  public void handleLogFetchRequest(LogFetchRequest message, String fromId, String fromAddress) {
    LogReplica replica = replicas.get(message.key());
    if (replica == null || replica.promisedEpoch.isBelow(message.epoch())) {
      return;
    }
    LogEntry next = replica.entryAt(message.toSequence() + 1);
    boolean sameLog = next != null && next.epoch().equals(message.nextEpoch());
    boolean overtaken = message.epoch().isBelow(replica.promisedEpoch) || !sameLog;
    if (!overtaken) {
      noteCandidate(replica, message.epoch(), fromAddress);
    }
    sender.send(
        fromAddress,
        fromId,
        new LogFetchResponse(
            message.key(),
            message.epoch(),
            overtaken ? STALE_EPOCH : OK,
            overtaken
                ? List.of()
                : LogEntries.slice(replica.entries, message.fromSequence(), message.toSequence())));
  }

  /** A claimant counts for as long as it would wait for promises, an owner until its takeover. */
  public NodeAddress knownLeader(LogReplica replica) {
    long now = environment.nowMs();
    boolean claimed = now - replica.candidateHeardAt < ReplicationConstants.LOG_FETCH_TIMEOUT_MS;
    if (claimed && replica.candidateHeardAt > replica.leaderHeardAt) {
      return new NodeAddress(replica.candidateId, replica.candidateAddress);
    }
    return isLeaderSilent(replica)
        ? NodeAddress.NONE
        : new NodeAddress(replica.leaderId, replica.leaderAddress);
  }

  public void handleAppendRequest(AppendRequest message, String fromId, String fromAddress) {
    if (!environment.acceptsWrites()) {
      return;
    }
    LogReplica replica = replica(message.key());
    if (isStaleConfiguration(message.key(), message.configurationVersion())) {
      sender.send(
          fromAddress,
          fromId,
          appendResponse(message, STALE_CONFIGURATION, replica.promisedEpoch, 0));
      return;
    }
    if (message.epoch().isBelow(replica.promisedEpoch)) {
      sender.send(
          fromAddress, fromId, appendResponse(message, STALE_EPOCH, replica.promisedEpoch, 0));
      return;
    }
    List<LogRecord> records = new ArrayList<>();
    raisePromisedEpoch(message.key(), replica, message.epoch(), records);
    noteLeader(replica, message, fromAddress);
    if (!follows(replica, message)) {
      long previous = message.previousSequence();
      long hint =
          previous > replica.lastSequence() ? replica.lastSequence() : replica.committedSequence;
      afterSync(
          replica,
          records,
          () ->
              sender.send(
                  fromAddress,
                  fromId,
                  appendResponse(message, LOG_MISMATCH, replica.promisedEpoch, hint)));
      return;
    }
    putNewEntries(message.key(), replica, message.entries(), records);
    long matched = lastSequence(message);
    afterSync(
        replica,
        records,
        () -> {
          boolean overtaken = message.epoch().isBelow(replica.promisedEpoch);
          Verdict verdict = overtaken ? STALE_EPOCH : OK;
          sender.send(
              fromAddress,
              fromId,
              appendResponse(message, verdict, replica.promisedEpoch, matched));
        });
    commit(message.key(), replica, Math.min(message.committedSequence(), matched));
  }

  /** Promises this epoch if it is higher than the one promised, and adds the record of that. */
  private static void raisePromisedEpoch(
      String key, LogReplica replica, Epoch epoch, List<LogRecord> records) {
    if (replica.promisedEpoch.isBelow(epoch)) {
      replica.promisedEpoch = epoch;
      records.add(LogRecords.promise(key, epoch));
    }
  }

  private void noteLeader(LogReplica replica, AppendRequest message, String fromAddress) {
    replica.leaderId = message.epoch().node();
    replica.leaderAddress = fromAddress;
    // An owner that waits for this very disk is not cut off.
    if (message.inContactWithQuorum() || replica.unsyncedWrites > 0) {
      replica.leaderHeardAt = environment.nowMs();
    }
  }

  /** Whether the entries of the message follow on what is held here. */
  private static boolean follows(LogReplica replica, AppendRequest message) {
    if (message.previousSequence() == 0) {
      return !message.entries().isEmpty() || replica.entries.isEmpty();
    }
    LogEntry predecessor = replica.entryAt(message.previousSequence());
    return predecessor != null && predecessor.epoch().equals(message.previousEpoch());
  }

  /** Places the entries that are not held yet, and adds their records. */
  private static void putNewEntries(
      String key, LogReplica replica, List<LogEntry> entries, List<LogRecord> records) {
    for (LogEntry entry : entries) {
      if (!replica.contains(entry)) {
        replica.put(entry);
        records.add(LogRecords.entry(key, entry));
      }
    }
  }

  private static long lastSequence(AppendRequest message) {
    List<LogEntry> entries = message.entries();
    return entries.isEmpty()
        ? message.previousSequence()
        : entries.get(entries.size() - 1).sequence();
  }

  /**
   * Notes how far the log is committed, behind the entries that this speaks of: a power loss
   * between the two must not leave a mark that covers a tail which those entries replace. No reply
   * speaks of the mark, so none waits for it.
   */
  private void commit(String key, LogReplica replica, long committed) {
    if (committed <= replica.committedSequence) {
      return;
    }
    replica.committedSequence = committed;
    environment.write(List.of(LogRecords.committed(key, committed)), () -> {});
    announce(key, replica);
    replica.trim();
  }

  private AppendResponse appendResponse(
      AppendRequest message, Verdict verdict, Epoch promised, long matched) {
    return new AppendResponse(
        message.key(), message.epoch(), message.round(), verdict, promised, matched);
  }

  /**
   * No reply leaves before what it speaks of is synced, be it written by this message or an earlier
   * one.
   */
  private void afterSync(LogReplica replica, List<LogRecord> records, Runnable reply) {
    if (records.isEmpty() && replica.unsyncedWrites == 0 && configurationVersions.synced()) {
      reply.run();
      return;
    }
    replica.unsyncedWrites++;
    environment.write(
        records,
        () -> {
          replica.unsyncedWrites--;
          reply.run();
        });
  }

  /** Of the keys of a set after the given one, how far each is held here. */
  Map<String, LogEndPosition> logEndsOf(String setName, String afterKey) {
    return pages.heldOf(setName, afterKey);
  }

  /**
   * The next keys of a set after the given one, up to a size; what a newcomer starts from. Of a log
   * that it holds a part of, the last entry of that part and what follows.
   */
  List<ReplicaSnapshot> snapshotsOf(
      String setName, String afterKey, Map<String, LogEndPosition> held, int bytesMost) {
    return pages.copiesOf(setName, afterKey, held, bytesMost);
  }

  /**
   * Takes over another replica's copy of a key if its log is the newer one, by the same rule as an
   * owner's claim. The promise is taken over too, so that an epoch refused there is refused here.
   * False, and nothing is taken, if it is a part that does not follow on what is held here any
   * more.
   */
  boolean merge(ReplicaSnapshot other, Runnable whenSynced) {
    LogReplica replica = replica(other.key());
    if (other.partial()) {
      LogEntry shared = replica.entryAt(other.entries().get(0).sequence());
      if (shared == null || !shared.epoch().equals(other.entries().get(0).epoch())) {
        return false;
      }
    }
    List<LogRecord> records = new ArrayList<>();
    raisePromisedEpoch(other.key(), replica, other.promised(), records);
    if (LogEntries.isMoreUpToDate(other.entries(), replica.entries)) {
      putNewEntries(other.key(), replica, other.entries(), records);
    }
    long committed = Math.min(other.committed(), replica.lastSequence());
    if (committed > replica.committedSequence) {
      replica.committedSequence = committed;
      records.add(LogRecords.committed(other.key(), committed));
      announce(other.key(), replica);
      replica.trim();
    }
    afterSync(replica, records, whenSynced);
    return true;
  }

  private void announce(String key, LogReplica replica) {
    for (LogEntry entry : List.copyOf(replica.entries)) {
      if (entry.sequence() > replica.announcedSequence
          && entry.sequence() <= replica.committedSequence) {
        replica.announcedSequence = entry.sequence();
        commitListener.accept(key, entry);
      }
    }
  }

  /**
   * The owner's process said that it still owns the key; as good as a beat, unless another owner
   * was heard since.
   */
  public void noteLeaderContact(String key, String ownerId, String ownerAddress) {
    LogReplica replica = replicas.get(key);
    if (replica != null && (replica.leaderId.isEmpty() || replica.leaderId.equals(ownerId))) {
      replica.leaderId = ownerId;
      replica.leaderAddress = ownerAddress;
      replica.leaderHeardAt = environment.nowMs();
    }
  }

  public boolean isLeaderSilent(LogReplica replica) {
    return environment.nowMs() - replica.leaderHeardAt >= ReplicationConstants.LEADER_TIMEOUT_MS;
  }
}
