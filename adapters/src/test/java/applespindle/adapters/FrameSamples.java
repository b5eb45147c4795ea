package applespindle.adapters;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.AppliedPositions;
import applespindle.corelogic.protocol.Message.AppliedPositionsRequest;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.protocol.Message.BatchEnded;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.ChangeFeedPoll;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.Message.EntryChunkRequest;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import applespindle.corelogic.protocol.Message.KeyPosition;
import applespindle.corelogic.protocol.Message.LeaderlessBatches;
import applespindle.corelogic.protocol.Message.LeadershipTransfer;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.protocol.Message.PeerLoadReport;
import applespindle.corelogic.protocol.Message.PeerLoadReport.OwnLoad;
import applespindle.corelogic.protocol.Message.PeerRequestProgress;
import applespindle.corelogic.protocol.Message.QuorumDiscoveryRequest;
import applespindle.corelogic.protocol.Message.QuorumDiscoveryResponse;
import applespindle.corelogic.protocol.Message.QuorumHeartbeat;
import applespindle.corelogic.protocol.Message.RangeAssignment;
import applespindle.corelogic.protocol.Message.RangeReport;
import applespindle.corelogic.protocol.Message.RangeReportResponse;
import applespindle.corelogic.protocol.Message.RangeRequest;
import applespindle.corelogic.protocol.Message.RangeSize;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The messages that the frames of {@code fixtures/frames/messages.txt} stand for, by the name of
 * the frame. Commands between nodes and their responses are in {@link CommandSamples}.
 */
final class FrameSamples {
  static final String EDGE_ID = "d1529810cb40";
  static final String EDGE_ADDRESS = "10.0.0.1:7400";
  static final String STORAGE_ID = "ec38dac6edae";
  static final String STORAGE_ADDRESS = "10.0.1.1:7400";
  static final String CORE_ID = "27a7d9882d5c";
  static final String CORE_ADDRESS = "10.0.2.1:7400";
  static final String PROMPT_BATCH = "b-424f28bc3c3fe839d11cbe446895df32";
  static final String PROXIED_BATCH = "o-3c5661974942379614b943d0593e4a5e";
  static final String PROMPT_BATCH_KEY = "batch/" + PROMPT_BATCH;
  static final String PROXIED_BATCH_KEY = "batch/" + PROXIED_BATCH;

  private static final String ROSTER =
      "{\"number\":1,\"members\":[{\"id\":\"27a7d9882d5c\",\"peerAddress\":\"10.0.2.1:7400\","
          + "\"httpAddress\":\"10.0.2.1:8080\",\"zone\":\"zone-0\",\"name\":\"core-1\"}],"
          + "\"next\":[]}";
  private static final String CORE_SELF =
      "{\"member\":{\"id\":\"27a7d9882d5c\",\"peerAddress\":\"10.0.2.1:7400\","
          + "\"httpAddress\":\"10.0.2.1:8080\",\"zone\":\"zone-0\",\"name\":\"core-1\"},";

  /** An event as it lies in a batch's log when it is large: zlib bytes. */
  private static final byte[] DEFLATED_EVENT =
      HexFormat.of()
          .parseHex(
              "7801ab56cacecc4b51b2522a4a2d292dca4b4d51d2514a4c4ff52d56b232"
                  + "363030d041885b552b1525e6a5a72a59190245412cd782fce40c252ba3da5a00241816c3");

  private static final Epoch EPOCH = new Epoch(4, EDGE_ID);
  private static final Epoch FORMER_EPOCH = new Epoch(3, "24f792a57dbb");
  private static final List<LogEntry> ENTRIES =
      List.of(
          new LogEntry(7, FORMER_EPOCH, false, bytes("{\"kind\":\"ended\",\"ageMs\":2990}")),
          new LogEntry(8, EPOCH, false, new byte[0]),
          new LogEntry(9, EPOCH, true, bytes("{\"kind\":\"removed\",\"ageMs\":125207}")),
          new LogEntry(10, EPOCH, false, DEFLATED_EVENT));

