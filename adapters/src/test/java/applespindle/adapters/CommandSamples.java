package applespindle.adapters;

import static applespindle.adapters.FrameSamples.CORE_ADDRESS;
import static applespindle.adapters.FrameSamples.CORE_ID;
import static applespindle.adapters.FrameSamples.EDGE_ADDRESS;
import static applespindle.adapters.FrameSamples.EDGE_ID;
import static applespindle.adapters.FrameSamples.PROMPT_BATCH;
import static applespindle.adapters.FrameSamples.PROMPT_BATCH_KEY;
import static applespindle.adapters.FrameSamples.PROXIED_BATCH;
import static applespindle.adapters.FrameSamples.PROXIED_BATCH_KEY;
import static applespindle.adapters.FrameSamples.STORAGE_ADDRESS;
import static applespindle.adapters.FrameSamples.STORAGE_ID;
import static applespindle.adapters.FrameSamples.bytes;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.PeerResponse;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The commands between nodes, with bodies as their senders write them, and the responses to them,
 * by the name of the frame in {@code fixtures/frames/commands.txt}. A response's name is that of
 * its command followed by its status.
 */
final class CommandSamples {
  private static final int HOPS = 4;
  private static final String NO_BODY = "{}";
  private static final String MEMBER_KEY = "member/" + EDGE_ID;
  private static final String STORAGE_KEY = "storage/" + STORAGE_ID;
  private static final String MEMBER =
      "{\"id\":\"d1529810cb40\",\"incarnation\":1,\"name\":\"edge-1\",\"zone\":\"zone-1\","
          + "\"role\":\"edge\",\"peerAddress\":\"10.0.0.1:7400\",\"httpAddress\":\"10.0.0.1:8080\","
          + "\"live\":true,\"processorCores\":0.0,\"linkMegabits\":0.0}";
  private static final String IN_FORCE = "\"confirmed\":[\"edge-1\"],\"unconfirmed\":[]}";

  private final Map<String, Envelope> samples = new LinkedHashMap<>();
  private long correlation;

  private CommandSamples() {}

  /** Every sample of this class, by the name of its frame. */
  static Map<String, Envelope> all() {
    CommandSamples made = new CommandSamples();
    made.addSubmissions();
    made.addBatchCommands();
    made.addProxiedReads();
    made.addMembership();
    made.addConfiguration();
    made.addWorkersAndRoom();
    made.addStorage();
    made.addReplicaCommands();
    made.addFaults();
    return made.samples;
  }

  private void ask(String name, String operation, String key, String body) {
    ask(name, operation, key, bytes(body));
  }

  private void ask(String name, String operation, String key, byte[] body) {
    correlation++;
    PeerRequest request =
        new PeerRequest(correlation, operation, key, EDGE_ID, EDGE_ADDRESS, HOPS, body);
    samples.put(name, new Envelope(EDGE_ID, EDGE_ADDRESS, CORE_ID, request));
  }

  /** The response to the command added last. */
  private void respond(String name, int status, int retryAfterSeconds, String body) {
    PeerResponse response = new PeerResponse(correlation, status, retryAfterSeconds, bytes(body));
    samples.put(name, new Envelope(CORE_ID, CORE_ADDRESS, EDGE_ID, response));
  }

  /**
   * The refusal of the command added last. The text for a reader is given as it was written then,
   * since it may be put better at any time.
   */
  private void refuse(String name, int retryAfterSeconds, ApiError error, String message) {
    String body = ((ObjectNode) error.toJson()).put("message", message).toString();
    respond(name, error.description().status(), retryAfterSeconds, body);
  }

  private static String summary(String batch, String state) {
    return "{\"batch\":\""
        + batch
        + "\",\"state\":\""
        + state
        + "\",\"items\":2,\"recorded\":1,\"failed\":0,\"ageMs\":2990";
  }

