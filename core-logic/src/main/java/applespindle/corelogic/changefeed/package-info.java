/**
 * The change feed by which committed metadata reaches every process, and the acknowledgement of
 * updates once edges apply them.
 *
 * <p>{@link applespindle.corelogic.changefeed.MetadataTable} owns the newest value of each key that
 * a node knows. {@link applespindle.corelogic.changefeed.ChangeFeedExchange} joins the publishing
 * side of a control plane node's feed, the polling of the other members' feeds, and {@link
 * applespindle.corelogic.changefeed.MetadataFreshness}, the age of the node's view that follows
 * from them. {@link applespindle.corelogic.changefeed.UpdateAcknowledgements} owns the updates that
 * wait for edges, and what edges reported to apply. The data plane's side of the feed belongs to
 * the package {@code dataplane}.
 *
 * <p>Invariants: the sequence of a key never falls; a follower never skips a change of a feed; the
 * age of a view is never understated; an update is acknowledged only once it is certain that edges
 * no longer apply an older value after the time that the settings allow.
 */
package applespindle.corelogic.changefeed;
