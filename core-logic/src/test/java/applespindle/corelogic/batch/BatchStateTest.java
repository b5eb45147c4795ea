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
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The fold of a proxied batch's log. */
final class BatchStateTest {
  private static final int LARGE_BODY_BYTES = 100_000;

  private final BatchState batchState = new BatchState();

  /** The stored events; an entry's sequence is its index. */
  private final List<byte[]> log = new ArrayList<>();

  private void fold(BatchEvent event) {
    byte[] stored = BatchEventCodec.encode(event);
    log.add(stored);
    batchState.apply(log.size() - 1, stored.length, BatchEventCodec.decodeHeader(stored));
  }

  private byte[] stored(EventPart.Section section) {
    byte[] event = log.get((int) section.sequence());
    return Arrays.copyOfRange(event, section.offset(), section.offset() + section.bytes());
  }

  private JsonNode itemContents(int item) {
    EventPart part = batchState.itemPart(item);
    return BatchEventCodec.items(part.section(), stored(part.section())).get(part.position());
  }

  private String output(RecordedResult result) {
    EventPart part = result.part();
    return BatchEventCodec.outputs(part.section(), stored(part.section())).get(part.position());
  }

  private void accept() {
    List<JsonNode> items = List.of(item("a", 100), item("b", 20), item("c", 3));
    fold(BatchEvent.accepted(new Accepted("", "digest", 10_000, 60_000, items, route())));
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
                List.of(new Result(item, "run" + log.size(), "w", "", errorType, output)),
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
    assertThat(batchState.results.stream().map(this::output).toList())
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
    ProxiedBatch.Item item = JSON.convertValue(itemContents(1), ProxiedBatch.Item.class);
    assertThat(new String(item.body(), UTF_8)).isEqualTo("body");
  }

  /** Guards against a leader that holds the bodies of all its batches in the heap. */
  @Test
  void holdsNoBodiesButWhereTheyAre() {
    List<JsonNode> items = new ArrayList<>();
    for (int index = 0; index < 5; index++) {
      byte[] body = largeBody(index);
      items.add(JSON.valueToTree(new ProxiedBatch.Item("i" + index, "/l", List.of(), body, 7)));
    }
    fold(BatchEvent.accepted(new Accepted("", "d", 1, 1, items, route())));
    fold(BatchEvent.ordered(List.of(0, 1), 3));

    byte[] header = Json.bytes(BatchEventCodec.decodeHeader(log.get(0)));
    assertThat(header.length).isLessThan(1_000);
    assertThat(batchState.accepted.items()).isEmpty();
    assertThat(batchState.remainingCapacity()).isEqualTo(35);
    assertThat(batchState.itemOfId("i3")).isEqualTo(3);
    assertThat(batchState.largestRangeBytes()).isAtLeast(3L * LARGE_BODY_BYTES);
    for (int index = 0; index < 5; index++) {
      ProxiedBatch.Item item = JSON.convertValue(itemContents(index), ProxiedBatch.Item.class);
      assertThat(item.id()).isEqualTo("i" + index);
      assertThat(item.body()).isEqualTo(largeBody(index));
    }
  }

  /** Guards against a leader whose heap grows with the outputs of its batches. */
  @Test
  void holdsNoOutputsButWhereTheyAre() {
    accept();
    String large = "é".repeat(LARGE_BODY_BYTES);
    record(1, null, large);
    record(0, "ItemImpossible", null);

    RecordedResult result = batchState.results.get(0);
    assertThat(result.outputBytes()).isEqualTo(2 * LARGE_BODY_BYTES);
    assertThat(Json.bytes(BatchEventCodec.decodeHeader(log.get(2))).length).isLessThan(1_000);
    assertThat(output(result)).isEqualTo(large);
    assertThat(batchState.results.get(1).hasOutput()).isFalse();
  }

  private static byte[] largeBody(int seed) {
    byte[] body = new byte[LARGE_BODY_BYTES];
    new Random(seed).nextBytes(body);
    return body;
  }

  private static ProxiedRoute route() {
    return new ProxiedRoute("h", "/l/x", "r", 4, 2, 500);
  }

  @Test
  void aBatchOfPromptsCountsItems() {
    fold(
        BatchEvent.accepted(
            new Accepted("s", "d", 1, 1, List.of(JSON.createObjectNode().put("id", "a")), null)));
    assertThat(batchState.remainingCapacity()).isEqualTo(1);
  }
}
