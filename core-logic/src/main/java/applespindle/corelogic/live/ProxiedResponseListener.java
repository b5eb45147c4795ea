package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;

/**
 * Receives the response of a proxied request: either {@link #rejected} alone, or one {@link #head},
 * any number of chunks, and one {@link #end} or {@link #truncated}. Nothing comes after the client
 * has cancelled. Called on the logic thread.
 */
public interface ProxiedResponseListener {
  /** Status and headers of a worker's response. */
  void head(ResponseHead head);

  /** The next chunk of the body. */
  void chunk(ResponseChunk chunk);

  /** The response is complete: every chunk of the worker's body was forwarded. */
  void end();

  /**
   * There is no worker's response; this one is the edge's own. Statuses 408, 421, 429 and 503 say
   * that the request has not run and never will.
   */
  void rejected(Response response);

  /**
   * The response is incomplete and must be shown as such: the connection is closed without the
   * format's end mark.
   */
  void truncated(ApiError error);
}
