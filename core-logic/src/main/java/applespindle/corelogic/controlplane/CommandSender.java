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
import applespindle.corelogic.protocol.Operation;
import java.util.List;
import java.util.function.Consumer;

/**
 * Sends the commands that operators and the platform gave to this process to the leaders of their
 * keys. It owns no state. Invariant: the callback of each command runs exactly once.
 */
final class CommandSender {
  /** The body of a command without parameters: an empty JSON object. */
  static final byte[] NO_BODY = {'{', '}'};

  private final Node node;
  private final QuorumView quorum;

  CommandSender(Node node, QuorumView quorum) {
    this.node = node;
    this.quorum = quorum;
  }

  /**
   * Sends a command. The body is written as JSON unless it is a byte array, which is sent as it is.
   * The callback gets the leader's response, or an error if this process is stopping, is isolated,
   * or got no response in time.
   */
  void send(Operation operation, String key, Object body, Consumer<Response> then) {
    if (node.isStopping()) {
      then.accept(Response.of(new ApiError.NodeStopping()));
      return;
    }
    if (quorum.isIsolated()) {
      then.accept(Response.of(new ApiError.NoQuorum(key)));
      return;
    }
    boolean maySoonBeIsolated = quorum.isMember() && !quorum.isInContactWithMajority();
    long expiryMs =
        maySoonBeIsolated
            ? MembershipConstants.QUORUM_PEER_TIMEOUT_MS
            : PeerRequestConstants.REQUEST_TIMEOUT_MS;
    node.sendRequest(this::target, operation, key, body, expiryMs, then);
  }

  /** This process if it is a member, else one member after the other. */
  private NodeAddress target(int attempt) {
    List<QuorumMember> members = quorum.current().members();
    if (quorum.isMember() || members.isEmpty()) {
      return new NodeAddress(node.identity().id(), node.identity().peerAddress());
    }
    QuorumMember member = members.get(attempt % members.size());
    return new NodeAddress(member.id(), member.peerAddress());
  }

  /** Has the storage node of this name drained; the callback gets its state or the refusal. */
  void drainStorageNode(String name, Consumer<Response> then) {
    withStorageId(
        name,
        then,
        id -> {
          StorageNodeState draining = new StorageNodeState(id, name, StorageNodeState.DRAINING);
          send(Operation.SET_STORAGE_NODE_STATE, MetadataKeys.STORAGE_PREFIX + id, draining, then);
        });
  }

  /** Checks whether the storage node of this name may be removed. */
  void isStorageNodeDrained(String name, Consumer<Response> then) {
    withStorageId(
        name,
        then,
        id ->
            send(
                Operation.CHECK_STORAGE_NODE_DRAINED,
                MetadataKeys.STORAGE_PREFIX + id,
                NO_BODY,
                then));
  }

  private void withStorageId(String name, Consumer<Response> then, Consumer<String> next) {
    send(
        Operation.RESOLVE_STORAGE_NODE,
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
