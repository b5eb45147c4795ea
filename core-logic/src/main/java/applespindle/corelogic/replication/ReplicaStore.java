package applespindle.corelogic.replication;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * The replicas of one node by key, and the records on disk that make them last over a restart.
 *
 * <p>Invariants: the state in memory is that of the records written so far, synced or not; a reply
 * leaves only once every record that it depends on is synced; the commit listener gets each
 * committed entry that is held, once per process and in log order.
 */
final class ReplicaStore {
  private final Environment environment;
  private final BiConsumer<String, LogEntry> commitListener;
  private final UnaryOperator<String> configurationNameOf;
  private final NavigableMap<String, LogReplica> replicas = new TreeMap<>();
  private final ReplicaConfigurationVersions configurationVersions;
  private String lastChangedKey = "";

  ReplicaStore(
      Environment environment,
      BiConsumer<String, LogEntry> commitListener,
      UnaryOperator<String> configurationNameOf) {
    this.environment = environment;
    this.commitListener = commitListener;
    this.configurationNameOf = configurationNameOf;
    this.configurationVersions = new ReplicaConfigurationVersions(environment);
  }

  /** All replicas by key, not a copy. */
  NavigableMap<String, LogReplica> replicas() {
    return replicas;
  }

  /** The replica of a key, or null if the node has none. */
  LogReplica find(String key) {
    return replicas.get(key);
  }

  /** The replica of a key; an empty one is created if the node has none. */
  LogReplica getOrCreate(String key) {
    lastChangedKey = key;
    return replicas.computeIfAbsent(key, missing -> new LogReplica());
  }

  /** The key that {@link #getOrCreate} was last called with; empty before the first call. */
  String lastChangedKey() {
    return lastChangedKey;
  }

  ReplicaConfigurationVersions configurationVersions() {
    return configurationVersions;
  }

  /** The version known of the configuration that a key belongs to; 0 while none is known. */
  long configurationVersionOf(String key) {
    return configurationVersions.get(configurationNameOf.apply(key));
  }

  /**
   * Whether a message refers to an older configuration than the one known here. A newer version is
   * recorded at once, and {@link #afterSync} holds the reply back until that record is synced.
   */
  boolean isStaleConfiguration(String key, long version) {
    return configurationVersions.isStale(configurationNameOf.apply(key), version);
  }

  /**
   * Replays one record of the log on disk; to be called in the order in which they were written.
   */
  void recover(LogRecord record) {
    if (record.kind() == Kind.CONFIGURATION_VERSION) {
      configurationVersions.recover(record);
      return;
    }
    LogReplica replica = getOrCreate(record.key());
    switch (record.kind()) {
      case VOTE -> {
        if (replica.promisedEpoch.isBelow(record.epoch())) {
          replica.promisedEpoch = record.epoch();
        }
      }
      case ENTRY ->
          replica.put(
              new LogEntry(record.sequence(), record.epoch(), record.snapshot(), record.content()));
      case COMMITTED -> {
        replica.committedSequence =
            Math.max(
                replica.committedSequence, Math.min(record.sequence(), replica.lastSequence()));
        replica.trim();
      }
      default -> {}
    }
  }

  /** Passes all committed entries to the listener; called once all records are replayed. */
  void announceRecovered() {
    replicas.forEach(this::announceCommitted);
  }

  /** The records that stand for all state, so that older segments of the disk can go. */
  List<LogRecord> checkpoint() {
    List<LogRecord> records = new ArrayList<>(configurationVersions.records());
    replicas.forEach(
        (key, replica) -> {
          records.add(LogRecords.vote(key, replica.promisedEpoch));
          replica.entries.forEach(entry -> records.add(LogRecords.entry(key, entry)));
          records.add(LogRecords.committed(key, replica.committedSequence));
        });
    return records;
  }

  /** Promises this epoch if it is higher than the one promised, and adds the record of that. */
  static void raisePromisedEpoch(
      String key, LogReplica replica, Epoch epoch, List<LogRecord> records) {
    if (replica.promisedEpoch.isBelow(epoch)) {
      replica.promisedEpoch = epoch;
      records.add(LogRecords.vote(key, epoch));
    }
  }

  /** Places the entries that are not held yet, and adds their records. */
  static void putNewEntries(
      String key, LogReplica replica, List<LogEntry> entries, List<LogRecord> records) {
    for (LogEntry entry : entries) {
      if (!replica.contains(entry)) {
        replica.put(entry);
        records.add(LogRecords.entry(key, entry));
      }
    }
  }

  /**
   * Raises the commit position after the records of the entries that it covers are written: a power
   * loss between the two must not leave a position that covers a tail which those entries replace.
   * No reply depends on the position, so none waits for its record.
   */
  void commit(String key, LogReplica replica, long committed) {
    commit(key, replica, committed, record -> environment.write(List.of(record), () -> {}));
  }

  /** The same, but adds the record to those that the caller is about to write. */
  void commit(String key, LogReplica replica, long committed, List<LogRecord> records) {
    commit(key, replica, committed, (Consumer<LogRecord>) records::add);
  }

  private void commit(
      String key, LogReplica replica, long committed, Consumer<LogRecord> recordWriter) {
    if (committed <= replica.committedSequence) {
      return;
    }
    replica.committedSequence = committed;
    recordWriter.accept(LogRecords.committed(key, committed));
    announceCommitted(key, replica);
    replica.trim();
  }

  private void announceCommitted(String key, LogReplica replica) {
    for (LogEntry entry : List.copyOf(replica.entries)) {
      if (entry.sequence() > replica.announcedSequence
          && entry.sequence() <= replica.committedSequence) {
        replica.announcedSequence = entry.sequence();
        commitListener.accept(key, entry);
      }
    }
  }

  /**
   * Writes the records and runs the reply once they, and all that was written before for this
   * replica or for a configuration version, are synced. Without any of these it runs at once.
   */
  void afterSync(LogReplica replica, List<LogRecord> records, Runnable reply) {
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
}
