package applespindle.corelogic.replication;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.LogRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The highest number known of each replica set. Invariants: a number never falls; every message
 * with a lower one is refused; no reply leaves before each number known is synced.
 */
final class ReplicaConfigurationVersions {
  private final Environment environment;

  /** By set name. */
  private final Map<String, Long> numbers = new TreeMap<>();

  /** How many numbers are recorded in memory and not yet synced. */
  private long unsynced;

  ReplicaConfigurationVersions(Environment environment) {
    this.environment = environment;
  }

  /** Replays a record of this node's log. */
  void recover(LogRecord record) {
    numbers.merge(record.key(), record.sequence(), Math::max);
  }

  /** Every number, for a snapshot. */
  List<LogRecord> records() {
    List<LogRecord> records = new ArrayList<>();
    numbers.forEach((name, number) -> records.add(LogRecords.configurationVersion(name, number)));
    return records;
  }

  /** The number of a set; 0 while none is known. */
  long get(String name) {
    return numbers.getOrDefault(name, 0L);
  }

  /** Records that the set has this number; the callback runs once that is synced. */
  void adopt(String name, long number, Runnable whenSynced) {
    if (number <= get(name)) {
      environment.write(List.of(), whenSynced);
      return;
    }
    numbers.put(name, number);
    unsynced++;
    environment.write(
        List.of(LogRecords.configurationVersion(name, number)),
        () -> {
          unsynced--;
          whenSynced.run();
        });
  }

  /** True if this is an older number than the one known here; a newer one is recorded at once. */
  boolean isStale(String name, long number) {
    long known = get(name);
    if (number > known) {
      adopt(name, number, () -> {});
    }
    return number < known;
  }

  boolean synced() {
    return unsynced == 0;
  }
}
