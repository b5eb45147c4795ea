package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A storage machine's place in life, as operators have it: emptying, retired; no record means
 * active. It is emptied only onto others, so that every shard has all of its replicas when it is
 * done.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record StorageNodeState(String id, String name, String state) {
  public static final String ACTIVE = "active";
  public static final String EMPTYING = "emptying";
  public static final String RETIRED = "retired";
}
