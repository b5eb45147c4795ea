package applespindle.corelogic.api;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.constants.ChangeFeedConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Every failure the system can name. The table at the end maps each to its HTTP status; nothing
 * else does.
 */
public sealed interface ApiError {
  /** One faulty field of an input, by JSON path. */
  record Field(String path, String reason) {}

  /** The input does not have the form the interface asks for. */
  record InvalidInput(List<Field> fields) implements ApiError {}

  /** The body is larger than the interface takes. */
  record InputTooLarge(long limitBytes) implements ApiError {}

  /** The request line and headers are larger than the interface takes. */
  record HeadTooLarge(long limitBytes) implements ApiError {}

  /** The interface has no such path. */
  record NoSuchPath(String path) implements ApiError {}

  /** The path exists, but not for this method. */
  record MethodNotAllowed(String method) implements ApiError {}

  /** The signature is missing, by an unknown key, or does not fit the bytes. */
  record SignatureRejected(String reason) implements ApiError {}

  /** A configuration is signed rightly but has faulty fields. */
  record InvalidConfiguration(List<Field> fields) implements ApiError {}

  /** A configuration's number is not above the one in force, or the same number has other bytes. */
  record ConfigurationConflict(long numberInForce) implements ApiError {}

  /** A conditional change names a version that is not in force any more. */
  record VersionConflict(long versionInForce) implements ApiError {}

  /** No worker of this id is listed. */
  record NoSuchWorker(String worker) implements ApiError {}

  /** A majority of the replicas holds nothing of this batch. */
  record NoSuchBatch(String batch) implements ApiError {}

  /** No configuration is in force yet. */
  record NoConfiguration() implements ApiError {}

  /** No rule of the configuration matches the request. */
  record NoMatchingRule() implements ApiError {}

  /** The idempotency key was used before, with other content. */
  record IdempotencyKeyConflict(String batch) implements ApiError {}

  /** The batch was refused for good; none of its items runs. */
  record BatchRejected(String batch) implements ApiError {}

  /** The batch alone has more items than may ever wait. */
  record BatchTooLarge(int items, long ceiling) implements ApiError {}

  /** Too much batch work is waiting already. */
  record CapacityExceeded(long waiting, long ceiling) implements ApiError {}

  /** Too many requests of this traffic class are waiting already. */
  record QueueFull(String trafficClass) implements ApiError {}

  /** The deadline passed before the request could be sent to a worker. */
  record DeadlineExceeded() implements ApiError {}

  /** No worker of the pool can take the request. */
  record NoWorker(String pool) implements ApiError {}

  /** A majority of the key's replicas did not answer. */
  record NoQuorum(String key) implements ApiError {}

  /** The node has not finished starting. */
  record NotReady(String reason) implements ApiError {}

  /** The node has heard nothing of the control plane for too long. */
  record NodeIsolated(long feedAgeMs) implements ApiError {}

  /** The node is shutting down and takes no new work. */
  record NodeStopping() implements ApiError {}

  /** The node asked is not the leader of the key. */
  record NotLeader(String key) implements ApiError {}

  /** The sender knows an older replica set than the receiver. */
  record StaleReplicaConfiguration(long setNumber) implements ApiError {}

  /** No storage node of this id is known. */
  record NoSuchStorageNode(String node) implements ApiError {}

  /** The change would leave some shard with fewer than two replicas. */
  record TooFewReplicas(int copies) implements ApiError {}

  /** The storage node was retired and can not come back under this id. */
  record StorageNodeRetired(String node) implements ApiError {}

  /** The storage node still holds replicas. */
  record StorageNodeNotEmpty(int shards) implements ApiError {}

  /** A command was sent, but no answer tells whether it took effect. */
  record OutcomeUnknown(String subject) implements ApiError {}

  /** Another request claimed this once-id before. */
  record AlreadyClaimed(String id) implements ApiError {}

  /** The worker answered that it did not run the request. */
  record WorkerRejected(int status) implements ApiError {}

  /** No connection to the worker could be made. */
  record WorkerUnreachable(String worker) implements ApiError {}

  /** The connection ended before the worker's response was whole. */
  record WorkerStreamTruncated(String worker) implements ApiError {}

  /** The worker's response does not follow its protocol. */
  record MalformedWorkerResponse(String worker) implements ApiError {}

  /** Nothing came from the worker for too long. */
  record WorkerTimeout(String worker) implements ApiError {}

