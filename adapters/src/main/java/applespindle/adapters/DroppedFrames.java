package applespindle.adapters;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the frames that were meant for a peer and never sent, by reason. A message may always be
 * lost, so no sender is told; the counts show an operator that it happens, and why. Safe for use by
 * several threads.
 */
final class DroppedFrames {
  /** Why a frame was not sent. */
  enum Reason {
    /** Too many bytes waited for the peer. */
    QUEUE_FULL,
    /** There was no connection to the peer, and none was tried so soon after the last attempt. */
    NOT_CONNECTED,
    /** The connection was lost, or could not be made, while the frame waited. */
    CONNECTION_LOST,
    /** Too many messages waited for the thread that sends. */
    SENDER_BUSY
  }

  private final Map<Reason, LongAdder> counts =
      Map.of(
          Reason.QUEUE_FULL, new LongAdder(),
          Reason.NOT_CONNECTED, new LongAdder(),
          Reason.CONNECTION_LOST, new LongAdder(),
          Reason.SENDER_BUSY, new LongAdder());

  /** Counts frames that were dropped. */
  void add(Reason reason, int frames) {
    counts.get(reason).add(frames);
  }

  /** The frames dropped since the start, by the reason's name in lower case. */
  Map<String, Long> byReason() {
    Map<String, Long> sums = new TreeMap<>();
    counts.forEach((reason, count) -> sums.put(reason.name().toLowerCase(), count.sum()));
    return sums;
  }
}