  private final Map<String, Envelope> samples = new LinkedHashMap<>();

  private FrameSamples() {}

  /** Every sample of this class, by the name of its frame. */
  static Map<String, Envelope> all() {
    FrameSamples made = new FrameSamples();
    made.addClaims();
    made.addAppends();
    made.addCoreMessages();
    made.addFeed();
    made.addWorkOfBatches();
    made.addRangeReports();
    made.addRest();
    return made.samples;
  }

  static byte[] bytes(String text) {
    return text.getBytes(UTF_8);
  }

  private void add(String name, Message message) {
    samples.put(name, new Envelope(EDGE_ID, EDGE_ADDRESS, STORAGE_ID, message));
  }

  private void addClaims() {
    add("promise-asked", new VoteRequest(PROMPT_BATCH_KEY, EPOCH, 3, false, 16384, false));
    add("promise-asked-trial", new VoteRequest(PROXIED_BATCH_KEY, EPOCH, 3, false, 16384, true));
    add("promise-asked-handed-over", new VoteRequest(PROMPT_BATCH_KEY, EPOCH, 3, true, 0, false));
    add(
        "promise-given-empty-log",
        new VoteResponse(PROMPT_BATCH_KEY, EPOCH, Verdict.OK, EPOCH, "", "", 0, 0, List.of()));
    add(
        "promise-given-with-log",
        new VoteResponse(
            PROMPT_BATCH_KEY, EPOCH, Verdict.OK, EPOCH, EDGE_ID, EDGE_ADDRESS, 8, 7, ENTRIES));
    add(
        "promise-trial-answered",
        new VoteResponse(
            PROXIED_BATCH_KEY, EPOCH, Verdict.WOULD_GRANT, Epoch.NONE, "", "", 0, 0, List.of()));
    for (Verdict verdict :
        List.of(
            Verdict.STALE_EPOCH,
            Verdict.LEADER_ALIVE,
            Verdict.LOG_MISMATCH,
            Verdict.STALE_CONFIGURATION)) {
      add(
          "promise-verdict-" + verdict.ordinal(),
          new VoteResponse(
              PROMPT_BATCH_KEY,
              EPOCH,
              verdict,
              FORMER_EPOCH,
              EDGE_ID,
              EDGE_ADDRESS,
              8,
              7,
              List.of()));
    }
    add("log-asked", new LogFetchRequest(PROMPT_BATCH_KEY, EPOCH, 1, 140, FORMER_EPOCH));
    add("log-part", new LogFetchResponse(PROMPT_BATCH_KEY, EPOCH, Verdict.OK, ENTRIES));
    add(
        "log-part-refused",
        new LogFetchResponse(PROMPT_BATCH_KEY, EPOCH, Verdict.STALE_EPOCH, List.of()));
    add("entry-chunk-asked", new EntryChunkRequest(PROXIED_BATCH_KEY, 34, EPOCH, 131072, 131072));
    add("entry-chunk", new EntryChunk(PROXIED_BATCH_KEY, 34, EPOCH, 6, 12, bytes("second")));
    add("entry-chunk-not-held", new EntryChunk(PROXIED_BATCH_KEY, 34, EPOCH, 0, 0, bytes("")));
    add("handed-over", new LeadershipTransfer(PROMPT_BATCH_KEY, EPOCH, 34));
  }

