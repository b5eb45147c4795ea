package applespindle.corelogic.batch;

import applespindle.corelogic.constants.BatchConstants;

/**
 * The order in which batch work is served: by due time, but work that is late whatever happens
 * gives way for a while to work that can still be in time. Served by due time alone, late work
 * would make all that comes behind it late too; served last, it would stand still as long as new
 * work comes.
 *
 * @param now on the node's clock, in milliseconds
 * @param itemDurationMs how long an item takes
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
