package applespindle.adapters;

import applespindle.corelogic.constants.DiskConstants;

/**
 * The sizes of a log, which follow from its disk: as much of it as a part may take, and never more
 * than on a large one.
 */
record LogSizes(long segmentBytes, long keptBytes) {
  /** diskBytes is the whole disk, shared with others; 0 where it was not told. */
  static LogSizes of(long diskBytes) {
    if (diskBytes <= 0) {
      return new LogSizes(DiskConstants.SEGMENT_BYTES, DiskConstants.MIN_FREE_BYTES);
    }
    return new LogSizes(
        Math.min(DiskConstants.SEGMENT_BYTES, diskBytes / DiskConstants.SEGMENTS_PER_DISK),
        Math.min(DiskConstants.MIN_FREE_BYTES, diskBytes / DiskConstants.MIN_FREE_ONE_IN));
  }
}
