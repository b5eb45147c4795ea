package applespindle.corelogic;

import java.util.ArrayDeque;

/**
 * How fast waiting batch items have ended of late; only to tell a refused sender when to come back.
 */
final class RoomPace {
  private record Freed(long atMs, long items) {}

  private final Surroundings surroundings;

  /** Not older than the time measured over, in order of time. */
  private final ArrayDeque<Freed> freed = new ArrayDeque<>();

  private long sum;

  RoomPace(Surroundings surroundings) {
    this.surroundings = surroundings;
  }

  void freed(long items) {
    if (items > 0) {
      freed.add(new Freed(surroundings.now(), items));
      sum += items;
    }
    forgetOld();
  }

  private void forgetOld() {
    while (!freed.isEmpty() && surroundings.now() - freed.peek().atMs() > Constants.ROOM_PACE_MS) {
      sum -= freed.poll().items();
    }
  }

  /** Without any pace to go by: as long as the pace is measured over. */
  int secondsUntil(long items) {
    forgetOld();
    long waitMs = sum == 0 ? Constants.ROOM_PACE_MS : items * Constants.ROOM_PACE_MS / sum;
    return (int) Math.max(1, Math.min(Constants.COME_BACK_MOST_S, (waitMs + 999) / 1_000));
  }
}
