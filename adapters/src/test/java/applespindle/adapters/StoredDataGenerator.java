package applespindle.adapters;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchInput;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.batch.BatchReference;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.ProxiedBatch;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.WorkerInput;
import applespindle.corelogic.protocol.Operation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.Signature;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Wrote the data folders under {@code fixtures/stored-data}, with the code of version 0.1.0 before
 * its types were renamed. It stays to show how they were made. They are never written anew: that a
 * later version reads exactly these bytes is what the tests on them show. It refuses to write where
 * something stands already.
 */
final class StoredDataGenerator {
  static final String SENDER = "guests";
  static final String HOST = "batches.example";
  static final String KEY_ID = "operator";
  private static final long RETENTION_MS = 120_000;
  private static final String CONFIGURATION =
      """
      {"number": %d,
       "pools": {"main": {"prefixBlockChars": 64, "prefixBlocks": 4, "loadFactor": 1.5,
                          "slots": 32, "connectionsMost": 64, "keptTokensMost": 100000}},
       "rules": [{"name": "notes", "match": {"trafficClass": "note"}, "when": null,
                  "way": {"pool": "main", "trafficClass": "note", "expiryMs": 10000, "retries": 2}}],
       "limits": {"classes": {"note": {"rank": 1, "queueMost": 100}},
                  "batch": {"pool": "main", "waitingItemsMost": 2000, "perWorkerMost": 12,
                            "liveReserve": 2, "cancelForLive": true, "itemExpiryMs": 600000,
                            "retentionMs": 120000}},
       "routes": [{"name": "batches", "host": "batches.example", "pathPrefix": "/jobs/",
                   "type": "BATCH", "timeoutMs": 600000, "targetMs": 500, "gapTargetMs": 60000,
                   "attempts": 2, "rank": 3, "sticky": false, "resumable": false,
                   "split": [{"pool": "main", "weight": 1}], "completionTargetMs": 10000,
                   "retentionMs": 3600000, "waitingTokensMost": 30000}]}
      """;

  static String configuration(long number) {
    return CONFIGURATION.formatted(number);
  }

  private final StoredFleet fleet;
  private final KeyPair keys;

  private StoredDataGenerator(StoredFleet fleet, KeyPair keys) {
    this.fleet = fleet;
    this.keys = keys;
  }

  /** The only argument is a folder that does not exist yet. */
  public static void main(String[] arguments) throws IOException, GeneralSecurityException {
    Path folder = Files.createDirectory(Path.of(arguments[0]));
    writeFleet(folder.resolve("fleet"));
    writeEveryKind(folder.resolve("every-kind"));
    writeBrokenOnes(folder);
    try (Stream<Path> folders = Files.walk(folder)) {
      for (Path data : folders.filter(StoredDataGenerator::isDataFolder).toList()) {
        Files.delete(data.resolve("lock"));
        writeExpected(data);
      }
    }
  }

  private static boolean isDataFolder(Path folder) {
    try (Stream<Path> files = Files.list(folder)) {
      return files.anyMatch(file -> file.getFileName().toString().startsWith("segment-"));
    } catch (IOException noFolder) {
      return false;
    }
  }

  /** What the log replays, as text beside the folder; opened on a copy, as opening changes it. */
  private static void writeExpected(Path data) throws IOException {
    List<String> lines = new ArrayList<>();
    Path copy = copy(data, Files.createTempDirectory("stored-data"));
    DiskLog.open(copy, record -> lines.add(StoredRecordText.of(record)), lines::add).close();
    Files.write(data.resolveSibling(data.getFileName() + ".expected.txt"), lines);
  }

