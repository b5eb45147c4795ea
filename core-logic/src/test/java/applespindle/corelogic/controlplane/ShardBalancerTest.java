package applespindle.corelogic.controlplane;

import static applespindle.corelogic.controlplane.ShardMetadataFixture.SHARD;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Which replica is moved to a less loaded node. */
final class ShardBalancerTest {
  private final ShardMetadataFixture fixture = new ShardMetadataFixture();
  private final ShardBalancer balancer = new ShardBalancer(fixture.directory);

  private Optional<List<ShardReplica>> rebalanced(ShardAssignment shard) {
    return balancer.rebalanced(SHARD, shard, balancer.currentLoad());
  }

  @Test
  void movesTheReplicaOfTheMostLoadedNode() {
    fixture.registerLive("a", "b", "c", "d");
    ShardAssignment shard = fixture.assign("a", "b", "c");
    fixture.assignTo(MetadataKeys.SHARD_PREFIX + "1", "a", "b");
    fixture.assignTo(MetadataKeys.SHARD_PREFIX + "2", "b");
    assertThat(ShardMetadataFixture.ids(rebalanced(shard).orElseThrow()))
        .containsExactly("a", "c", "d")
        .inOrder();
  }

  @Test
  void keepsADifferenceOfOne() {
    fixture.registerLive("a", "b", "c", "d");
    assertThat(rebalanced(fixture.assign("a", "b", "c")).isPresent()).isFalse();
  }

  @Test
  void neverCoversFewerZones() {
    fixture.registerLive("a", "b");
    fixture.register("c", "zone-a", "address-c", true);
    ShardAssignment shard = fixture.assign("a", "b");
    fixture.assignTo(MetadataKeys.SHARD_PREFIX + "1", "b");
    assertThat(rebalanced(shard).isPresent()).isFalse();
  }
}
