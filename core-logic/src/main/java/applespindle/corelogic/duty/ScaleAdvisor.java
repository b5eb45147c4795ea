package applespindle.corelogic.duty;

import java.util.List;

/**
 * Where the holder of the scale duty gets the numbers of workers to order. It is asked on the logic
 * thread, only at the node that holds the duty.
 */
public interface ScaleAdvisor {
  /** An advisor that wants no change. */
  ScaleAdvisor NONE = List::of;

  /**
   * The numbers that are wanted now, at most one for each pool and zone. Where none is given the
   * last order stands. An order is sent when a number differs from that of the last order.
   */
  List<DesiredCount> desiredCounts();
}
