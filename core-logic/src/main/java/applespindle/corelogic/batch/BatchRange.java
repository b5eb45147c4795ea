package applespindle.corelogic.batch;

/**
 * One range of a batch's items, as folded from the log.
 *
 * <p>A range is unassigned, then assigned to a dispatcher, and done once each of its items has a
 * result. An assigned range becomes unassigned again when its dispatcher returns it or its lease
 * ends. Its epoch rises with each assignment, and its offset never falls.
 */
final class BatchRange {
  enum State {
    UNASSIGNED,
    ASSIGNED,
    DONE
  }

  /** Index of the first item in the batch. */
  final int first;

  /** Number of items. */
  final int length;

  State state = State.UNASSIGNED;

  /** Epoch of the newest assignment. A report with an older one does not change the range. */
  long epoch;

  /** Node id of the dispatcher of the newest assignment; empty before the first one. */
  String dispatcher = "";

  /** Number of items from the first one on that all have results. */
  int offset;

  BatchRange(int first, int length) {
    this.first = first;
    this.length = length;
  }

  /** Whether an assignment of this epoch is the newest one and has not been returned. */
  boolean isCurrent(long rangeEpoch) {
    return epoch == rangeEpoch && state != State.UNASSIGNED;
  }

  /** Whether the dispatcher of this epoch's assignment still has items of the range to run. */
  boolean isAssigned(long rangeEpoch) {
    return epoch == rangeEpoch && state == State.ASSIGNED;
  }
}
