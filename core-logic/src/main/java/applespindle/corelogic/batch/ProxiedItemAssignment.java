package applespindle.corelogic.batch;

/**
 * An item of a proxied batch as it is assigned to a dispatcher. The route is looked up in the
 * configuration in force when the item is sent.
 *
 * @param host of the batch, for the route
 * @param path of the batch, for the route
 * @param expiresInMs milliseconds until the item expires
 * @param resumeAfter id of the last event that earlier runs brought; empty if the run starts anew
 * @param text output of the earlier runs up to that event; empty if the run starts anew
 */
record ProxiedItemAssignment(
    String host,
    String path,
    long expiresInMs,
    ProxiedBatch.Item item,
    String resumeAfter,
    String text) {}
