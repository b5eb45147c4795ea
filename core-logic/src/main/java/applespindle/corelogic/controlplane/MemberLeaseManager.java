package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.protocol.Message.PeerRequest;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;

/**
 * The leases by which edges, data nodes and storage nodes are members. Invariant: a lease may end
 * later than its length, never sooner; a member is live from its first grant until its lease ends
 * or it leaves.
 */
final class MemberLeaseManager {
  private static final String PART = "core";

  private final Environment surroundings;
  private final MetadataTable table;
  private final LedKeys keys;
  private final CommandResponder replies;

  /** Sends the command to leave for a member's key. */
  private final Consumer<String> endMembership;

  private long lastExpiryAt = Long.MIN_VALUE / 2;

  MemberLeaseManager(
      Environment surroundings,
      MetadataTable table,
      LedKeys keys,
      CommandResponder replies,
      Consumer<String> endMembership) {
    this.surroundings = surroundings;
    this.table = table;
    this.keys = keys;
    this.replies = replies;
    this.endMembership = endMembership;
  }

  /**
   * Ends the leases that have run out. Renewals that came while this process was suspended are
   * handled only after this call: the time it missed itself is no silence of the members.
   */
  void expire() {
    long now = surroundings.now();
    long suspendedMs = now - lastExpiryAt;
    lastExpiryAt = now;
    if (suspendedMs > MembershipConstants.SUSPENSION_THRESHOLD_MS) {
      keys.led().values().forEach(state -> state.leaseExpiresAt += suspendedMs);
      return;
    }
    for (LedKey state : List.copyOf(keys.led().values())) {
      if (isLive(state) && now >= state.leaseExpiresAt) {
        NodeRegistration member = JSON.convertValue(state.value, NodeRegistration.class);
        surroundings.log(PART, "Member expired: " + member.name() + ".");
        keys.put(state, ended(member), fault -> {});
      }
    }
  }

  private static boolean isLive(LedKey state) {
    return state.key.key.startsWith(MetadataKeys.MEMBER_PREFIX)
        && state.value.path("live").asBoolean();
  }

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

  /** Grants or renews a lease. A renewal that changes nothing about the member is not written. */
  void grant(PeerRequest ask, LedKey state, NodeRegistration member) {
    state.leaseExpiresAt = surroundings.now() + MembershipConstants.LEASE_DURATION_MS;
    ObjectNode body = JSON.createObjectNode().put("grantMs", MembershipConstants.LEASE_DURATION_MS);
    if (!state.value.isNull()
        && member.equals(JSON.convertValue(state.value, NodeRegistration.class))) {
      replies.respond(ask, Response.of(200, body));
      return;
    }
    surroundings.log(PART, "Member joined: " + member.name() + ".");
    endFormer(member);
    keys.put(state, member, fault -> replies.respond(ask, fault, () -> body));
  }

  /**
   * An edge keeps no id over a restart: whoever was at its address has ended, and its duties need
   * not wait for the end of its lease.
   */
  private void endFormer(NodeRegistration joined) {
    table.live("edge").stream()
        .filter(
            member ->
                member.peerAddress().equals(joined.peerAddress())
                    && !member.id().equals(joined.id()))
        .forEach(former -> endMembership.accept(MetadataKeys.MEMBER_PREFIX + former.id()));
  }

  void leave(PeerRequest ask, LedKey state) {
    if (!state.value.path("live").asBoolean()) {
      replies.respond(ask, Response.of(200, JSON.createObjectNode()));
      return;
    }
    keys.put(
        state,
        ended(JSON.convertValue(state.value, NodeRegistration.class)),
        fault -> replies.respond(ask, fault, JSON::createObjectNode));
  }
}
