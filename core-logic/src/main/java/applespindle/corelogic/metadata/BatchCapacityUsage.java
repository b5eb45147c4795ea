package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Map;

/**
 * The capacity that open batches occupy. Each group of batches has a limit of its own.
 *
 * @param items by batch id the capacity it occupies, in items or tokens as its group counts
 * @param groups by batch id its group; a batch that is missing counts in the group of all prompt
 *     batches
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BatchCapacityUsage(Map<String, Long> items, Map<String, String> groups) {
  /** Earlier versions wrote no groups: null stands for none. */
  public BatchCapacityUsage {
    groups = groups == null ? Map.of() : groups;
  }
}
