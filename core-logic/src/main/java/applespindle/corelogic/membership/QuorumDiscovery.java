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
 * Looks for the core, and tells seeds of it that may have forgotten it. Invariant: whoever has lost
 * the core asks every seed and every member it knows, as seeds may be stale, down, or as new as
 * this process.
 */
public final class QuorumDiscovery {
  private final NodeIdentity place;
  private final NodeSettings bounds;
  private final QuorumView membership;

  /** Milliseconds since the last updates from a majority of the core. */
  private final LongSupplier viewAgeMs;

  private final Supplier<List<String>> seeds;
  private final MessageSender sender;
  private long searches;

  public QuorumDiscovery(
      NodeIdentity place,
      NodeSettings bounds,
      QuorumView membership,
      LongSupplier viewAgeMs,
      Supplier<List<String>> seeds,
      MessageSender sender) {
    this.place = place;
    this.bounds = bounds;
    this.membership = membership;
    this.viewAgeMs = viewAgeMs;
    this.seeds = seeds;
    this.sender = sender;
  }

  public void search() {
    searches++;
    boolean oneInSome = searches % MembershipConstants.SEED_NOTIFICATION_ONE_IN == 0;
    boolean isMember = membership.isMember();
    if (isMember && oneInSome) {
      tellSeeds();
    }
    if (isLost() || !isMember && oneInSome) {
      askAround();
    }
  }

  private boolean isLost() {
    if (membership.current().number() == 0) {
      return true;
    }
    return membership.isMember()
        ? viewAgeMs.getAsLong() > MembershipConstants.QUORUM_PEER_TIMEOUT_MS
        : bounds.voter() && membership.liveMembers().isEmpty();
  }

  /** A seed that is no member may know nothing of the core while others know only this seed. */
  private void tellSeeds() {
    QuorumMembership roster = membership.current();
    seeds.get().stream()
        .filter(seed -> !membership.includes(seed) && !seed.equals(place.peerAddress()))
        .forEach(
            seed ->
                sender.send(
                    seed, "", new QuorumDiscoveryResponse(roster.number(), Json.bytes(roster))));
  }

  private void askAround() {
    Set<String> known = new LinkedHashSet<>(seeds.get());
    membership.current().members().forEach(member -> known.add(member.peerAddress()));
    known.remove(place.peerAddress());
    known.forEach(address -> sender.send(address, "", new QuorumDiscoveryRequest()));
  }
}
