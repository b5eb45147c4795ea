package applespindle.corelogic.dataplane;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.metadata.NodeRegistration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Batches are led where there is processor time and link for them. */
class BatchLeaderPlacementTest {
  private static final int REPLICAS = 5;

  private static NodeRegistration edge(String id, String zone, double cores, double megabits) {
    return new NodeRegistration(id, 1, id, zone, "edge", id + ":1", "", true, cores, megabits);
  }

  /** Many small edges and two larger ones in each of three zones. */
  private static List<NodeRegistration> mixed() {
    List<NodeRegistration> edges = new ArrayList<>();
    for (String zone : List.of("a", "b", "c")) {
      IntStream.range(0, 2).forEach(n -> edges.add(edge(zone + "-large-" + n, zone, 0.72, 70)));
      IntStream.range(0, 20).forEach(n -> edges.add(edge(zone + "-small-" + n, zone, 0.12, 21)));
    }
    return edges;
  }

  private static List<String> fit(int replicas, List<NodeRegistration> edges) {
    BatchLeaderPlacement placement = new BatchLeaderPlacement(replicas, edges);
    return edges.stream().map(NodeRegistration::id).filter(placement::mayLead).toList();
  }

  private static List<String> ids(List<NodeRegistration> edges) {
    return edges.stream().map(NodeRegistration::id).toList();
  }

  @Test
  void onlyEdgesWithCapacityAreEligible() {
    assertThat(fit(REPLICAS, mixed()))
        .containsExactly(
            "a-large-0", "a-large-1", "b-large-0", "b-large-1", "c-large-0", "c-large-1");
  }

  @Test
  void edgesThatAreAllSmallAreAllFit() {
    List<NodeRegistration> small =
        mixed().stream().filter(edge -> edge.id().contains("small")).toList();

    assertThat(fit(REPLICAS, small)).containsExactlyElementsIn(ids(small));
  }

  @Test
  void edgesThatTakeABatchInAMomentAreFitBesideFasterOnes() {
    List<NodeRegistration> edges =
        List.of(edge("fast", "a", 1.35, 1_000), edge("slower", "a", 0.63, 1_000));

    assertThat(fit(3, edges)).containsExactly("fast", "slower");
  }

  @Test
  void edgesThatTellNothingAreFit() {
    List<NodeRegistration> edges = List.of(edge("one", "a", 0, 0), edge("two", "a", 0, 0));

    assertThat(fit(REPLICAS, edges)).containsExactly("one", "two");
  }

  @Test
  void aFitEdgeLeadsWhatIsHandedInToIt() {
    BatchLeaderPlacement placement = new BatchLeaderPlacement(REPLICAS, mixed());
    for (String key : keys()) {
      assertThat(placement.orderFrom("b-large-1", "b", key).get(0).id()).isEqualTo("b-large-1");
    }
  }

  @Test
  void aSmallEdgeTurnsToTheFitOnesOfItsZoneAndThenOfOthers() {
    BatchLeaderPlacement placement = new BatchLeaderPlacement(REPLICAS, mixed());
    Set<String> first = new HashSet<>();
    for (String key : keys()) {
      List<NodeRegistration> order = placement.orderFrom("b-small-3", "b", key);
      first.add(order.get(0).id());
      assertThat(order.get(0).zone()).isEqualTo("b");
      assertThat(order.get(1).zone()).isEqualTo("b");
      assertThat(order.get(2).id()).isEqualTo("b-small-3");
      assertThat(order.subList(3, 7).stream().allMatch(edge -> edge.id().contains("large")))
          .isTrue();
      assertThat(order).containsExactlyElementsIn(mixed());
    }
    assertThat(first).containsExactly("b-large-0", "b-large-1");
  }

  @Test
  void allNodesAgreeOnTheOrderForAKey() {
    List<NodeRegistration> reversed = new ArrayList<>(mixed());
    Collections.reverse(reversed);
    BatchLeaderPlacement one = new BatchLeaderPlacement(REPLICAS, mixed());
    BatchLeaderPlacement other = new BatchLeaderPlacement(REPLICAS, reversed);
    for (String key : keys()) {
      assertThat(other.order(key)).isEqualTo(one.order(key));
    }
  }

  @Test
  void withoutEdgesThereIsNoOrder() {
    BatchLeaderPlacement placement = new BatchLeaderPlacement(REPLICAS, List.of());

    assertThat(placement.order("batch/1")).isEmpty();
    assertThat(placement.mayLead("any")).isTrue();
  }

  private static List<String> keys() {
    return IntStream.range(0, 40).mapToObj(number -> "batch/o-" + number).toList();
  }
}
