package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchEvent.Assigned;
import applespindle.corelogic.batch.BatchEvent.Attempt;
import applespindle.corelogic.batch.BatchEvent.ProxiedRoute;
import applespindle.corelogic.batch.BatchEvent.Recorded;
import applespindle.corelogic.batch.BatchEvent.Result;
import applespindle.corelogic.batch.BatchEvent.Returned;
import applespindle.corelogic.common.JsonFixtures;
import applespindle.corelogic.configuration.ConfigurationPatchRequest;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.AcceptedRevisions;
import applespindle.corelogic.metadata.BatchCapacityChange;
import applespindle.corelogic.metadata.BatchCapacityUsage;
import applespindle.corelogic.metadata.EdgeList;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.metadata.ShardAssignment;
import applespindle.corelogic.metadata.ShardReplica;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.metadata.WorkerInput;
import applespindle.corelogic.metadata.WorkerList;
import applespindle.corelogic.metadata.WorkerListVersion;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.replication.DetachedEntry;
import applespindle.corelogic.replication.LogEndPosition;
import applespindle.corelogic.replication.ReplicaCatchUp;
import applespindle.corelogic.replication.ReplicaSnapshot;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The JSON of values that are kept in logs or sent between nodes, as an earlier build wrote it. */
final class RecordFormatTest {
  private static final String RECORDS = "/fixtures/json/records.txt";
  private static final String EVENTS = "/fixtures/json/batch-events.txt";
  private static final String SUBMISSION = "/fixtures/json/submission.txt";
  private static final String DEFLATED_EVENT = "/fixtures/json/batch-event-deflated.txt";
  private static final int DEFLATED_ITEMS = 100;

  @Test
  void metadataValuesReadAsWritten() throws IOException {
    JsonFixtures.assertTextsMatch(JsonFixtures.read(RECORDS), records());
  }

  @Test
  void everyMetadataValueHasAFixture() {
    Set<Class<?>> read = new HashSet<>();
    records().values().forEach(value -> read.add(value.getClass()));
    assertThat(read)
        .containsAtLeast(
            QuorumMember.class,
            QuorumMembership.class,
            NodeRegistration.class,
            WorkerRegistration.class,
            WorkerList.class,
            EdgeList.class,
            SignedConfiguration.class,
            ShardAssignment.class,
            StorageNodeState.class,
            ShardReplica.class,
            BatchCapacityUsage.class,
            BatchCapacityChange.class,
            WorkerListVersion.class,
            WorkerInput.class);
  }

  @Test
  void batchEventsReadAsWritten() throws IOException {
    Map<String, String> texts = JsonFixtures.read(EVENTS);
    JsonFixtures.assertTextsMatch(texts, events());
    events()
        .forEach(
            (name, event) -> {
              byte[] text = texts.get(name).getBytes(UTF_8);
              JsonFixtures.assertSame(name, BatchEventCodec.decode(text), event);
              assertThat(BatchEventCodec.encode((BatchEvent) event)).isEqualTo(text);
              assertThat(BatchEvent.kindOf(text)).isEqualTo(((BatchEvent) event).kind());
            });
  }

  @Test
  void everyKindOfEventHasAFixture() {
    TreeSet<String> kinds = new TreeSet<>();
    events().values().forEach(event -> kinds.add(((BatchEvent) event).kind()));
    assertThat(kinds)
        .containsExactly(
            BatchEvent.ACCEPTED,
            BatchEvent.ORDERED,
            BatchEvent.ASSIGNED,
            BatchEvent.RECORDED,
            BatchEvent.RETURNED,
            BatchEvent.ENDED,
            BatchEvent.FINISHED,
            BatchEvent.REFUSED,
            BatchEvent.REMOVED);
  }

  @Test
  void deflatedEventReadsAsWritten() throws IOException {
    byte[] written = hex(DEFLATED_EVENT);
    JsonFixtures.assertSame("event", BatchEventCodec.decode(written), largeEvent());
    assertThat(BatchEvent.kindOf(written)).isEqualTo(BatchEvent.ACCEPTED);
  }

  @Test
  void submissionReadsAsWritten() throws IOException {
    byte[] written = hex(SUBMISSION);
    BatchSubmission.Forwarded expected = submission();
    JsonFixtures.assertSame("submission", BatchSubmission.Forwarded.decode(written), expected);
    assertThat(expected.encode()).isEqualTo(written);
  }

  private static byte[] hex(String resource) throws IOException {
    return HexFormat.of().parseHex(JsonFixtures.read(resource).values().iterator().next());
  }

  static BatchSubmission.Forwarded submission() {
    byte[] body = "{\"id\":\"client-5\",\"items\":[]}".getBytes(UTF_8);
    return new BatchSubmission.Forwarded(
        new BatchSubmission("client-5", "h0.example", "/batch-0/b5", body), 12);
  }

