package applespindle.corelogic.replication;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.LogRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The highest version known of each replica configuration.
 *
 * <p>Invariants, over restarts too: a version never falls; every message with a lower one is
 * refused; no reply leaves before each version known is synced.
 */
final class ReplicaConfigurationVersions {
  private final Environment environment;

  /** By name of the configuration. */
  private final Map<String, Long> versions = new TreeMap<>();

  /** How many versions are recorded in memory and not yet synced. */
  private long unsynced;

  ReplicaConfigurationVersions(Environment environment) {
    this.environment = environment;
  }

  /** Replays a record of this node's log. */
  void recover(LogRecord record) {
    versions.merge(record.key(), record.sequence(), Math::max);
  }

  /** The records of every version, for a checkpoint. */
  List<LogRecord> records() {
    List<LogRecord> records = new ArrayList<>();
    versions.forEach(
        (name, version) -> records.add(LogRecords.configurationVersion(name, version)));
    return records;
  }

  /** The version of a configuration; 0 while none is known. */
  long get(String name) {
    return versions.getOrDefault(name, 0L);
  }

  /**
   * Records that the configuration has at least this version; the callback runs once that is
   * synced.
   */
  void adopt(String name, long version, Runnable whenSynced) {
    if (version <= get(name)) {
      environment.write(List.of(), whenSynced);
      return;
    }
    versions.put(name, version);
    unsynced++;
    environment.write(
        List.of(LogRecords.configurationVersion(name, version)),
        () -> {
          unsynced--;
          whenSynced.run();
        });
  }

  /** Whether this version is older than the one known here; a newer one is recorded at once. */
  boolean isStale(String name, long version) {
    long known = get(name);
    if (version > known) {
      adopt(name, version, () -> {});
    }
    return version < known;
  }

  /** Whether every version known is synced. */
  boolean synced() {
    return unsynced == 0;
  }
}