  /** The worker ran the request and answered with an error status. */
  record WorkerFailed(int status) implements ApiError {}

  /** The run was cancelled from this side. */
  record RunCancelled() implements ApiError {}

  /** The batch's deadline passed before the item had a result. */
  record ItemExpired() implements ApiError {}

  /** All attempts at the item ended with an error of the worker. */
  record ItemFailed(int status) implements ApiError {}

  /** The worker says that no attempt at the item can succeed. */
  record ItemNotExecutable() implements ApiError {}

  /** The node asked is of a version that does not know this duty. */
  record UnknownRequest(String duty) implements ApiError {}

  /** A bounded queue of the node is full. */
  record Overloaded(String ring) implements ApiError {}

  /** A fault in the node's own code. */
  record InternalError(String kind) implements ApiError {}

  /**
   * The name on the wire, the HTTP status, whether a repeat may succeed, the sentence for a reader,
   * and when to come back where nothing tells better.
   */
  record Description(
      String type, int status, boolean retryable, String message, int retryAfterSeconds) {
    Description(String type, int status, boolean retryable, String message) {
      this(type, status, retryable, message, status == 429 || status == 503 ? 1 : 0);
    }
  }

  /** The name by which clients and other processes know this error; it never changes. */
  default String type() {
    return description().type();
  }

  default Description description() {
    return TABLE.get(getClass());
  }

  default JsonNode toJson() {
    var body = JSON.createObjectNode();
    body.put("type", type())
        .put("message", description().message())
        .put("retryable", description().retryable());
    body.set("detail", JSON.valueToTree(this));
    return body;
  }

  /**
   * Whether clients take an answer of this status as a promise that the request has not run and
   * never will.
   */
  static boolean promisesNotRun(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }

  /** A dead owner is followed within this. */
  int TAKEOVER_S =
      (int)
          ((ReplicationConstants.LEADER_TIMEOUT_MS
                  + ReplicationConstants.ELECTION_ROUND_TIMEOUT_MS
                  + 999)
              / 1_000);

  /**
   * A node that is cut off has fresh news this long after it is heard again; others are open
   * meanwhile.
   */
  int STALE_S = (int) ((ChangeFeedConstants.STALE_AFTER_MS + 999) / 1_000);

  Map<Class<? extends ApiError>, Description> TABLE = table();

