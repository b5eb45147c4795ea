package applespindle.corelogic.batch;

import applespindle.corelogic.constants.BatchConstants;

/**
 * The order in which batch work is dispatched: by due time, but work that is certain to be late
 * comes, for a while, after work that can still meet its deadline. By due time alone late work
 * would make all that follows late too; put last, it would starve as long as new work comes.
 *
 * @param now on the node's clock, in milliseconds
 * @param itemDurationMs how long an item takes, in milliseconds
 */
record DeadlineOrder(long now, long itemDurationMs) {
  boolean canMeetDeadline(long dueAt) {
    return now + itemDurationMs <= dueAt;
  }

  /** Late work counts as due later by {@link BatchConstants#LATE_ITEM_DEFERRAL_MS}. */
  private long effectiveDueAt(long dueAt) {
    return canMeetDeadline(dueAt) ? dueAt : dueAt + BatchConstants.LATE_ITEM_DEFERRAL_MS;
  }

  int compare(long oneDueAt, long otherDueAt) {
    return Long.compare(effectiveDueAt(oneDueAt), effectiveDueAt(otherDueAt));
  }
}
