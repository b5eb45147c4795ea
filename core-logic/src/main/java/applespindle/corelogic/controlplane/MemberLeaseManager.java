package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Operation;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * Grants, renews and expires the leases by which edges, data nodes and storage nodes are members.
 *
 * <p>State owned: the members' keys that this node leads, with the end of each lease, and the time
 * of the last check. A member is live from its first lease until the lease expires or the member
 * leaves. Invariant: a lease may end later than its duration, never earlier.
 */
final class MemberLeaseManager implements KeyManager {
  private static final String PART = "core";

  /** The response to a renewal: for how long the lease is valid, in milliseconds. */
  private record LeaseResponse(@JsonProperty("grantMs") long leaseMs) {}

  private final Environment environment;
  private final MetadataTable table;
  private final LedKeys keys;
  private final CommandResponder responder;
  private final CommandSender commands;

  /** When leases were last checked; long ago before the first check. */
  private long lastCheckedAtMs = Long.MIN_VALUE / 2;

  MemberLeaseManager(ControlPlaneContext context) {
    this.environment = context.environment();
    this.table = context.table();
    this.keys = context.keys();
    this.responder = context.responder();
    this.commands = context.commands();
  }

  /**
   * Expires the leases that have run out. If this process itself was suspended, all leases are
   * extended by that time instead, because renewals that arrived meanwhile are handled only after
   * this call.
   */
  @Override
  public void tick() {
    long now = environment.nowMs();
    long sinceLastCheckMs = now - lastCheckedAtMs;
    lastCheckedAtMs = now;
    if (sinceLastCheckMs > MembershipConstants.SUSPENSION_THRESHOLD_MS) {
      keys.all().values().forEach(ledKey -> ledKey.extendLease(sinceLastCheckMs));
      return;
    }
    for (LedKey ledKey : List.copyOf(keys.all().values())) {
      if (isLiveMember(ledKey) && ledKey.isLeaseExpired(now)) {
        NodeRegistration member = ledKey.as(NodeRegistration.class);
        environment.log(PART, "Member expired: " + member.name() + ".");
        keys.put(ledKey, ended(member), error -> {});
      }
    }
  }

  private static boolean isLiveMember(LedKey ledKey) {
    return ledKey.key().startsWith(MetadataKeys.MEMBER_PREFIX) && isLive(ledKey);
  }

  private static boolean isLive(LedKey ledKey) {
    NodeRegistration member = ledKey.as(NodeRegistration.class);
    return member != null && member.live();
  }

  /** The registration of a member whose lease has ended. */
  private static NodeRegistration ended(NodeRegistration member) {
    return new NodeRegistration(
        member.id(),
        member.incarnation(),
        member.name(),
        member.zone(),
        member.role(),
        member.peerAddress(),
        member.httpAddress(),
        false);
  }

  /** Grants or renews a lease. A renewal that does not change the registration writes nothing. */
  void renew(PeerRequest request, LedKey ledKey, NodeRegistration member) {
    ledKey.setLeaseExpiry(environment.nowMs() + MembershipConstants.LEASE_DURATION_MS);
    LeaseResponse body = new LeaseResponse(MembershipConstants.LEASE_DURATION_MS);
    if (member.equals(ledKey.as(NodeRegistration.class))) {
      responder.respond(request, Response.of(CommandResponder.STATUS_OK, body));
      return;
    }
    environment.log(PART, "Member joined: " + member.name() + ".");
    endPredecessors(member);
    keys.put(ledKey, member, error -> responder.respond(request, error, () -> body));
  }

  /**
   * Ends the membership of other edges at this member's address. An edge gets a new id at each
   * start, so they have terminated, and their roles need not wait for the end of their leases.
   */
  private void endPredecessors(NodeRegistration joined) {
    table.live("edge").stream()
        .filter(member -> member.peerAddress().equals(joined.peerAddress()))
        .filter(member -> !member.id().equals(joined.id()))
        .map(predecessor -> MetadataKeys.MEMBER_PREFIX + predecessor.id())
        .forEach(
            key ->
                commands.send(Operation.RELEASE_LEASE, key, CommandSender.NO_BODY, response -> {}));
  }

  /** Ends a membership before the lease expires. Leaving twice gets the same response. */
  void leave(PeerRequest request, LedKey ledKey) {
    if (!isLive(ledKey)) {
      responder.respond(request, Response.of(CommandResponder.STATUS_OK, Map.of()));
      return;
    }
    keys.put(
        ledKey,
        ended(ledKey.as(NodeRegistration.class)),
        error -> responder.respond(request, error, Map::of));
  }
}