  private void addSubmissions() {
    ask(
        "submit-prompts",
        "submit",
        PROMPT_BATCH_KEY,
        "{\"sender\":\"sender\",\"digest\":\"7cea1ead1f04\",\"dueInMs\":10000,"
            + "\"expiresInMs\":3600000,\"items\":["
            + "{\"id\":\"i0\",\"prompt\":\"Good day\",\"max_tokens\":160},"
            + "{\"id\":\"i1\",\"prompt\":\"Grüße\",\"max_tokens\":1}]}");
    respond("submit-prompts-201", 201, 0, summary(PROMPT_BATCH, "accepted") + "}");
    ask("submit-opaque", "submit", PROXIED_BATCH_KEY, proxiedSubmission());
    respond("submit-opaque-201", 201, 0, summary(PROXIED_BATCH, "accepted") + "}");
  }

  /** A mark, the configuration's number, three texts with their lengths, then the client's body. */
  private static byte[] proxiedSubmission() {
    byte[] body =
        bytes(
            "{\"id\":\"client-5\",\"host\":\"h0.example\",\"path\":\"/batch-0/b5\",\"items\":[{"
                + "\"id\":\"x7\",\"target\":\"/batch-0/b5/x7\",\"headers\":[],"
                + "\"body\":\"Ym9keS14Nw==\",\"tokens\":290}]}");
    ByteBuffer out = ByteBuffer.allocate(300).put((byte) 1).putLong(12);
    for (String text : new String[] {"client-5", "h0.example", "/batch-0/b5"}) {
      out.putInt(text.length()).put(bytes(text));
    }
    out.put(body);
    byte[] submission = new byte[out.position()];
    out.flip().get(submission);
    return submission;
  }

  private void addBatchCommands() {
    ask("get", "get", PROMPT_BATCH_KEY, NO_BODY);
    respond("get-200", 200, 0, summary(PROMPT_BATCH, "accepted") + "}");
    ask("results", "results", PROMPT_BATCH_KEY, "{\"after\":0,\"limit\":100}");
    respond(
        "results-200",
        200,
        0,
        summary(PROMPT_BATCH, "finished")
            + ",\"results\":[{\"n\":1,\"id\":\"i0\",\"type\":\"succeeded\",\"output\":\"Good"
            + " day.\",\"finish_reason\":\"stop\",\"run\":\"d1529810cb40-1\",\"worker\":\"w1\"},"
            + "{\"n\":2,\"id\":\"i1\",\"type\":\"failed\",\"fault\":\""
            + new ApiError.ItemExpired().type()
            + "\",\"run\":\"d1529810cb40-2\",\"worker\":\"w1\"}],\"next\":2}");
    ask("end", "end", PROMPT_BATCH_KEY, NO_BODY);
    respond("end-200", 200, 0, summary(PROMPT_BATCH, "ended") + "}");
    ask("remove", "remove", PROXIED_BATCH_KEY, NO_BODY);
    refuse(
        "remove-404",
        0,
        new ApiError.NoSuchBatch(PROXIED_BATCH),
        "A majority of replicas has no such batch.");
  }

  private void addProxiedReads() {
    ask("opaque-results", "opaque-results", PROXIED_BATCH_KEY, "{\"from\":0,\"holdMs\":0}");
    respond(
        "opaque-results-200",
        200,
        0,
        "{\"total\":2,\"results\":[{\"id\":\"x7\",\"state\":\"complete\",\"output\":\"1x8\\n1x9\"},"
            + "{\"id\":\"x9\",\"state\":\"expired\",\"output\":\"\"}],\"next\":2}");
    ask("opaque-item", "opaque-item", PROXIED_BATCH_KEY, "{\"item\":\"x151\"}");
    respond("opaque-item-200", 200, 0, "{\"body\":\"Ym9keS14MTUxLjM2\"}");
  }

