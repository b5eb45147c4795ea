package applespindle.corelogic.live;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;

/**
 * Hears one head, any number of pieces and the end; or a refusal instead of a head; or a cut after
 * the head.
 */
public interface ProxiedResponseListener {
  void head(ResponseHead head);

  void chunk(ResponseChunk piece);

  /** Every piece of the worker's body was told: the response is whole. */
  void end();

  /**
   * Our own response. Statuses 408, 421, 429 and 503 say that the request has not run and never
   * will.
   */
  void rejected(Response response);

  /**
   * The response must be shown as incomplete: the connection is closed without the format's end.
   */
  void truncated(ApiError error);
}
