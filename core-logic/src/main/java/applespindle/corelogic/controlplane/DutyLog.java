package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import java.util.function.Consumer;

/**
 * The replicated log of one duty during one leadership of this node; a new leadership has a new
 * object.
 */
interface DutyLog {
  /** Whether this leadership still stands, as far as this node knows. */
  boolean isLed();

  /** Whether a quorum of the replicas has answered a short time ago. */
  boolean isInContactWithQuorum();

  /**
   * Appends a complete new state. The callback gets null once a quorum has stored it, or an error;
   * after one, the state may still be committed later.
   */
  void append(Object state, Consumer<ApiError> then);

  /**
   * The callback gets null once a quorum has confirmed, after this call, that this node leads the
   * log, or an error.
   */
  void confirmLeadership(Consumer<ApiError> then);
}
