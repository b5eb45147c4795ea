package applespindle.corelogic.live;

/** A submitted request. Called on the logic thread. */
public interface RequestHandle {
  /**
   * The client gives the request up: its attempt at a worker is cancelled, and its listener is not
   * called again. Without effect if the request has ended.
   */
  void cancel();
}
