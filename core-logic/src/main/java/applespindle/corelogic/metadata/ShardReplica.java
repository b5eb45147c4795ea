package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A storage node that holds a replica of a shard.
 *
 * @param id id of the node
 * @param address its peer address
 * @param zone the failure domain that the node runs in
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ShardReplica(String id, String address, String zone) {}
