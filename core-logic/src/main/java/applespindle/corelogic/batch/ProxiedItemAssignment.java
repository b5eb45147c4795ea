package applespindle.corelogic.batch;

/**
 * An item of an opaque batch as it is handed to a feeder. host and path are those of the batch: the
 * route that they find in the bundle at the moment of sending says where the item may run.
 * expiresInMs: until it may be given up. text is what earlier runs brought up to the event
 * resumeAfter; both are empty where a run has to begin anew.
 */
record ProxiedItemAssignment(
    String host,
    String path,
    long expiresInMs,
    ProxiedBatch.Item item,
    String resumeAfter,
    String text) {}
