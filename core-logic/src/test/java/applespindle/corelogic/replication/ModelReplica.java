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

/** One life of a replica's process: the replica's and the copier's own classes, nothing else. */
final class ModelReplica extends Node implements StateText.Named {
  /** What a replica's messages are wired to; the rest of what a node does is not modelled. */
  private final LogReplicas replicas;

  private final ReplicaCatchUp catchUp;
  private final ModelRuntime runtime;
  private boolean copied;

  ModelReplica(
      ModelRuntime runtime, String id, String setName, BiConsumer<String, LogEntry> whenCommitted) {
    super(runtime, new NodeIdentity(id, 0, id, "", "", id, "", List.of()));
    this.runtime = runtime;
    replicas = new LogReplicas(runtime, this::send, whenCommitted, key -> setName);
    catchUp = new ReplicaCatchUp(runtime, this, replicas, new HashMap<>(), key -> setName);
  }

  LogReplicas replicas() {
    return replicas;
  }

  ModelRuntime runtime() {
    return runtime;
  }

  /** Whether this life has told that its copy is whole. */
  boolean hasCaughtUp() {
    return copied;
  }

  /** Learns of the pending set that it is to join, and begins to copy. */
  void join(String setName, long number, List<NodeAddress> sources, LongSupplier numberInForce) {
    replicas.adoptConfiguration(
        setName,
        number,
        () ->
            catchUp.catchUp(
                setName,
                number,
                sources,
                () -> numberInForce.getAsLong() == number,
                () -> copied = true));
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
    } else if (message instanceof VoteRequest promise) {
      replicas.handleVoteRequest(promise, fromId, fromAddress);
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
    throw new UnsupportedOperationException();
  }

  @Override
  public String notReadyBecause() {
    return "";
  }

  @Override
  public ObjectNode status() {
    return commonStatus();
  }
}
