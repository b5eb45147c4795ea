package applespindle.corelogic.replication;

import applespindle.corelogic.log.LogEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * What a replica sends to a newcomer of its set, page by page in the order of the keys. Invariant:
 * a log is sent from its beginning, or from the last entry that the newcomer shares with it.
 */
final class SnapshotPages {
  /** What a key adds to a page besides its entries. */
  private static final int KEY_BYTES = 64;

  private final NavigableMap<String, LogReplica> copies;
  private final UnaryOperator<String> setNameOf;

  SnapshotPages(NavigableMap<String, LogReplica> copies, UnaryOperator<String> setNameOf) {
    this.copies = copies;
    this.setNameOf = setNameOf;
  }

  /** Of the keys of a set after the given one, how far each is held here. */
  Map<String, LogEndPosition> heldOf(String setName, String afterKey) {
    Map<String, LogEndPosition> held = new TreeMap<>();
    copies
        .tailMap(afterKey, false)
        .forEach(
            (key, replica) -> {
              if (!replica.entries.isEmpty() && setNameOf.apply(key).equals(setName)) {
                held.put(
                    key,
                    new LogEndPosition(
                        replica.lastSequence(), replica.entryAt(replica.lastSequence()).epoch()));
              }
            });
    return held;
  }

  /**
   * The next keys of a set after the given one, up to a size; what a newcomer starts from. Of a log
   * that it holds a part of, the last entry of that part and what follows.
   */
  List<ReplicaSnapshot> copiesOf(
      String setName, String afterKey, Map<String, LogEndPosition> held, int bytesMost) {
    List<ReplicaSnapshot> page = new ArrayList<>();
    int bytes = 0;
    for (Map.Entry<String, LogReplica> each : copies.tailMap(afterKey, false).entrySet()) {
      if (!setNameOf.apply(each.getKey()).equals(setName)) {
        continue;
      }
      ReplicaSnapshot copied = copied(each.getKey(), each.getValue(), held.get(each.getKey()));
      bytes += KEY_BYTES + copied.entries().stream().mapToInt(entry -> entry.event().length).sum();
      page.add(copied);
      if (bytes >= bytesMost) {
        break;
      }
    }
    return page;
  }

  private static ReplicaSnapshot copied(String key, LogReplica replica, LogEndPosition known) {
    LogEntry shared = known == null ? null : replica.entryAt(known.sequence());
    boolean partial = shared != null && shared.epoch().equals(known.epoch());
    List<LogEntry> lacking =
        partial
            ? replica.entries.stream()
                .filter(entry -> entry.sequence() >= known.sequence())
                .toList()
            : List.copyOf(replica.entries);
    return new ReplicaSnapshot(
        key, replica.promisedEpoch, replica.committedSequence, partial, lacking);
  }
}
