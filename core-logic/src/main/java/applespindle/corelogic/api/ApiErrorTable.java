package applespindle.corelogic.api;

import applespindle.corelogic.api.ApiError.Description;
import applespindle.corelogic.constants.ChangeFeedConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import java.util.HashMap;
import java.util.Map;

/**
 * The one table from each {@link ApiError} to its wire name, HTTP status, whether a retry may
 * succeed, and message. Wire names are part of the interface and of stored data: they never change,
 * even where the Java type was renamed.
 */
final class ApiErrorTable {
  /** Seconds until a new leader is elected where the present one has failed, rounded up. */
  private static final int LEADER_CHANGE_S =
      toSecondsRoundedUp(
          ReplicationConstants.LEADER_TIMEOUT_MS + ReplicationConstants.ELECTION_ROUND_TIMEOUT_MS);

  /**
   * Seconds after which an isolated node usually has current metadata again, rounded up. Clients
   * can turn to other nodes meanwhile.
   */
  private static final int ISOLATION_S = toSecondsRoundedUp(ChangeFeedConstants.STALE_AFTER_MS);

  private static final Map<Class<? extends ApiError>, Description> DESCRIPTIONS = descriptions();

  private ApiErrorTable() {}

  /** The entry of an error; each permitted type of {@link ApiError} has one. */
  static Description descriptionOf(Class<? extends ApiError> error) {
    return DESCRIPTIONS.get(error);
  }

  private static int toSecondsRoundedUp(long milliseconds) {
    return (int) ((milliseconds + 999) / 1_000);
  }

  private static Map<Class<? extends ApiError>, Description> descriptions() {
    Map<Class<? extends ApiError>, Description> table = new HashMap<>();
    addInputErrors(table);
    addConfigurationErrors(table);
    addBatchErrors(table);
    addLiveRequestErrors(table);
    addNodeErrors(table);
    addWorkerErrors(table);
    return Map.copyOf(table);
  }

  /** Errors of the request itself. */
  private static void addInputErrors(Map<Class<? extends ApiError>, Description> table) {
    table.put(
        ApiError.InvalidInput.class,
        new Description("InvalidInput", 400, false, "The input has faulty fields."));
    table.put(
        ApiError.InputTooLarge.class,
        new Description("InputTooLarge", 413, false, "The input is too large."));
    table.put(
        ApiError.HeadTooLarge.class,
        new Description("HeadTooLarge", 431, false, "The request's head is too large."));
    table.put(
        ApiError.NoSuchPath.class,
        new Description("NoSuchPath", 404, false, "There is no such path."));
    table.put(
        ApiError.MethodNotAllowed.class,
        new Description("MethodNotAllowed", 405, false, "The path does not take this method."));
    table.put(
        ApiError.UnknownRequest.class,
        new Description("UnknownDuty", 501, false, "The node does not know this ask."));
  }

  /** Errors of changes to the configuration and to the fleet. */
  private static void addConfigurationErrors(Map<Class<? extends ApiError>, Description> table) {
    table.put(
        ApiError.SignatureRejected.class,
        new Description(
            "SignatureRefused", 403, false, "The signature is missing, unknown or wrong."));
    table.put(
        ApiError.InvalidConfiguration.class,
        new Description("InvalidBundle", 422, false, "The bundle has faults."));
    table.put(
        ApiError.ConfigurationConflict.class,
        new Description(
            "BundleConflict",
            409,
            false,
            "The bundle's number is not above the one in force, or has other content."));
    table.put(
        ApiError.VersionConflict.class,
        new Description("VersionConflict", 409, false, "The version is not the one in force."));
    table.put(
        ApiError.NoConfiguration.class,
        new Description("NoBundle", 503, true, "No bundle is in force.", LEADER_CHANGE_S));
    table.put(
        ApiError.NoSuchWorker.class,
        new Description("NoSuchWorker", 404, false, "There is no such worker."));
    table.put(
        ApiError.NoSuchStorageNode.class,
        new Description("NoSuchStorage", 404, false, "There is no such storage node."));
    table.put(
        ApiError.TooFewReplicas.class,
        new Description(
            "TooFewCopies", 409, false, "This would leave fewer nodes than a shard has replicas."));
    table.put(
        ApiError.StorageNodeRetired.class,
        new Description("StorageRetired", 409, false, "The storage node is retired already."));
    table.put(
        ApiError.StorageNodeNotEmpty.class,
        new Description("StorageNotEmpty", 409, true, "The storage node still holds shards."));
  }

