package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/** A shard's replicas; next is empty unless a change of one member is under way. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ShardAssignment(long number, List<ShardReplica> replicas, List<ShardReplica> next) {}
