package applespindle.adapters;

import io.activej.eventloop.Eventloop;
import java.time.Duration;

/**
 * One thread with a loop that blocks until a socket is ready, a timer is due or a task is handed
 * over. Tasks from one thread run in the order in which they were handed over.
 */
final class EventLoopThread {
  /** With nothing due a loop sleeps this long; whatever matters wakes it. */
  private static final Duration IDLE_INTERVAL = Duration.ofHours(1);

  private final Eventloop loop;
  private final Thread thread;

  EventLoopThread(String name) {
    loop =
        Eventloop.builder()
            .withThreadName(name)
            .withTimeProvider(EventLoopThread::nowMs)
            .withIdleInterval(IDLE_INTERVAL)
            .build();
    loop.keepAlive(true);
    // Before any thread starts: a task handed over must find the selector that it is to wake.
    loop.ensureSelector();
    thread = new Thread(loop, name);
  }

  /** Milliseconds of a monotonic clock: timers must not jump with the wall clock. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000L;
  }

  void start() {
    thread.start();
  }

  /** Runs a task on this thread, behind those that wait for it already; from any thread. */
  void execute(Runnable task) {
    if (Thread.currentThread() == thread) {
      loop.postLast(task);
    } else {
      loop.execute(task);
    }
  }

  Eventloop loop() {
    return loop;
  }

  String name() {
    return thread.getName();
  }

  long threadId() {
    return thread.getId();
  }

  /** How often the loop has woken up; on this thread only. */
  long wakeUps() {
    return loop.tick() >>> Integer.SIZE;
  }
}
