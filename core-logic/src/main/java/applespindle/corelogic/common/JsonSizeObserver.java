package applespindle.corelogic.common;

import java.util.function.IntConsumer;

/**
 * Tells an observer the size of every JSON document that its own thread reads or writes with {@link
 * Json}, so that a simulation can charge processor time for it. Nothing is observed unless a thread
 * asks for it. Conversions between objects and trees, and what uses the mapper directly, are not
 * seen.
 */
public final class JsonSizeObserver {
  private static final ThreadLocal<IntConsumer> OBSERVER = new ThreadLocal<>();

  /**
   * Runs a task; the observer hears, in bytes, of each document that the task reads or writes on
   * this thread. Not to be nested.
   */
  public static void observe(IntConsumer observer, Runnable task) {
    OBSERVER.set(observer);
    try {
      task.run();
    } finally {
      OBSERVER.remove();
    }
  }

  static void passed(int bytes) {
    IntConsumer observer = OBSERVER.get();
    if (observer != null) {
      observer.accept(bytes);
    }
  }

  private JsonSizeObserver() {}
}
