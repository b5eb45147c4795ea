package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A change of the capacity that one batch occupies.
 *
 * @param batch id of the batch
 * @param items the capacity it occupies after the change, in items or tokens as its group counts; 0
 *     if it occupies none any more
 * @param group the group whose capacity it occupies; empty for the group of all prompt batches
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BatchCapacityChange(String batch, long items, String group) {
  /** Earlier versions wrote no group: null stands for the group of all batches of prompts. */
  public BatchCapacityChange {
    group = group == null ? "" : group;
  }
}
