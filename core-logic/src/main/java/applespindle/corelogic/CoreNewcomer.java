package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import applespindle.corelogic.Records.CoreMember;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What a newcomer of a membership change does: copies all core keys from a majority of the members,
 * then reports so until the change is over. Invariant: it reports a membership number only after it
 * has copied under that very number.
 */
final class CoreNewcomer {
  private final Surroundings surroundings;
  private final Node node;
  private final CoreMembership membership;
  private final ReplicaCopier copier;

  CoreNewcomer(
      Surroundings surroundings, Node node, CoreMembership membership, ReplicaCopier copier) {
    this.surroundings = surroundings;
    this.node = node;
    this.membership = membership;
    this.copier = copier;
  }

  /** Begins to copy if this node is the newcomer of the present membership. */
  void copyIfNewcomer() {
    if (membership.isMember() || !membership.isReplica()) {
      return;
    }
    long number = membership.current().number();
    node.journal().add("copying", CoreMembership.SET_NAME, "set " + number);
    copier.copyIn(
        CoreMembership.SET_NAME,
        number,
        CoreMembership.replicas(membership.current().members()),
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
        Constants.ASK_EXPIRY_MS,
        response -> {});
    surroundings.after(Constants.COPIED_REPEAT_MS, () -> reportCopied(number));
  }

  private Node.Target memberToAsk(int attempt) {
    int index = attempt % membership.current().members().size();
    CoreMember member = membership.current().members().get(index);
    return new Node.Target(member.id(), member.peerAddress());
  }
}