  static BatchEvent largeEvent() {
    List<JsonNode> items = new ArrayList<>();
    for (int number = 0; number < DEFLATED_ITEMS; number++) {
      items.add(
          JSON.createObjectNode()
              .put("id", "item-" + number)
              .put("prompt", "Prompt of item " + number)
              .put("max_tokens", 160));
    }
    return BatchEvent.accepted(new Accepted("sender", "7cea1ead", 10000, 3600000, items, null));
  }

  static Map<String, Object> records() {
    Map<String, Object> records = new LinkedHashMap<>();
    QuorumMember core =
        new QuorumMember("27a7d9882d5c", "10.0.2.1:7400", "10.0.2.1:8080", "zone-0", "core-1");
    QuorumMember joiningMember =
        new QuorumMember("536acd9bcd3f", "10.0.2.2:7400", "10.0.2.2:8080", "zone-1", "core-2");
    records.put("core-member", core);
    records.put("roster", new QuorumMembership(1, List.of(core), List.of()));
    records.put("roster-changing", new QuorumMembership(2, List.of(core), List.of(joiningMember)));
    records.put("member", edge(true, 2.5, 1000));
    records.put("member-ended", edge(false, 0, 0));
    WorkerRegistration ready =
        new WorkerRegistration("w1", "10.0.3.1:9000", "main", "ready", "zone-2", 8);
    WorkerRegistration leaving =
        new WorkerRegistration("w2", "10.0.3.2:9000", "main", "leaving", "", 0);
    records.put("worker-ready", ready);
    records.put("worker-leaving", leaving);
    records.put(
        "worker-gone", new WorkerRegistration("w3", "10.0.3.3:9000", "main", "gone", "", 0));
    records.put("listed-workers-none", new WorkerList(List.of()));
    records.put("listed-workers", new WorkerList(List.of(ready, leaving)));
    records.put("worker-input", new WorkerInput("w1", "10.0.3.1:9000", "main", "ready"));
    records.put("edge-list", new EdgeList(2, List.of("10.0.0.1:7400", "10.0.0.2:7400")));
    records.put("list-version", new WorkerListVersion(5));
    records.put("room", new BatchCapacityUsage(Map.of("o-1", 2885L), Map.of("o-1", "batch-0")));
    records.put("room-empty", new BatchCapacityUsage(Map.of(), Map.of()));
    records.put("room-change", new BatchCapacityChange("o-1", 2587, "batch-0"));
    records.put("room-change-of-prompts", new BatchCapacityChange("b-1", 0, ""));
    addConfigurations(records);
    records.put("configuration", configuration());
    addStorage(records);
    return records;
  }

  private static NodeRegistration edge(boolean live, double cores, double megabits) {
    return new NodeRegistration(
        "d1529810cb40",
        3,
        "edge-1",
        "zone-1",
        "edge",
        "10.0.0.1:7400",
        "10.0.0.1:8080",
        live,
        cores,
        megabits);
  }

  private static void addConfigurations(Map<String, Object> records) {
    byte[] bytes = "{\"number\":10}".getBytes(UTF_8);
    byte[] signature = {0, 1, 2, 3, 4};
    AcceptedRevisions accepted =
        new AcceptedRevisions(9, new byte[] {0, 0, 0, 0, 0, 0, 0, 9, 1, 2, 3, 4, 5, 6, 7, 8});
    records.put(
        "signed-bundle", new SignedConfiguration(10, bytes, "operator-1", signature, 9L, accepted));
    records.put("signed-bundle-sent", new SignedConfiguration(0, bytes, "", new byte[0]));
    records.put("accepted-revisions", accepted);
    records.put("sent-patch", new ConfigurationPatchRequest(bytes, 9, "operator-1", signature));
  }

  private static RoutingConfiguration configuration() {
    RoutingConfiguration.Match match =
        new RoutingConfiguration.Match("model-1", "sender", "note", Map.of("x-kind", "a"), 4000, 1);
    RoutingConfiguration.Rule rule =
        new RoutingConfiguration.Rule(
            "notes",
            match,
            "chars < 100",
            new RoutingConfiguration.RoutingAction("main", "note", 10000, 2));
    RoutingConfiguration.BatchLimits batch =
        new RoutingConfiguration.BatchLimits("main", 2000, 8, 1, true, 30000, 60000L);
    RoutingConfiguration.Limits limits =
        new RoutingConfiguration.Limits(
            Map.of("note", new RoutingConfiguration.ClassLimit(1, 100)), batch);
    return new RoutingConfiguration(
        10,
        Map.of("main", new RoutingConfiguration.Pool(64, 4, 1.5, 8, 200, 20000L)),
        List.of(rule),
        limits,
        Stream.of(RoutingConfiguration.RouteType.values()).map(RecordFormatTest::route).toList(),
        new RoutingConfiguration.ClientLimits(8192, 1048576, 5000, 60000),
        "number: 10");
  }

