package applespindle.corelogic.dataplane;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Which control plane member this node follows, and the position reached in its change feed.
 * Invariant: the position only moves on by updates that start at or before it, or by a snapshot.
 * Members of the node's own zone are preferred, so that the polls stay within it.
 */
final class FeedSource {
  private final NodeIdentity identity;
  private final Supplier<QuorumMembership> membership;

  private int chosenIndex;

  /** The members in the order of preference, and the membership that this order was made of. */
  private List<QuorumMember> preferenceOrder = List.of();

  private QuorumMembership orderedMembership;

  private String sourceId = "";
  private long incarnation;
  private long position;

  FeedSource(NodeIdentity identity, Supplier<QuorumMembership> membership) {
    this.identity = identity;
    this.membership = membership;
  }

  String sourceId() {
    return sourceId;
  }

  long incarnation() {
    return incarnation;
  }

  long position() {
    return position;
  }

  /** The member to poll; the membership must not be empty. */
  QuorumMember member() {
    List<QuorumMember> ordered = inPreferenceOrder();
    return ordered.get(Math.floorMod(chosenIndex, ordered.size()));
  }

  /** The most preferred member; the membership must not be empty. */
  QuorumMember preferredMember() {
    return inPreferenceOrder().get(0);
  }

  void chooseNext() {
    chosenIndex++;
  }

  private void choose(String memberId) {
    List<QuorumMember> ordered = inPreferenceOrder();
    for (int index = 0; index < ordered.size(); index++) {
      if (ordered.get(index).id().equals(memberId)) {
        chosenIndex = index;
      }
    }
  }

  private List<QuorumMember> inPreferenceOrder() {
    QuorumMembership current = membership.get();
    if (orderedMembership != current) {
      orderedMembership = current;
      Map<String, QuorumMember> byId = new HashMap<>();
      current.members().forEach(member -> byId.put(member.id(), member));
      preferenceOrder =
          RendezvousHashing.order(identity.id(), byId.keySet()).stream()
              .map(byId::get)
              .sorted(Comparator.comparing(member -> !member.zone().equals(identity.zone())))
              .toList();
    }
    return preferenceOrder;
  }

  /** Whether an update can be applied: it is a snapshot, or continues the feed at this position. */
  boolean accepts(ChangeFeedUpdate update) {
    return update.snapshot() || isSameFeed(update) && update.fromPosition() <= position;
  }

  private boolean isSameFeed(ChangeFeedUpdate update) {
    return update.sourceId().equals(sourceId) && update.incarnation() == incarnation;
  }

  /**
   * Moves the position on by an accepted update.
   *
   * @param follow whether this node goes on polling the member that sent it
   */
  void advance(ChangeFeedUpdate update, boolean follow) {
    boolean sameFeed = isSameFeed(update);
    if (follow) {
      choose(update.sourceId());
    }
    position = sameFeed ? Math.max(position, update.position()) : update.position();
    sourceId = update.sourceId();
    incarnation = update.incarnation();
  }
}
