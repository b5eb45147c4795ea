package applespindle.corelogic.batch;

/**
 * The names of the groups of proxied batches that share one limit on waiting tokens: those of one
 * tenant on one route. The names are stored in the log of the batch capacity key.
 */
final class BatchCapacityGroup {
  /** Begins the names that tell a tenant; hardly any route's name begins with it. */
  private static final String MARK = "\n";

  private BatchCapacityGroup() {}

  /**
   * The name of a group; different for each pair of route and tenant.
   *
   * @param tenant null for the batches that no tenant owns: their group has the route's name, as
   *     every group had in versions without tenants
   */
  static String of(String route, String tenant) {
    boolean isPlain = tenant == null && !route.startsWith(MARK);
    if (isPlain) {
      return route;
    }
    String owner = tenant == null ? "" : tenant;
    return MARK + owner.length() + ":" + owner + route;
  }
}
