package applespindle.testfleet.simulation;

import java.util.PriorityQueue;

/**
 * The clock of a simulation and the tasks that are due on it. Simulated time only moves from one
 * task to the next, and tasks due at the same microsecond run in the order in which they were
 * added.
 */
final class EventQueue {
  static final long US_PER_MS = 1_000;

  private record Event(long atUs, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atUs, other.atUs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** No event is due before nowUs. */
  private final PriorityQueue<Event> events = new PriorityQueue<>();

  private long nowUs;

  /** Strictly rising, so that the order of events is total. */
  private long nextOrder;

  private long steps;

  long nowUs() {
    return nowUs;
  }

  long nowMs() {
    return nowUs / US_PER_MS;
  }

  /** Tasks that were run so far. */
  long steps() {
    return steps;
  }

  /** Runs a task at a time, or as soon as possible if that has passed. */
  void at(long atUs, Runnable task) {
    events.add(new Event(Math.max(atUs, nowUs), nextOrder++, task));
  }

  /** Runs all tasks that are due until a time, and sets the clock to it. */
  void runUntil(long untilMs) {
    while (!events.isEmpty() && events.peek().atUs() <= untilMs * US_PER_MS) {
      Event event = events.poll();
      nowUs = event.atUs();
      steps++;
      event.task().run();
    }
    nowUs = untilMs * US_PER_MS;
  }
}
