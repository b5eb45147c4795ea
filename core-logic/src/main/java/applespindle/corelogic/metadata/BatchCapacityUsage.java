package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Map;

/**
 * The ledger of waiting batch work: by batch what it still takes, items or tokens, and by batch the
 * group it counts in. Each group has a ceiling of its own; a batch without one counts in the group
 * of all batches of prompts.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BatchCapacityUsage(Map<String, Long> items, Map<String, String> groups) {
  public BatchCapacityUsage {
    groups = groups == null ? Map.of() : groups;
  }
}
