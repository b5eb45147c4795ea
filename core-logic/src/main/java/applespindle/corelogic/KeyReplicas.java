package applespindle.corelogic;

import static applespindle.corelogic.Message.Verdict.BEHIND;
import static applespindle.corelogic.Message.Verdict.BUSY;
import static applespindle.corelogic.Message.Verdict.OK;
import static applespindle.corelogic.Message.Verdict.OLD_SET;
import static applespindle.corelogic.Message.Verdict.REFUSED;
import static applespindle.corelogic.Message.Verdict.WOULD_PROMISE;

import applespindle.corelogic.DiskRecord.Kind;
import applespindle.corelogic.Message.KeyAppend;
import applespindle.corelogic.Message.KeyAppended;
import applespindle.corelogic.Message.KeyLogAsk;
import applespindle.corelogic.Message.KeyLogPart;
import applespindle.corelogic.Message.KeyPromise;
import applespindle.corelogic.Message.KeyPromised;
import applespindle.corelogic.Message.Verdict;
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
public final class KeyReplicas {
  static final class Copy {
    /** Never falls. Every message with a lower epoch is refused. */
    Epoch promised = Epoch.NONE;

    /**
     * Contiguous by sequence. Entries up to committed never change; only a whole entry may begin
     * the list above 1.
     */
    final List<Entry> entries = new ArrayList<>();

    /** At most the last entry's sequence; never falls. */
    long committed;

    /** The listener has heard of every committed entry up to here. */
    long announced;

    String owner = "";
    String ownerAddress = "";
    long heardOwnerAt = Long.MIN_VALUE / 2;

    /** Who claims the key or has just claimed it, and when it was heard last. */
    String claimant = "";

    String claimantAddress = "";
    long heardClaimantAt = Long.MIN_VALUE / 2;
    long unsynced;

    long lastSequence() {
      return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).sequence();
    }

    Entry at(long sequence) {
      if (entries.isEmpty() || sequence < entries.get(0).sequence() || sequence > lastSequence()) {
        return null;
      }
      return entries.get((int) (sequence - entries.get(0).sequence()));
    }

    /**
     * Whether this log has the entry, or is committed beyond it. What is committed here is never
     * replaced: an append that was overtaken on its way may begin with entries that a whole one
     * stands for by now, and taking them would drop what follows.
     */
    private boolean holdsAlready(Entry entry) {
      if (entry.sequence() <= committed) {
        return true;
      }
      Entry present = at(entry.sequence());
      return present != null && present.epoch().equals(entry.epoch());
    }

    /** Adds an entry; it replaces what stands at its place and after, or all if it is apart. */
    private void place(Entry entry) {
      if (at(entry.sequence()) != null) {
        int index = (int) (entry.sequence() - entries.get(0).sequence());
        entries.subList(index, entries.size()).clear();
      } else if (entry.sequence() != lastSequence() + 1) {
        entries.clear();
      }
      entries.add(entry);
    }

