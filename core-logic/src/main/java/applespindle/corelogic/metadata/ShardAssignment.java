package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * The replicas of a shard. While a change is in progress, decisions need a majority of both the
 * replicas and the next replicas.
 *
 * @param number version of the assignment; rises by one with each change
 * @param replicas the current replicas
 * @param next the replicas after the change in progress; empty if there is none
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ShardAssignment(long number, List<ShardReplica> replicas, List<ShardReplica> next) {}
