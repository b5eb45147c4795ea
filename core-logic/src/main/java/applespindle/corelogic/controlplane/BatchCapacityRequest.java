package applespindle.corelogic.controlplane;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The body of the command by which a batch's leader reserves capacity or reports how many items are
 * unfinished.
 *
 * @param batch the batch's id
 * @param items the number of unfinished items
 * @param ceiling the most items that may wait in the group; 0 means no limit for a named group
 * @param reserve true for a reservation, which may be refused; false for a report
 * @param group the group whose ceiling applies; empty for batches of prompts, null if the sender
 *     did not name it
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record BatchCapacityRequest(String batch, long items, long ceiling, boolean reserve, String group) {
  /** The same request with the group filled in if the sender did not name it. */
  BatchCapacityRequest withDefaultGroup(String defaultGroup) {
    return group != null
        ? this
        : new BatchCapacityRequest(batch, items, ceiling, reserve, defaultGroup);
  }

  boolean isUnlimited() {
    return !group.isEmpty() && ceiling == 0;
  }
}
