package applespindle.corelogic.replication;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs at most a number of asynchronous tasks at a time; the others wait, and those of the lowest
 * priority number begin first. On the logic thread.
 *
 * <p>Invariant: each task that has begun is followed by one call of {@link #release}.
 */
public final class BoundedTasks {
  private record Waiting(long priority, long arrival, Runnable task) {}

  private final int limit;
  private final PriorityQueue<Waiting> waiting =
      new PriorityQueue<>(
          Comparator.comparingLong(Waiting::priority).thenComparingLong(Waiting::arrival));
  private int running;
  private long arrivals;

  /** At most so many tasks run at a time. */
  public BoundedTasks(int limit) {
    this.limit = limit;
  }

  /** Begins a task now, or once others have ended. */
  public void submit(long priority, Runnable task) {
    waiting.add(new Waiting(priority, arrivals++, task));
    beginNext();
  }

  /** A task has ended. */
  public void release() {
    running--;
    beginNext();
  }

  private void beginNext() {
    while (running < limit && !waiting.isEmpty()) {
      running++;
      waiting.poll().task().run();
    }
  }
}
