package applespindle.testfleet.capacity;

/** Which region is cut off from all others now. */
final class NetworkCut {
  private int region = -1;

  /** Cuts a region off, in place of one that is cut off already; -1 heals the network. */
  void cut(int region) {
    this.region = region;
  }

  boolean separates(int oneRegion, int otherRegion) {
    return region >= 0 && (oneRegion == region) != (otherRegion == region);
  }
}
