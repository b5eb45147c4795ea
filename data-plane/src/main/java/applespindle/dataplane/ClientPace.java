package applespindle.dataplane;

import applespindle.adapters.ByteBudget;
import applespindle.corelogic.constants.ClientConnectionConstants;
import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;

/**
 * Watches that a client which holds much memory uses its connection at a least pace while others
 * wait for that memory. On the HTTP thread.
 */
final class ClientPace {
  private final Reactor reactor;
  private final ByteBudget.Reservation reservation;
  private final Runnable whenSlow;

  /** Since the last check. */
  private long bytes;

  /** Null before the first check is due and once the watch has ended. */
  private ScheduledRunnable check;

  private boolean ended;

  /**
   * Begins to watch.
   *
   * @param whenSlow runs at most once, if the client is too slow
   */
  ClientPace(Reactor reactor, ByteBudget.Reservation reservation, Runnable whenSlow) {
    this.reactor = reactor;
    this.reservation = reservation;
    this.whenSlow = whenSlow;
    scheduleCheck();
  }

  private void scheduleCheck() {
    check = reactor.delayBackground(ClientConnectionConstants.PACE_INTERVAL_MS, this::check);
  }

  private void check() {
    if (ended) {
      return;
    }
    if (reservation.isWanted() && bytes < ClientConnectionConstants.MIN_PACE_BYTES) {
      end();
      whenSlow.run();
      return;
    }
    bytes = 0;
    scheduleCheck();
  }

  /** The client has sent or taken bytes. */
  void progress(long more) {
    bytes += more;
  }

  /** Ends the watch: the body is complete or the client has gone. */
  void end() {
    ended = true;
    check.cancel();
  }
}
