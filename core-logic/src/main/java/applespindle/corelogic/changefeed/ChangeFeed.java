package applespindle.corelogic.changefeed;

import applespindle.corelogic.protocol.Message.MetadataRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The metadata changes that this process learned since its start, at positions counted from 1 in
 * the order in which they were learned.
 *
 * <p>The feed is compacted by key: it keeps the last change of each key only, because a follower
 * needs no older value. So it holds at most one record per key, however many changes there were.
 */
final class ChangeFeed {
  private final TreeMap<Long, MetadataRecord> recordsByPosition = new TreeMap<>();
  private final Map<String, Long> positionByKey = new HashMap<>();
  private long position;

  /** The position of the last change; 0 before the first. */
  long position() {
    return position;
  }

  /** Appends a change, which takes the place of the key's change before it. */
  void add(MetadataRecord metadataRecord) {
    position++;
    Long superseded = positionByKey.put(metadataRecord.key(), position);
    if (superseded != null) {
      recordsByPosition.remove(superseded);
    }
    recordsByPosition.put(position, metadataRecord);
  }

  /** The newest value of each key that changed after the given position, in feed order. */
  List<MetadataRecord> after(long knownPosition) {
    return List.copyOf(recordsByPosition.tailMap(knownPosition, false).values());
  }
}
