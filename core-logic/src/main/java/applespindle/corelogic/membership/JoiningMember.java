package applespindle.corelogic.membership;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.replication.ReplicaCatchUp;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The joining member's part in a membership change: copies all keys of the control plane from a
 * majority of the members, then reports this until the change is complete. Owns no state besides
 * the copying and reporting in progress.
 *
 * <p>Invariant: a version of the membership is reported only after the keys were copied under that
 * very version.
 */
public final class JoiningMember {
  private final Environment environment;
  private final Node node;
  private final QuorumView quorum;
  private final ReplicaCatchUp catchUp;

  /** Creates the joining member of one node. */
  public JoiningMember(
      Environment environment, Node node, QuorumView quorum, ReplicaCatchUp catchUp) {
    this.environment = environment;
    this.node = node;
    this.quorum = quorum;
    this.catchUp = catchUp;
  }

  /** Starts to copy the keys if this node is the joining member of the current membership. */
  public void catchUpIfJoining() {
    if (quorum.isMember() || !quorum.isReplica()) {
      return;
    }
    long version = quorum.current().version();
    node.traceLog().add("copying", QuorumView.REPLICA_SET_NAME, "set " + version);
    catchUp.catchUp(
        QuorumView.REPLICA_SET_NAME,
        version,
        QuorumView.replicas(quorum.current().members()),
        () -> isCurrent(version),
        () -> reportCopied(version));
  }

  private boolean isCurrent(long version) {
    return quorum.current().version() == version && !node.isTerminated();
  }

  private void reportCopied(long number) {
    if (!isCurrent(number)) {
      return;
    }
    ObjectNode report =
        JSON.createObjectNode().put("id", node.identity().id()).put("number", number);
    node.sendRequest(
        this::targetMember,
        Operation.REPORT_CAUGHT_UP,
        MetadataKeys.MEMBERSHIP,
        report,
        PeerRequestConstants.REQUEST_TIMEOUT_MS,
        response -> {});
    environment.schedule(
        ReplicationConstants.CATCH_UP_REPORT_INTERVAL_MS, () -> reportCopied(number));
  }

  private NodeAddress targetMember(int attempt) {
    int index = attempt % quorum.current().members().size();
    QuorumMember member = quorum.current().members().get(index);
    return new NodeAddress(member.id(), member.peerAddress());
  }
}
