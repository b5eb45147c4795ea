package applespindle.corelogic.duty;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.ArrayList;
import java.util.List;

/**
 * The replicated state of the usage duty.
 *
 * <p>Invariants: a window is written down once, and its counters never change; it stays open until
 * the platform has taken its report.
 *
 * @param lastWindowId the last window that was written down; 0 if none was
 * @param openWindows the windows whose reports are not known to be taken, the oldest first
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record UsageDutyState(DutyClaim claim, long lastWindowId, List<ClosedWindow> openWindows)
    implements DutyState<UsageDutyState> {
  /** The state before the first claim. */
  public static final UsageDutyState INITIAL = new UsageDutyState(DutyClaim.NONE, 0, List.of());

  /** Copies the list. */
  public UsageDutyState {
    openWindows = List.copyOf(openWindows);
  }

  @Override
  public UsageDutyState withClaim(DutyClaim newer) {
    return new UsageDutyState(newer, lastWindowId, openWindows);
  }

  /**
   * This state with one more window to report.
   *
   * @throws IllegalArgumentException if the window is not after the last one, since its counters
   *     may have been sent already
   */
  public UsageDutyState withWindow(ClosedWindow window) {
    if (window.windowId() <= lastWindowId) {
      throw new IllegalArgumentException("window " + window.windowId() + " is written down");
    }
    List<ClosedWindow> open = new ArrayList<>(openWindows);
    open.add(window);
    return new UsageDutyState(claim, window.windowId(), open);
  }

  /** This state once the platform has taken the report of a window. */
  public UsageDutyState withReported(long windowId) {
    return new UsageDutyState(
        claim,
        lastWindowId,
        openWindows.stream().filter(window -> window.windowId() != windowId).toList());
  }
}
