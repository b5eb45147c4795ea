package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Every failure the system can name. The table at the end maps each to its HTTP status; nothing
 * else does.
 */
public sealed interface Fault {
  /** One faulty field of an input, by JSON path. */
  record Field(String path, String reason) {}

  /** The input does not have the form the interface asks for. */
  record InvalidInput(List<Field> fields) implements Fault {}

  /** The body is larger than the interface takes. */
  record InputTooLarge(long limitBytes) implements Fault {}

  /** The request line and headers are larger than the interface takes. */
  record HeadTooLarge(long limitBytes) implements Fault {}

  /** The interface has no such path. */
  record NoSuchPath(String path) implements Fault {}

  /** The path exists, but not for this method. */
  record MethodNotAllowed(String method) implements Fault {}

  /** The signature is missing, by an unknown key, or does not fit the bytes. */
  record SignatureRefused(String reason) implements Fault {}

  /** A configuration is signed rightly but has faulty fields. */
  record InvalidBundle(List<Field> fields) implements Fault {}

  /** A configuration's number is not above the one in force, or the same number has other bytes. */
  record BundleConflict(long numberInForce) implements Fault {}

  /** A conditional change names a version that is not in force any more. */
  record VersionConflict(long versionInForce) implements Fault {}

  /** No worker of this id is listed. */
  record NoSuchWorker(String worker) implements Fault {}

  /** A majority of the replicas holds nothing of this batch. */
  record NoSuchBatch(String batch) implements Fault {}

  /** No configuration is in force yet. */
  record NoBundle() implements Fault {}

  /** No rule of the configuration matches the request. */
  record NoMatchingRule() implements Fault {}

  /** The idempotency key was used before, with other content. */
  record KeyContentConflict(String batch) implements Fault {}

  /** The batch was refused for good; none of its items runs. */
  record BatchRefused(String batch) implements Fault {}

  /** The batch alone has more items than may ever wait. */
  record BatchOverCeiling(int items, long ceiling) implements Fault {}

  /** Too much batch work is waiting already. */
  record NoRoom(long waiting, long ceiling) implements Fault {}

  /** Too many requests of this traffic class are waiting already. */
  record QueueFull(String trafficClass) implements Fault {}

  /** The deadline passed before the request could be sent to a worker. */
  record ExpiryPassed() implements Fault {}

  /** No worker of the pool can take the request. */
  record NoWorker(String pool) implements Fault {}

  /** A majority of the key's replicas did not answer. */
  record NoMajority(String key) implements Fault {}

  /** The node has not finished starting. */
  record NotReady(String reason) implements Fault {}

  /** The node has heard nothing of the control plane for too long. */
  record NodeIsolated(long feedAgeMs) implements Fault {}

  /** The node is shutting down and takes no new work. */
  record NodeStopping() implements Fault {}

  /** The node asked is not the leader of the key. */
  record NotOwner(String key) implements Fault {}

  /** The sender knows an older replica set than the receiver. */
  record OldReplicaSet(long setNumber) implements Fault {}

  /** No storage node of this id is known. */
  record NoSuchStorage(String node) implements Fault {}

  /** The change would leave some shard with fewer than two replicas. */
  record TooFewCopies(int copies) implements Fault {}

  /** The storage node was retired and can not come back under this id. */
  record StorageRetired(String node) implements Fault {}

  /** The storage node still holds replicas. */
  record StorageNotEmpty(int shards) implements Fault {}

  /** A command was sent, but no answer tells whether it took effect. */
  record OutcomeUnknown(String subject) implements Fault {}

  /** Another request claimed this once-id before. */
  record AlreadyClaimed(String id) implements Fault {}

  /** The worker answered that it did not run the request. */
  record WorkerRefused(int status) implements Fault {}

  /** No connection to the worker could be made. */
  record WorkerUnreachable(String worker) implements Fault {}

  /** The connection ended before the worker's response was whole. */
  record WorkerCut(String worker) implements Fault {}

  /** The worker's response does not follow its protocol. */
  record WorkerGarbage(String worker) implements Fault {}

  /** Nothing came from the worker for too long. */
  record WorkerSilent(String worker) implements Fault {}

