package applespindle.corelogic.replication;

import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.VoteRequest;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/** One life of a replica's process: the replica's and the catch-up's own classes, nothing else. */
final class ModelReplica extends Node implements StateText.Named {
  /** What a replica's messages are wired to; the rest of what a node does is not modelled. */
  private final LogReplicas replicas;

  private final ReplicaCatchUp catchUp;
  private final ModelRuntime runtime;
  private boolean caughtUp;

  ModelReplica(
      ModelRuntime runtime,
      String id,
      String configurationName,
      BiConsumer<String, LogEntry> whenCommitted) {
    super(runtime, new NodeIdentity(id, 0, id, "", "", id, "", List.of()));
    this.runtime = runtime;
    replicas = new LogReplicas(runtime, this::send, whenCommitted, key -> configurationName);
    catchUp =
        new ReplicaCatchUp(runtime, this, replicas, new HashMap<>(), key -> configurationName);
  }

  LogReplicas replicas() {
    return replicas;
  }

  ModelRuntime runtime() {
    return runtime;
  }

  /** Whether this life has completed its catch-up. */
  boolean hasCaughtUp() {
    return caughtUp;
  }

  /** Learns of the pending configuration that it is to join, and begins to catch up. */
  void join(
      String configurationName,
      long version,
      List<NodeAddress> sources,
      LongSupplier versionInForce) {
    replicas.adoptConfiguration(
        configurationName,
        version,
        () ->
            catchUp.catchUp(
                configurationName,
                version,
                sources,
                () -> versionInForce.getAsLong() == version,
                () -> caughtUp = true));
  }

  void addTo(StateText text) {
    text.addFields(this);
    runtime.addTo(text);
  }

  @Override
  public String stateName() {
    return identity().id();
  }

  @Override
  protected void handle(Message message, String fromId, String fromAddress) {
    if (message instanceof AppendRequest append) {
      replicas.handleAppendRequest(append, fromId, fromAddress);
    } else if (message instanceof VoteRequest vote) {
      replicas.handleVoteRequest(vote, fromId, fromAddress);
    }
  }

  @Override
  protected void handleRequest(PeerRequest request) {
    catchUp.servePage(request);
  }

  @Override
  public void start() {
    replicas.finishRecovery();
  }

  @Override
  public void stop(Runnable whenDone) {
    throw new UnsupportedOperationException("a modelled replica crashes and never stops");
  }

  @Override
  public String notReadyReason() {
    return "";
  }

  @Override
  public ObjectNode status() {
    return commonStatus();
  }
}
