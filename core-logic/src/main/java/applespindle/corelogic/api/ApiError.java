package applespindle.corelogic.api;

import static applespindle.corelogic.common.Json.JSON;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * An error that clients and other processes of the fleet can receive, with the values that describe
 * the occurrence. {@link ApiErrorTable} maps each type to its wire name, HTTP status, whether a
 * retry may succeed, and message.
 *
 * <p>Errors are immutable values, not exceptions. The components of a record are the "detail" of
 * the JSON form and thereby part of the interface: a renamed component keeps its name there.
 */
public sealed interface ApiError {
  /** One invalid field of an input: its JSON path, and what is wrong with it. */
  record Field(String path, String reason) {}

  /** The input does not have the form that the interface requires. */
  record InvalidInput(List<Field> fields) implements ApiError {}

  /** The request body exceeds the size limit. */
  record InputTooLarge(long limitBytes) implements ApiError {}

  /** Request line and headers together exceed the size limit. */
  record HeadTooLarge(long limitBytes) implements ApiError {}

  /** The interface has no resource at this path. */
  record NoSuchPath(String path) implements ApiError {}

  /** The path exists, but does not support this HTTP method. */
  record MethodNotAllowed(String method) implements ApiError {}

  /** The signature is missing, was made with an unknown key, or does not verify. */
  record SignatureRejected(String reason) implements ApiError {}

  /** A configuration has a valid signature, where one is required, but invalid fields. */
  record InvalidConfiguration(List<Field> fields) implements ApiError {}

  /**
   * A configuration's revision is not above the one in force, or is the same with other content.
   */
  record ConfigurationConflict(@JsonProperty("numberInForce") long revisionInForce)
      implements ApiError {}

  /** The precondition of a change failed: the version that it names is no longer in force. */
  record VersionConflict(long versionInForce) implements ApiError {}

  /** The list of workers has none with this id. */
  record NoSuchWorker(String worker) implements ApiError {}

  /** A majority of the replicas has no record of this batch. */
  record NoSuchBatch(String batch) implements ApiError {}

  /** No configuration is in force yet. */
  record NoConfiguration() implements ApiError {}

  /** No rule of the configuration matches the request. */
  record NoMatchingRule() implements ApiError {}

  /** The request carries no API key, or one that no tenant holds. */
  record UnknownApiKey() implements ApiError {}

  /** The idempotency key was used before, with other content. */
  record IdempotencyKeyConflict(String batch) implements ApiError {}

  /** The batch was rejected permanently; none of its items runs. */
  record BatchRejected(String batch) implements ApiError {}

  /** The batch alone exceeds the limit of queued batch work; it can never be accepted. */
  record BatchTooLarge(int items, @JsonProperty("ceiling") long limit) implements ApiError {}

  /** The batch does not fit under the limit of queued batch work at present. */
  record CapacityExceeded(@JsonProperty("waiting") long queued, @JsonProperty("ceiling") long limit)
      implements ApiError {}

  /** The queue of this traffic class is full. */
  record QueueFull(String trafficClass) implements ApiError {}

  /** The deadline passed before the request could be sent to a worker. */
  record DeadlineExceeded() implements ApiError {}

  /** No worker of the pool is able to accept the request. */
  record NoWorker(String pool) implements ApiError {}

  /** A majority of the key's replicas did not answer. */
  record NoQuorum(String key) implements ApiError {}

  /** The node has not finished starting. */
  record NotReady(String reason) implements ApiError {}

  /** The node has not heard from the control plane for too long to trust its metadata. */
  record NodeIsolated(long feedAgeMs) implements ApiError {}

  /** The node is shutting down and accepts no new work. */
  record NodeStopping() implements ApiError {}

  /** The node asked is not the leader of the key. */
  record NotLeader(String key) implements ApiError {}

  /** The caller uses an older replica set than the receiver. */
  record StaleReplicaConfiguration(long setNumber) implements ApiError {}

  /** No storage node of this id is known. */
  record NoSuchStorageNode(String node) implements ApiError {}

  /** The change would leave some shard with fewer than two replicas. */
  record TooFewReplicas(@JsonProperty("copies") int replicas) implements ApiError {}

  /** The storage node was retired and cannot rejoin under this id. */
  record StorageNodeRetired(String node) implements ApiError {}

  /** The storage node still holds replicas. */
  record StorageNodeNotEmpty(int shards) implements ApiError {}

  /** A command was sent, but it is unknown whether it took effect. */
  record OutcomeUnknown(String subject) implements ApiError {}

  /** Another request has already used this id for at-most-once execution. */
  record AlreadyClaimed(String id) implements ApiError {}

  /** The worker responded that it did not run the request. */
  record WorkerRejected(int status) implements ApiError {}

  /** The connection to the worker could not be established. */
  record WorkerUnreachable(String worker) implements ApiError {}

  /** The connection ended before the worker's response was complete. */
  record WorkerStreamTruncated(String worker) implements ApiError {}

  /** The worker's response does not follow its protocol. */
  record MalformedWorkerResponse(String worker) implements ApiError {}

  /** The worker sent nothing within the timeout. */
  record WorkerTimeout(String worker) implements ApiError {}

  /** The worker ran the request and responded with an error status. */
  record WorkerFailed(int status) implements ApiError {}

  /** This node cancelled the run. */
  record RunCancelled() implements ApiError {}

  /** The batch's deadline passed before the item had a result. */
  record ItemExpired() implements ApiError {}

  /** All attempts to run the item ended with an error of the worker. */
  record ItemFailed(int status) implements ApiError {}

  /** The worker responded that no attempt to run the item can succeed. */
  record ItemNotExecutable() implements ApiError {}

  /** The receiving node runs a version that does not know this kind of request. */
  record UnknownRequest(@JsonProperty("duty") String requestType) implements ApiError {}

  /** A bounded queue of the node is full. */
  record Overloaded(@JsonProperty("ring") String queue) implements ApiError {}

  /** A defect in the node's own code. */
  record InternalError(String kind) implements ApiError {}

  /**
   * The properties that all errors of a type have in common.
   *
   * @param type the wire name; it never changes
   * @param status the HTTP status
   * @param retryable whether the same request may succeed later
   * @param message one sentence for a human reader, without details of the occurrence
   * @param retryAfterSeconds after how long to retry where the caller has no better estimate; 0:
   *     none
   */
  record Description(
      String type, int status, boolean retryable, String message, int retryAfterSeconds) {
    /** An error that may be retried after one second where its status says so. */
    Description(String type, int status, boolean retryable, String message) {
      this(type, status, retryable, message, status == 429 || status == 503 ? 1 : 0);
    }
  }

  /** The name by which clients and other processes know this error; it never changes. */
  default String type() {
    return description().type();
  }

  /** The properties that this error shares with all errors of its type. */
  default Description description() {
    return ApiErrorTable.descriptionOf(getClass());
  }

  /** The body of an error response: type, message, retryable and detail. A new tree each time. */
  default JsonNode toJson() {
    var body = JSON.createObjectNode();
    body.put("type", type())
        .put("message", description().message())
        .put("retryable", description().retryable());
    body.set("detail", JSON.valueToTree(this));
    return body;
  }

  /**
   * Returns whether clients rely on this HTTP status to mean that the request has not run and never
   * will, so that they may safely send it again.
   */
  static boolean promisesNotRun(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }
}