  private void addAppends() {
    add(
        "append-heartbeat",
        new AppendRequest(PROMPT_BATCH_KEY, EPOCH, 3, 17, 10, FORMER_EPOCH, 9, true, List.of()));
    add(
        "append-heartbeat-without-majority",
        new AppendRequest(PROMPT_BATCH_KEY, EPOCH, 3, 18, 10, FORMER_EPOCH, 9, false, List.of()));
    add(
        "append-first",
        new AppendRequest(
            PROXIED_BATCH_KEY,
            EPOCH,
            1,
            1,
            0,
            Epoch.NONE,
            0,
            true,
            List.of(new LogEntry(1, EPOCH, false, bytes("{\"kind\":\"accepted\",\"ageMs\":0}")))));
    add(
        "append-entries",
        new AppendRequest(PROMPT_BATCH_KEY, EPOCH, 3, 19, 6, FORMER_EPOCH, 8, true, ENTRIES));
    add("appended", new AppendResponse(PROMPT_BATCH_KEY, EPOCH, 19, Verdict.OK, EPOCH, 10));
    add(
        "appended-refused",
        new AppendResponse(PROMPT_BATCH_KEY, FORMER_EPOCH, 19, Verdict.STALE_EPOCH, EPOCH, 0));
    add(
        "appended-behind",
        new AppendResponse(PROMPT_BATCH_KEY, EPOCH, 19, Verdict.LOG_MISMATCH, EPOCH, 4));
    add(
        "appended-old-set",
        new AppendResponse(PROMPT_BATCH_KEY, EPOCH, 19, Verdict.STALE_CONFIGURATION, EPOCH, 4));
  }

  private void addCoreMessages() {
    add(
        "core-ping-blank",
        new QuorumHeartbeat(
            bytes(
                CORE_SELF
                    + "\"blank\":true,\"candidate\":false,\"voter\":true,"
                    + "\"heard\":[],\"number\":0,\"owns\":[]}")));
    add(
        "core-ping-proposal",
        new QuorumHeartbeat(
            bytes(
                CORE_SELF
                    + "\"blank\":true,\"candidate\":false,\"voter\":true,\"proposal\":"
                    + ROSTER
                    + ",\"accepted\":true,\"heard\":[\"536acd9bcd3f\"],\"number\":0,\"owns\":[]}")));
    add(
        "core-ping-with-roster",
        new QuorumHeartbeat(
            bytes(
                CORE_SELF
                    + "\"blank\":false,\"candidate\":false,\"voter\":true,"
                    + "\"heard\":[\"536acd9bcd3f\"],\"number\":1,\"owns\":[\"batch-room\",\"roster\"],"
                    + "\"roster\":"
                    + ROSTER
                    + "}")));
    add("core-members-asked", new QuorumDiscoveryRequest());
    add("core-members", new QuorumDiscoveryResponse(1, bytes(ROSTER)));
    samples.put(
        "core-members-asked-of-address",
        new Envelope(STORAGE_ID, STORAGE_ADDRESS, "", new QuorumDiscoveryRequest()));
  }

  private void addFeed() {
    add("feed-asked-first", new ChangeFeedPoll("", 0, 0, 1000506, 0, 0));
    add("feed-asked", new ChangeFeedPoll(CORE_ID, 2, 41, 1002115, 0x8765432112345678L, 12));
    add(
        "feed-empty",
        new ChangeFeedUpdate(
            CORE_ID, 1, 0, 0, true, false, 2305843009213693951L, 1000506, List.of()));
    add(
        "feed-checkpoint",
        new ChangeFeedUpdate(
            CORE_ID, 2, 0, 41, true, false, 12, 1002115, List.of(item("roster", 1, ROSTER))));
    add(
        "feed-relayed",
        new ChangeFeedUpdate(
            CORE_ID,
            2,
            41,
            43,
            false,
            true,
            35,
            0,
            List.of(
                item("worker-list", 5, "{\"version\":5}"),
                item("edges", 2, "{\"number\":2,\"addresses\":[\"10.0.0.1:7400\"]}"))));
    add("keys-known-none", new AppliedPositions(EDGE_ADDRESS, List.of()));
    add(
        "keys-known",
        new AppliedPositions(
            EDGE_ADDRESS, List.of(new KeyPosition("bundle", 12), new KeyPosition("workers", 31))));
    add("keys-asked", new AppliedPositionsRequest(1002115));
  }

