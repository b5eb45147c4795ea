package applespindle.corelogic.node;

import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.environment.Environment;
import java.util.ArrayDeque;
import java.util.List;

/** What happened in this process, in order, bounded. The tracer and the status page read it. */
public final class TraceLog {
  /** One thing that happened; atMs is the node's own clock. */
  public record Event(long number, long atMs, String kind, String key, String detail) {}

  /** Invariant: numbers rise by one; at most JOURNAL_KEPT events are held. */
  private final ArrayDeque<Event> events = new ArrayDeque<>();

  private final Environment environment;
  private long lastNumber;

  TraceLog(Environment environment) {
    this.environment = environment;
  }

  public void add(String kind, String key, String detail) {
    if (events.size() == LifecycleConstants.MAX_TRACE_EVENTS) {
      events.removeFirst();
    }
    events.add(new Event(++lastNumber, environment.nowMs(), kind, key, detail));
  }

  public List<Event> eventsFor(String key, int most) {
    return events.stream()
        .filter(
            event -> key.isEmpty() || event.key().equals(key) || event.key().startsWith(key + "/"))
        .skip(0)
        .limit(most)
        .toList();
  }
}
