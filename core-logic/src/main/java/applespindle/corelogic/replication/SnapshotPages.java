package applespindle.corelogic.replication;

import applespindle.corelogic.log.LogEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * What a replica sends to a joining replica of its configuration, page by page in the order of the
 * keys. It keeps no state of its own.
 *
 * <p>Invariant: a log is sent from its beginning, or from the last entry that the joining replica
 * shares with it.
 */
final class SnapshotPages {
  /** What a key adds to a page besides its entries. */
  private static final int KEY_BYTES = 64;

  private final NavigableMap<String, LogReplica> replicas;
  private final UnaryOperator<String> configurationNameOf;

  SnapshotPages(
      NavigableMap<String, LogReplica> replicas, UnaryOperator<String> configurationNameOf) {
    this.replicas = replicas;
    this.configurationNameOf = configurationNameOf;
  }

  /** For the keys of a configuration after the given one, the end of each log that isn't empty. */
  Map<String, LogEndPosition> logEndsOf(String configurationName, String afterKey) {
    Map<String, LogEndPosition> ends = new TreeMap<>();
    replicas
        .tailMap(afterKey, false)
        .forEach(
            (key, replica) -> {
              if (!replica.entries.isEmpty() && isOf(configurationName, key)) {
                long last = replica.lastSequence();
                ends.put(key, new LogEndPosition(last, replica.entryAt(last).epoch()));
              }
            });
    return ends;
  }

  /**
   * The next keys of a configuration after the given one, until the bytes of their events reach the
   * limit. For a log that the joining replica has a part of, by the known ends, the last entry of
   * that part and what follows.
   */
  List<ReplicaSnapshot> page(
      String configurationName, String afterKey, Map<String, LogEndPosition> known, int maxBytes) {
    List<ReplicaSnapshot> page = new ArrayList<>();
    int bytes = 0;
    for (Map.Entry<String, LogReplica> each : replicas.tailMap(afterKey, false).entrySet()) {
      if (!isOf(configurationName, each.getKey())) {
        continue;
      }
      ReplicaSnapshot snapshot = snapshot(each.getKey(), each.getValue(), known.get(each.getKey()));
      page.add(snapshot);
      bytes += KEY_BYTES + eventBytes(snapshot);
      if (bytes >= maxBytes) {
        break;
      }
    }
    return page;
  }

  private boolean isOf(String configurationName, String key) {
    return configurationNameOf.apply(key).equals(configurationName);
  }

  /** The bytes of the events of a snapshot. */
  static int eventBytes(ReplicaSnapshot snapshot) {
    return snapshot.entries().stream().mapToInt(entry -> entry.eventBytes()).sum();
  }

  private static ReplicaSnapshot snapshot(String key, LogReplica replica, LogEndPosition known) {
    LogEntry shared = known == null ? null : replica.entryAt(known.sequence());
    boolean partial = shared != null && shared.epoch().equals(known.epoch());
    List<LogEntry> entries =
        partial
            ? replica.entries.stream()
                .filter(entry -> entry.sequence() >= known.sequence())
                .toList()
            : List.copyOf(replica.entries);
    return new ReplicaSnapshot(
        key, replica.promisedEpoch, replica.committedSequence, partial, entries);
  }
}
