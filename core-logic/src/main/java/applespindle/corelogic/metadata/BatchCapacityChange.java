package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/** What one batch still takes of its group's capacity after a change. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BatchCapacityChange(String batch, long items, String group) {
  public BatchCapacityChange {
    group = group == null ? "" : group;
  }
}
