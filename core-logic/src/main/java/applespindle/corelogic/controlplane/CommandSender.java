package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.node.Node;
import java.util.List;
import java.util.function.Consumer;

/**
 * Sends the commands of operators and of the platform, which came in over HTTP here, to the leaders
 * of the keys they are about. Invariant: the callback runs once for each command.
 */
final class CommandSender {
  /** The body of a command that has none. */
  static final byte[] NO_BODY = {'{', '}'};

  private final Node node;
  private final QuorumView quorum;

  CommandSender(Node node, QuorumView quorum) {
    this.node = node;
    this.quorum = quorum;
  }

  void send(String operation, String key, Object body, Consumer<Response> then) {
    if (node.stopping) {
      then.accept(Response.of(new ApiError.NodeStopping()));
      return;
    }
    if (quorum.isIsolated()) {
      then.accept(Response.of(new ApiError.NoQuorum(key)));
      return;
    }
    boolean cutOffSoFar = quorum.isMember() && !quorum.isInContactWithMajority();
    long expiryMs =
        cutOffSoFar
            ? MembershipConstants.QUORUM_PEER_TIMEOUT_MS
            : PeerRequestConstants.REQUEST_TIMEOUT_MS;
    node.sendRequest(this::target, operation, key, body, expiryMs, then);
  }

  private NodeAddress target(int attempt) {
    List<QuorumMember> members = quorum.current().members();
    if (quorum.isMember() || members.isEmpty()) {
      return new NodeAddress(node.identity().id(), node.identity().peerAddress());
    }
    QuorumMember member = members.get(attempt % members.size());
    return new NodeAddress(member.id(), member.peerAddress());
  }

  void drainStorageNode(String name, Consumer<Response> then) {
    withStorageId(
        name,
        then,
        id -> {
          StorageNodeState emptying = new StorageNodeState(id, name, StorageNodeState.EMPTYING);
          send("storage", MetadataKeys.STORAGE_PREFIX + id, emptying, then);
        });
  }

  void isStorageNodeDrained(String name, Consumer<Response> then) {
    withStorageId(
        name, then, id -> send("storage-place", MetadataKeys.STORAGE_PREFIX + id, NO_BODY, then));
  }

  private void withStorageId(String name, Consumer<Response> then, Consumer<String> next) {
    send(
        "storage-id",
        name,
        NO_BODY,
        response -> {
          if (response.isSuccess()) {
            next.accept(response.body().path("id").asText());
          } else {
            then.accept(response);
          }
        });
  }
}
