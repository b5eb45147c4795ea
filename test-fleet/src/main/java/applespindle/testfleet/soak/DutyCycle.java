package applespindle.testfleet.soak;

import applespindle.testfleet.processes.Fleet.Member;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Lets a process run for a part of each period only, as on a machine with little processor time.
 */
final class DutyCycle implements AutoCloseable {
  private static final long RUNS_MS = 20;
  private static final long PERIOD_MS = 100;
  private final Member member;
  private final Thread thread;
  private volatile boolean over;

  DutyCycle(Member member) {
    this.member = member;
    thread = new Thread(this::run, "duty-cycle-" + member.name);
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (!over) {
        member.freeze();
        TimeUnit.MILLISECONDS.sleep(PERIOD_MS - RUNS_MS);
        member.wake();
        TimeUnit.MILLISECONDS.sleep(RUNS_MS);
      }
    } catch (IOException fault) {
      throw new IllegalStateException(fault);
    } catch (InterruptedException closed) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends with the process running. */
  @Override
  public void close() {
    over = true;
    try {
      thread.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
