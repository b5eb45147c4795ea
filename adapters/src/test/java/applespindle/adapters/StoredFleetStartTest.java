package applespindle.adapters;

import static applespindle.adapters.StoredDataFixturesTest.FIXTURES;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.batch.BatchReference;
import applespindle.corelogic.batch.ItemBody;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.protocol.Operation;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A fleet that starts on the data folders of version 0.1.0 serves what they hold: batches, the
 * configuration in force, and claims.
 */
class StoredFleetStartTest {
  private static final int MORE_THAN_ALL = 100;
  private static final List<String> NODES =
      List.of("core-1", "core-2", "core-3", "storage-1", "storage-2", "storage-3", "storage-4");

  @TempDir Path folder;
  private StoredFleet fleet;

  /** What each storage node said before any message reached it. */
  private final Map<String, JsonNode> firstStatus = new TreeMap<>();

  @BeforeEach
  void start() throws IOException {
    for (String name : NODES) {
      StoredDataGenerator.copy(FIXTURES.resolve("fleet").resolve(name), folder.resolve(name));
    }
    Map<String, String> keys =
        Map.of(StoredDataGenerator.KEY_ID, StoredDataFixturesTest.operatorKey());
    fleet = new StoredFleet(folder, keys, "edge00000002", 9_000_000);
    fleet.holding = false;
    for (String name : NODES.subList(3, NODES.size())) {
      firstStatus.put(name, fleet.storage(name).status());
    }
    for (String name : NODES.subList(0, 3)) {
      fleet.runUntil(name, () -> fleet.core(name).notReadyReason().isEmpty());
    }
    fleet.runUntil("the edge", () -> fleet.edge().notReadyReason().isEmpty());
  }

  @AfterEach
  void close() {
    fleet.close();
  }

  private JsonNode ok(Consumer<Consumer<Response>> question) {
    Response response = fleet.answerTo(question);
    assertThat(response.status()).isEqualTo(200);
    return response.body();
  }

  private static String batch(String key) {
    return BatchKeys.batchId(StoredDataGenerator.SENDER, key);
  }

  private JsonNode results(String key) {
    return ok(then -> fleet.edge().readResults(batch(key), 0, MORE_THAN_ALL, then));
  }

  private static List<String> rows(JsonNode page, String... fields) {
    List<String> rows = new ArrayList<>();
    for (JsonNode row : page.get("results")) {
      List<String> words = new ArrayList<>();
      for (String field : fields) {
        words.add(row.path(field).asText("none"));
      }
      rows.add(String.join("|", words));
    }
    return rows;
  }

  private static List<String> rows(JsonNode page) {
    return rows(page, "n", "id", "type", "output", "finish_reason", "run", "worker");
  }

  @Test
  void servesAFinishedBatchOfPrompts() {
    JsonNode page = results("finished");
    assertThat(page.get("batch").asText()).isEqualTo("b-9f54ff836da22a816f7708f22bdb5397");
    assertThat(page.get("state").asText()).isEqualTo("finished");
    assertThat(rows(page))
        .containsExactly(
            "1|item-0|succeeded|answer to first prompt|stop|edge00000001-2|worker-1",
            "2|item-1|succeeded|answer to second prompt|stop|edge00000001-3|worker-1",
            "3|item-2|failed|none|none|edge00000001-13|worker-1")
        .inOrder();
  }

  @Test
  void servesAResultThatWasStoredDeflated() {
    JsonNode page = results("long");
    assertThat(page.get("state").asText()).isEqualTo("finished");
    assertThat(rows(page, "id", "output"))
        .containsExactly("item-0|answer to " + "a long prompt ".repeat(500));
  }

  @Test
  void servesAnEndedAndAnExpiredBatchOfPrompts() {
    JsonNode ended = results("ended");
    assertThat(ended.get("state").asText()).isEqualTo("ended");
    assertThat(rows(ended))
        .containsExactly(
            "1|item-0|succeeded|answer to answered prompt|stop|edge00000001-14|worker-1");
    JsonNode expired = results("expired");
    assertThat(expired.get("state").asText()).isEqualTo("finished");
    assertThat(rows(expired))
        .containsExactly(
            "1|item-0|succeeded|answer to answered prompt|stop|edge00000001-18|worker-1",
            "2|item-1|failed|none|none||")
        .inOrder();
  }

  @Test
  void doesNotServeARemovedBatch() {
    Response removed = fleet.answerTo(then -> fleet.edge().readBatch(batch("removed"), then));
    assertThat(removed.status()).isEqualTo(404);
  }

  @Test
  void finishesTheOpenBatchOfPrompts() {
    fleet.runUntil(
        "the open batch", () -> results("open").get("state").asText().equals("finished"));
    assertThat(rows(results("open"), "id", "type", "output"))
        .containsExactly(
            "item-0|succeeded|answer to answered prompt",
            "item-1|succeeded|answer to hold this prompt")
        .inOrder();
    assertThat(rows(results("open"), "run").get(0)).isEqualTo("edge00000001-20");
  }

  private static BatchReference reference(String id) {
    return BatchReference.withoutKey(id, StoredDataGenerator.HOST);
  }

  private JsonNode proxiedResults(String id) {
    return ok(then -> fleet.edge().readProxiedResults(reference(id), 0, 0, then));
  }

