package applespindle.adapters;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reads how much processor time the threads of a process have used, and how often they woke up.
 * Only a loop's own thread knows its wake-ups, so each is asked in turn.
 */
final class ProcessorUsage {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * What the process has used since its start.
   *
   * @param startSeconds processor time of the process until its threads started
   * @param processSeconds processor time of the process until now
   * @param threadSeconds by the name of a thread, its processor time
   * @param wakeUps by the name of a thread, how often it woke up
   */
  record Reading(
      double startSeconds,
      double processSeconds,
      Map<String, Double> threadSeconds,
      Map<String, Long> wakeUps) {}

  private final List<EventLoopThread> threads;

  /** Null in a process without a disk. */
  private final DiskWriter diskWriter;

  /** Written once, before the threads start. */
  private double startSeconds;

  ProcessorUsage(List<EventLoopThread> threads, DiskWriter diskWriter) {
    this.threads = threads;
    this.diskWriter = diskWriter;
  }

  /** Notes what the start has used; to be called once, just before the threads start. */
  void noteStarted() {
    startSeconds = processSeconds();
  }

  /** Asks all threads; the reading arrives on the one that is asked last. */
  void read(Consumer<Reading> whenRead) {
    Map<String, Long> wakeUps = new LinkedHashMap<>();
    readWakeUps(
        new ArrayDeque<>(threads), wakeUps, () -> whenRead.accept(completeReading(wakeUps)));
  }

  private void readWakeUps(
      ArrayDeque<EventLoopThread> remaining, Map<String, Long> wakeUps, Runnable whenRead) {
    EventLoopThread next = remaining.poll();
    if (next == null) {
      whenRead.run();
      return;
    }
    next.execute(
        () -> {
          wakeUps.put(next.name(), next.wakeUps());
          readWakeUps(remaining, wakeUps, whenRead);
        });
  }

  private Reading completeReading(Map<String, Long> wakeUps) {
    ThreadMXBean bean = ManagementFactory.getThreadMXBean();
    Map<String, Double> seconds = new LinkedHashMap<>();
    for (EventLoopThread thread : threads) {
      seconds.put(thread.name(), bean.getThreadCpuTime(thread.threadId()) / NANOS_PER_SECOND);
    }
    if (diskWriter != null) {
      seconds.put(
          diskWriter.threadName(), bean.getThreadCpuTime(diskWriter.threadId()) / NANOS_PER_SECOND);
      wakeUps.put(diskWriter.threadName(), diskWriter.wakeUps());
    }
    return new Reading(startSeconds, processSeconds(), seconds, wakeUps);
  }

  private static double processSeconds() {
    return ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO).toMillis() / 1e3;
  }
}
