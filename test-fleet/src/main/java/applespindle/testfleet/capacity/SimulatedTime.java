package applespindle.testfleet.capacity;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** Simulated time: tasks run in the order of their times, those of one time as they were added. */
final class SimulatedTime {
  private static final long US_IN_MS = 1_000;
  private static final long CONDITION_INTERVAL_MS = 100;

  private record Event(long atUs, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atUs, other.atUs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowUs;
  private long order;

  long nowUs() {
    return nowUs;
  }

  long nowMs() {
    return nowUs / US_IN_MS;
  }

  /** Runs a task at a time, or next if that time has passed. */
  void at(long atUs, Runnable task) {
    events.add(new Event(Math.max(atUs, nowUs), order++, task));
  }

  /** Runs the tasks of the next milliseconds. */
  void runFor(long millis) {
    long untilUs = nowUs + millis * US_IN_MS;
    while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
      Event event = events.poll();
      nowUs = event.atUs();
      event.task().run();
    }
    nowUs = untilUs;
  }

  /**
   * Runs until the condition holds, checked every 100 simulated ms; false if it does not within the
   * limit.
   */
  boolean runUntil(BooleanSupplier condition, long mostMs) {
    long endsAt = nowMs() + mostMs;
    while (!condition.getAsBoolean()) {
      if (nowMs() >= endsAt) {
        return false;
      }
      runFor(CONDITION_INTERVAL_MS);
    }
    return true;
  }
}