  static Path copy(Path folder, Path target) throws IOException {
    Files.createDirectories(target);
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.copy(file, target.resolve(file.getFileName().toString()));
      }
    }
    return target;
  }

  // ---- a fleet's folders

  private static void writeFleet(Path folder) throws IOException, GeneralSecurityException {
    Files.createDirectory(folder);
    KeyPair keys = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
    String publicKey = Base64.getEncoder().encodeToString(keys.getPublic().getEncoded());
    Files.writeString(folder.resolve("operator-public-key.txt"), publicKey);
    try (StoredFleet fleet =
        new StoredFleet(folder, Map.of(KEY_ID, publicKey), "edge00000001", 1_000_000)) {
      new StoredDataGenerator(fleet, keys).fill();
    }
  }

  private void fill() throws GeneralSecurityException {
    ControlPlaneNode core = fleet.core("core-1");
    fleet.runUntil("the control plane", () -> core.notReadyReason().isEmpty());
    var worker = new WorkerInput(StoredFleet.WORKER, StoredFleet.WORKER_ADDRESS, "main", "ready");
    command(
        core,
        Operation.SET_WORKER,
        "worker/" + worker.id(),
        ControlPlaneNode.workerRegistration(worker));
    command(core, Operation.SET_CONFIGURATION, "bundle", signed(configuration(1)));
    EdgeNode edge = fleet.edge();
    fleet.runUntil("the edge", () -> edge.notReadyReason().isEmpty());
    fleet.runFor(5_000);
    submit("removed", "a prompt long gone");
    fleet.runFor(3 * RETENTION_MS);
    submit("finished", "first prompt", "second prompt", "third prompt is cut");
    submit("long", "a long prompt ".repeat(500));
    submitProxied("finished", "first body", "second body", "third body is cut");
    claim("kept", "token-1");
    claim("given-back", "token-2");
    fleet.runFor(10_000);
    for (String name : List.of("core-1", "storage-1", "storage-2")) {
      fleet.checkpoint(name);
    }
    good(then -> core.drainStorageNode("storage-1", 0, then));
    fleet.runFor(30_000);
    edge.releaseIdempotencyId("given-back", "token-2");
    submit("ended", "answered prompt", "hold this prompt");
    submitProxied("ended", "answered body", "hold this body");
    submitExpiring("expired", "answered prompt", "hold this prompt");
    fleet.runFor(10_000);
    good(then -> edge.endBatch(BatchKeys.batchId(SENDER, "ended"), then));
    good(then -> edge.endProxiedBatch(BatchReference.withoutKey("ended", HOST), then));
    command(core, Operation.SET_CONFIGURATION, "bundle", signed(configuration(2)));
    submit("open", "answered prompt", "hold this prompt");
    submitProxied("open", "answered body", "hold this body");
    fleet.runFor(10_000);
  }

  private void good(Consumer<Consumer<Response>> question) {
    Response response = fleet.answerTo(question);
    if (!response.isSuccess()) {
      throw new IllegalStateException(response.toString());
    }
  }

  private void command(ControlPlaneNode core, Operation operation, String key, Object body) {
    good(then -> core.command(operation, key, body, then));
  }

  private SignedConfiguration signed(String configuration) throws GeneralSecurityException {
    byte[] bytes = configuration.getBytes(UTF_8);
    Signature signer = Signature.getInstance("Ed25519");
    signer.initSign(keys.getPrivate());
    signer.update(bytes);
    return new SignedConfiguration(0, bytes, KEY_ID, signer.sign(), null);
  }

  private void submit(String key, String... prompts) {
    submit(key, 3_600_000L, prompts);
  }

  private void submitExpiring(String key, String... prompts) {
    submit(key, 5_000L, prompts);
  }

  private void submit(String key, long expiresInMs, String... prompts) {
    List<BatchInput.Item> items = new ArrayList<>();
    for (String prompt : prompts) {
      String id = "item-" + items.size();
      items.add(new BatchInput.Item(id, prompt, 40, null, null, null));
    }
    BatchInput input = new BatchInput(items, 2_000L, expiresInMs);
    good(then -> fleet.edge().submit(SENDER, key, input, then));
  }

  private void submitProxied(String id, String... bodies) {
    List<ProxiedBatch.Item> items = new ArrayList<>();
    for (String body : bodies) {
      String target = "/jobs/" + id + "/" + items.size();
      List<Header> headers = List.of(new Header("Content-Type", "text/plain"));
      items.add(
          new ProxiedBatch.Item("item-" + items.size(), target, headers, body.getBytes(UTF_8), 50));
    }
    ProxiedBatch batch = new ProxiedBatch(id, HOST, "/jobs/" + id, items);
    good(then -> fleet.edge().submitProxiedBatch(BatchSubmission.of(batch), "", then));
  }

  private void claim(String id, String token) {
    List<ApiError> answers = new ArrayList<>();
    fleet.edge().claimIdempotencyId(id, token, answers::add);
    fleet.runUntil("a claim", () -> !answers.isEmpty());
    if (answers.get(0) != null) {
      throw new IllegalStateException(answers.toString());
    }
  }

  // ---- single logs

  static List<LogRecord> oneOfEachKind() {
    byte[] none = {};
    return List.of(
        new LogRecord(Kind.VOTE, "batch/b-1", new Epoch(7, "0123456789ab"), 0, false, none),
        new LogRecord(
            Kind.ENTRY, "batch/b-1", new Epoch(7, "0123456789ab"), 1, true, new byte[] {0, 1, -1}),
        new LogRecord(Kind.COMMITTED, "batch/b-1", Epoch.NONE, 1, false, none),
        new LogRecord(Kind.ONCE_CLAIM, "once/call-1", new Epoch(0, "token-1"), 0, false, none),
        new LogRecord(
            Kind.MEMBERSHIP, "core", Epoch.NONE, 3, true, "{\"number\":3}".getBytes(UTF_8)),
        new LogRecord(
            Kind.CONFIGURATION_VERSION, "shard/17", Epoch.NONE, 4_294_967_296L, true, none));
  }

  /** Started twice: all kinds in the first segment, all but the first again in the second. */
  private static void writeEveryKind(Path folder) {
    List<LogRecord> records = oneOfEachKind();
    try (DiskLog log = DiskLog.open(folder, record -> {}, message -> {})) {
      log.append(records);
    }
    try (DiskLog log = DiskLog.open(folder, record -> {}, message -> {})) {
      log.append(records.subList(1, records.size()));
    }
  }

  private static void writeBrokenOnes(Path folder) throws IOException {
    Path complete = folder.resolve("every-kind");
    Path torn = newestSegment(copy(complete, folder.resolve("torn-tail")));
    byte[] bytes = Files.readAllBytes(torn);
    Files.write(torn, Arrays.copyOf(bytes, bytes.length - 5));
    Path flipped = newestSegment(copy(complete, folder.resolve("corrupt-tail")));
    bytes[bytes.length - 3] ^= 1;
    Files.write(flipped, bytes);
    Path older = copy(complete, folder.resolve("corrupt-older-segment"));
    Path first = segments(older).get(0);
    byte[] before = Files.readAllBytes(first);
    before[before.length / 2] ^= 1;
    Files.write(first, before);
  }

  private static Path newestSegment(Path folder) throws IOException {
    List<Path> segments = segments(folder);
    return segments.get(segments.size() - 1);
  }

  private static List<Path> segments(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith("segment-"))
          .sorted()
          .toList();
    }
  }
}
