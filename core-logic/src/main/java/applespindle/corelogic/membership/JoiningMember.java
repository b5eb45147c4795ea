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
  private final Environment environment;
  private final Node node;
  private final QuorumView quorum;
  private final ReplicaCatchUp catchUp;

  public JoiningMember(
      Environment environment, Node node, QuorumView quorum, ReplicaCatchUp catchUp) {
    this.environment = environment;
    this.node = node;
    this.quorum = quorum;
    this.catchUp = catchUp;
  }

  /** Begins to copy if this node is the newcomer of the present membership. */
  public void catchUpIfJoining() {
    if (quorum.isMember() || !quorum.isReplica()) {
      return;
    }
    long number = quorum.current().number();
    node.traceLog().add("copying", QuorumView.SET_NAME, "set " + number);
    catchUp.catchUp(
        QuorumView.SET_NAME,
        number,
        QuorumView.replicas(quorum.current().members()),
        () -> isCurrent(number),
        () -> reportCopied(number));
  }

  private boolean isCurrent(long number) {
    return quorum.current().number() == number && !node.isTerminated();
  }

  private void reportCopied(long number) {
    if (!isCurrent(number)) {
      return;
    }
    ObjectNode report =
        JSON.createObjectNode().put("id", node.identity().id()).put("number", number);
    node.sendRequest(
        this::memberToAsk,
        "copied",
        MetadataKeys.MEMBERSHIP,
        report,
        PeerRequestConstants.REQUEST_TIMEOUT_MS,
        response -> {});
    environment.schedule(
        ReplicationConstants.CATCH_UP_REPORT_INTERVAL_MS, () -> reportCopied(number));
  }

  private NodeAddress memberToAsk(int attempt) {
    int index = attempt % quorum.current().members().size();
    QuorumMember member = quorum.current().members().get(index);
    return new NodeAddress(member.id(), member.peerAddress());
  }
}