    private void trim() {
      EntryLists.trim(entries, committed);
    }
  }

  private final Surroundings surroundings;
  private final BiConsumer<String, Entry> whenCommitted;
  private final TreeMap<String, Copy> copies = new TreeMap<>();

  private final ReplicaSetNumbers setNumbers;
  private final UnaryOperator<String> setNameOf;
  private final Replies replies;
  private String lastTouched = "";

  private final UndecidedEntries undecided = new UndecidedEntries();
  private final ReplicaPages pages;

  /** Sends a message to a node; the id may be empty while only the address is known. */
  interface Replies {
    void reply(String toAddress, String toId, Message message);
  }

  /** setNameOf tells which set a key belongs to: keys of one set change their replicas together. */
  KeyReplicas(
      Surroundings surroundings,
      Replies replies,
      BiConsumer<String, Entry> whenCommitted,
      UnaryOperator<String> setNameOf) {
    this.setNameOf = setNameOf;
    this.surroundings = surroundings;
    this.replies = replies;
    this.whenCommitted = whenCommitted;
    this.setNumbers = new ReplicaSetNumbers(surroundings);
    this.pages = new ReplicaPages(copies, setNameOf);
  }

  Map<String, Copy> copies() {
    return copies;
  }

  /** What a checker of invariants may see of one key. */
  public record View(Epoch promised, List<Entry> committedEntries) {}

  /** The key of the last message taken, for a checker; empty before the first. */
  public String lastTouched() {
    return lastTouched;
  }

  public View view(String key) {
    Copy copy = copies.get(key);
    return new View(
        copy.promised,
        copy.entries.stream().filter(entry -> entry.sequence() <= copy.committed).toList());
  }

  /** Whether the entry stands here, or a whole entry after it does. */
  public boolean holds(String key, long sequence, Predicate<Entry> same) {
    Copy copy = copies.get(key);
    if (copy == null || copy.entries.isEmpty()) {
      return false;
    }
    Entry entry = copy.at(sequence);
    return entry != null ? same.test(entry) : copy.entries.get(0).sequence() > sequence;
  }

  Copy copy(String key) {
    lastTouched = key;
    return copies.computeIfAbsent(key, missing -> new Copy());
  }

  /** Replays one record of this node's log at start. */
  void recover(DiskRecord record) {
    if (record.kind() == Kind.SET) {
      setNumbers.recover(record);
      return;
    }
    Copy copy = copy(record.key());
    switch (record.kind()) {
      case PROMISE -> {
        if (copy.promised.below(record.epoch())) {
          copy.promised = record.epoch();
        }
      }
      case ENTRY ->
          copy.place(
              new Entry(record.sequence(), record.epoch(), record.whole(), record.payload()));
      case COMMITTED -> {
        copy.committed = Math.max(copy.committed, Math.min(record.sequence(), copy.lastSequence()));
        copy.trim();
      }
      default -> {}
    }
  }

  void recovered() {
    copies.forEach(this::announce);
    undecided.recovered(copies);
  }

  /** Another replica knows a committed event at this place: what stands up to there is decided. */
  void committedElsewhere(String key, long sequence) {
    undecided.committedElsewhere(key, sequence);
  }

  /** Whether the key may hold an event whose commit is not known; its leader decides that. */
  boolean undecided(String key) {
    return undecided.contains(key, copies);
  }

  boolean anyUndecided(Predicate<String> keys) {
    return undecided.containsAny(keys, copies);
  }

  /** Everything a new log needs in order to stand without the older segments. */
  List<DiskRecord> checkpoint() {
    List<DiskRecord> records = new ArrayList<>(setNumbers.records());
    copies.forEach(
        (key, copy) -> {
          records.add(ReplicaRecords.promise(key, copy.promised));
          copy.entries.forEach(entry -> records.add(ReplicaRecords.entry(key, entry)));
          records.add(ReplicaRecords.committed(key, copy.committed));
        });
    return records;
  }

  /**
   * Records that the set has this number, and with that refuses lower ones; the callback runs once
   * it is synced.
   */
  void learnSet(String name, long number, Runnable whenSynced) {
    setNumbers.learn(name, number, whenSynced);
  }

  long setNumber(String name) {
    return setNumbers.get(name);
  }

  /**
   * True if the message speaks of an older set than the one known here; a newer one is recorded at
   * once, and afterSync holds the reply back until that record is synced.
   */
  private boolean oldSet(String key, long setNumber) {
    return setNumbers.isOld(setNameOf.apply(key), setNumber);
  }

  void promise(KeyPromise message, String fromId, String fromAddress) {
    if (!surroundings.takesWrites()) {
      return;
    }
    if (message.trial()) {
      replies.reply(fromAddress, fromId, triedPromise(message));
      return;
    }
    Copy copy = copy(message.key());
    if (oldSet(message.key(), message.setNumber())) {
      replies.reply(fromAddress, fromId, promised(message, copy, OLD_SET));
      return;
    }
    if (message.epoch().compareTo(copy.promised) <= 0) {
      afterSync(
          copy,
          List.of(),
          () -> replies.reply(fromAddress, fromId, promised(message, copy, REFUSED)));
      return;
    }
    if (keptForOwner(copy, message)) {
      replies.reply(fromAddress, fromId, promised(message, copy, BUSY));
      return;
    }
    copy.promised = message.epoch();
    heardClaimant(copy, message.epoch(), fromAddress);
    afterSync(
        copy,
        List.of(ReplicaRecords.promise(message.key(), copy.promised)),
        () -> {
          boolean overtaken = message.epoch().below(copy.promised);
          replies.reply(fromAddress, fromId, promised(message, copy, overtaken ? REFUSED : OK));
        });
  }

  /** Another owner was heard within the takeover interval, and has not handed the key over. */
  private boolean keptForOwner(Copy copy, KeyPromise message) {
    return !ownerSilent(copy)
        && !message.handedOver()
        && !copy.owner.equals(message.epoch().node());
  }

  /**
   * What a promise would meet here now; nothing is changed or written. The promised epoch is told,
   * so that the claimant's next is above it.
   */
  private KeyPromised triedPromise(KeyPromise message) {
    Copy known = copies.get(message.key());
    Copy copy = known == null ? new Copy() : known;
    boolean old = message.setNumber() < setNumber(setNameOf.apply(message.key()));
    if (old) {
      return promised(message, copy, OLD_SET);
    }
    return promised(message, copy, keptForOwner(copy, message) ? BUSY : WOULD_PROMISE);
  }

  private KeyPromised promised(KeyPromise message, Copy copy, Verdict verdict) {
    return new KeyPromised(
        message.key(),
        message.epoch(),
        verdict,
        copy.promised,
        copy.owner,
        copy.ownerAddress,
        copy.committed,
        copy.entries.isEmpty() ? 0 : copy.entries.get(0).sequence(),
        verdict == OK ? EntryLists.tail(copy.entries, message.tailBytesMost()) : List.of());
  }

  private void heardClaimant(Copy copy, Epoch epoch, String address) {
    copy.claimant = epoch.node();
    copy.claimantAddress = address;
    copy.heardClaimantAt = surroundings.now();
  }

  /**
   * Tells a claimant a part of the log. Logs that hold the same entry are the same up to it; one
   * that holds another entry behind the part, as after a copy was taken in, is refused, so that no
   * log is put together of two.
   */
  void tellLog(KeyLogAsk message, String fromId, String fromAddress) {
    Copy copy = copies.get(message.key());
    if (copy == null || copy.promised.below(message.epoch())) {
      return;
    }
    Entry next = copy.at(message.to() + 1);
    boolean sameLog = next != null && next.epoch().equals(message.nextEpoch());
    boolean overtaken = message.epoch().below(copy.promised) || !sameLog;
    if (!overtaken) {
      heardClaimant(copy, message.epoch(), fromAddress);
    }
    replies.reply(
        fromAddress,
        fromId,
        new KeyLogPart(
            message.key(),
            message.epoch(),
            overtaken ? REFUSED : OK,
            overtaken ? List.of() : EntryLists.part(copy.entries, message.from(), message.to())));
  }

  /** Whom a replica knows to own or to claim a key just now. */
  record Holder(String id, String address) {
    static final Holder NONE = new Holder("", "");
  }

  /** A claimant counts for as long as it would wait for promises, an owner until its takeover. */
  Holder holder(Copy copy) {
    long now = surroundings.now();
    boolean claimed = now - copy.heardClaimantAt < Constants.LOG_PART_TRY_MS;
    if (claimed && copy.heardClaimantAt > copy.heardOwnerAt) {
      return new Holder(copy.claimant, copy.claimantAddress);
    }
    return ownerSilent(copy) ? Holder.NONE : new Holder(copy.owner, copy.ownerAddress);
  }

  void append(KeyAppend message, String fromId, String fromAddress) {
    if (!surroundings.takesWrites()) {
      return;
    }
    Copy copy = copy(message.key());
    if (oldSet(message.key(), message.setNumber())) {
      replies.reply(fromAddress, fromId, appended(message, OLD_SET, copy.promised, 0));
      return;
    }
    if (message.epoch().below(copy.promised)) {
      replies.reply(fromAddress, fromId, appended(message, REFUSED, copy.promised, 0));
      return;
    }
    List<DiskRecord> records = new ArrayList<>();
    raisePromise(message.key(), copy, message.epoch(), records);
    heardOwner(copy, message, fromAddress);
    if (!follows(copy, message)) {
      long previous = message.previousSequence();
      long hint = previous > copy.lastSequence() ? copy.lastSequence() : copy.committed;
      afterSync(
          copy,
          records,
          () -> replies.reply(fromAddress, fromId, appended(message, BEHIND, copy.promised, hint)));
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
          replies.reply(fromAddress, fromId, appended(message, verdict, copy.promised, matched));
        });
    commit(message.key(), copy, Math.min(message.committed(), matched));
  }

  /** Promises this epoch if it is higher than the one promised, and adds the record of that. */
  private static void raisePromise(String key, Copy copy, Epoch epoch, List<DiskRecord> records) {
    if (copy.promised.below(epoch)) {
      copy.promised = epoch;
      records.add(ReplicaRecords.promise(key, epoch));
    }
  }

  private void heardOwner(Copy copy, KeyAppend message, String fromAddress) {
    copy.owner = message.epoch().node();
    copy.ownerAddress = fromAddress;
    // An owner that waits for this very disk is not cut off.
    if (message.hearsMajority() || copy.unsynced > 0) {
      copy.heardOwnerAt = surroundings.now();
    }
  }

  /** Whether the entries of the message follow on what is held here. */
  private static boolean follows(Copy copy, KeyAppend message) {
    if (message.previousSequence() == 0) {
      return !message.entries().isEmpty() || copy.entries.isEmpty();
    }
    Entry predecessor = copy.at(message.previousSequence());
    return predecessor != null && predecessor.epoch().equals(message.previousEpoch());
  }

  /** Places the entries that are not held yet, and adds their records. */
  private static void placeNew(
      String key, Copy copy, List<Entry> entries, List<DiskRecord> records) {
    for (Entry entry : entries) {
      if (!copy.holdsAlready(entry)) {
        copy.place(entry);
        records.add(ReplicaRecords.entry(key, entry));
      }
    }
  }

  private static long lastSequence(KeyAppend message) {
    List<Entry> entries = message.entries();
    return entries.isEmpty()
        ? message.previousSequence()
        : entries.get(entries.size() - 1).sequence();
  }

  /**
   * Notes how far the log is committed, behind the entries that this speaks of: a power loss
   * between the two must not leave a mark that covers a tail which those entries replace. No reply
   * speaks of the mark, so none waits for it.
   */
  private void commit(String key, Copy copy, long committed) {
    if (committed <= copy.committed) {
      return;
    }
    copy.committed = committed;
    surroundings.write(List.of(ReplicaRecords.committed(key, committed)), () -> {});
    announce(key, copy);
    copy.trim();
  }

  private KeyAppended appended(KeyAppend message, Verdict verdict, Epoch promised, long matched) {
    return new KeyAppended(
        message.key(), message.epoch(), message.round(), verdict, promised, matched);
  }

  /**
   * No reply leaves before what it speaks of is synced, be it written by this message or an earlier
   * one.
   */
  private void afterSync(Copy copy, List<DiskRecord> records, Runnable reply) {
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

  /**
   * One key as it is sent to a newcomer. partial: the first entry is one that whoever asked said it
   * holds, and nothing before it is here.
   */
  record Copied(String key, Epoch promised, long committed, boolean partial, List<Entry> entries) {}

  /** The last entry that a copy holds. Logs that hold the same one are the same up to it. */
  record Held(long sequence, Epoch epoch) {}

  /** Of the keys of a set after the given one, how far each is held here. */
  Map<String, Held> heldOf(String setName, String afterKey) {
    return pages.heldOf(setName, afterKey);
  }

  /**
   * The next keys of a set after the given one, up to a size; what a newcomer starts from. Of a log
   * that it holds a part of, the last entry of that part and what follows.
   */
  List<Copied> copiesOf(String setName, String afterKey, Map<String, Held> held, int bytesMost) {
    return pages.copiesOf(setName, afterKey, held, bytesMost);
  }

  /**
   * Takes over another replica's copy of a key if its log is the newer one, by the same rule as an
   * owner's claim. The promise is taken over too, so that an epoch refused there is refused here.
   * False, and nothing is taken, if it is a part that does not follow on what is held here any
   * more.
   */
  boolean absorb(Copied other, Runnable whenSynced) {
    Copy copy = copy(other.key());
    if (other.partial()) {
      Entry shared = copy.at(other.entries().get(0).sequence());
      if (shared == null || !shared.epoch().equals(other.entries().get(0).epoch())) {
        return false;
      }
    }
    List<DiskRecord> records = new ArrayList<>();
    raisePromise(other.key(), copy, other.promised(), records);
    if (OwnedKey.newer(other.entries(), copy.entries)) {
      placeNew(other.key(), copy, other.entries(), records);
    }
    long committed = Math.min(other.committed(), copy.lastSequence());
    if (committed > copy.committed) {
      copy.committed = committed;
      records.add(ReplicaRecords.committed(other.key(), committed));
      announce(other.key(), copy);
      copy.trim();
    }
    afterSync(copy, records, whenSynced);
    return true;
  }

  private void announce(String key, Copy copy) {
    for (Entry entry : List.copyOf(copy.entries)) {
      if (entry.sequence() > copy.announced && entry.sequence() <= copy.committed) {
        copy.announced = entry.sequence();
        whenCommitted.accept(key, entry);
      }
    }
  }

  static void trim(List<Entry> entries, long committed) {
    EntryLists.trim(entries, committed);
  }

  /**
   * The owner's process said that it still owns the key; as good as a beat, unless another owner
   * was heard since.
   */
  void ownerLives(String key, String ownerId, String ownerAddress) {
    Copy copy = copies.get(key);
    if (copy != null && (copy.owner.isEmpty() || copy.owner.equals(ownerId))) {
      copy.owner = ownerId;
      copy.ownerAddress = ownerAddress;
      copy.heardOwnerAt = surroundings.now();
    }
  }

  boolean ownerSilent(Copy copy) {
    return surroundings.now() - copy.heardOwnerAt >= Constants.TAKEOVER_MS;
  }
}
