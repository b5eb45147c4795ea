package applespindle.corelogic.replication;

import applespindle.corelogic.log.Epoch;

/**
 * A large entry that a page of a catch-up names without its event; the joining replica fetches the
 * event in chunks.
 *
 * @param bytes the size of the event
 */
public record DetachedEntry(String key, long sequence, Epoch epoch, int bytes) {}
