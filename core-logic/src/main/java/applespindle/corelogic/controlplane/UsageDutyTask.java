package applespindle.corelogic.controlplane;

import applespindle.corelogic.constants.DutyConstants;
import applespindle.corelogic.duty.ClosedWindow;
import applespindle.corelogic.duty.UsageDutyState;
import applespindle.corelogic.duty.UsageSource;
import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCall.UsageReport;
import applespindle.corelogic.metadata.MetadataKeys;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;

/**
 * Reports the usage of each window of time once. A window that the platform does not take stays
 * open: no report is ever dropped.
 */
final class UsageDutyTask implements DutyTask<UsageDutyState> {
  private final UsageSource source;

  UsageDutyTask(UsageSource source) {
    this.source = source;
  }

  @Override
  public String key() {
    return MetadataKeys.USAGE_DUTY;
  }

  @Override
  public Class<UsageDutyState> stateType() {
    return UsageDutyState.class;
  }

  @Override
  public UsageDutyState initialState() {
    return UsageDutyState.INITIAL;
  }

  @Override
  public UsageDutyState withNewIntents(UsageDutyState state, long now) {
    UsageDutyState next = state;
    while (next.openWindows().size() < DutyConstants.MAX_OPEN_WINDOWS) {
      Optional<ClosedWindow> window = source.nextClosedWindow(next.lastWindowId(), now);
      if (window.isEmpty()) {
        break;
      }
      next = next.withWindow(window.get());
    }
    return next;
  }

  @Override
  public List<PlatformCall> openCalls(UsageDutyState state) {
    return state.openWindows().stream()
        .map(
            window ->
                (PlatformCall)
                    new UsageReport(
                        state.claim().holder(),
                        state.claim().fence(),
                        window.windowId(),
                        window.counters()))
        .toList();
  }

  @Override
  public UsageDutyState afterAccepted(UsageDutyState state, PlatformCall call) {
    return call instanceof UsageReport report ? state.withReported(report.windowId()) : state;
  }

  @Override
  public UsageDutyState afterRejected(UsageDutyState state, PlatformCall call) {
    return state;
  }

  @Override
  public void describe(UsageDutyState state, ObjectNode status) {
    status.put("lastWindow", state.lastWindowId());
  }
}
