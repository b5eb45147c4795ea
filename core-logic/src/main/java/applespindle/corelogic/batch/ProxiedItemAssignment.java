package applespindle.corelogic.batch;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * An item of a proxied batch as it is assigned to a dispatcher. The route is looked up in the
 * configuration in force when the item is sent.
 *
 * @param host of the batch, for the route
 * @param path of the batch, for the route
 * @param expiresInMs milliseconds until the item expires
 * @param resumeAfter id of the last event that earlier runs brought; empty if the run starts anew
 * @param text output of the earlier runs up to that event; empty if the run starts anew
 * @param tenant the name of the tenant that owns the batch; null if none does
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
@JsonIgnoreProperties(ignoreUnknown = true)
record ProxiedItemAssignment(
    String host,
    String path,
    long expiresInMs,
    ProxiedBatch.Item item,
    String resumeAfter,
    String text,
    String tenant) {}
