package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchEvent.Attempt;
import applespindle.corelogic.batch.BatchEvent.ProxiedRoute;
import applespindle.corelogic.batch.BatchEvent.Recorded;
import applespindle.corelogic.batch.BatchEvent.Result;
import applespindle.corelogic.common.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The fold of a proxied batch's log. */
final class BatchStateTest {
  private final BatchState batchState = new BatchState();

  private void fold(BatchEvent event) {
    batchState.apply(Json.bytes(event));
  }

  private void accept() {
    List<JsonNode> items = List.of(item("a", 100), item("b", 20), item("c", 3));
    fold(
        BatchEvent.accepted(
            new Accepted(
                "",
                "digest",
                10_000,
                60_000,
                items,
                new ProxiedRoute("h", "/l/x", "r", 4, 2, 500))));
    fold(BatchEvent.ordered(List.of(1, 0), 2));
  }

  private static JsonNode item(String id, int tokens) {
    return JSON.valueToTree(
        new ProxiedBatch.Item(id, "/l/" + id, List.of(), "body".getBytes(UTF_8), tokens));
  }

  private void record(int item, String errorType, String output) {
    fold(
        BatchEvent.recorded(
            0,
            new Recorded(
                0,
                1,
                List.of(new Result(item, "run" + output, "w", "", errorType, output)),
                List.of())));
  }

  @Test
  void remainingCapacityIsTheTokensOfItemsWithoutAResult() {
    accept();
    assertThat(batchState.remainingCapacity()).isEqualTo(123);
    record(0, null, "x");
    assertThat(batchState.remainingCapacity()).isEqualTo(23);
    record(2, "ItemImpossible", null);
    assertThat(batchState.remainingCapacity()).isEqualTo(20);
  }

  @Test
  void theEndFreesAllCapacityAndRecordsNoMoreResults() {
    accept();
    fold(BatchEvent.plain(BatchEvent.ENDED, 0));
    record(0, null, "x");
    assertThat(batchState.remainingCapacity()).isEqualTo(0);
    assertThat(batchState.results).isEmpty();
  }

  @Test
  void theFirstResultOfAnItemCountsInTheOrderOfRecording() {
    accept();
    record(1, null, "x");
    record(0, null, "y");
    record(1, null, "z");
    assertThat(batchState.results.stream().map(Result::output).toList())
        .containsExactly("x", "y")
        .inOrder();
    assertThat(batchState.remainingCapacity()).isEqualTo(3);
  }

  @Test
  void aFailedRunCountsOnce() {
    accept();
    var attempt = new Recorded(0, 1, List.of(), List.of(new Attempt(0, "run", "ItemFailed")));
    fold(BatchEvent.recorded(0, attempt));
    fold(BatchEvent.recorded(0, attempt));
    assertThat(batchState.attempts(0)).isEqualTo(1);
  }

  @Test
  void keepsTheBodyUnchanged() {
    accept();
    ProxiedBatch.Item item =
        JSON.convertValue(batchState.accepted.items().get(1), ProxiedBatch.Item.class);
    assertThat(new String(item.body(), UTF_8)).isEqualTo("body");
  }

  @Test
  void aBatchOfPromptsCountsItems() {
    fold(
        BatchEvent.accepted(
            new Accepted("s", "d", 1, 1, List.of(JSON.createObjectNode().put("id", "a")), null)));
    assertThat(batchState.remainingCapacity()).isEqualTo(1);
  }
}
