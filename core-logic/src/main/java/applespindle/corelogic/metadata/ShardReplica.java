package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/** A storage node that holds a replica of a shard. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ShardReplica(String id, String address, String zone) {}
