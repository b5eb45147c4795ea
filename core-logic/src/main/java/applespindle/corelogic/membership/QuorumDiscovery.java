package applespindle.corelogic.membership;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message.QuorumDiscoveryRequest;
import applespindle.corelogic.protocol.Message.QuorumDiscoveryResponse;
import applespindle.corelogic.protocol.MessageSender;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Searches for the control plane's members, and notifies seeds of them that may not know them. Owns
 * only the number of searches so far; the result of a search arrives as a message to the node.
 *
 * <p>Invariant: a node without contact to the members asks every seed and every member it knows,
 * because seeds may be outdated, down, or as uninitialized as this node.
 */
public final class QuorumDiscovery {
  private final NodeIdentity identity;
  private final NodeSettings settings;
  private final QuorumView quorum;

  /** Milliseconds since the last updates from a majority of the members. */
  private final LongSupplier viewAgeMs;

  private final Supplier<List<String>> seeds;
  private final MessageSender sender;
  private long searches;

  /**
   * Creates the discovery of one node.
   *
   * @param viewAgeMs milliseconds since the last updates from a majority of the members
   * @param seeds the configured peer addresses at the time of the call
   */
  public QuorumDiscovery(
      NodeIdentity identity,
      NodeSettings settings,
      QuorumView quorum,
      LongSupplier viewAgeMs,
      Supplier<List<String>> seeds,
      MessageSender sender) {
    this.identity = identity;
    this.settings = settings;
    this.quorum = quorum;
    this.viewAgeMs = viewAgeMs;
    this.seeds = seeds;
    this.sender = sender;
  }

  /**
   * To be called at regular intervals. A node without contact to the members asks for them each
   * time. At one in several calls a member notifies seeds, and any other node asks for the members.
   */
  public void search() {
    searches++;
    boolean isNotificationDue = searches % MembershipConstants.SEED_NOTIFICATION_ONE_IN == 0;
    boolean isMember = quorum.isMember();
    if (isMember && isNotificationDue) {
      notifySeeds();
    }
    if (hasLostContact() || !isMember && isNotificationDue) {
      requestMembers();
    }
  }

  /** Whether no membership is known, or a voter has no contact to enough of its members. */
  private boolean hasLostContact() {
    if (quorum.current().version() == 0) {
      return true;
    }
    return quorum.isMember()
        ? viewAgeMs.getAsLong() > MembershipConstants.QUORUM_PEER_TIMEOUT_MS
        : settings.voter() && quorum.liveMembers().isEmpty();
  }

  /** A seed that is no member may not know the members, while other nodes know only that seed. */
  private void notifySeeds() {
    QuorumMembership membership = quorum.current();
    seeds.get().stream()
        .filter(seed -> !quorum.includes(seed) && !seed.equals(identity.peerAddress()))
        .forEach(
            seed ->
                sender.send(
                    seed,
                    "",
                    new QuorumDiscoveryResponse(membership.version(), Json.bytes(membership))));
  }

  private void requestMembers() {
    Set<String> addresses = new LinkedHashSet<>(seeds.get());
    quorum.current().members().forEach(member -> addresses.add(member.peerAddress()));
    addresses.remove(identity.peerAddress());
    addresses.forEach(address -> sender.send(address, "", new QuorumDiscoveryRequest()));
  }
}
