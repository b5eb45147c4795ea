package applespindle.corelogic.edge;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.batch.BatchReference;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.TenantAccess;
import java.util.List;

/**
 * Which batches a client reaches with its API key.
 *
 * <p>The owner of a batch is part of its id, so that a batch of another tenant is simply not found.
 * A batch has no owner if it was submitted on a public route, or while there were no tenants; every
 * client that is admitted may reach it.
 */
final class BatchAccess {
  /** The ids that a batch may have that a client calls about, or why the call is rejected. */
  record BatchIds(List<String> ids, ApiError rejection) {}

  private final EdgeServices edge;

  BatchAccess(EdgeServices edge) {
    this.edge = edge;
  }

  /**
   * The id of a batch that is submitted. On a public route it has no owner, whether or not the
   * client sent a key: a repeated submission must be the same batch, also without the key.
   *
   * @param access of the submission, which must have been admitted
   */
  static String idOfSubmission(Route route, TenantAccess access, String clientId) {
    boolean owned = access.tenant() != null && !route.isPublic();
    return BatchKeys.proxiedBatchId(owned ? access.tenant().name() : null, clientId);
  }

  /** The ids that a client's batch may have, in the order in which they are to be looked for. */
  BatchIds idsOfCall(BatchReference batch) {
    if (edge.configuration() == null) {
      return new BatchIds(List.of(), new ApiError.NoConfiguration());
    }
    String unowned = BatchKeys.proxiedBatchId(null, batch.id());
    TenantAccess access = edge.tenantAccess(null, batch.apiKey());
    if (access.rejection() != null && !edge.routes().hasPublicBatchRoute(batch.host())) {
      return new BatchIds(List.of(), access.rejection());
    }
    if (access.tenant() == null) {
      return new BatchIds(List.of(unowned), null);
    }
    String owned = BatchKeys.proxiedBatchId(access.tenant().name(), batch.id());
    return new BatchIds(List.of(owned, unowned), null);
  }
}