  private void addMembership() {
    ask("grant", "grant", MEMBER_KEY, MEMBER);
    respond("grant-200", 200, 0, "{\"grantMs\":2000}");
    ask("leave", "leave", MEMBER_KEY, NO_BODY);
    respond("leave-200", 200, 0, NO_BODY);
    ask("copied", "copied", "roster", "{\"id\":\"0d6d5f16fb62\",\"number\":2}");
    respond("copied-200", 200, 0, "{\"id\":\"0d6d5f16fb62\",\"number\":2}");
    ask("read-member", "read", MEMBER_KEY, NO_BODY);
    respond("read-member-200", 200, 0, MEMBER);
    ask("read-absent", "read", "member/7ae79b19824c", NO_BODY);
    respond("read-absent-200", 200, 0, "null");
  }

  private void addConfiguration() {
    ask(
        "bundle",
        "bundle",
        "bundle",
        "{\"number\":0,\"bytes\":\"eyJudW1iZXIiOjEwfQ==\",\"keyId\":\"\",\"signature\":\"\","
            + "\"buildsOn\":null,\"accepted\":null}");
    respond("bundle-200", 200, 0, "{\"number\":10," + IN_FORCE);
    ask(
        "bundle-signed",
        "bundle",
        "bundle",
        "{\"number\":0,\"bytes\":\"eyJudW1iZXIiOjExfQ==\",\"keyId\":\"operator-1\","
            + "\"signature\":\"AAECAwQ=\",\"buildsOn\":10,\"accepted\":null}");
    refuse(
        "bundle-signed-409",
        0,
        new ApiError.VersionConflict(11),
        "The version is not the one in force.");
    ask(
        "patch-bundle",
        "patch-bundle",
        "bundle",
        "{\"bytes\":\"eyJudW1iZXIiOiA0fQ==\",\"buildsOn\":1,\"keyId\":\"\",\"signature\":\"\"}");
    respond("patch-bundle-200", 200, 0, "{\"number\":4," + IN_FORCE);
    ask("read-bundle", "read", "bundle", NO_BODY);
    respond(
        "read-bundle-200",
        200,
        0,
        "{\"number\":1,\"bytes\":\"eyJudW1iZXIiOjF9\",\"keyId\":\"\",\"signature\":\"\","
            + "\"buildsOn\":null,\"accepted\":{\"completeFrom\":1,"
            + "\"packed\":\"AAAAAAAAAAEBAgMEBQYHCA==\"}}");
  }

  private void addWorkersAndRoom() {
    String listed =
        "{\"id\":\"w1\",\"address\":\"10.0.3.1:9000\",\"pool\":\"main\",\"state\":\"ready\","
            + "\"zone\":\"\",\"slots\":0";
    ask("worker", "worker", "worker/w1", listed + "}");
    respond("worker-200", 200, 0, listed + "," + IN_FORCE);
    ask(
        "worker-marked",
        "worker",
        "worker/w1",
        "{\"id\":\"w1\",\"address\":\"\",\"pool\":\"\",\"state\":\"leaving\",\"zone\":\"\","
            + "\"slots\":0}");
    respond(
        "worker-marked-200",
        200,
        0,
        "{\"id\":\"w1\",\"address\":\"10.0.3.1:9000\",\"pool\":\"main\",\"state\":\"leaving\","
            + "\"zone\":\"\",\"slots\":0,"
            + IN_FORCE);
    ask("list-version", "list-version", "worker-list", "{\"from\":4}");
    respond("list-version-200", 200, 0, "{\"version\":5}");
    ask(
        "room-reserve-opaque",
        "room",
        "batch-room",
        "{\"batch\":\""
            + PROXIED_BATCH
            + "\",\"reserve\":true,\"items\":2885,\"ceiling\":0,\"group\":\"batch-0\"}");
    respond("room-reserve-opaque-200", 200, 0, "{\"waiting\":2885}");
    ask(
        "room-reserve-prompts",
        "room",
        "batch-room",
        "{\"batch\":\"" + PROMPT_BATCH + "\",\"reserve\":true,\"items\":80,\"ceiling\":800}");
    refuse(
        "room-reserve-prompts-429",
        3,
        new ApiError.CapacityExceeded(760, 800),
        "Waiting batch work is at its ceiling; nothing was accepted.");
    ask("room-report", "room", "batch-room", "{\"batch\":\"" + PROMPT_BATCH + "\",\"items\":11}");
    respond("room-report-200", 200, 0, "{\"waiting\":11}");
  }

