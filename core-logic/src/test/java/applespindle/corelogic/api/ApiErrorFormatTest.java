package applespindle.corelogic.api;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.common.JsonFixtures;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The JSON of each fault as an earlier build wrote it. Clients, other nodes and the logs of batches
 * tell faults by the type named there, so it must outlive a renaming in the code.
 */
final class ApiErrorFormatTest {
  private static final String FAULTS = "/fixtures/json/faults.txt";

  @Test
  void faultsAreWrittenAsBefore() throws IOException {
    Map<String, String> texts = JsonFixtures.read(FAULTS);
    assertThat(texts.keySet()).containsExactlyElementsIn(faults().keySet());
    faults()
        .forEach(
            (name, error) ->
                assertWithMessage(name).that(described(error)).isEqualTo(texts.get(name)));
  }

  /** All that programs go by: the sentence for a reader may be put better at any time. */
  static String described(ApiError error) {
    ObjectNode json = (ObjectNode) error.toJson();
    json.remove("message");
    return json.put("status", error.description().status()).toString();
  }

  @Test
  void everyFaultHasAFixture() {
    assertThat(faults().values().stream().map(Object::getClass).toList())
        .containsExactlyElementsIn(ApiError.class.getPermittedSubclasses());
  }

  static Map<String, ApiError> faults() {
    Map<String, ApiError> faults = new LinkedHashMap<>();
    List<ApiError.Field> fields = List.of(new ApiError.Field("$.items[0]", "must not be blank"));
    addInputFaults(faults, fields);
    addStateFaults(faults);
    addRunFaults(faults);
    return faults;
  }

  private static void addInputFaults(Map<String, ApiError> faults, List<ApiError.Field> fields) {
    faults.put("invalid-input", new ApiError.InvalidInput(fields));
    faults.put("input-too-large", new ApiError.InputTooLarge(1200));
    faults.put("head-too-large", new ApiError.HeadTooLarge(1200));
    faults.put("no-such-path", new ApiError.NoSuchPath("path"));
    faults.put("method-not-allowed", new ApiError.MethodNotAllowed("method"));
    faults.put("signature-refused", new ApiError.SignatureRejected("reason"));
    faults.put("invalid-bundle", new ApiError.InvalidConfiguration(fields));
    faults.put("bundle-conflict", new ApiError.ConfigurationConflict(1200));
    faults.put("version-conflict", new ApiError.VersionConflict(1200));
    faults.put("no-such-worker", new ApiError.NoSuchWorker("worker"));
    faults.put("no-such-batch", new ApiError.NoSuchBatch("batch"));
    faults.put("no-bundle", new ApiError.NoConfiguration());
    faults.put("no-matching-rule", new ApiError.NoMatchingRule());
    faults.put("key-content-conflict", new ApiError.IdempotencyKeyConflict("batch"));
    faults.put("batch-refused", new ApiError.BatchRejected("batch"));
  }

  private static void addStateFaults(Map<String, ApiError> faults) {
    faults.put("batch-over-ceiling", new ApiError.BatchTooLarge(503, 1200));
    faults.put("no-room", new ApiError.CapacityExceeded(1200, 1200));
    faults.put("queue-full", new ApiError.QueueFull("traffic-class"));
    faults.put("expiry-passed", new ApiError.DeadlineExceeded());
    faults.put("no-worker", new ApiError.NoWorker("pool"));
    faults.put("no-majority", new ApiError.NoQuorum("key"));
    faults.put("not-ready", new ApiError.NotReady("reason"));
    faults.put("node-isolated", new ApiError.NodeIsolated(1200));
    faults.put("node-stopping", new ApiError.NodeStopping());
    faults.put("not-owner", new ApiError.NotLeader("key"));
    faults.put("old-replica-set", new ApiError.StaleReplicaConfiguration(1200));
    faults.put("no-such-storage", new ApiError.NoSuchStorageNode("node"));
    faults.put("too-few-copies", new ApiError.TooFewReplicas(503));
    faults.put("storage-retired", new ApiError.StorageNodeRetired("node"));
    faults.put("storage-not-empty", new ApiError.StorageNodeNotEmpty(503));
  }

  private static void addRunFaults(Map<String, ApiError> faults) {
    faults.put("outcome-unknown", new ApiError.OutcomeUnknown("subject"));
    faults.put("already-claimed", new ApiError.AlreadyClaimed("id"));
    faults.put("worker-refused", new ApiError.WorkerRejected(503));
    faults.put("worker-unreachable", new ApiError.WorkerUnreachable("worker"));
    faults.put("worker-cut", new ApiError.WorkerStreamTruncated("worker"));
    faults.put("worker-garbage", new ApiError.MalformedWorkerResponse("worker"));
    faults.put("worker-silent", new ApiError.WorkerTimeout("worker"));
    faults.put("worker-failed", new ApiError.WorkerFailed(503));
    faults.put("run-cancelled", new ApiError.RunCancelled());
    faults.put("item-expired", new ApiError.ItemExpired());
    faults.put("item-failed", new ApiError.ItemFailed(503));
    faults.put("item-impossible", new ApiError.ItemNotExecutable());
    faults.put("unknown-duty", new ApiError.UnknownRequest("duty"));
    faults.put("overloaded", new ApiError.Overloaded("ring"));
    faults.put("internal-fault", new ApiError.InternalError("kind"));
  }
}
