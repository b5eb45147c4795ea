package applespindle.corelogic;

import applespindle.corelogic.OpaqueRequest.Head;
import applespindle.corelogic.OpaqueRequest.Piece;

/**
 * Hears one head, any number of pieces and the end; or a refusal instead of a head; or a cut after
 * the head.
 */
public interface OpaqueListener {
  void head(Head head);

  void piece(Piece piece);

  /** Every piece of the worker's body was told: the response is whole. */
  void end();

  /**
   * Our own response. Statuses 408, 421, 429 and 503 say that the request has not run and never
   * will.
   */
  void refused(Response response);

  /**
   * The response must be shown as incomplete: the connection is closed without the format's end.
   */
  void cut(Fault fault);
}
