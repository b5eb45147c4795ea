package applespindle.corelogic.replication;

import static applespindle.corelogic.protocol.Message.Verdict.BEHIND;
import static applespindle.corelogic.protocol.Message.Verdict.BUSY;
import static applespindle.corelogic.protocol.Message.Verdict.OK;
import static applespindle.corelogic.protocol.Message.Verdict.OLD_SET;
import static applespindle.corelogic.protocol.Message.Verdict.REFUSED;
import static applespindle.corelogic.protocol.Message.Verdict.WOULD_PROMISE;

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

  private final Environment surroundings;
  private final BiConsumer<String, LogEntry> whenCommitted;
  private final TreeMap<String, LogReplica> copies = new TreeMap<>();

  private final ReplicaConfigurationVersions setNumbers;
  private final UnaryOperator<String> setNameOf;
  private final MessageSender replies;
  private String lastTouched = "";

  private final UncommittedEntries undecided = new UncommittedEntries();
  private final SnapshotPages pages;

  /** setNameOf tells which set a key belongs to: keys of one set change their replicas together. */
  public LogReplicas(
      Environment surroundings,
      MessageSender replies,
      BiConsumer<String, LogEntry> whenCommitted,
      UnaryOperator<String> setNameOf) {
    this.setNameOf = setNameOf;
    this.surroundings = surroundings;
    this.replies = replies;
    this.whenCommitted = whenCommitted;
    this.setNumbers = new ReplicaConfigurationVersions(surroundings);
    this.pages = new SnapshotPages(copies, setNameOf);
  }

  public Map<String, LogReplica> copies() {
    return copies;
  }

  /** What a checker of invariants may see of one key. */
  public record View(Epoch promised, List<LogEntry> committedEntries) {}

  /** The key of the last message taken, for a checker; empty before the first. */
  public String lastTouched() {
    return lastTouched;
  }

  public View view(String key) {
    LogReplica copy = copies.get(key);
    return new View(
        copy.promised,
        copy.entries.stream().filter(entry -> entry.sequence() <= copy.committed).toList());
  }

  /** Whether the entry stands here, or a whole entry after it does. */
  public boolean holds(String key, long sequence, Predicate<LogEntry> same) {
    LogReplica copy = copies.get(key);
    if (copy == null || copy.entries.isEmpty()) {
      return false;
    }
    LogEntry entry = copy.at(sequence);
    return entry != null ? same.test(entry) : copy.entries.get(0).sequence() > sequence;
  }

  public LogReplica copy(String key) {
    lastTouched = key;
    return copies.computeIfAbsent(key, missing -> new LogReplica());
  }

  /** Replays one record of this node's log at start. */
  public void recover(LogRecord record) {
    if (record.kind() == Kind.SET) {
      setNumbers.recover(record);
      return;
    }
    LogReplica copy = copy(record.key());
    switch (record.kind()) {
      case PROMISE -> {
        if (copy.promised.below(record.epoch())) {
          copy.promised = record.epoch();
        }
      }
      case ENTRY ->
          copy.place(
              new LogEntry(record.sequence(), record.epoch(), record.whole(), record.payload()));
      case COMMITTED -> {
        copy.committed = Math.max(copy.committed, Math.min(record.sequence(), copy.lastSequence()));
        copy.trim();
      }
      default -> {}
    }
  }

  public void recovered() {
    copies.forEach(this::announce);
    undecided.recovered(copies);
  }

  /** Another replica knows a committed event at this place: what stands up to there is decided. */
  public void committedElsewhere(String key, long sequence) {
    undecided.committedElsewhere(key, sequence);
  }

  /** Whether the key may hold an event whose commit is not known; its leader decides that. */
  public boolean undecided(String key) {
    return undecided.contains(key, copies);
  }

  public boolean anyUndecided(Predicate<String> keys) {
    return undecided.containsAny(keys, copies);
  }

  /** Everything a new log needs in order to stand without the older segments. */
  public List<LogRecord> checkpoint() {
    List<LogRecord> records = new ArrayList<>(setNumbers.records());
    copies.forEach(
        (key, copy) -> {
          records.add(LogRecords.promise(key, copy.promised));
          copy.entries.forEach(entry -> records.add(LogRecords.entry(key, entry)));
          records.add(LogRecords.committed(key, copy.committed));
        });
    return records;
  }

  /**
   * Records that the set has this number, and with that refuses lower ones; the callback runs once
   * it is synced.
   */
  public void learnSet(String name, long number, Runnable whenSynced) {
    setNumbers.learn(name, number, whenSynced);
  }

  public long setNumber(String name) {
    return setNumbers.get(name);
  }

  /**
   * True if the message speaks of an older set than the one known here; a newer one is recorded at
   * once, and afterSync holds the reply back until that record is synced.
   */
  private boolean oldSet(String key, long setNumber) {
    return setNumbers.isOld(setNameOf.apply(key), setNumber);
  }

  public void promise(VoteRequest message, String fromId, String fromAddress) {
    if (!surroundings.takesWrites()) {
      return;
    }
    if (message.trial()) {
      replies.send(fromAddress, fromId, triedPromise(message));
      return;
    }
    LogReplica copy = copy(message.key());
    if (oldSet(message.key(), message.setNumber())) {
      replies.send(fromAddress, fromId, promised(message, copy, OLD_SET));
      return;
    }
    if (message.epoch().compareTo(copy.promised) <= 0) {
      afterSync(
          copy,
          List.of(),
          () -> replies.send(fromAddress, fromId, promised(message, copy, REFUSED)));
      return;
    }
    if (keptForOwner(copy, message)) {
      replies.send(fromAddress, fromId, promised(message, copy, BUSY));
      return;
    }
    copy.promised = message.epoch();
    heardClaimant(copy, message.epoch(), fromAddress);
    afterSync(
        copy,
        List.of(LogRecords.promise(message.key(), copy.promised)),
        () -> {
          boolean overtaken = message.epoch().below(copy.promised);
          replies.send(fromAddress, fromId, promised(message, copy, overtaken ? REFUSED : OK));
        });
  }

  /** Another owner was heard within the takeover interval, and has not handed the key over. */
  private boolean keptForOwner(LogReplica copy, VoteRequest message) {
    return !ownerSilent(copy)
        && !message.handedOver()
        && !copy.owner.equals(message.epoch().node());
  }

  /**
   * What a promise would meet here now; nothing is changed or written. The promised epoch is told,
   * so that the claimant's next is above it.
   */
  private VoteResponse triedPromise(VoteRequest message) {
    LogReplica known = copies.get(message.key());
    LogReplica copy = known == null ? new LogReplica() : known;
    boolean old = message.setNumber() < setNumber(setNameOf.apply(message.key()));
    if (old) {
      return promised(message, copy, OLD_SET);
    }
    return promised(message, copy, keptForOwner(copy, message) ? BUSY : WOULD_PROMISE);
  }

  private VoteResponse promised(VoteRequest message, LogReplica copy, Verdict verdict) {
    return new VoteResponse(
        message.key(),
        message.epoch(),
        verdict,
        copy.promised,
        copy.owner,
        copy.ownerAddress,
        copy.committed,
        copy.entries.isEmpty() ? 0 : copy.entries.get(0).sequence(),
        verdict == OK ? LogEntries.tail(copy.entries, message.tailBytesMost()) : List.of());
  }

  private void heardClaimant(LogReplica copy, Epoch epoch, String address) {
    copy.claimant = epoch.node();
    copy.claimantAddress = address;
    copy.heardClaimantAt = surroundings.now();
  }

  /**
   * Tells a claimant a part of the log. Logs that hold the same entry are the same up to it; one
   * that holds another entry behind the part, as after a copy was taken in, is refused, so that no
   * log is put together of two.
   */
  public void tellLog(LogFetchRequest message, String fromId, String fromAddress) {
    LogReplica copy = copies.get(message.key());
    if (copy == null || copy.promised.below(message.epoch())) {
      return;
    }
    LogEntry next = copy.at(message.to() + 1);
    boolean sameLog = next != null && next.epoch().equals(message.nextEpoch());
    boolean overtaken = message.epoch().below(copy.promised) || !sameLog;
    if (!overtaken) {
      heardClaimant(copy, message.epoch(), fromAddress);
    }
    replies.send(
        fromAddress,
        fromId,
        new LogFetchResponse(
            message.key(),
            message.epoch(),
            overtaken ? REFUSED : OK,
            overtaken ? List.of() : LogEntries.part(copy.entries, message.from(), message.to())));
  }

  /** A claimant counts for as long as it would wait for promises, an owner until its takeover. */
  public NodeAddress holder(LogReplica copy) {
    long now = surroundings.now();
    boolean claimed = now - copy.heardClaimantAt < ReplicationConstants.LOG_FETCH_TIMEOUT_MS;
    if (claimed && copy.heardClaimantAt > copy.heardOwnerAt) {
      return new NodeAddress(copy.claimant, copy.claimantAddress);
    }
    return ownerSilent(copy) ? NodeAddress.NONE : new NodeAddress(copy.owner, copy.ownerAddress);
  }

  public void append(AppendRequest message, String fromId, String fromAddress) {
    if (!surroundings.takesWrites()) {
      return;
    }
    LogReplica copy = copy(message.key());
    if (oldSet(message.key(), message.setNumber())) {
      replies.send(fromAddress, fromId, appended(message, OLD_SET, copy.promised, 0));
      return;
    }
    if (message.epoch().below(copy.promised)) {
      replies.send(fromAddress, fromId, appended(message, REFUSED, copy.promised, 0));
      return;
    }
    List<LogRecord> records = new ArrayList<>();
    raisePromise(message.key(), copy, message.epoch(), records);
    heardOwner(copy, message, fromAddress);
    if (!follows(copy, message)) {
      long previous = message.previousSequence();
      long hint = previous > copy.lastSequence() ? copy.lastSequence() : copy.committed;
      afterSync(
          copy,
          records,
          () -> replies.send(fromAddress, fromId, appended(message, BEHIND, copy.promised, hint)));
      return;
    }
    placeNew(message.key(), copy, message.entries(), records);
    long matched = lastSequence(message);
    afterSync(
        copy,
        records,
        () -> {
          boolean overtaken = message.epoch().below(copy.promised);
          Verdict verdict = overtaken ? REFUSED : OK;
          replies.send(fromAddress, fromId, appended(message, verdict, copy.promised, matched));
        });
    commit(message.key(), copy, Math.min(message.committed(), matched));
  }

  /** Promises this epoch if it is higher than the one promised, and adds the record of that. */
  private static void raisePromise(
      String key, LogReplica copy, Epoch epoch, List<LogRecord> records) {
    if (copy.promised.below(epoch)) {
      copy.promised = epoch;
      records.add(LogRecords.promise(key, epoch));
    }
  }

  private void heardOwner(LogReplica copy, AppendRequest message, String fromAddress) {
    copy.owner = message.epoch().node();
    copy.ownerAddress = fromAddress;
    // An owner that waits for this very disk is not cut off.
    if (message.hearsMajority() || copy.unsynced > 0) {
      copy.heardOwnerAt = surroundings.now();
    }
  }

  /** Whether the entries of the message follow on what is held here. */
  private static boolean follows(LogReplica copy, AppendRequest message) {
    if (message.previousSequence() == 0) {
      return !message.entries().isEmpty() || copy.entries.isEmpty();
    }
    LogEntry predecessor = copy.at(message.previousSequence());
    return predecessor != null && predecessor.epoch().equals(message.previousEpoch());
  }

  /** Places the entries that are not held yet, and adds their records. */
  private static void placeNew(
      String key, LogReplica copy, List<LogEntry> entries, List<LogRecord> records) {
    for (LogEntry entry : entries) {
      if (!copy.holdsAlready(entry)) {
        copy.place(entry);
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
  private void commit(String key, LogReplica copy, long committed) {
    if (committed <= copy.committed) {
      return;
    }
    copy.committed = committed;
    surroundings.write(List.of(LogRecords.committed(key, committed)), () -> {});
    announce(key, copy);
    copy.trim();
  }

  private AppendResponse appended(
      AppendRequest message, Verdict verdict, Epoch promised, long matched) {
    return new AppendResponse(
        message.key(), message.epoch(), message.round(), verdict, promised, matched);
  }

  /**
   * No reply leaves before what it speaks of is synced, be it written by this message or an earlier
   * one.
   */
  private void afterSync(LogReplica copy, List<LogRecord> records, Runnable reply) {
    if (records.isEmpty() && copy.unsynced == 0 && setNumbers.synced()) {
      reply.run();
      return;
    }
    copy.unsynced++;
    surroundings.write(
        records,
        () -> {
          copy.unsynced--;
          reply.run();
        });
  }

  /** Of the keys of a set after the given one, how far each is held here. */
  Map<String, LogEndPosition> heldOf(String setName, String afterKey) {
    return pages.heldOf(setName, afterKey);
  }

  /**
   * The next keys of a set after the given one, up to a size; what a newcomer starts from. Of a log
   * that it holds a part of, the last entry of that part and what follows.
   */
  List<ReplicaSnapshot> copiesOf(
      String setName, String afterKey, Map<String, LogEndPosition> held, int bytesMost) {
    return pages.copiesOf(setName, afterKey, held, bytesMost);
  }

  /**
   * Takes over another replica's copy of a key if its log is the newer one, by the same rule as an
   * owner's claim. The promise is taken over too, so that an epoch refused there is refused here.
   * False, and nothing is taken, if it is a part that does not follow on what is held here any
   * more.
   */
  boolean absorb(ReplicaSnapshot other, Runnable whenSynced) {
    LogReplica copy = copy(other.key());
    if (other.partial()) {
      LogEntry shared = copy.at(other.entries().get(0).sequence());
      if (shared == null || !shared.epoch().equals(other.entries().get(0).epoch())) {
        return false;
      }
    }
    List<LogRecord> records = new ArrayList<>();
    raisePromise(other.key(), copy, other.promised(), records);
    if (ReplicatedLogLeader.newer(other.entries(), copy.entries)) {
      placeNew(other.key(), copy, other.entries(), records);
    }
    long committed = Math.min(other.committed(), copy.lastSequence());
    if (committed > copy.committed) {
      copy.committed = committed;
      records.add(LogRecords.committed(other.key(), committed));
      announce(other.key(), copy);
      copy.trim();
    }
    afterSync(copy, records, whenSynced);
    return true;
  }

  private void announce(String key, LogReplica copy) {
    for (LogEntry entry : List.copyOf(copy.entries)) {
      if (entry.sequence() > copy.announced && entry.sequence() <= copy.committed) {
        copy.announced = entry.sequence();
        whenCommitted.accept(key, entry);
      }
    }
  }

  static void trim(List<LogEntry> entries, long committed) {
    LogEntries.trim(entries, committed);
  }

  /**
   * The owner's process said that it still owns the key; as good as a beat, unless another owner
   * was heard since.
   */
  public void ownerLives(String key, String ownerId, String ownerAddress) {
    LogReplica copy = copies.get(key);
    if (copy != null && (copy.owner.isEmpty() || copy.owner.equals(ownerId))) {
      copy.owner = ownerId;
      copy.ownerAddress = ownerAddress;
      copy.heardOwnerAt = surroundings.now();
    }
  }

  public boolean ownerSilent(LogReplica copy) {
    return surroundings.now() - copy.heardOwnerAt >= ReplicationConstants.LEADER_TIMEOUT_MS;
  }
}
