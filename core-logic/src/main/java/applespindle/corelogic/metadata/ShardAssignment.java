package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The replicas of a shard. While a change is in progress, decisions need a majority of both the
 * replicas and the next replicas.
 *
 * @param version version of the assignment; rises by one with each change
 * @param replicas the current replicas
 * @param nextReplicas the replicas after the change in progress; empty if there is none
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ShardAssignment(
    @JsonProperty("number") long version,
    List<ShardReplica> replicas,
    @JsonProperty("next") List<ShardReplica> nextReplicas) {}
