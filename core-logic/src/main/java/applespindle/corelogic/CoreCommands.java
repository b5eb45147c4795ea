package applespindle.corelogic;

import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.StorageState;
import java.util.List;
import java.util.function.Consumer;

/**
 * Sends the commands of operators and of the platform, which came in over HTTP here, to the leaders
 * of the keys they are about. Invariant: the callback runs once for each command.
 */
final class CoreCommands {
  /** The body of a command that has none. */
  static final byte[] NO_BODY = {'{', '}'};

  private final Node node;
  private final CoreMembership membership;

  CoreCommands(Node node, CoreMembership membership) {
    this.node = node;
    this.membership = membership;
  }

  void send(String duty, String key, Object body, Consumer<Response> then) {
    if (node.stopping) {
      then.accept(Response.of(new Fault.NodeStopping()));
      return;
    }
    if (membership.cutOff()) {
      then.accept(Response.of(new Fault.NoMajority(key)));
      return;
    }
    boolean cutOffSoFar = membership.isMember() && !membership.hearsMajority();
    long expiryMs = cutOffSoFar ? Constants.CORE_SILENT_MS : Constants.ASK_EXPIRY_MS;
    node.ask(this::target, duty, key, body, expiryMs, then);
  }

  private Node.Target target(int attempt) {
    List<CoreMember> members = membership.current().members();
    if (membership.isMember() || members.isEmpty()) {
      return new Node.Target(node.place().id(), node.place().peerAddress());
    }
    CoreMember member = members.get(attempt % members.size());
    return new Node.Target(member.id(), member.peerAddress());
  }

  void emptyStorage(String name, Consumer<Response> then) {
    withStorageId(
        name,
        then,
        id -> {
          StorageState emptying = new StorageState(id, name, StorageState.EMPTYING);
          send("storage", MetadataKeys.STORAGE_PREFIX + id, emptying, then);
        });
  }

  void storagePlace(String name, Consumer<Response> then) {
    withStorageId(
        name, then, id -> send("storage-place", MetadataKeys.STORAGE_PREFIX + id, NO_BODY, then));
  }

  private void withStorageId(String name, Consumer<Response> then, Consumer<String> next) {
    send(
        "storage-id",
        name,
        NO_BODY,
        response -> {
          if (response.good()) {
            next.accept(response.body().path("id").asText());
          } else {
            then.accept(response);
          }
        });
  }
}