  /** Errors of batches and their items. */
  private static void addBatchErrors(Map<Class<? extends ApiError>, Description> table) {
    table.put(
        ApiError.NoSuchBatch.class,
        new Description("NoSuchBatch", 404, false, "A majority of replicas has no such batch."));
    table.put(
        ApiError.IdempotencyKeyConflict.class,
        new Description(
            "KeyContentConflict", 409, false, "The idempotency key was used with other content."));
    table.put(
        ApiError.BatchRejected.class,
        new Description("BatchRefused", 409, false, "The batch was refused; nothing of it runs."));
    table.put(
        ApiError.CapacityExceeded.class,
        new Description(
            "NoRoom", 429, true, "Waiting batch work is at its ceiling; nothing was accepted."));
    table.put(
        ApiError.BatchTooLarge.class,
        new Description(
            "BatchOverCeiling",
            413,
            false,
            "The batch alone is larger than the ceiling of waiting items."));
    table.put(
        ApiError.ItemExpired.class,
        new Description(
            "ItemExpired", 504, false, "The batch's expiry passed before the item was done."));
    table.put(
        ApiError.ItemFailed.class,
        new Description("ItemFailed", 502, true, "The worker ran the item and failed."));
    table.put(
        ApiError.ItemNotExecutable.class,
        new Description(
            "ItemImpossible", 422, false, "The worker says that the item can never be done."));
  }

  /** Errors of routing and queueing a live request, before it reaches a worker. */
  private static void addLiveRequestErrors(Map<Class<? extends ApiError>, Description> table) {
    table.put(
        ApiError.NoMatchingRule.class,
        new Description(
            "NoMatchingRule", 404, false, "No rule of the bundle matches the request."));
    table.put(
        ApiError.UnknownApiKey.class,
        new Description(
            "UnknownApiKey", 401, false, "No tenant holds the API key, or it is missing."));
    table.put(
        ApiError.QueueFull.class,
        new Description(
            "QueueFull", 429, true, "The queue of this class is full; the request did not run."));
    table.put(
        ApiError.DeadlineExceeded.class,
        new Description(
            "ExpiryPassed",
            503,
            true,
            "The request could not start within its expiry; it did not run."));
    table.put(
        ApiError.NoWorker.class,
        new Description(
            "NoWorker", 503, true, "No worker of the pool can take the request; it did not run."));
    table.put(
        ApiError.AlreadyClaimed.class,
        new Description(
            "AlreadyClaimed",
            409,
            false,
            "The once-id is already claimed; this request did not run."));
  }

  /** Errors of the node that was asked, or of the nodes that it depends on. */
  private static void addNodeErrors(Map<Class<? extends ApiError>, Description> table) {
    table.put(
        ApiError.NoQuorum.class,
        new Description(
            "NoMajority",
            503,
            true,
            "A majority of replicas can not be reached; nothing was done.",
            LEADER_CHANGE_S));
    table.put(
        ApiError.NotReady.class,
        new Description(
            "NotReady", 503, true, "The node is not ready; nothing was done.", LEADER_CHANGE_S));
    table.put(
        ApiError.NodeIsolated.class,
        new Description(
            "NodeIsolated",
            503,
            true,
            "The node is cut off from the others; nothing was done.",
            ISOLATION_S));
    table.put(
        ApiError.NodeStopping.class,
        new Description("NodeStopping", 503, true, "The node is stopping; nothing was done."));
    table.put(
        ApiError.NotLeader.class,
        new Description(
            "NotOwner",
            503,
            true,
            "The node does not own the key; nothing was done.",
            LEADER_CHANGE_S));
    table.put(
        ApiError.StaleReplicaConfiguration.class,
        new Description(
            "OldReplicaSet",
            503,
            true,
            "The replica set has changed; nothing was done.",
            LEADER_CHANGE_S));
    table.put(
        ApiError.OutcomeUnknown.class,
        new Description(
            "OutcomeUnknown",
            504,
            true,
            "The outcome is not known: it may or may not have taken effect."));
    table.put(
        ApiError.Overloaded.class,
        new Description("Overloaded", 503, true, "The node is overloaded; nothing was done."));
    table.put(
        ApiError.InternalError.class,
        new Description("InternalFault", 500, true, "The node met a fault of its own."));
  }

  /** Errors of sending a request to a worker and of its response. */
  private static void addWorkerErrors(Map<Class<? extends ApiError>, Description> table) {
    table.put(
        ApiError.WorkerRejected.class,
        new Description(
            "WorkerRefused", 503, true, "The worker refused; the request did not run."));
    table.put(
        ApiError.WorkerUnreachable.class,
        new Description(
            "WorkerUnreachable",
            503,
            true,
            "The worker could not be reached; the request did not run."));
    table.put(
        ApiError.WorkerStreamTruncated.class,
        new Description("WorkerCut", 502, true, "The worker's output was cut off."));
    table.put(
        ApiError.MalformedWorkerResponse.class,
        new Description("WorkerGarbage", 502, true, "The worker's output could not be read."));
    table.put(
        ApiError.WorkerTimeout.class,
        new Description("WorkerSilent", 504, true, "The worker fell silent."));
    table.put(
        ApiError.WorkerFailed.class,
        new Description("WorkerFailed", 502, true, "The worker failed the request."));
    table.put(
        ApiError.RunCancelled.class,
        new Description("RunCancelled", 503, true, "The run was cancelled."));
  }
}
