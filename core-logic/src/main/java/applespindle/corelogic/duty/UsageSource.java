package applespindle.corelogic.duty;

import java.util.Optional;

/**
 * Where the holder of the usage duty gets the windows to report. It is asked on the logic thread,
 * only at the node that holds the duty, and only for windows that no holder has written down yet.
 */
public interface UsageSource {
  /** A source without windows. */
  UsageSource NONE = (afterWindowId, now) -> Optional.empty();

  /**
   * The next window after the given one whose count is closed; empty while there is none. Asking
   * again may give other counters, as long as the window was not written down. A window that is
   * left out here is never reported, so the windows must come without a gap where their usage is
   * known.
   *
   * @param afterWindowId the last window that was written down; 0 if none was
   * @param now monotonic milliseconds of this node's clock
   */
  Optional<ClosedWindow> nextClosedWindow(long afterWindowId, long now);
}
