package applespindle.corelogic;

import java.util.ArrayDeque;
import java.util.List;

/** What happened in this process, in order, bounded. The tracer and the status page read it. */
public final class Journal {
  /** One thing that happened; atMs is the node's own clock. */
  public record Event(long number, long atMs, String kind, String key, String detail) {}

  /** Invariant: numbers rise by one; at most JOURNAL_KEPT events are held. */
  private final ArrayDeque<Event> events = new ArrayDeque<>();

  private final Surroundings surroundings;
  private long lastNumber;

  Journal(Surroundings surroundings) {
    this.surroundings = surroundings;
  }

  void add(String kind, String key, String detail) {
    if (events.size() == Constants.JOURNAL_KEPT) {
      events.removeFirst();
    }
    events.add(new Event(++lastNumber, surroundings.now(), kind, key, detail));
  }

  public List<Event> about(String key, int most) {
    return events.stream()
        .filter(
            event -> key.isEmpty() || event.key().equals(key) || event.key().startsWith(key + "/"))
        .skip(0)
        .limit(most)
        .toList();
  }
}
