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

  private final Environment environment;
  private final MetadataTable table;
  private final LedKeys keys;
  private final CommandResponder responder;

  /** Sends the command to leave for a member's key. */
  private final Consumer<String> endMembership;

  private long lastExpiryAt = Long.MIN_VALUE / 2;

  MemberLeaseManager(
      Environment environment,
      MetadataTable table,
      LedKeys keys,
      CommandResponder responder,
      Consumer<String> endMembership) {
    this.environment = environment;
    this.table = table;
    this.keys = keys;
    this.responder = responder;
    this.endMembership = endMembership;
  }

  /**
   * Ends the leases that have run out. Renewals that came while this process was suspended are
   * handled only after this call: the time it missed itself is no silence of the members.
   */
  void expire() {
    long now = environment.nowMs();
    long suspendedMs = now - lastExpiryAt;
    lastExpiryAt = now;
    if (suspendedMs > MembershipConstants.SUSPENSION_THRESHOLD_MS) {
      keys.all().values().forEach(ledKey -> ledKey.leaseExpiresAt += suspendedMs);
      return;
    }
    for (LedKey ledKey : List.copyOf(keys.all().values())) {
      if (isLive(ledKey) && now >= ledKey.leaseExpiresAt) {
        NodeRegistration member = JSON.convertValue(ledKey.value, NodeRegistration.class);
        environment.log(PART, "Member expired: " + member.name() + ".");
        keys.put(ledKey, ended(member), error -> {});
      }
    }
  }

  private static boolean isLive(LedKey ledKey) {
    return ledKey.leader.key.startsWith(MetadataKeys.MEMBER_PREFIX)
        && ledKey.value.path("live").asBoolean();
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
  void renew(PeerRequest request, LedKey ledKey, NodeRegistration member) {
    ledKey.leaseExpiresAt = environment.nowMs() + MembershipConstants.LEASE_DURATION_MS;
    ObjectNode body = JSON.createObjectNode().put("grantMs", MembershipConstants.LEASE_DURATION_MS);
    if (!ledKey.value.isNull()
        && member.equals(JSON.convertValue(ledKey.value, NodeRegistration.class))) {
      responder.respond(request, Response.of(200, body));
      return;
    }
    environment.log(PART, "Member joined: " + member.name() + ".");
    endFormer(member);
    keys.put(ledKey, member, error -> responder.respond(request, error, () -> body));
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

  void leave(PeerRequest request, LedKey ledKey) {
    if (!ledKey.value.path("live").asBoolean()) {
      responder.respond(request, Response.of(200, JSON.createObjectNode()));
      return;
    }
    keys.put(
        ledKey,
        ended(JSON.convertValue(ledKey.value, NodeRegistration.class)),
        error -> responder.respond(request, error, JSON::createObjectNode));
  }
}
