package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import applespindle.corelogic.Message.Ask;
import applespindle.corelogic.Records.Member;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;

/**
 * The leases by which edges, data nodes and storage nodes are members. Invariant: a lease may end
 * later than its length, never sooner; a member is live from its first grant until its lease ends
 * or it leaves.
 */
final class MemberLeases {
  private static final String PART = "core";

  private final Surroundings surroundings;
  private final CoreTable table;
  private final CoreKeys keys;
  private final CommandReplies replies;

  /** Sends the command to leave for a member's key. */
  private final Consumer<String> endMembership;

  private long lastExpiryAt = Long.MIN_VALUE / 2;

  MemberLeases(
      Surroundings surroundings,
      CoreTable table,
      CoreKeys keys,
      CommandReplies replies,
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
    if (suspendedMs > Constants.LOOK_LATE_MS) {
      keys.led().values().forEach(state -> state.leaseExpiresAt += suspendedMs);
      return;
    }
    for (CoreKeyState state : List.copyOf(keys.led().values())) {
      if (isLive(state) && now >= state.leaseExpiresAt) {
        Member member = JSON.convertValue(state.value, Member.class);
        surroundings.log(PART, "Member expired: " + member.name() + ".");
        keys.put(state, ended(member), fault -> {});
      }
    }
  }

  private static boolean isLive(CoreKeyState state) {
    return state.key.key.startsWith(MetadataKeys.MEMBER_PREFIX)
        && state.value.path("live").asBoolean();
  }

  private static Member ended(Member member) {
    return new Member(
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
  void grant(Ask ask, CoreKeyState state, Member member) {
    state.leaseExpiresAt = surroundings.now() + Constants.GRANT_LENGTH_MS;
    ObjectNode body = JSON.createObjectNode().put("grantMs", Constants.GRANT_LENGTH_MS);
    if (!state.value.isNull() && member.equals(JSON.convertValue(state.value, Member.class))) {
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
  private void endFormer(Member joined) {
    table.live("edge").stream()
        .filter(
            member ->
                member.peerAddress().equals(joined.peerAddress())
                    && !member.id().equals(joined.id()))
        .forEach(former -> endMembership.accept(MetadataKeys.MEMBER_PREFIX + former.id()));
  }

  void leave(Ask ask, CoreKeyState state) {
    if (!state.value.path("live").asBoolean()) {
      replies.respond(ask, Response.of(200, JSON.createObjectNode()));
      return;
    }
    keys.put(
        state,
        ended(JSON.convertValue(state.value, Member.class)),
        fault -> replies.respond(ask, fault, JSON::createObjectNode));
  }
}