  private static RoutingConfiguration.Route route(RoutingConfiguration.RouteType type) {
    List<RoutingConfiguration.PoolWeight> split =
        List.of(new RoutingConfiguration.PoolWeight("main", 1));
    return new RoutingConfiguration.Route(
        "route-" + type.ordinal(),
        "h0.example",
        "/a/",
        type,
        2000,
        500,
        100,
        3,
        5,
        true,
        false,
        split,
        3600000,
        86400000,
        5000);
  }

  private static void addStorage(Map<String, Object> records) {
    ShardReplica replica = new ShardReplica("ec38dac6edae", "10.0.1.1:7400", "zone-0");
    ShardReplica next = new ShardReplica("30068eedae34", "10.0.1.2:7400", "zone-1");
    records.put("storage-replica", replica);
    records.put("shard", new ShardAssignment(1, List.of(replica), List.of()));
    records.put("shard-changing", new ShardAssignment(2, List.of(replica), List.of(replica, next)));
    records.put("storage-emptying", new StorageNodeState("ec38dac6edae", "storage-1", "emptying"));
    records.put("storage-retired", new StorageNodeState("ec38dac6edae", "storage-1", "retired"));
    records.put("storage-active", new StorageNodeState("ec38dac6edae", "storage-1", "active"));
    Epoch epoch = new Epoch(2, "62fd43f07b5a");
    LogEntry entry = new LogEntry(11, epoch, true, "{}".getBytes(UTF_8));
    ReplicaSnapshot copied = new ReplicaSnapshot("batch/b-1", epoch, 11, true, List.of(entry));
    records.put("held", new LogEndPosition(11, epoch));
    records.put(
        "copy-page",
        new ReplicaCatchUp.Page(
            List.of(copied), Map.of("once/once-4", "0e8a80636900-1"), "batch/b-1"));
    ReplicaSnapshot large = copied.withEntries(List.of(new LogEntry(11, epoch, true, new byte[0])));
    records.put(
        "copy-page-detached",
        new ReplicaCatchUp.Page(
            List.of(large),
            Map.of(),
            "batch/b-1",
            List.of(new DetachedEntry("batch/b-1", 11, epoch, 3821524))));
    records.put("copy-page-empty", new ReplicaCatchUp.Page(List.of(), Map.of(), ""));
    byte[] body = "body-x7".getBytes(UTF_8);
    List<Header> headers = List.of(new Header("content-type", "text/plain"));
    ProxiedBatch.Item item = new ProxiedBatch.Item("x7", "/batch-0/b5/x7", headers, body, 290);
    records.put(
        "opaque-batch", new ProxiedBatch("client-5", "h0.example", "/batch-0/b5", List.of(item)));
  }

  static Map<String, Object> events() {
    Map<String, Object> events = new LinkedHashMap<>();
    JsonNode prompt =
        JSON.createObjectNode().put("id", "i0").put("prompt", "Good day").put("max_tokens", 160);
    JsonNode request =
        JSON.createObjectNode().put("id", "x7").put("target", "/batch-0/b5/x7").put("tokens", 290);
    ProxiedRoute proxiedRoute =
        new ProxiedRoute("h0.example", "/batch-0/b5", "batch-0", 12, 3, 5000);
    events.put(
        "accepted-prompts",
        BatchEvent.accepted(
            new Accepted("sender", "7cea1ead", 10000, 3600000, List.of(prompt), null)));
    events.put(
        "accepted-opaque",
        BatchEvent.accepted(
            new Accepted("", "fields:7cea1ead", 10000, 3600000, List.of(request), proxiedRoute)));
    events.put("ordered", BatchEvent.ordered(List.of(2, 0, 1), 2));
    events.put("assigned", BatchEvent.assigned(12, new Assigned(1, 2, "d1529810cb40", "w1")));
    events.put(
        "recorded",
        BatchEvent.recorded(
            2990,
            new Recorded(
                1,
                2,
                List.of(
                    new Result(2, "d1529810cb40-1", "w1", "stop", null, "Good day."),
                    new Result(
                        0, "d1529810cb40-2", "w1", null, new ApiError.ItemExpired().type(), null)),
                List.of(
                    new Attempt(
                        1, "d1529810cb40-3", new ApiError.WorkerStreamTruncated("w1").type())))));
    events.put("returned", BatchEvent.returned(3000, new Returned(1, 2)));
    events.put("ended", BatchEvent.plain("ended", 3001));
    events.put("finished", BatchEvent.plain("finished", 3002));
    events.put("refused", BatchEvent.plain("refused", 3003));
    events.put("removed", BatchEvent.plain("removed", 125207));
    return events;
  }
}
