package applespindle.corelogic.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The submissions that arrived at one edge and have no final response yet. Invariant: each gets one
 * by its deadline, whatever happens to the batch's leader; {@link #overdue} finds those that did
 * not.
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
   * Adds a submission.
   *
   * @param deadline on the node's clock, in milliseconds
   * @return the number to pass to {@link #end}
   */
  public long begin(String batch, long deadline) {
    pending.put(++lastNumber, new PendingSubmission(batch, deadline));
    return lastNumber;
  }

  /** Removes a submission that got its response; an unknown number is ignored. */
  public void end(long number) {
    pending.remove(number);
  }

  /** How many submissions wait for their response. */
  public int size() {
    return pending.size();
  }

  /**
   * Returns, and removes, the batches that were past their deadline at the last call and still are.
   * One call alone proves nothing: after a pause of the process it may come before the timers that
   * were due.
   *
   * @param now on the node's clock, in milliseconds
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