  @Test
  void servesFinishedAndEndedProxiedBatches() {
    JsonNode finished = proxiedResults("finished");
    assertThat(finished.get("total").asInt()).isEqualTo(3);
    assertThat(rows(finished, "id", "state", "output"))
        .containsExactly(
            "item-0|complete|answer to first body",
            "item-1|complete|answer to second body",
            "item-2|expired|")
        .inOrder();
    JsonNode ended = proxiedResults("ended");
    assertThat(ended.get("total").asInt()).isEqualTo(2);
    assertThat(rows(ended, "id", "state", "output"))
        .containsExactly("item-0|complete|answer to answered body");
  }

  @Test
  void servesTheBodyOfAProxiedItem() throws IOException {
    Response item =
        fleet.answerTo(then -> fleet.edge().readProxiedItem(reference("ended"), "item-1", then));
    assertThat(item.status()).isEqualTo(200);
    assertThat(new String(ItemBody.of(item).copy(), UTF_8)).isEqualTo("hold this body");
  }

  @Test
  void finishesTheOpenProxiedBatch() {
    fleet.runUntil("the open batch", () -> proxiedResults("open").get("results").size() == 2);
    assertThat(rows(proxiedResults("open"), "id", "state", "output"))
        .containsExactly(
            "item-0|complete|answer to answered body", "item-1|complete|answer to hold this body")
        .inOrder();
  }

  @Test
  void hasTheStoredConfigurationInForce() throws IOException {
    JsonNode configuration =
        ok(
            then ->
                fleet
                    .core("core-2")
                    .command(Operation.READ_KEY, "bundle", new byte[] {'{', '}'}, then));
    assertThat(configuration.get("number").asLong()).isEqualTo(2);
    assertThat(new String(configuration.get("bytes").binaryValue(), UTF_8))
        .isEqualTo(StoredDataGenerator.configuration(2));
    assertThat(configuration.get("keyId").asText()).isEqualTo(StoredDataGenerator.KEY_ID);
    assertThat(configuration.at("/accepted/packed").asText())
        .isEqualTo("AAAAAAAAAAFOjGh03febHAAAAAAAAAAC4OdjBMh9sCc=");
    assertThat(fleet.edge().configuration().number()).isEqualTo(2);
    assertThat(fleet.edge().route(StoredDataGenerator.HOST, "/jobs/any").name())
        .isEqualTo("batches");
  }

  @Test
  void knowsTheStoredMembersWorkersAndReplicaSets() {
    JsonNode status = fleet.core("core-3").status();
    assertThat(status.at("/roster/number").asLong()).isEqualTo(1);
    assertThat(texts(status.at("/roster/members"), "id"))
        .containsExactly("9b117a0dcf8d", "b03eddab22c0", "be02532d37a7")
        .inOrder();
    assertThat(status.get("workers"))
        .isEqualTo(
            Json.tree(
                """
                [{"id": "worker-1", "address": "10.0.4.1:8000", "pool": "main",
                  "state": "ready", "zone": "", "slots": 0}]
                """
                    .getBytes(UTF_8)));
    assertThat(status.get("shards")).hasSize(16);
    assertReplicaSet(
        status.at("/shards/0"), 3, List.of("1eab6c3a5246", "cbdfe95dc531", "7921d46072b2"));
    assertReplicaSet(
        status.at("/shards/10"), 1, List.of("1eab6c3a5246", "7921d46072b2", "cbdfe95dc531"));
  }

  private static void assertReplicaSet(JsonNode shard, long number, List<String> ids) {
    assertThat(shard.get("number").asLong()).isEqualTo(number);
    assertThat(texts(shard.get("replicas"), "id")).containsExactlyElementsIn(ids).inOrder();
    assertThat(shard.get("next")).isEmpty();
  }

  @Test
  void reportsADrainedStorageNode() {
    JsonNode place = ok(then -> fleet.core("core-2").isStorageNodeDrained("storage-1", then));
    assertThat(place.get("complete").asBoolean()).isTrue();
    JsonNode other = ok(then -> fleet.core("core-2").isStorageNodeDrained("storage-2", then));
    assertThat(other.get("complete").asBoolean()).isFalse();
  }

  private static List<String> texts(JsonNode rows, String field) {
    return rows.findValuesAsText(field);
  }

  @ParameterizedTest
  @CsvSource({
    "storage-1, 2, 0, 0, 2",
    "storage-2, 9, 2, 1, 1",
    "storage-3, 9, 2, 1, 1",
    "storage-4, 9, 2, 1, 1"
  })
  void storageNodesHoldWhatTheyHeld(
      String name, int keys, int unfinished, int removed, int claims) {
    JsonNode status = firstStatus.get(name);
    assertThat(status.get("incarnation").asLong()).isEqualTo(2);
    assertThat(status.get("keys").asInt()).isEqualTo(keys);
    assertThat(status.get("unfinished").asInt()).isEqualTo(unfinished);
    assertThat(status.get("removed").asInt()).isEqualTo(removed);
    assertThat(status.get("onceClaims").asInt()).isEqualTo(claims);
  }

  private ApiError claim(String id, String token) {
    List<ApiError> answers = new ArrayList<>();
    fleet.edge().claimIdempotencyId(id, token, answers::add);
    fleet.runUntil("a claim", () -> !answers.isEmpty());
    return answers.get(0);
  }

  @Test
  void keepsAClaimForItsTokenAlone() {
    assertThat(claim("kept", "token-9")).isNotNull();
    assertThat(claim("kept", "token-1")).isNull();
    assertThat(claim("given-back", "token-9")).isNull();
  }
}