  /** The worker ran the request and answered with an error status. */
  record WorkerFailed(int status) implements Fault {}

  /** The run was cancelled from this side. */
  record RunCancelled() implements Fault {}

  /** The batch's deadline passed before the item had a result. */
  record ItemExpired() implements Fault {}

  /** All attempts at the item ended with an error of the worker. */
  record ItemFailed(int status) implements Fault {}

  /** The worker says that no attempt at the item can succeed. */
  record ItemImpossible() implements Fault {}

  /** The node asked is of a version that does not know this duty. */
  record UnknownDuty(String duty) implements Fault {}

  /** A bounded queue of the node is full. */
  record Overloaded(String ring) implements Fault {}

  /** A fault in the node's own code. */
  record InternalFault(String kind) implements Fault {}

  /**
   * The name on the wire, the HTTP status, whether a repeat may succeed, the sentence for a reader,
   * and when to come back where nothing tells better.
   */
  record Row(String type, int status, boolean retryable, String message, int comeBackSeconds) {
    Row(String type, int status, boolean retryable, String message) {
      this(type, status, retryable, message, status == 429 || status == 503 ? 1 : 0);
    }
  }

  /** The name by which clients and other processes know this error; it never changes. */
  default String type() {
    return row().type();
  }

  default Row row() {
    return TABLE.get(getClass());
  }

