package applespindle.corelogic.controlplane;

import static applespindle.corelogic.controlplane.ShardMetadataFixture.SHARD;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.constants.ShardConstants;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.StorageNodeState;
import org.junit.jupiter.api.Test;

/** Which replica is replaced or added, and when. */
final class ShardRepairPolicyTest {
  private static final long START_MS = 10_000;

  private final ShardMetadataFixture fixture = new ShardMetadataFixture();
  private final ShardRepairPolicy policy =
      new ShardRepairPolicy(fixture.table, fixture.directory, 3);

  @Test
  void leavesACompleteShardAlone() {
    fixture.registerLive("a", "b", "c", "d");
    ShardAssignment shard = fixture.assign("a", "b", "c");
    policy.refresh(START_MS);
    assertThat(policy.nextReplicas(SHARD, shard).isPresent()).isFalse();
  }

  @Test
  void replacesALostNodeOnlyAfterTheDelay() {
    fixture.registerLive("a", "b", "c", "d");
    ShardAssignment shard = fixture.assign("a", "b", "c");
    fixture.end("b");
    policy.refresh(START_MS);
    assertThat(policy.nextReplicas(SHARD, shard).isPresent()).isFalse();
    policy.refresh(START_MS + ShardConstants.REPLACEMENT_DELAY_MS - 1);
    assertThat(policy.nextReplicas(SHARD, shard).isPresent()).isFalse();
    policy.refresh(START_MS + ShardConstants.REPLACEMENT_DELAY_MS);
    assertThat(ShardMetadataFixture.ids(policy.nextReplicas(SHARD, shard).orElseThrow()))
        .containsExactly("a", "c", "d")
        .inOrder();
  }

  @Test
  void restartsTheDelayWhenANodeReturnedMeanwhile() {
    fixture.registerLive("a", "b", "c", "d");
    ShardAssignment shard = fixture.assign("a", "b", "c");
    fixture.end("b");
    policy.refresh(START_MS);
    fixture.registerLive("b");
    policy.refresh(START_MS + 1);
    fixture.end("b");
    policy.refresh(START_MS + ShardConstants.REPLACEMENT_DELAY_MS);
    assertThat(policy.nextReplicas(SHARD, shard).isPresent()).isFalse();
  }

  @Test
  void replacesANodeAtOnceWhenAnotherRegistersAtItsAddress() {
    fixture.registerLive("a", "b", "c");
    ShardAssignment shard = fixture.assign("a", "b", "c");
    fixture.register("b2", "zone-b", "address-b", true);
    policy.refresh(START_MS);
    assertThat(ShardMetadataFixture.ids(policy.nextReplicas(SHARD, shard).orElseThrow()))
        .containsExactly("a", "c", "b2")
        .inOrder();
  }

  @Test
  void movesReplicasOffADrainingNodeAndLostOnesFirst() {
    fixture.registerLive("a", "b", "c", "d");
    ShardAssignment shard = fixture.assign("a", "b", "c");
    fixture.mark("a", StorageNodeState.DRAINING);
    policy.refresh(START_MS);
    assertThat(ShardMetadataFixture.ids(policy.nextReplicas(SHARD, shard).orElseThrow()))
        .containsExactly("b", "c", "d");
    fixture.end("c");
    policy.refresh(START_MS);
    policy.refresh(START_MS + ShardConstants.REPLACEMENT_DELAY_MS);
    assertThat(ShardMetadataFixture.ids(policy.nextReplicas(SHARD, shard).orElseThrow()))
        .containsExactly("a", "b", "d");
  }

  @Test
  void addsAMissingReplicaAndNeverShrinksASet() {
    fixture.registerLive("a", "b", "c");
    ShardAssignment reduced = fixture.assign("a", "b");
    policy.refresh(START_MS);
    assertThat(ShardMetadataFixture.ids(policy.nextReplicas(SHARD, reduced).orElseThrow()))
        .containsExactly("a", "b", "c")
        .inOrder();
    ShardAssignment shard = fixture.assign("a", "b", "c");
    fixture.mark("a", StorageNodeState.DRAINING);
    policy.refresh(START_MS);
    assertThat(policy.nextReplicas(SHARD, shard).isPresent()).isFalse();
  }
}
