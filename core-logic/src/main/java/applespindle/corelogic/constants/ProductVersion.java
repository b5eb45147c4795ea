package applespindle.corelogic.constants;

/** The version of the programs. */
public final class ProductVersion {
  /**
   * Of the programs, as the pom has it; operators compare it over the processes before they move
   * traffic.
   */
  public static final String VERSION = "0.1.0";

  private ProductVersion() {}
}
