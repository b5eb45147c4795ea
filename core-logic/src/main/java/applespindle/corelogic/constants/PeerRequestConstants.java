package applespindle.corelogic.constants;

/** Timeouts of requests between the processes of a fleet. Times are monotonic milliseconds. */
public final class PeerRequestConstants {
  /**
   * Timeout of one attempt to one node: a failed node must not use up the caller's whole {@link
   * #REQUEST_TIMEOUT_MS}.
   */
  public static final long ATTEMPT_TIMEOUT_MS = 1_200;

  /**
   * Interval at which a node that is still working on a request tells its caller so: two such
   * messages may be lost before {@link #ATTEMPT_TIMEOUT_MS} has passed.
   */
  public static final long PROGRESS_INTERVAL_MS = 400;

  /**
   * How long the leader of a submitted batch tries to reserve capacity for it: the rest of {@link
   * #REQUEST_TIMEOUT_MS} is sufficient to be elected for the batch and to write it.
   */
  public static final long CAPACITY_RESERVATION_TIMEOUT_MS = 4_000;

  /** How much later than its timeout a response may arrive, as timers fire late. */
  public static final long RESPONSE_SLACK_MS = 1_000;

  /**
   * Timeout of a request with all its attempts: clients require a response within a few seconds
   * even while a node fails.
   */
  public static final long REQUEST_TIMEOUT_MS = 6_000;

  /** Delay between two attempts, so that a node that is not leader yet can become so. */
  public static final long RETRY_DELAY_MS = 150;

  /**
   * How many times a request may be forwarded within the fleet: once as the leader is unknown, once
   * as it has changed, and one in reserve.
   */
  public static final int MAX_FORWARDS = 3;

  private PeerRequestConstants() {}
}
