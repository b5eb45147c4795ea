package applespindle.corelogic.protocol;

import java.util.HashMap;
import java.util.Map;

/**
 * What a node can ask another one to do, by {@link Message.PeerRequest}. The wire names are sent
 * between versions and never change.
 */
public enum Operation {
  /** Submit a batch of prompts or of proxied requests. */
  SUBMIT_BATCH("submit"),
  /** Read the state of a batch. */
  READ_BATCH("get"),
  /** Read results of a batch of prompts. */
  READ_PROMPT_RESULTS("results"),
  /** Read results of a batch of proxied requests, or wait for them. */
  READ_PROXIED_RESULTS("opaque-results"),
  /** Read the body of an item of a batch of proxied requests. */
  READ_PROXIED_ITEM("opaque-item"),
  /** End a batch: no item of it begins any more. */
  END_BATCH("end"),
  /** Remove an ended batch whose retention is over. */
  REMOVE_BATCH("remove"),

  /** Take or renew the lease of a node. */
  RENEW_LEASE("grant"),
  /** End the lease of a node. */
  RELEASE_LEASE("leave"),
  /** Read the committed value of a key. */
  READ_KEY("read"),
  /** Put a routing configuration in force. */
  SET_CONFIGURATION("bundle"),
  /** Change the routing configuration in force. */
  PATCH_CONFIGURATION("patch-bundle"),
  /** Register a worker, or mark it as draining or gone. */
  SET_WORKER("worker"),
  /** Raise the version of the worker list. */
  RAISE_WORKER_LIST_VERSION("list-version"),
  /** Reserve capacity for a batch, or report what it still takes. */
  UPDATE_BATCH_CAPACITY("room"),
  /** Report the requests that an edge counted, by tenant and window. */
  REPORT_USAGE("usage"),
  /** Report the demand of an edge for workers. */
  REPORT_DEMAND("demand"),
  /** A replica reports that it has caught up with a changing configuration. */
  REPORT_CAUGHT_UP("copied"),
  /** Find the id of a storage node by its name. */
  RESOLVE_STORAGE_NODE("storage-id"),
  /** Mark a storage node as draining or retired. */
  SET_STORAGE_NODE_STATE("storage"),
  /** Ask whether a storage node has been drained. */
  CHECK_STORAGE_NODE_DRAINED("storage-place"),

  /** Fetch a page of snapshots for a replica that catches up. */
  FETCH_SNAPSHOT_PAGE("copy"),
  /** Ask a replica whether it holds a record, and who leads it. */
  LOOK_UP_RECORD("peek"),
  /** Claim a once-id for a token. */
  CLAIM_ONCE_ID("claim"),
  /** Release the claim of a token. */
  RELEASE_ONCE_ID("unclaim"),

  /** An operation that this version does not know. */
  UNKNOWN("");

  private static final Map<String, Operation> BY_WIRE_NAME = new HashMap<>();

  static {
    for (Operation operation : values()) {
      BY_WIRE_NAME.put(operation.wireName, operation);
    }
  }

  private final String wireName;

  Operation(String wireName) {
    this.wireName = wireName;
  }

  /** The name in frames. */
  public String wireName() {
    return wireName;
  }

  /** The operation of a name in frames; {@link #UNKNOWN} if there is none. */
  public static Operation ofWireName(String wireName) {
    return BY_WIRE_NAME.getOrDefault(wireName, UNKNOWN);
  }
}
