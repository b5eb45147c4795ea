package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A worker that serves model requests.
 *
 * @param id id of the worker
 * @param address address and port of the worker's HTTP interface
 * @param pool the pool of workers that it belongs to
 * @param state one of {@link #READY}, {@link #LEAVING} and {@link #GONE}
 * @param zone the failure domain that it runs in; empty if unknown
 * @param slots how many requests it serves at once, from the external list; 0 if unknown, and then
 *     the worker is asked for its load
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record WorkerRegistration(
    String id, String address, String pool, String state, String zone, int slots) {
  /** The worker takes requests. */
  public static final String READY = "ready";

  /** The worker completes its requests and takes no new ones. */
  public static final String LEAVING = "leaving";

  /** The worker takes no part any more. */
  public static final String GONE = "gone";

  /** Reads a missing zone as an unknown one. */
  public WorkerRegistration {
    zone = zone == null ? "" : zone;
  }

  /** A worker of unknown zone and slots. */
  public WorkerRegistration(String id, String address, String pool, String state) {
    this(id, address, pool, state, "", 0);
  }
}
