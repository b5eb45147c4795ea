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
  private final NodeIdentity identity;
  private final NodeSettings settings;
  private final QuorumView quorum;

  /** Milliseconds since the last updates from a majority of the core. */
  private final LongSupplier viewAgeMs;

  private final Supplier<List<String>> seeds;
  private final MessageSender sender;
  private long searches;

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

  public void search() {
    searches++;
    boolean oneInSome = searches % MembershipConstants.SEED_NOTIFICATION_ONE_IN == 0;
    boolean isMember = quorum.isMember();
    if (isMember && oneInSome) {
      tellSeeds();
    }
    if (isLost() || !isMember && oneInSome) {
      askAround();
    }
  }

  private boolean isLost() {
    if (quorum.current().number() == 0) {
      return true;
    }
    return quorum.isMember()
        ? viewAgeMs.getAsLong() > MembershipConstants.QUORUM_PEER_TIMEOUT_MS
        : settings.voter() && quorum.liveMembers().isEmpty();
  }

  /** A seed that is no member may know nothing of the core while others know only this seed. */
  private void tellSeeds() {
    QuorumMembership membership = quorum.current();
    seeds.get().stream()
        .filter(seed -> !quorum.includes(seed) && !seed.equals(identity.peerAddress()))
        .forEach(
            seed ->
                sender.send(
                    seed,
                    "",
                    new QuorumDiscoveryResponse(membership.number(), Json.bytes(membership))));
  }

  private void askAround() {
    Set<String> known = new LinkedHashSet<>(seeds.get());
    quorum.current().members().forEach(member -> known.add(member.peerAddress()));
    known.remove(identity.peerAddress());
    known.forEach(address -> sender.send(address, "", new QuorumDiscoveryRequest()));
  }
}
