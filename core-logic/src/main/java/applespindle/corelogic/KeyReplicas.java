package applespindle.corelogic;

import applespindle.corelogic.DiskRecord.Kind;
import applespindle.corelogic.Message.KeyAppend;
import applespindle.corelogic.Message.KeyAppended;
import applespindle.corelogic.Message.KeyPromise;
import applespindle.corelogic.Message.KeyPromised;
import applespindle.corelogic.Message.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import static applespindle.corelogic.Message.Verdict.BEHIND;
import static applespindle.corelogic.Message.Verdict.BUSY;
import static applespindle.corelogic.Message.Verdict.OK;
import static applespindle.corelogic.Message.Verdict.REFUSED;

/** One node's copies of owned keys: it promises epochs, takes entries in order, and refuses older epochs. */
public final class KeyReplicas {
  static final class Copy {
    /** Never falls. Every message with a lower epoch is refused. */
    Epoch promised = Epoch.NONE;
    /** Contiguous by sequence. Entries up to committed never change; only a whole entry may begin the list above 1. */
    final List<Entry> entries = new ArrayList<>();
    /** At most the last entry's sequence; never falls. */
    long committed;
    /** The listener has heard of every committed entry up to here. */
    long announced;
    String owner = "";
    String ownerAddress = "";
    long heardOwnerAt = Long.MIN_VALUE / 2;
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
  }

  private final Surroundings surroundings;
  private final BiConsumer<String, Entry> whenCommitted;
  private final Map<String, Copy> copies = new TreeMap<>();
  private final Replies replies;
  private String lastTouched = "";

  interface Replies {
    void reply(String toAddress, String toId, Message message);
  }

  KeyReplicas(Surroundings surroundings, Replies replies, BiConsumer<String, Entry> whenCommitted) {
    this.surroundings = surroundings;
    this.replies = replies;
    this.whenCommitted = whenCommitted;
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
    return new View(copy.promised, copy.entries.stream().filter(entry -> entry.sequence() <= copy.committed).toList());
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
    Copy copy = copy(record.key());
    switch (record.kind()) {
      case PROMISE -> {
        if (copy.promised.below(record.epoch())) {
          copy.promised = record.epoch();
        }
      }
      case ENTRY -> place(copy, new Entry(record.sequence(), record.epoch(), record.whole(), record.payload()));
      case COMMITTED -> {
        copy.committed = Math.max(copy.committed, Math.min(record.sequence(), copy.lastSequence()));
        trim(copy);
      }
      default -> { }
    }
  }

  void recovered() {
    copies.forEach(this::announce);
  }

  /** Everything a new log needs in order to stand without the older segments. */
  List<DiskRecord> checkpoint() {
    List<DiskRecord> records = new ArrayList<>();
    copies.forEach((key, copy) -> {
      records.add(new DiskRecord(Kind.PROMISE, key, copy.promised, 0, false, new byte[0]));
      for (Entry entry : copy.entries) {
        records.add(record(key, entry));
      }
      records.add(new DiskRecord(Kind.COMMITTED, key, Epoch.NONE, copy.committed, false, new byte[0]));
    });
    return records;
  }

  void promise(KeyPromise message, String fromId, String fromAddress) {
    if (!surroundings.takesWrites()) {
      return;
    }
    Copy copy = copy(message.key());
    boolean ownerHeard = surroundings.now() - copy.heardOwnerAt < Constants.TAKEOVER_MS;
    if (message.epoch().compareTo(copy.promised) <= 0) {
      afterSync(copy, List.of(), () -> replies.reply(fromAddress, fromId, promised(message, copy, REFUSED)));
      return;
    }
    if (ownerHeard && !message.handedOver() && !copy.owner.equals(message.epoch().node())) {
      replies.reply(fromAddress, fromId, promised(message, copy, BUSY));
      return;
    }
    copy.promised = message.epoch();
    var record = new DiskRecord(Kind.PROMISE, message.key(), copy.promised, 0, false, new byte[0]);
    afterSync(copy, List.of(record), () -> {
      boolean overtaken = message.epoch().below(copy.promised);
      replies.reply(fromAddress, fromId, promised(message, copy, overtaken ? REFUSED : OK));
    });
  }

  private KeyPromised promised(KeyPromise message, Copy copy, Verdict verdict) {
    return new KeyPromised(message.key(), message.epoch(), verdict, copy.promised, copy.owner, copy.ownerAddress,
        copy.committed, verdict == OK ? List.copyOf(copy.entries) : List.of());
  }

