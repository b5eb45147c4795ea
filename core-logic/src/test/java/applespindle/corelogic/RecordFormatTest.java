package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.BatchEvent.Accepted;
import applespindle.corelogic.BatchEvent.Assigned;
import applespindle.corelogic.BatchEvent.Attempt;
import applespindle.corelogic.BatchEvent.Opaque;
import applespindle.corelogic.BatchEvent.Recorded;
import applespindle.corelogic.BatchEvent.Result;
import applespindle.corelogic.BatchEvent.Returned;
import applespindle.corelogic.KeyReplicas.Copied;
import applespindle.corelogic.KeyReplicas.Held;
import applespindle.corelogic.OpaqueRequest.Header;
import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.EdgeList;
import applespindle.corelogic.Records.ListVersion;
import applespindle.corelogic.Records.ListedWorkers;
import applespindle.corelogic.Records.Member;
import applespindle.corelogic.Records.Room;
import applespindle.corelogic.Records.RoomChange;
import applespindle.corelogic.Records.Roster;
import applespindle.corelogic.Records.Shard;
import applespindle.corelogic.Records.SignedBundle;
import applespindle.corelogic.Records.StorageReplica;
import applespindle.corelogic.Records.StorageState;
import applespindle.corelogic.Records.Worker;
import applespindle.corelogic.Records.WorkerInput;
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
  void coreValuesReadAsWritten() throws IOException {
    JsonFixtures.assertTextsMatch(JsonFixtures.read(RECORDS), records());
  }

  @Test
  void everyCoreValueHasAFixture() {
    Set<Class<?>> read = new HashSet<>();
    records().values().forEach(value -> read.add(value.getClass()));
    assertThat(read)
        .containsAtLeast(
            CoreMember.class,
            Roster.class,
            Member.class,
            Worker.class,
            ListedWorkers.class,
            EdgeList.class,
            SignedBundle.class,
            Shard.class,
            StorageState.class,
            StorageReplica.class,
            Room.class,
            RoomChange.class,
            ListVersion.class,
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
              JsonFixtures.assertSame(name, EventCodec.decode(text), event);
              assertThat(EventCodec.encode((BatchEvent) event)).isEqualTo(text);
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
    JsonFixtures.assertSame("event", EventCodec.decode(written), largeEvent());
    assertThat(BatchEvent.kindOf(written)).isEqualTo(BatchEvent.ACCEPTED);
  }

  @Test
  void submissionReadsAsWritten() throws IOException {
    byte[] written = hex(SUBMISSION);
    BatchSubmission.Sent expected = submission();
    JsonFixtures.assertSame("submission", BatchSubmission.Sent.decode(written), expected);
    assertThat(expected.encode()).isEqualTo(written);
  }

  private static byte[] hex(String resource) throws IOException {
    return HexFormat.of().parseHex(JsonFixtures.read(resource).values().iterator().next());
  }

  static BatchSubmission.Sent submission() {
    byte[] body = "{\"id\":\"client-5\",\"items\":[]}".getBytes(UTF_8);
    return new BatchSubmission.Sent(
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
    CoreMember core =
        new CoreMember("27a7d9882d5c", "10.0.2.1:7400", "10.0.2.1:8080", "zone-0", "core-1");
    CoreMember newcomer =
        new CoreMember("536acd9bcd3f", "10.0.2.2:7400", "10.0.2.2:8080", "zone-1", "core-2");
    records.put("core-member", core);
    records.put("roster", new Roster(1, List.of(core), List.of()));
    records.put("roster-changing", new Roster(2, List.of(core), List.of(newcomer)));
    records.put("member", edge(true, 2.5, 1000));
    records.put("member-ended", edge(false, 0, 0));
    Worker ready = new Worker("w1", "10.0.3.1:9000", "main", "ready", "zone-2", 8);
    Worker leaving = new Worker("w2", "10.0.3.2:9000", "main", "leaving", "", 0);
    records.put("worker-ready", ready);
    records.put("worker-leaving", leaving);
    records.put("worker-gone", new Worker("w3", "10.0.3.3:9000", "main", "gone", "", 0));
    records.put("listed-workers-none", new ListedWorkers(List.of()));
    records.put("listed-workers", new ListedWorkers(List.of(ready, leaving)));
    records.put("worker-input", new WorkerInput("w1", "10.0.3.1:9000", "main", "ready"));
    records.put("edge-list", new EdgeList(2, List.of("10.0.0.1:7400", "10.0.0.2:7400")));
    records.put("list-version", new ListVersion(5));
    records.put("room", new Room(Map.of("o-1", 2885L), Map.of("o-1", "batch-0")));
    records.put("room-empty", new Room(Map.of(), Map.of()));
    records.put("room-change", new RoomChange("o-1", 2587, "batch-0"));
    records.put("room-change-of-prompts", new RoomChange("b-1", 0, ""));
    addConfigurations(records);
    records.put("configuration", configuration());
    addStorage(records);
    return records;
  }

  private static Member edge(boolean live, double cores, double megabits) {
    return new Member(
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
        "signed-bundle", new SignedBundle(10, bytes, "operator-1", signature, 9L, accepted));
    records.put("signed-bundle-sent", new SignedBundle(0, bytes, "", new byte[0]));
    records.put("accepted-revisions", accepted);
    records.put("sent-patch", new SentPatch(bytes, 9, "operator-1", signature));
  }

  private static Bundle configuration() {
    Bundle.Match match =
        new Bundle.Match("model-1", "sender", "note", Map.of("x-kind", "a"), 4000, 1);
    Bundle.Rule rule =
        new Bundle.Rule("notes", match, "chars < 100", new Bundle.Way("main", "note", 10000, 2));
    Bundle.BatchLimits batch = new Bundle.BatchLimits("main", 2000, 8, 1, true, 30000, 60000L);
    Bundle.Limits limits = new Bundle.Limits(Map.of("note", new Bundle.ClassLimit(1, 100)), batch);
    return new Bundle(
        10,
        Map.of("main", new Bundle.Pool(64, 4, 1.5, 8, 200, 20000L)),
        List.of(rule),
        limits,
        Stream.of(Bundle.RouteType.values()).map(RecordFormatTest::route).toList(),
        new Bundle.ClientLimits(8192, 1048576, 5000, 60000),
        "number: 10");
  }

  private static Bundle.Route route(Bundle.RouteType type) {
    List<Bundle.Share> split = List.of(new Bundle.Share("main", 1));
    return new Bundle.Route(
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
    StorageReplica replica = new StorageReplica("ec38dac6edae", "10.0.1.1:7400", "zone-0");
    StorageReplica next = new StorageReplica("30068eedae34", "10.0.1.2:7400", "zone-1");
    records.put("storage-replica", replica);
    records.put("shard", new Shard(1, List.of(replica), List.of()));
    records.put("shard-changing", new Shard(2, List.of(replica), List.of(replica, next)));
    records.put("storage-emptying", new StorageState("ec38dac6edae", "storage-1", "emptying"));
    records.put("storage-retired", new StorageState("ec38dac6edae", "storage-1", "retired"));
    records.put("storage-active", new StorageState("ec38dac6edae", "storage-1", "active"));
    Epoch epoch = new Epoch(2, "62fd43f07b5a");
    Entry entry = new Entry(11, epoch, true, "{}".getBytes(UTF_8));
    Copied copied = new Copied("batch/b-1", epoch, 11, true, List.of(entry));
    records.put("held", new Held(11, epoch));
    records.put(
        "copy-page",
        new ReplicaCopier.Page(
            List.of(copied), Map.of("once/once-4", "0e8a80636900-1"), "batch/b-1"));
    records.put("copy-page-empty", new ReplicaCopier.Page(List.of(), Map.of(), ""));
    byte[] body = "body-x7".getBytes(UTF_8);
    List<Header> headers = List.of(new Header("content-type", "text/plain"));
    OpaqueBatch.Item item = new OpaqueBatch.Item("x7", "/batch-0/b5/x7", headers, body, 290);
    records.put(
        "opaque-batch", new OpaqueBatch("client-5", "h0.example", "/batch-0/b5", List.of(item)));
  }

  static Map<String, Object> events() {
    Map<String, Object> events = new LinkedHashMap<>();
    JsonNode prompt =
        JSON.createObjectNode().put("id", "i0").put("prompt", "Good day").put("max_tokens", 160);
    JsonNode request =
        JSON.createObjectNode().put("id", "x7").put("target", "/batch-0/b5/x7").put("tokens", 290);
    Opaque opaque = new Opaque("h0.example", "/batch-0/b5", "batch-0", 12, 3, 5000);
    events.put(
        "accepted-prompts",
        BatchEvent.accepted(
            new Accepted("sender", "7cea1ead", 10000, 3600000, List.of(prompt), null)));
    events.put(
        "accepted-opaque",
        BatchEvent.accepted(
            new Accepted("", "fields:7cea1ead", 10000, 3600000, List.of(request), opaque)));
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
                        0, "d1529810cb40-2", "w1", null, new Fault.ItemExpired().type(), null)),
                List.of(new Attempt(1, "d1529810cb40-3", new Fault.WorkerCut("w1").type())))));
    events.put("returned", BatchEvent.returned(3000, new Returned(1, 2)));
    events.put("ended", BatchEvent.plain("ended", 3001));
    events.put("finished", BatchEvent.plain("finished", 3002));
    events.put("refused", BatchEvent.plain("refused", 3003));
    events.put("removed", BatchEvent.plain("removed", 125207));
    return events;
  }
}
