package applespindle.corelogic.live;

/** A request that was taken; lets its client give it up. */
public interface RequestHandle {
  void cancel();
}
