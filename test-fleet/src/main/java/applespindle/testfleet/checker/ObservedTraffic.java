package applespindle.testfleet.checker;

import applespindle.testfleet.history.History;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The events of a history with the indexes that several rule groups need. */
final class ObservedTraffic {
  static final int STATUS_OK = 200;
  static final int STATUS_CREATED = 201;

  final List<Seen> events;

  /** By batch key, when the batch was first acknowledged. */
  final Map<String, Long> acceptedAtMs = new TreeMap<>();

  private final Map<String, String> keyOfBatch = new HashMap<>();

  /** By configuration number, when it was first acknowledged as in force. */
  private final Map<Long, Long> configurationAcknowledgedAtMs = new TreeMap<>();

  /** By batch key and item id. */
  private final Map<String, Seen> items = new HashMap<>();

  /** By batch key; a batch without an entry has no items. */
  final Map<String, Integer> itemCounts = new HashMap<>();

  ObservedTraffic(History history) {
    this.events = history.all();
    events.forEach(this::index);
  }

  private void index(Seen event) {
    switch (event.kind()) {
      case ITEM -> {
        items.put(event.subject() + " " + event.detail(), event);
        itemCounts.merge(event.subject(), 1, Integer::sum);
      }
      case SUBMIT_ANSWERED -> {
        if (!event.text().isEmpty()) {
          keyOfBatch.put(event.text(), event.subject());
        }
        if (accepts(event)) {
          acceptedAtMs.putIfAbsent(event.subject(), event.atMs());
        }
      }
      case BUNDLE_ANSWERED -> {
        if (event.number() == STATUS_OK) {
          configurationAcknowledgedAtMs.putIfAbsent(Long.parseLong(event.subject()), event.atMs());
        }
      }
      default -> {
        // Not indexed.
      }
    }
  }

  List<Seen> of(Kind kind) {
    return events.stream().filter(each -> each.kind() == kind).toList();
  }

  /** Of a batch item that reached a worker, the key its batch was submitted with. */
  String keyOf(Seen workerEvent) {
    String batch = workerEvent.detail().substring(0, workerEvent.detail().indexOf('/'));
    return keyOfBatch.getOrDefault(batch, batch);
  }

  /** Null if no such item was submitted. */
  Seen item(String key, String itemId) {
    return items.get(key + " " + itemId);
  }

  int itemCount(String key) {
    return itemCounts.getOrDefault(key, 0);
  }

  Optional<Long> highestConfigurationAcknowledgedBefore(long timeMs) {
    return configurationAcknowledgedAtMs.entrySet().stream()
        .filter(entry -> entry.getValue() < timeMs)
        .map(Map.Entry::getKey)
        .max(Long::compare);
  }

  /** Whether a response to a submission acknowledges the batch. */
  static boolean accepts(Seen response) {
    return response.number() == STATUS_OK || response.number() == STATUS_CREATED;
  }

  /**
   * Whether a response guarantees that nothing of the batch runs; an unknown outcome or no response
   * does not.
   */
  static boolean isDefiniteRefusal(Seen response) {
    return response.number() >= 400 && response.number() < 500 || response.number() == 503;
  }

  /** Whether a read shows a batch in a final state. */
  static boolean isFinal(Seen batchRead) {
    return batchRead.detail().equals("ended") || batchRead.detail().equals("finished");
  }
}