  private static MetadataRecord item(String key, long sequence, String value) {
    return new MetadataRecord(key, sequence, bytes(value));
  }

  private void addWorkOfBatches() {
    add("work-offer-prompts", new BatchOffer(PROMPT_BATCH, 9996, 3, "", ""));
    add("work-offer-opaque", new BatchOffer(PROXIED_BATCH, 9996, 0, "h0.example", "/batch-0/b5"));
    add("range-size", new RangeSize(PROXIED_BATCH, 3_900_000));
    add("range-pull", new RangeRequest(PROXIED_BATCH, "i-1", 1015028));
    add(
        "range-handout-none",
        new RangeAssignment(PROMPT_BATCH, "w1", 0, 0, true, 0, 1015028, List.of()));
    add(
        "range-handout-prompts",
        new RangeAssignment(
            PROMPT_BATCH,
            "w1",
            0,
            1,
            false,
            9990,
            1015028,
            List.of(
                new AssignedItem(
                    0, bytes("{\"id\":\"i0\",\"prompt\":\"Good day\",\"max_tokens\":160}")),
                new AssignedItem(
                    1, bytes("{\"id\":\"i1\",\"prompt\":\"Grüße\",\"max_tokens\":1}")))));
    add(
        "range-handout-opaque",
        new RangeAssignment(
            PROXIED_BATCH,
            "i-1",
            2,
            2,
            false,
            9990,
            1015028,
            List.of(
                new AssignedItem(
                    6,
                    bytes(
                        "{\"id\":\"x7\",\"target\":\"/batch-0/b5/x7\",\"headers\":["
                            + "{\"name\":\"content-type\",\"value\":\"text/plain\"}],"
                            + "\"body\":\"Ym9keS14Nw==\",\"tokens\":290}")))));
    add("batch-ended", new BatchEnded(PROMPT_BATCH));
  }

  private void addRangeReports() {
    add(
        "range-report-without-results",
        new RangeReport(PROMPT_BATCH, 0, 1, "w1", 1, 0, true, List.of()));
    add(
        "range-report-prompts",
        new RangeReport(
            PROMPT_BATCH,
            0,
            1,
            "w1",
            2,
            2,
            false,
            List.of(
                new ItemOutcome(0, "d1529810cb40-1", "w1", "stop", "", bytes("Good day.")),
                new ItemOutcome(1, "d1529810cb40-2", "w1", "length", "", bytes("Grü")),
                new ItemOutcome(
                    2,
                    "d1529810cb40-3",
                    "w1",
                    "",
                    new ApiError.WorkerStreamTruncated("w1").type(),
                    new byte[0]))));
    add(
        "range-report-opaque",
        new RangeReport(
            PROXIED_BATCH,
            2,
            2,
            "i-1",
            1,
            7,
            false,
            List.of(
                new ItemOutcome(
                    6, "d1529810cb40-1", "i-1", "", "", new byte[] {0, (byte) 0xff, 13, 10}))));
    add("range-reported-keep", new RangeReportResponse(PROXIED_BATCH, 2, 2, "i-1", 1, true));
    add("range-reported-lost", new RangeReportResponse(PROXIED_BATCH, 2, 2, "i-1", 2, false));
  }

  private void addRest() {
    add("ask-progress", new PeerRequestProgress(112));
    add("worker-loads-none", new PeerLoadReport(List.of()));
    add(
        "worker-loads",
        new PeerLoadReport(List.of(new OwnLoad("i-1", 1, 2048), new OwnLoad("i-3", 0, 0))));
    add("unfinished-none", new LeaderlessBatches(List.of()));
    add("unfinished", new LeaderlessBatches(List.of(PROMPT_BATCH_KEY, PROXIED_BATCH_KEY)));
  }
}
