package applespindle.corelogic.constants;

/** Constants of the tenants' API keys. Times are monotonic milliseconds. */
public final class TenantConstants {
  /**
   * By how much an edge stops admitting requests with keys before the bound on keys that were taken
   * away is reached: a tenth of a bound of 5 s, more than two clocks diverge in that time.
   */
  public static final long REVOCATION_MARGIN_MS = 500;

  /**
   * Part of a short bound that the margin takes at most: one half, so that keys are still admitted
   * while the control plane is connected.
   */
  public static final int REVOCATION_MARGIN_DIVISOR = 2;

  /** The greatest age of the metadata at which keys are admitted under a bound of revokeMs. */
  public static long maxKeyAgeMs(long revokeMs) {
    return revokeMs - Math.min(REVOCATION_MARGIN_MS, revokeMs / REVOCATION_MARGIN_DIVISOR);
  }

  private TenantConstants() {}
}