  void append(KeyAppend message, String fromId, String fromAddress) {
    if (!surroundings.takesWrites()) {
      return;
    }
    Copy copy = copy(message.key());
    if (message.epoch().below(copy.promised)) {
      replies.reply(fromAddress, fromId, appended(message, REFUSED, copy.promised, 0));
      return;
    }
    List<DiskRecord> records = new ArrayList<>();
    if (copy.promised.below(message.epoch())) {
      copy.promised = message.epoch();
      records.add(new DiskRecord(Kind.PROMISE, message.key(), copy.promised, 0, false, new byte[0]));
    }
    copy.owner = message.epoch().node();
    copy.ownerAddress = fromAddress;
    copy.heardOwnerAt = surroundings.now();
    long previous = message.previousSequence();
    Entry predecessor = copy.at(previous);
    boolean startsLog = previous == 0 && !message.entries().isEmpty();
    boolean fits = startsLog || previous == 0 && copy.entries.isEmpty()
        || predecessor != null && predecessor.epoch().equals(message.previousEpoch());
    if (!fits) {
      long hint = previous > copy.lastSequence() ? copy.lastSequence() : copy.committed;
      afterSync(copy, records, () -> replies.reply(fromAddress, fromId, appended(message, BEHIND, copy.promised, hint)));
      return;
    }
    for (Entry entry : message.entries()) {
      Entry present = copy.at(entry.sequence());
      if (present != null && present.epoch().equals(entry.epoch())) {
        continue;
      }
      place(copy, entry);
      records.add(record(message.key(), entry));
    }
    long matched = message.entries().isEmpty() ? previous
        : message.entries().get(message.entries().size() - 1).sequence();
    long committed = Math.min(message.committed(), matched);
    if (committed > copy.committed) {
      copy.committed = committed;
      surroundings.write(
          List.of(new DiskRecord(Kind.COMMITTED, message.key(), Epoch.NONE, committed, false, new byte[0])), () -> { });
      announce(message.key(), copy);
      trim(copy);
    }
    afterSync(copy, records, () -> {
      boolean overtaken = message.epoch().below(copy.promised);
      replies.reply(fromAddress, fromId, appended(message, overtaken ? REFUSED : OK, copy.promised, matched));
    });
  }

  private KeyAppended appended(KeyAppend message, Verdict verdict, Epoch promised, long matched) {
    return new KeyAppended(message.key(), message.epoch(), message.round(), verdict, promised, matched);
  }

  /** No reply leaves before what it speaks of is synced, be it written by this message or an earlier one. */
  private void afterSync(Copy copy, List<DiskRecord> records, Runnable reply) {
    if (records.isEmpty() && copy.unsynced == 0) {
      reply.run();
      return;
    }
    copy.unsynced++;
    surroundings.write(records, () -> {
      copy.unsynced--;
      reply.run();
    });
  }

  private static DiskRecord record(String key, Entry entry) {
    return new DiskRecord(Kind.ENTRY, key, entry.epoch(), entry.sequence(), entry.whole(), entry.event());
  }

  private static void place(Copy copy, Entry entry) {
    if (copy.at(entry.sequence()) != null) {
      int index = (int) (entry.sequence() - copy.entries.get(0).sequence());
      copy.entries.subList(index, copy.entries.size()).clear();
    } else if (entry.sequence() != copy.lastSequence() + 1) {
      copy.entries.clear();
    }
    copy.entries.add(entry);
  }

  private void announce(String key, Copy copy) {
    for (Entry entry : List.copyOf(copy.entries)) {
      if (entry.sequence() > copy.announced && entry.sequence() <= copy.committed) {
        copy.announced = entry.sequence();
        whenCommitted.accept(key, entry);
      }
    }
  }

  private static void trim(Copy copy) {
    trim(copy.entries, copy.committed);
  }

  static void trim(List<Entry> entries, long committed) {
    for (int index = entries.size() - 1; index > 0; index--) {
      if (entries.get(index).whole() && entries.get(index).sequence() <= committed) {
        entries.subList(0, index).clear();
        return;
      }
    }
  }

  boolean ownerSilent(Copy copy) {
    return surroundings.now() - copy.heardOwnerAt >= Constants.TAKEOVER_MS;
  }
}
