/**
 * The control plane's quorum: who its members are, how nodes find them, how members detect each
 * other's failure, and how the initial membership is formed.
 *
 * <ul>
 *   <li>{@link applespindle.corelogic.membership.QuorumView} owns the {@link
 *       applespindle.corelogic.membership.QuorumPeer}s and answers which members are live.
 *   <li>{@link applespindle.corelogic.membership.HeartbeatExchange} sends and processes heartbeats,
 *       which update the peers.
 *   <li>{@link applespindle.corelogic.membership.QuorumDiscovery} searches for the members where
 *       they are not known.
 *   <li>{@link applespindle.corelogic.membership.StaticBootstrap} forms the initial membership
 *       where its members are configured, {@link applespindle.corelogic.membership.QuorumBootstrap}
 *       where they are not.
 *   <li>{@link applespindle.corelogic.membership.JoiningMember} copies the replicated keys to a
 *       node that is to become a member.
 * </ul>
 *
 * <p>The membership itself is the value of a replicated key. It is changed by the leader of that
 * key, in the package {@code controlplane}, and this package only reads it.
 *
 * <p>Invariants: at most one initial membership is formed; a member counts as live only while
 * messages pass in both directions between it and this node.
 */
package applespindle.corelogic.membership;
