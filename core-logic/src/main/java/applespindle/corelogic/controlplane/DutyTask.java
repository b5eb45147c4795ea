package applespindle.corelogic.controlplane;

import applespindle.corelogic.duty.DutyState;
import applespindle.corelogic.environment.PlatformCall;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * What is to be done in one duty: which intents are written down, which calls they need, and what
 * an answer changes. Holds no state of its own.
 *
 * @param <S> the replicated state of the duty
 */
interface DutyTask<S extends DutyState<S>> {
  /** The metadata key of the duty. */
  String key();

  /** The type of the state, for decoding. */
  Class<S> stateType();

  /** The state before the first claim. */
  S initialState();

  /**
   * The state with what is newly to be done written down; an equal one if there is nothing new.
   *
   * @param now monotonic milliseconds of this node's clock
   */
  S withNewIntents(S state, long now);

  /** The calls that the open intents need, under the state's claim, the most urgent first. */
  List<PlatformCall> openCalls(S state);

  /** The state after the platform has taken a call. */
  S afterAccepted(S state, PlatformCall call);

  /** The state after the platform has said that it does not take a call with this content. */
  S afterRejected(S state, PlatformCall call);

  /** Adds what was done last to the status of the duty. */
  void describe(S state, ObjectNode status);
}
