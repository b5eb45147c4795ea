package applespindle.adapters;

import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * The format in which proxied requests are sent to workers. Response headers are looked up by name,
 * null where absent. Called on the HTTP thread.
 */
public interface WorkerProtocol {
  /**
   * All end-to-end headers of the request as sent to the worker, the client's and our own; without
   * Content-Length.
   */
  List<Header> requestHeaders(WorkerExchange exchange);

  /** Whose response one is, by its own headers. */
  enum Attribution {
    /** It names the request of the exchange. */
    THIS_REQUEST,

    /** It names another request, or none although responses of its kind always do. */
    ANOTHER_REQUEST,

    /** A refusal that names no request: it belongs to the only one its connection ever carried. */
    UNNAMED_REFUSAL
  }

  /** Decides whose response one is. */
  Attribution attribute(WorkerExchange exchange, UnaryOperator<String> responseHeaders);

  /** The worker itself says that it has not run the request and never will. */
  boolean saysNotRun(int status, UnaryOperator<String> responseHeaders);

  /**
   * Whether a response of this status counts as the worker's own and may be shown to the client.
   */
  boolean isComplete(int status, UnaryOperator<String> responseHeaders);

  /** The load reported with a response, or null. */
  WorkerLoad load(UnaryOperator<String> responseHeaders);
}
