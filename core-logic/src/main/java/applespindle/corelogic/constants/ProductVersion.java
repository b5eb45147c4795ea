package applespindle.corelogic.constants;

/** The version of the programs. */
public final class ProductVersion {
  /**
   * The version as in the pom; operators compare it between processes before they shift traffic.
   */
  public static final String VERSION = "0.1.0";

  private ProductVersion() {}
}