  default JsonNode toJson() {
    var body = JSON.createObjectNode();
    body.put("type", type()).put("message", row().message()).put("retryable", row().retryable());
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
  int TAKEOVER_S = (int) ((Constants.TAKEOVER_MS + Constants.CLAIM_ROUND_MS + 999) / 1_000);

  /**
   * A node that is cut off has fresh news this long after it is heard again; others are open
   * meanwhile.
   */
  int STALE_S = (int) ((Constants.FEED_STALE_MS + 999) / 1_000);

  Map<Class<? extends Fault>, Row> TABLE = table();

  private static Map<Class<? extends Fault>, Row> table() {
    Map<Class<? extends Fault>, Row> rows = new LinkedHashMap<>();
    rows.put(
        InvalidInput.class, new Row("InvalidInput", 400, false, "The input has faulty fields."));
    rows.put(InputTooLarge.class, new Row("InputTooLarge", 413, false, "The input is too large."));
    rows.put(
        HeadTooLarge.class,
        new Row("HeadTooLarge", 431, false, "The request's head is too large."));
    rows.put(NoSuchPath.class, new Row("NoSuchPath", 404, false, "There is no such path."));
    rows.put(
        MethodNotAllowed.class,
        new Row("MethodNotAllowed", 405, false, "The path does not take this method."));
    rows.put(
        SignatureRefused.class,
        new Row("SignatureRefused", 403, false, "The signature is missing, unknown or wrong."));
    rows.put(InvalidBundle.class, new Row("InvalidBundle", 422, false, "The bundle has faults."));
    rows.put(
        BundleConflict.class,
        new Row(
            "BundleConflict",
            409,
            false,
            "The bundle's number is not above the one in force, or has other content."));
    rows.put(
        VersionConflict.class,
        new Row("VersionConflict", 409, false, "The version is not the one in force."));
    rows.put(NoSuchWorker.class, new Row("NoSuchWorker", 404, false, "There is no such worker."));
    rows.put(
        NoSuchBatch.class,
        new Row("NoSuchBatch", 404, false, "A majority of replicas has no such batch."));
    rows.put(NoBundle.class, new Row("NoBundle", 503, true, "No bundle is in force.", TAKEOVER_S));
    rows.put(
        NoMatchingRule.class,
        new Row("NoMatchingRule", 404, false, "No rule of the bundle matches the request."));
    rows.put(
        KeyContentConflict.class,
        new Row(
            "KeyContentConflict", 409, false, "The idempotency key was used with other content."));
    rows.put(
        BatchRefused.class,
        new Row("BatchRefused", 409, false, "The batch was refused; nothing of it runs."));
    rows.put(
        NoRoom.class,
        new Row(
            "NoRoom", 429, true, "Waiting batch work is at its ceiling; nothing was accepted."));
    rows.put(
        BatchOverCeiling.class,
        new Row(
            "BatchOverCeiling",
            413,
            false,
            "The batch alone is larger than the ceiling of waiting items."));
    rows.put(
        QueueFull.class,
        new Row(
            "QueueFull", 429, true, "The queue of this class is full; the request did not run."));
    rows.put(
        ExpiryPassed.class,
        new Row(
            "ExpiryPassed",
            503,
            true,
            "The request could not start within its expiry; it did not run."));
    rows.put(
        NoWorker.class,
        new Row(
            "NoWorker", 503, true, "No worker of the pool can take the request; it did not run."));
    rows.put(
        NoMajority.class,
        new Row(
            "NoMajority",
            503,
            true,
            "A majority of replicas can not be reached; nothing was done.",
            TAKEOVER_S));
    rows.put(
        NotReady.class,
        new Row("NotReady", 503, true, "The node is not ready; nothing was done.", TAKEOVER_S));
    rows.put(
        NodeIsolated.class,
        new Row(
            "NodeIsolated",
            503,
            true,
            "The node is cut off from the others; nothing was done.",
            STALE_S));
    rows.put(
        NodeStopping.class,
        new Row("NodeStopping", 503, true, "The node is stopping; nothing was done."));
    rows.put(
        NotOwner.class,
        new Row(
            "NotOwner", 503, true, "The node does not own the key; nothing was done.", TAKEOVER_S));
    rows.put(
        OldReplicaSet.class,
        new Row(
            "OldReplicaSet",
            503,
            true,
            "The replica set has changed; nothing was done.",
            TAKEOVER_S));
    rows.put(
        NoSuchStorage.class,
        new Row("NoSuchStorage", 404, false, "There is no such storage node."));
    rows.put(
        TooFewCopies.class,
        new Row(
            "TooFewCopies", 409, false, "This would leave fewer nodes than a shard has replicas."));
    rows.put(
        StorageRetired.class,
        new Row("StorageRetired", 409, false, "The storage node is retired already."));
    rows.put(
        StorageNotEmpty.class,
        new Row("StorageNotEmpty", 409, true, "The storage node still holds shards."));
    rows.put(
        OutcomeUnknown.class,
        new Row(
            "OutcomeUnknown",
            504,
            true,
            "The outcome is not known: it may or may not have taken effect."));
    rows.put(
        AlreadyClaimed.class,
        new Row(
            "AlreadyClaimed",
            409,
            false,
            "The once-id is already claimed; this request did not run."));
    rows.put(
        WorkerRefused.class,
        new Row("WorkerRefused", 503, true, "The worker refused; the request did not run."));
    rows.put(
        WorkerUnreachable.class,
        new Row(
            "WorkerUnreachable",
            503,
            true,
            "The worker could not be reached; the request did not run."));
    rows.put(WorkerCut.class, new Row("WorkerCut", 502, true, "The worker's output was cut off."));
    rows.put(
        WorkerGarbage.class,
        new Row("WorkerGarbage", 502, true, "The worker's output could not be read."));
    rows.put(WorkerSilent.class, new Row("WorkerSilent", 504, true, "The worker fell silent."));
    rows.put(
        WorkerFailed.class, new Row("WorkerFailed", 502, true, "The worker failed the request."));
    rows.put(RunCancelled.class, new Row("RunCancelled", 503, true, "The run was cancelled."));
    rows.put(
        ItemExpired.class,
        new Row("ItemExpired", 504, false, "The batch's expiry passed before the item was done."));
    rows.put(
        ItemFailed.class, new Row("ItemFailed", 502, true, "The worker ran the item and failed."));
    rows.put(
        ItemImpossible.class,
        new Row("ItemImpossible", 422, false, "The worker says that the item can never be done."));
    rows.put(
        UnknownDuty.class, new Row("UnknownDuty", 501, false, "The node does not know this ask."));
    rows.put(
        Overloaded.class,
        new Row("Overloaded", 503, true, "The node is overloaded; nothing was done."));
    rows.put(
        InternalFault.class,
        new Row("InternalFault", 500, true, "The node met a fault of its own."));
    return Map.copyOf(rows);
  }
}
