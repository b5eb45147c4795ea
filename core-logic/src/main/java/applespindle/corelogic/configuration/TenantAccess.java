package applespindle.corelogic.configuration;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.RoutingConfiguration.Tenant;

/**
 * For which tenant a request may run, or why it may not.
 *
 * @param tenant null if the request has none: where there are no tenants, and on public routes
 * @param name what a worker is told of the tenant: null where there are no tenants, so that the
 *     client's headers pass unchanged; empty if the request has no tenant
 * @param rejection null if the request may run
 */
public record TenantAccess(Tenant tenant, String name, ApiError rejection) {
  /** Where there are no tenants. */
  public static final TenantAccess NONE = new TenantAccess(null, null, null);

  private static final TenantAccess ANONYMOUS = new TenantAccess(null, "", null);

  /**
   * Checks the key of a request. Must be called after the request has arrived, with the keys in
   * force at that moment.
   *
   * @param route null of a call that has none, as those about batches; then a key is needed
   * @param apiKey empty if the request has none
   * @param staleKeys why the keys known here must not admit anybody; null if they are recent enough
   * @param staleMetadata why the lack of a key here proves nothing, as it may have been added; null
   *     if it does
   */
  public static TenantAccess check(
      TenantKeys keys, Route route, String apiKey, ApiError staleKeys, ApiError staleMetadata) {
    if (!keys.isRequired()) {
      return NONE;
    }
    Tenant tenant = staleKeys == null ? keys.find(apiKey) : null;
    if (tenant != null) {
      return new TenantAccess(tenant, tenant.name(), null);
    }
    if (route != null && route.isPublic()) {
      return ANONYMOUS;
    }
    ApiError stale = staleKeys == null ? staleMetadata : staleKeys;
    return new TenantAccess(null, "", stale == null ? new ApiError.UnknownApiKey() : stale);
  }
}
