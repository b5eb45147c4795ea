package applespindle.corelogic.node;

import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.environment.Environment;
import java.util.ArrayDeque;
import java.util.List;

/**
 * A bounded log, in memory, of the events in this process; read by the trace command and the
 * status.
 */
public final class TraceLog {
  /** One event; atMs is on this node's clock. */
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
