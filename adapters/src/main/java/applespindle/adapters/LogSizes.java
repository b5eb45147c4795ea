package applespindle.adapters;

import applespindle.corelogic.constants.DiskConstants;

/**
 * The sizes of a log, which follow from its disk: shares of it, and never more than on a large one.
 *
 * @param segmentBytes when a segment is full
 * @param keptBytes how much of the disk is kept free
 */
record LogSizes(long segmentBytes, long keptBytes) {
  /**
   * The sizes for a disk.
   *
   * @param diskBytes size of the disk, which others share; 0 if it is not known
   */
  static LogSizes of(long diskBytes) {
    if (diskBytes <= 0) {
      return new LogSizes(DiskConstants.SEGMENT_BYTES, DiskConstants.MIN_FREE_BYTES);
    }
    return new LogSizes(
        Math.min(DiskConstants.SEGMENT_BYTES, diskBytes / DiskConstants.SEGMENTS_PER_DISK),
        Math.min(DiskConstants.MIN_FREE_BYTES, diskBytes / DiskConstants.MIN_FREE_ONE_IN));
  }
}
