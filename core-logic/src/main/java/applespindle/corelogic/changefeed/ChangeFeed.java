package applespindle.corelogic.changefeed;

import applespindle.corelogic.protocol.Message.MetadataRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The changes of the core keys in the order in which this process learnt them, numbered from 1. Of
 * each key only the last change is kept: whoever follows from some number needs no older value. So
 * the feed holds no more than the table of keys, however many changes there were, and reaches back
 * to the start of this process.
 */
final class ChangeFeed {
  private final TreeMap<Long, MetadataRecord> lastChanges = new TreeMap<>();
  private final Map<String, Long> numberOfKey = new HashMap<>();
  private long number;

  /** The number of the last change; 0 before the first. */
  long position() {
    return number;
  }

  void add(MetadataRecord metadataRecord) {
    number++;
    Long superseded = numberOfKey.put(metadataRecord.key(), number);
    if (superseded != null) {
      lastChanges.remove(superseded);
    }
    lastChanges.put(number, metadataRecord);
  }

  /** The newest value of each key that changed after the given number. */
  List<MetadataRecord> after(long known) {
    return List.copyOf(lastChanges.tailMap(known, false).values());
  }
}
