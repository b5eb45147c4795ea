package applespindle.corelogic.environment;

/** How a {@link PlatformCall} ended. */
public enum PlatformCallResult {
  /** The platform has taken the call, now or at an earlier attempt. */
  ACCEPTED,

  /** The platform has seen a higher fencing token; it has not taken the call. */
  FENCED,

  /** Too many calls; it has not taken this one. */
  THROTTLED,

  /** The platform does not take a call with this content. */
  REJECTED,

  /** No answer, or one that does not say whether the platform has taken the call. */
  UNKNOWN
}
