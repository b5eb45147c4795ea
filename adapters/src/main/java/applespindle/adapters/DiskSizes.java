package applespindle.adapters;

import applespindle.corelogic.Constants;

/**
 * The sizes of a log, which follow from its disk: as much of it as a part may take, and never more
 * than on a large one.
 */
record DiskSizes(long segmentBytes, long keptBytes) {
  /** diskBytes is the whole disk, shared with others; 0 where it was not told. */
  static DiskSizes of(long diskBytes) {
    if (diskBytes <= 0) {
      return new DiskSizes(Constants.SEGMENT_BYTES, Constants.DISK_LEFT_BYTES);
    }
    return new DiskSizes(
        Math.min(Constants.SEGMENT_BYTES, diskBytes / Constants.SEGMENTS_ON_A_DISK),
        Math.min(Constants.DISK_LEFT_BYTES, diskBytes / Constants.DISK_LEFT_PART));
  }
}
