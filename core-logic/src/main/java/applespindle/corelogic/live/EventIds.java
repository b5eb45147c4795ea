package applespindle.corelogic.live;

/** Order of the event ids of a worker's event stream. */
final class EventIds {
  /** Decimal numbers of up to this many digits always fit into a long. */
  private static final int MAX_DIGITS = 18;

  private EventIds() {}

  /**
   * Whether an event comes after the last one that was forwarded, so that each event is forwarded
   * once and in order. Ids that are not decimal numbers cannot be compared: their events count as
   * later.
   */
  static boolean isAfter(String eventId, String lastEventId) {
    Long id = parse(eventId);
    Long last = parse(lastEventId);
    return id == null || last == null || id > last;
  }

  /** The number, or null if the id is not a decimal number of at most {@link #MAX_DIGITS}. */
  private static Long parse(String eventId) {
    if (eventId.isEmpty() || eventId.length() > MAX_DIGITS) {
      return null;
    }
    for (int index = 0; index < eventId.length(); index++) {
      if (eventId.charAt(index) < '0' || eventId.charAt(index) > '9') {
        return null;
      }
    }
    return Long.valueOf(eventId);
  }
}
