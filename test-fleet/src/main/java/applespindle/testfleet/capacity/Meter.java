package applespindle.testfleet.capacity;

import java.util.Map;
import java.util.TreeMap;

/** What one node cost since the last reset. */
final class Meter {
  /** Of one kind of message. */
  static final class Traffic {
    long messages;
    long bytes;
  }

  long processorNanos;
  long receivedBytes;

  /** Sent to other zones, as written: large frames deflated. */
  long sentBetweenZonesBytes;

  long diskBytes;
  long loadReads;
  final Map<String, Traffic> sent = new TreeMap<>();

  void sent(String kind, int bytes) {
    Traffic traffic = sent.computeIfAbsent(kind, unseen -> new Traffic());
    traffic.messages++;
    traffic.bytes += bytes;
  }

  long sentBytes() {
    return sent.values().stream().mapToLong(traffic -> traffic.bytes).sum();
  }

  long sentBytes(String kind) {
    Traffic traffic = sent.get(kind);
    return traffic == null ? 0 : traffic.bytes;
  }

  long sentMessages() {
    return sent.values().stream().mapToLong(traffic -> traffic.messages).sum();
  }

  void reset() {
    processorNanos = 0;
    receivedBytes = 0;
    sentBetweenZonesBytes = 0;
    diskBytes = 0;
    loadReads = 0;
    sent.clear();
  }
}
