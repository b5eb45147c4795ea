package applespindle.dataplane;

import applespindle.corelogic.configuration.RoutingConfiguration.ClientLimits;
import applespindle.corelogic.constants.ClientConnectionConstants;
import applespindle.corelogic.constants.SizeLimits;
import java.util.function.Supplier;

/**
 * The limits for clients that are in force now: those of the configuration, or a default where it
 * has none (0) or there is no configuration yet (null). From any thread that the supplier allows.
 */
final class EffectiveClientLimits {
  /** Also the most that this build can be configured to read of a head. */
  static final int MAX_HEAD_BYTES = 64 << 10;

  private final Supplier<ClientLimits> configured;

  EffectiveClientLimits(Supplier<ClientLimits> configured) {
    this.configured = configured;
  }

  int maxHeadBytes() {
    ClientLimits limits = configured.get();
    return limits == null || limits.maxHeadBytes() == 0 ? MAX_HEAD_BYTES : limits.maxHeadBytes();
  }

  int maxBodyBytes() {
    ClientLimits limits = configured.get();
    return limits == null || limits.maxBodyBytes() == 0
        ? SizeLimits.MAX_BODY_BYTES
        : limits.maxBodyBytes();
  }

  /** How long a head may take from its first byte to its last. */
  long headTimeoutMs() {
    ClientLimits limits = configured.get();
    return limits == null || limits.headTimeoutMs() == 0
        ? ClientConnectionConstants.HEAD_TIMEOUT_MS
        : limits.headTimeoutMs();
  }

  /** How long nothing may come while a request or the rest of its body is awaited. */
  long idleTimeoutMs() {
    ClientLimits limits = configured.get();
    return limits == null || limits.idleTimeoutMs() == 0
        ? ClientConnectionConstants.IDLE_TIMEOUT_MS
        : limits.idleTimeoutMs();
  }
}
