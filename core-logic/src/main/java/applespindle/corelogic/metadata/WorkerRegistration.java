package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * slots: 0 if unknown, and then the worker is asked for its load; else known from the outside list.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record WorkerRegistration(
    String id, String address, String pool, String state, String zone, int slots) {
  public static final String READY = "ready";
  public static final String LEAVING = "leaving";
  public static final String GONE = "gone";

  public WorkerRegistration {
    zone = zone == null ? "" : zone;
  }

  public WorkerRegistration(String id, String address, String pool, String state) {
    this(id, address, pool, state, "", 0);
  }
}
