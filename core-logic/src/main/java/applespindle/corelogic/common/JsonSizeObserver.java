package applespindle.corelogic.common;

import java.util.function.IntConsumer;

/**
 * Reports the size of every JSON document that a thread reads or writes through {@link Json} to the
 * observer of that thread, so that a simulation can account for the processor time. Threads without
 * an observer report nothing. Conversions between objects and trees, and direct uses of the mapper,
 * are not observed.
 */
public final class JsonSizeObserver {
  private static final ThreadLocal<IntConsumer> OBSERVER = new ThreadLocal<>();

  /**
   * Runs a task and reports the size of each document that it reads or writes on this thread. The
   * observer is removed when the task ends or throws. Calls must not be nested.
   *
   * @param observer receives sizes in bytes
   */
  public static void observe(IntConsumer observer, Runnable task) {
    OBSERVER.set(observer);
    try {
      task.run();
    } finally {
      OBSERVER.remove();
    }
  }

  /** Reports a document of this size to the observer of this thread, if there is one. */
  static void passed(int bytes) {
    IntConsumer observer = OBSERVER.get();
    if (observer != null) {
      observer.accept(bytes);
    }
  }

  private JsonSizeObserver() {}
}