  private void addStorage() {
    ask("storage-id", "storage-id", "storage-1", NO_BODY);
    respond("storage-id-200", 200, 0, "{\"id\":\"" + STORAGE_ID + "\"}");
    ask(
        "storage",
        "storage",
        STORAGE_KEY,
        "{\"id\":\"ec38dac6edae\",\"name\":\"storage-1\",\"state\":\"emptying\"}");
    respond(
        "storage-200",
        200,
        0,
        "{\"id\":\"ec38dac6edae\",\"name\":\"storage-1\",\"state\":\"emptying\",\"shards\":14}");
    ask("storage-place", "storage-place", STORAGE_KEY, NO_BODY);
    respond("storage-place-200", 200, 0, "{\"complete\":false}");
    ask("read-shard", "read", "shard/0", NO_BODY);
    respond(
        "read-shard-200",
        200,
        0,
        "{\"number\":3,\"replicas\":[{\"id\":\"ec38dac6edae\",\"address\":\""
            + STORAGE_ADDRESS
            + "\",\"zone\":\"zone-0\"}],\"next\":[]}");
  }

  private void addReplicaCommands() {
    ask(
        "copy",
        "copy",
        "shard/0",
        "{\"setNumber\":4,\"after\":\"\",\"held\":{\""
            + PROMPT_BATCH_KEY
            + "\":{\"sequence\":11,\"epoch\":{\"counter\":2,\"node\":\"62fd43f07b5a\"}}}}");
    respond(
        "copy-200",
        200,
        0,
        "{\"keys\":[{\"key\":\""
            + PROMPT_BATCH_KEY
            + "\",\"promised\":{\"counter\":2,\"node\":\"62fd43f07b5a\"},\"committed\":11,"
            + "\"partial\":true,\"entries\":[{\"sequence\":11,\"epoch\":{\"counter\":2,"
            + "\"node\":\"62fd43f07b5a\"},\"whole\":false,\"event\":\"e30=\"}]}],"
            + "\"claims\":{\"once/once-4\":\"0e8a80636900-1\"},\"last\":\""
            + PROMPT_BATCH_KEY
            + "\"}");
    ask("peek", "peek", PROMPT_BATCH_KEY, "{\"setNumber\":3}");
    respond(
        "peek-200",
        200,
        0,
        "{\"present\":true,\"holder\":\"d1529810cb40\",\"holderAddress\":\"10.0.0.1:7400\"}");
    ask("claim", "claim", "once/once-4", "{\"token\":\"0e8a80636900-1\",\"setNumber\":1}");
    respond("claim-200", 200, 0, "{\"claimed\":true}");
    ask("unclaim", "unclaim", "once/once-4", "{\"token\":\"0e8a80636900-1\"}");
    respond("unclaim-200", 200, 0, "{\"claimed\":false}");
  }

  private void addFaults() {
    ask("unknown-duty", "no-such-duty", PROMPT_BATCH_KEY, new byte[0]);
    refuse(
        "unknown-duty-501",
        0,
        new ApiError.UnknownRequest("no-such-duty"),
        "The node does not know this ask.");
    ask("old-set", "claim", "once/once-4", "{\"token\":\"0e8a80636900-1\",\"setNumber\":1}");
    refuse(
        "old-set-503",
        4,
        new ApiError.StaleReplicaConfiguration(3),
        "The replica set has changed; nothing was done.");
  }
}
