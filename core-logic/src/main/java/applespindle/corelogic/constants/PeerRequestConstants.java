package applespindle.corelogic.constants;

/** Requests between processes. Times are monotonic milliseconds. */
public final class PeerRequestConstants {
  /** One try of an ask to one node: a dead node must not use up the whole expiry of a sender. */
  public static final long ATTEMPT_TIMEOUT_MS = 1_200;

  /**
   * A node that works on an ask for long says so this often: two may be lost before {@link
   * #ATTEMPT_TIMEOUT_MS} has passed.
   */
  public static final long PROGRESS_INTERVAL_MS = 400;

  /**
   * How long the leader of a batch that is handed in tries to reserve capacity for it: what is left
   * of {@link #REQUEST_TIMEOUT_MS} is enough to claim the batch and write it.
   */
  public static final long CAPACITY_RESERVATION_TIMEOUT_MS = 4_000;

  /** How much later than its time limit an answer may come, as timers fire late. */
  public static final long RESPONSE_SLACK_MS = 1_000;

  /** All tries together: the brief wants a response within a few seconds even while a node dies. */
  public static final long REQUEST_TIMEOUT_MS = 6_000;

  /** Wait between two tries, so that a node without duty yet can take it. */
  public static final long RETRY_DELAY_MS = 150;

  /** How often an ask may be handed on inside the fleet: owner unknown, owner moved, one spare. */
  public static final int MAX_FORWARDS = 3;

  private PeerRequestConstants() {}
}
