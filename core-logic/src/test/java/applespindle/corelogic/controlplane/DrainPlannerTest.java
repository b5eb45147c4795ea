package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.metadata.MetadataKeys;
import org.junit.jupiter.api.Test;

/** Where a drain would move replicas, and the JSON that operators get. */
final class DrainPlannerTest {
  private final ShardMetadataFixture fixture = new ShardMetadataFixture();
  private final DrainPlanner planner = new DrainPlanner(fixture.table, fixture.directory, 3);

  @Test
  void spreadsTheReplicasOverTheOtherNodes() throws Exception {
    fixture.registerLive("a", "b", "c", "d", "e");
    fixture.assign("a", "b", "c");
    fixture.assignTo(MetadataKeys.SHARD_PREFIX + "1", "a", "b", "c");
    DrainPlan plan = planner.plan("a");
    assertThat(plan.refused()).isFalse();
    assertThat(plan.moves().stream().map(DrainPlan.PlannedMove::to).toList())
        .containsExactly("name-d", "name-e");
  }

  @Test
  void listsRequestsThatWaitForAnotherNode() throws Exception {
    fixture.registerLive("a", "b", "c");
    fixture.assign("a", "b", "c");
    assertThat(JSON.writeValueAsString(planner.plan("a")))
        .isEqualTo(
            "{\"node\":\"a\",\"refused\":true,\"moves\":["
                + "{\"shard\":\"shard/0\",\"to\":\"\",\"waits\":true}]}");
  }
}
