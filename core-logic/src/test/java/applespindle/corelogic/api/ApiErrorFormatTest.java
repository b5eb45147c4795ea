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
 * The JSON of each error as an earlier build wrote it. Clients, other nodes and the logs of batches
 * identify errors by the type named there, so it must not change when code is renamed.
 */
final class ApiErrorFormatTest {
  private static final String FIXTURES = "/fixtures/json/faults.txt";

  @Test
  void writesErrorsAsBefore() throws IOException {
    Map<String, String> texts = JsonFixtures.read(FIXTURES);
    assertThat(texts.keySet()).containsExactlyElementsIn(errors().keySet());
    errors()
        .forEach(
            (name, error) ->
                assertWithMessage(name).that(described(error)).isEqualTo(texts.get(name)));
  }

  /** All that programs depend on; the message is for human readers and may be reworded. */
  static String described(ApiError error) {
    ObjectNode json = (ObjectNode) error.toJson();
    json.remove("message");
    return json.put("status", error.description().status()).toString();
  }

  @Test
  void everyErrorHasAFixture() {
    assertThat(errors().values().stream().map(Object::getClass).toList())
        .containsExactlyElementsIn(ApiError.class.getPermittedSubclasses());
  }

  static Map<String, ApiError> errors() {
    Map<String, ApiError> errors = new LinkedHashMap<>();
    List<ApiError.Field> fields = List.of(new ApiError.Field("$.items[0]", "must not be blank"));
    addInputErrors(errors, fields);
    addStateErrors(errors);
    addRunErrors(errors);
    return errors;
  }

  private static void addInputErrors(Map<String, ApiError> errors, List<ApiError.Field> fields) {
    errors.put("invalid-input", new ApiError.InvalidInput(fields));
    errors.put("input-too-large", new ApiError.InputTooLarge(1200));
    errors.put("head-too-large", new ApiError.HeadTooLarge(1200));
    errors.put("no-such-path", new ApiError.NoSuchPath("path"));
    errors.put("method-not-allowed", new ApiError.MethodNotAllowed("method"));
    errors.put("signature-refused", new ApiError.SignatureRejected("reason"));
    errors.put("invalid-bundle", new ApiError.InvalidConfiguration(fields));
    errors.put("bundle-conflict", new ApiError.ConfigurationConflict(1200));
    errors.put("version-conflict", new ApiError.VersionConflict(1200));
    errors.put("no-such-worker", new ApiError.NoSuchWorker("worker"));
    errors.put("no-such-batch", new ApiError.NoSuchBatch("batch"));
    errors.put("no-bundle", new ApiError.NoConfiguration());
    errors.put("no-matching-rule", new ApiError.NoMatchingRule());
    errors.put("key-content-conflict", new ApiError.IdempotencyKeyConflict("batch"));
    errors.put("batch-refused", new ApiError.BatchRejected("batch"));
  }

  private static void addStateErrors(Map<String, ApiError> errors) {
    errors.put("batch-over-ceiling", new ApiError.BatchTooLarge(503, 1200));
    errors.put("no-room", new ApiError.CapacityExceeded(1200, 1200));
    errors.put("queue-full", new ApiError.QueueFull("traffic-class"));
    errors.put("expiry-passed", new ApiError.DeadlineExceeded());
    errors.put("no-worker", new ApiError.NoWorker("pool"));
    errors.put("no-majority", new ApiError.NoQuorum("key"));
    errors.put("not-ready", new ApiError.NotReady("reason"));
    errors.put("node-isolated", new ApiError.NodeIsolated(1200));
    errors.put("node-stopping", new ApiError.NodeStopping());
    errors.put("not-owner", new ApiError.NotLeader("key"));
    errors.put("old-replica-set", new ApiError.StaleReplicaConfiguration(1200));
    errors.put("no-such-storage", new ApiError.NoSuchStorageNode("node"));
    errors.put("too-few-copies", new ApiError.TooFewReplicas(503));
    errors.put("storage-retired", new ApiError.StorageNodeRetired("node"));
    errors.put("storage-not-empty", new ApiError.StorageNodeNotEmpty(503));
  }

  private static void addRunErrors(Map<String, ApiError> errors) {
    errors.put("outcome-unknown", new ApiError.OutcomeUnknown("subject"));
    errors.put("already-claimed", new ApiError.AlreadyClaimed("id"));
    errors.put("worker-refused", new ApiError.WorkerRejected(503));
    errors.put("worker-unreachable", new ApiError.WorkerUnreachable("worker"));
    errors.put("worker-cut", new ApiError.WorkerStreamTruncated("worker"));
    errors.put("worker-garbage", new ApiError.MalformedWorkerResponse("worker"));
    errors.put("worker-silent", new ApiError.WorkerTimeout("worker"));
    errors.put("worker-failed", new ApiError.WorkerFailed(503));
    errors.put("run-cancelled", new ApiError.RunCancelled());
    errors.put("item-expired", new ApiError.ItemExpired());
    errors.put("item-failed", new ApiError.ItemFailed(503));
    errors.put("item-impossible", new ApiError.ItemNotExecutable());
    errors.put("unknown-duty", new ApiError.UnknownRequest("duty"));
    errors.put("overloaded", new ApiError.Overloaded("ring"));
    errors.put("unknown-api-key", new ApiError.UnknownApiKey());
    errors.put("internal-fault", new ApiError.InternalError("kind"));
  }
}
