package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.duty.ScaleAdvisor;
import applespindle.corelogic.duty.ScaleDutyState;
import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCall.ScaleOrder;
import applespindle.corelogic.metadata.MetadataKeys;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Orders the number of workers of each pool and zone when it differs from the last order. An order
 * that the platform rejects is finished: the advisor may want another number.
 */
final class ScaleDutyTask implements DutyTask<ScaleDutyState> {
  private final ScaleAdvisor advisor;

  ScaleDutyTask(ScaleAdvisor advisor) {
    this.advisor = advisor;
  }

  @Override
  public String key() {
    return MetadataKeys.SCALE_DUTY;
  }

  @Override
  public Class<ScaleDutyState> stateType() {
    return ScaleDutyState.class;
  }

  @Override
  public ScaleDutyState initialState() {
    return ScaleDutyState.INITIAL;
  }

  @Override
  public ScaleDutyState withNewIntents(ScaleDutyState state, long now) {
    return state.withDesired(advisor.desiredCounts());
  }

  @Override
  public List<PlatformCall> openCalls(ScaleDutyState state) {
    return state.orders().stream()
        .filter(order -> !order.done())
        .map(
            order ->
                (PlatformCall)
                    new ScaleOrder(
                        state.claim().holder(),
                        state.claim().fence(),
                        order.pool(),
                        order.zone(),
                        order.count()))
        .toList();
  }

  @Override
  public ScaleDutyState afterAccepted(ScaleDutyState state, PlatformCall call) {
    return call instanceof ScaleOrder order ? state.withDone(order.pool(), order.zone()) : state;
  }

  @Override
  public ScaleDutyState afterRejected(ScaleDutyState state, PlatformCall call) {
    return afterAccepted(state, call);
  }

  @Override
  public void describe(ScaleDutyState state, ObjectNode status) {
    status.set("orders", JSON.<JsonNode>valueToTree(state.orders()));
  }
}
