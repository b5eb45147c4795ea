package applespindle.corelogic.dataplane;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Operation;
import java.util.function.Consumer;

/**
 * The lease by which this node is a member of the fleet. Invariant: the node takes its lease to end
 * before the control plane does, as it counts from the sending of the renewal. A lease that was
 * released is not renewed.
 */
final class MembershipLease {
  /** Sends a request to the leader of a key of the control plane. */
  interface ControlPlaneRequests {
    void send(
        Operation operation, String key, Object body, long expiryMs, Consumer<Response> callback);
  }

  private static final byte[] NO_BODY = {'{', '}'};

  private final Environment environment;
  private final NodeIdentity identity;
  private final ControlPlaneRequests requests;
  private long validUntil = Long.MIN_VALUE / 2;
  private boolean released;

  MembershipLease(Environment environment, NodeIdentity identity, ControlPlaneRequests requests) {
    this.environment = environment;
    this.identity = identity;
    this.requests = requests;
  }

  boolean isValid() {
    return environment.nowMs() < validUntil;
  }

  boolean isReleased() {
    return released;
  }

  /** Asks for the lease, or for more time on it. */
  void renew(NodeSettings settings) {
    long sentAt = environment.nowMs();
    requests.send(
        Operation.RENEW_LEASE,
        key(),
        registration(settings),
        MembershipConstants.LEASE_DURATION_MS,
        response -> {
          if (response.isSuccess()) {
            validUntil = Math.max(validUntil, sentAt + MembershipConstants.LEASE_DURATION_MS);
          }
        });
  }

  private NodeRegistration registration(NodeSettings settings) {
    return new NodeRegistration(
        identity.id(),
        identity.incarnation(),
        identity.name(),
        identity.zone(),
        identity.role(),
        identity.peerAddress(),
        identity.httpAddress(),
        true,
        settings.processorCores(),
        settings.linkMegabits());
  }

  /** From here on the lease is not renewed any more. */
  void stopRenewing() {
    released = true;
  }

  /** Ends the lease at the control plane, so that others take this node's work at once. */
  void release(Runnable whenDone) {
    requests.send(
        Operation.RELEASE_LEASE,
        key(),
        NO_BODY,
        MembershipConstants.LEASE_DURATION_MS,
        response -> whenDone.run());
  }

  private String key() {
    return MetadataKeys.MEMBER_PREFIX + identity.id();
  }
}
