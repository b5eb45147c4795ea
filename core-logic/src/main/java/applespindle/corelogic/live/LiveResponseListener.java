package applespindle.corelogic.live;

import applespindle.corelogic.api.Response;

/** Hears texts only if the request streams, then exactly one end or fault. */
public interface LiveResponseListener {
  void text(String text);

  /**
   * A worker has begun to answer a request that does not stream; may be told again after another
   * worker was tried.
   */
  default void running() {}

  void end(String wholeOutput, String finishReason);

  /** cut: texts were already passed on, so the output must be shown as incomplete. */
  void fail(Response response, boolean cut);
}
