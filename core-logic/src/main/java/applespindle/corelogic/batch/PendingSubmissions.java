package applespindle.corelogic.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The batches that were handed in at one edge and have no final answer yet. Invariant: each gets
 * one by its deadline, whatever becomes of its leader.
 */
public final class PendingSubmissions {
  private static final class PendingSubmission {
    final String batch;
    final long deadline;
    boolean wasOverdue;

    PendingSubmission(String batch, long deadline) {
      this.batch = batch;
      this.deadline = deadline;
    }
  }

  private final Map<Long, PendingSubmission> pending = new LinkedHashMap<>();
  private long lastNumber;

  /**
   * @param deadline on the node's clock, in milliseconds
   * @return what {@link #end} is to be told
   */
  public long begin(String batch, long deadline) {
    pending.put(++lastNumber, new PendingSubmission(batch, deadline));
    return lastNumber;
  }

  public void end(long number) {
    pending.remove(number);
  }

  public int size() {
    return pending.size();
  }

  /**
   * Batches that were past their deadline at the last look and still are; each is told once. One
   * look alone proves nothing: after a process stood still it may come before the timers that were
   * due.
   */
  public List<String> overdue(long now) {
    List<String> overdue = new ArrayList<>();
    for (PendingSubmission each : List.copyOf(pending.values())) {
      if (now <= each.deadline) {
        continue;
      }
      if (each.wasOverdue) {
        overdue.add(each.batch);
        pending.values().remove(each);
      }
      each.wasOverdue = true;
    }
    return overdue;
  }
}
