package applespindle.corelogic.replication;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.metadata.NodeAddress;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** How many failures a deployment tolerates with replicas gone and changes of replicas pending. */
final class FaultToleranceMonitorTest {
  private static List<NodeAddress> replicas(String... ids) {
    return Arrays.stream(ids).map(id -> new NodeAddress(id, id)).toList();
  }

  private static int tolerable(List<NodeAddress> present, List<NodeAddress> next, String... alive) {
    return FaultToleranceMonitor.remainingTolerableFailures(
        new ReplicaConfiguration(1, present, next), Set.of(alive)::contains);
  }

  @Test
  void aCompleteConfigurationToleratesAMinority() {
    assertThat(tolerable(replicas("a", "b", "c"), List.of(), "a", "b", "c")).isEqualTo(1);
    assertThat(tolerable(replicas("a", "b", "c", "d", "e"), List.of(), "a", "b", "c", "d", "e"))
        .isEqualTo(2);
    assertThat(tolerable(replicas("a", "b", "c", "d", "e"), List.of(), "a", "b", "c", "d"))
        .isEqualTo(1);
    assertThat(tolerable(replicas("a", "b"), List.of(), "a", "b")).isEqualTo(0);
  }

  @Test
  void isNeverNegative() {
    assertThat(tolerable(replicas("a", "b", "c"), List.of(), "a")).isEqualTo(0);
    assertThat(tolerable(List.of(), List.of())).isEqualTo(0);
  }

  @Test
  void aJoiningReplicaDoesNotCountBeforeTheChangeIsDone() {
    assertThat(tolerable(replicas("a", "b", "c"), replicas("a", "b", "d"), "a", "b", "d"))
        .isEqualTo(0);
    assertThat(tolerable(replicas("a", "b", "c"), replicas("a", "b", "d"), "a", "b", "c", "d"))
        .isEqualTo(0);
    assertThat(tolerable(replicas("a", "b", "d"), List.of(), "a", "b", "d")).isEqualTo(1);
  }

  @Test
  void reportsForHowLongItHasBeenFewerThanRequired() {
    FaultToleranceMonitor monitor = new FaultToleranceMonitor(1);
    monitor.update(1, 0, 1_000);
    monitor.update(1, 0, 3_000);
    ObjectNode status = Json.JSON.createObjectNode();
    monitor.describe(status, 4_000);
    assertThat(status.path("lossesAsked").asInt()).isEqualTo(1);
    assertThat(status.path("coreLossesBearable").asInt()).isEqualTo(1);
    assertThat(status.path("coreFewerForMs").asLong()).isEqualTo(0);
    assertThat(status.path("shardLossesBearable").asInt()).isEqualTo(0);
    assertThat(status.path("shardFewerForMs").asLong()).isEqualTo(3_000);
    monitor.update(0, 1, 5_000);
    monitor.describe(status, 5_500);
    assertThat(status.path("coreFewerForMs").asLong()).isEqualTo(500);
    assertThat(status.path("shardFewerForMs").asLong()).isEqualTo(0);
  }
}
