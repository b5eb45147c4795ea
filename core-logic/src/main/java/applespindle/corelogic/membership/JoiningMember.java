package applespindle.corelogic.membership;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.replication.ReplicaCatchUp;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What a newcomer of a membership change does: copies all core keys from a majority of the members,
 * then reports so until the change is over. Invariant: it reports a membership number only after it
 * has copied under that very number.
 */
public final class JoiningMember {
  private final Environment surroundings;
  private final Node node;
  private final QuorumView membership;
  private final ReplicaCatchUp copier;

  public JoiningMember(
      Environment surroundings, Node node, QuorumView membership, ReplicaCatchUp copier) {
    this.surroundings = surroundings;
    this.node = node;
    this.membership = membership;
    this.copier = copier;
  }

  /** Begins to copy if this node is the newcomer of the present membership. */
  public void copyIfNewcomer() {
    if (membership.isMember() || !membership.isReplica()) {
      return;
    }
    long number = membership.current().number();
    node.journal().add("copying", QuorumView.SET_NAME, "set " + number);
    copier.copyIn(
        QuorumView.SET_NAME,
        number,
        QuorumView.replicas(membership.current().members()),
        () -> isCurrent(number),
        () -> reportCopied(number));
  }

  private boolean isCurrent(long number) {
    return membership.current().number() == number && !node.stopped();
  }

  private void reportCopied(long number) {
    if (!isCurrent(number)) {
      return;
    }
    ObjectNode report = JSON.createObjectNode().put("id", node.place().id()).put("number", number);
    node.ask(
        this::memberToAsk,
        "copied",
        MetadataKeys.MEMBERSHIP,
        report,
        PeerRequestConstants.REQUEST_TIMEOUT_MS,
        response -> {});
    surroundings.after(
        ReplicationConstants.CATCH_UP_REPORT_INTERVAL_MS, () -> reportCopied(number));
  }

  private NodeAddress memberToAsk(int attempt) {
    int index = attempt % membership.current().members().size();
    QuorumMember member = membership.current().members().get(index);
    return new NodeAddress(member.id(), member.peerAddress());
  }
}
