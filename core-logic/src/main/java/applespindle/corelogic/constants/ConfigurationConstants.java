package applespindle.corelogic.constants;

/** Changes of the routing configuration. */
public final class ConfigurationConstants {
  /**
   * Accepted configurations that are remembered, 16 bytes each: more than are accepted while a
   * sender that heard nothing still tries. Of older ones the outcome is not known.
   */
  public static final int MAX_REMEMBERED_REVISIONS = 400;

  private ConfigurationConstants() {}
}
