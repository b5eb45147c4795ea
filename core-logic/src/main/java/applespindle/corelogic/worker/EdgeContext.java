package applespindle.corelogic.worker;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import java.util.function.Consumer;

/** What the desk needs of the edge it lives on. */
public interface EdgeContext {
  ApiError rejectionOfNewWork();

  /**
   * Null when a request that was already taken may go on to a worker; a polite stop alone does not
   * hinder it.
   */
  ApiError rejectionOfAdmittedWork();

  RoutingConfiguration configuration();

  /** What that bundle says of opaque requests; empty while there is none. */
  RouteTable routes();

  void claimOnce(String id, String token, Consumer<ApiError> then);

  void unclaimOnce(String id, String token);

  void incrementCounter(String counter);
}