  private static Map<Class<? extends ApiError>, Description> table() {
    Map<Class<? extends ApiError>, Description> rows = new LinkedHashMap<>();
    rows.put(
        InvalidInput.class,
        new Description("InvalidInput", 400, false, "The input has faulty fields."));
    rows.put(
        InputTooLarge.class,
        new Description("InputTooLarge", 413, false, "The input is too large."));
    rows.put(
        HeadTooLarge.class,
        new Description("HeadTooLarge", 431, false, "The request's head is too large."));
    rows.put(NoSuchPath.class, new Description("NoSuchPath", 404, false, "There is no such path."));
    rows.put(
        MethodNotAllowed.class,
        new Description("MethodNotAllowed", 405, false, "The path does not take this method."));
    rows.put(
        SignatureRejected.class,
        new Description(
            "SignatureRefused", 403, false, "The signature is missing, unknown or wrong."));
    rows.put(
        InvalidConfiguration.class,
        new Description("InvalidBundle", 422, false, "The bundle has faults."));
    rows.put(
        ConfigurationConflict.class,
        new Description(
            "BundleConflict",
            409,
            false,
            "The bundle's number is not above the one in force, or has other content."));
    rows.put(
        VersionConflict.class,
        new Description("VersionConflict", 409, false, "The version is not the one in force."));
    rows.put(
        NoSuchWorker.class,
        new Description("NoSuchWorker", 404, false, "There is no such worker."));
    rows.put(
        NoSuchBatch.class,
        new Description("NoSuchBatch", 404, false, "A majority of replicas has no such batch."));
    rows.put(
        NoConfiguration.class,
        new Description("NoBundle", 503, true, "No bundle is in force.", TAKEOVER_S));
    rows.put(
        NoMatchingRule.class,
        new Description(
            "NoMatchingRule", 404, false, "No rule of the bundle matches the request."));
    rows.put(
        IdempotencyKeyConflict.class,
        new Description(
            "KeyContentConflict", 409, false, "The idempotency key was used with other content."));
    rows.put(
        BatchRejected.class,
        new Description("BatchRefused", 409, false, "The batch was refused; nothing of it runs."));
    rows.put(
        CapacityExceeded.class,
        new Description(
            "NoRoom", 429, true, "Waiting batch work is at its ceiling; nothing was accepted."));
    rows.put(
        BatchTooLarge.class,
        new Description(
            "BatchOverCeiling",
            413,
            false,
            "The batch alone is larger than the ceiling of waiting items."));
    rows.put(
        QueueFull.class,
        new Description(
            "QueueFull", 429, true, "The queue of this class is full; the request did not run."));
    rows.put(
        DeadlineExceeded.class,
        new Description(
            "ExpiryPassed",
            503,
            true,
            "The request could not start within its expiry; it did not run."));
    rows.put(
        NoWorker.class,
        new Description(
            "NoWorker", 503, true, "No worker of the pool can take the request; it did not run."));
    rows.put(
        NoQuorum.class,
        new Description(
            "NoMajority",
            503,
            true,
            "A majority of replicas can not be reached; nothing was done.",
            TAKEOVER_S));
    rows.put(
        NotReady.class,
        new Description(
            "NotReady", 503, true, "The node is not ready; nothing was done.", TAKEOVER_S));
    rows.put(
        NodeIsolated.class,
        new Description(
            "NodeIsolated",
            503,
            true,
            "The node is cut off from the others; nothing was done.",
            STALE_S));
    rows.put(
        NodeStopping.class,
        new Description("NodeStopping", 503, true, "The node is stopping; nothing was done."));
    rows.put(
        NotLeader.class,
        new Description(
            "NotOwner", 503, true, "The node does not own the key; nothing was done.", TAKEOVER_S));
    rows.put(
        StaleReplicaConfiguration.class,
        new Description(
            "OldReplicaSet",
            503,
            true,
            "The replica set has changed; nothing was done.",
            TAKEOVER_S));
    rows.put(
        NoSuchStorageNode.class,
        new Description("NoSuchStorage", 404, false, "There is no such storage node."));
    rows.put(
        TooFewReplicas.class,
        new Description(
            "TooFewCopies", 409, false, "This would leave fewer nodes than a shard has replicas."));
    rows.put(
        StorageNodeRetired.class,
        new Description("StorageRetired", 409, false, "The storage node is retired already."));
    rows.put(
        StorageNodeNotEmpty.class,
        new Description("StorageNotEmpty", 409, true, "The storage node still holds shards."));
    rows.put(
        OutcomeUnknown.class,
        new Description(
            "OutcomeUnknown",
            504,
            true,
            "The outcome is not known: it may or may not have taken effect."));
    rows.put(
        AlreadyClaimed.class,
        new Description(
            "AlreadyClaimed",
            409,
            false,
            "The once-id is already claimed; this request did not run."));
    rows.put(
        WorkerRejected.class,
        new Description(
            "WorkerRefused", 503, true, "The worker refused; the request did not run."));
    rows.put(
        WorkerUnreachable.class,
        new Description(
            "WorkerUnreachable",
            503,
            true,
            "The worker could not be reached; the request did not run."));
    rows.put(
        WorkerStreamTruncated.class,
        new Description("WorkerCut", 502, true, "The worker's output was cut off."));
    rows.put(
        MalformedWorkerResponse.class,
        new Description("WorkerGarbage", 502, true, "The worker's output could not be read."));
    rows.put(
        WorkerTimeout.class, new Description("WorkerSilent", 504, true, "The worker fell silent."));
    rows.put(
        WorkerFailed.class,
        new Description("WorkerFailed", 502, true, "The worker failed the request."));
    rows.put(
        RunCancelled.class, new Description("RunCancelled", 503, true, "The run was cancelled."));
    rows.put(
        ItemExpired.class,
        new Description(
            "ItemExpired", 504, false, "The batch's expiry passed before the item was done."));
    rows.put(
        ItemFailed.class,
        new Description("ItemFailed", 502, true, "The worker ran the item and failed."));
    rows.put(
        ItemNotExecutable.class,
        new Description(
            "ItemImpossible", 422, false, "The worker says that the item can never be done."));
    rows.put(
        UnknownRequest.class,
        new Description("UnknownDuty", 501, false, "The node does not know this ask."));
    rows.put(
        Overloaded.class,
        new Description("Overloaded", 503, true, "The node is overloaded; nothing was done."));
    rows.put(
        InternalError.class,
        new Description("InternalFault", 500, true, "The node met a fault of its own."));
    return Map.copyOf(rows);
  }
}
