package applespindle.corelogic.live;

import applespindle.corelogic.api.Response;

/**
 * Receives the response of a live request: texts only if the request streams, then exactly one
 * {@link #end} or {@link #fail}, and nothing after the client has cancelled. Called on the logic
 * thread.
 */
public interface LiveResponseListener {
  /** The next text of a streamed response. */
  void text(String text);

  /**
   * A worker has begun to answer a request that does not stream. Called again for each further
   * attempt.
   */
  default void running() {}

  /**
   * The response is complete.
   *
   * @param completeOutput the text of a response that does not stream; otherwise empty
   */
  void end(String completeOutput, String finishReason);

  /**
   * The request has failed.
   *
   * @param truncated whether texts were forwarded already, so that the output must be shown as
   *     incomplete
   */
  void fail(Response response, boolean truncated);
}
