package applespindle.corelogic.constants;

/** Bounds on changes of the routing configuration. */
public final class ConfigurationConstants {
  /**
   * Number of accepted revisions that are remembered, of 16 bytes each: more than are accepted
   * while a client without a response still retries. The outcome of older ones is unknown.
   */
  public static final int MAX_REMEMBERED_REVISIONS = 400;

  private ConfigurationConstants() {}
}
