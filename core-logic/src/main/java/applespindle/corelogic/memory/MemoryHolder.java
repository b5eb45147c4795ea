package applespindle.corelogic.memory;

/**
 * What a process holds memory for. Each holder has a limit of its own and a floor that no other
 * holder takes; beyond the floors all draw on one shared pool, and the sum of all is within the
 * limit of the process. Who yields first follows from how much of the shared pool a holder may
 * fill: caches yield everything before anybody else is refused, then reads find no room, then new
 * batches and further assignments, then large live requests. Small live requests, responses and
 * what agreement and repair send may use all of it.
 */
public enum MemoryHolder {
  /** Bodies of requests up to a small size. */
  SMALL_BODIES("small_bodies", 8, 1, Share.ALL),

  /** Larger bodies of proxied requests, from the first byte until the request has ended. */
  LARGE_BODIES("bodies", 12, 2, Share.NINE_TENTHS),

  /** Larger bodies of requests to the other interfaces of a process. */
  INTERFACE_BODIES("interface_bodies", 8, 0, Share.NINE_TENTHS),

  /** Bodies of items that clients have asked for and not read yet. */
  ITEM_BODIES("item_bodies", 8, 3, Share.HALF),

  /** Pages of results that clients have asked for and that are not answered yet. */
  RESULT_PAGES("result_pages", 4, 1, Share.HALF),

  /** What clients have not read yet of responses to them. */
  RESPONSES("responses", 8, 1, Share.ALL),

  /** Large frames from peers that are being read or wait to be handled. */
  PEER_INBOUND("peer_inbound", 8, 4, Share.ALL),

  /** Large frames that wait to be written to peers. */
  PEER_OUTBOUND("peer_queued", 12, 4, Share.ALL),

  /** Batches that clients of this node submit, in the form in which they are sent to the leader. */
  FORWARDED_SUBMISSIONS("submissions", 4, 2, Share.THREE_QUARTERS),

  /** Batches that this node is accepting as their leader. */
  SUBMISSIONS("led_submissions", 12, 4, Share.THREE_QUARTERS),

  /** Events of led batches that are not committed yet. */
  UNCOMMITTED_EVENTS("unapplied_events", 12, 0, Share.ALL),

  /** Items of the ranges that are assigned to this node, and their requests to workers. */
  ASSIGNED_ITEMS("held_items", 8, 2, Share.THREE_QUARTERS),

  /** Cache: applied events of the batches that this node leads. */
  LED_EVENTS("led_events", 8, 0, Share.NONE),

  /** Records that wait for the disk. */
  DISK_QUEUE("disk_queued", 8, 2, Share.ALL),

  /** Cache: payloads that are on the disk as well. */
  DISK_CACHE("disk_resident", 12, 0, Share.NONE);

  /** Limits and floors are counted in this many parts of the limit of the process. */
  static final long PARTS = 32;

  /** How much of the shared pool may be in use for a holder to take more of it, in percent. */
  private static final class Share {
    static final int NONE = 0;
    static final int HALF = 50;
    static final int THREE_QUARTERS = 75;
    static final int NINE_TENTHS = 90;
    static final int ALL = 100;
  }

  private final String metric;
  private final long limitParts;
  private final long floorParts;
  private final int sharedPercent;

  MemoryHolder(String metric, long limitParts, long floorParts, int sharedPercent) {
    this.metric = metric;
    this.limitParts = limitParts;
    this.floorParts = floorParts;
    this.sharedPercent = sharedPercent;
  }

  /** The name of the holder in metrics. */
  public String metric() {
    return metric;
  }

  long limitOf(long processLimit) {
    return processLimit * limitParts / PARTS;
  }

  long floorOf(long processLimit) {
    return processLimit * floorParts / PARTS;
  }

  long shareOf(long sharedPool) {
    return sharedPool * sharedPercent / 100;
  }
}
