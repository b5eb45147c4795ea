package applespindle.testfleet.capacity;

import applespindle.adapters.PeerCodec;
import applespindle.adapters.UnreadableFrameException;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.metadata.QuorumMember;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.storage.StorageNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * One node without peers: messages are delivered to it, and those it sends are counted and dropped.
 * Measures what the node holds and what processing of a message costs.
 */
final class IsolatedNode extends StubEnvironment {
  private static final int FRAME_HEAD_BYTES = 4;
  private final MemoryAccount memory =
      MemoryAccount.ofHeap(Runtime.getRuntime().maxMemory(), Runnable::run);
  private final PeerCodec codec = new PeerCodec();
  final Node node;
  long sentBytes;

  IsolatedNode(Function<IsolatedNode, Node> maker) {
    super(new SplittableRandom(1));
    this.node = maker.apply(this);
  }

  static IsolatedNode edge() {
    return new IsolatedNode(surroundings -> new EdgeNode(surroundings, identity("edge")));
  }

  static IsolatedNode storage() {
    return new IsolatedNode(surroundings -> new StorageNode(surroundings, identity("storage")));
  }

  static IsolatedNode controlPlane() {
    return new IsolatedNode(
        surroundings -> new ControlPlaneNode(surroundings, identity("core"), Map.of(), List.of()));
  }

  private static NodeIdentity identity(String role) {
    return new NodeIdentity(
        "0123456789ab",
        1,
        role + "-1",
        "zone-0",
        role,
        "10.0.0.1:7000",
        "10.0.0.1:7001",
        List.of("10.0.1.1:7000", "10.0.1.2:7000", "10.0.1.3:7000"));
  }

  /**
   * Delivers a message to the node. It goes through the codec, so that the node shares no object
   * with the caller.
   */
  void deliver(Message message) {
    try {
      byte[] frame = codec.encode(new Envelope("core00000001", "10.0.1.1:7000", "", message));
      node.receive(codec.decode(frame));
    } catch (UnreadableFrameException broken) {
      throw new IllegalStateException(broken);
    }
  }

  static int bytesOf(Message message) {
    return new PeerCodec().encode(new Envelope("core00000001", "10.0.1.1:7000", "", message)).length
        + FRAME_HEAD_BYTES;
  }

  static Message quorumDiscovery() {
    List<QuorumMember> members = new ArrayList<>();
    for (int index = 1; index <= 3; index++) {
      members.add(
          new QuorumMember(
              "core0000000" + index,
              "10.0.1." + index + ":7000",
              "10.0.1." + index + ":7001",
              "zone-" + index,
              "core-" + index));
    }
    return new Message.QuorumDiscoveryResponse(
        1, Json.bytes(new QuorumMembership(1, members, List.of())));
  }

  static Message snapshot(List<MetadataRecord> items) {
    return new ChangeFeedUpdate(
        "core00000001", 1, 0, items.size(), true, false, 0, 1_000_000, items);
  }

  static List<MetadataRecord> nodeRegistrations(int count) {
    List<MetadataRecord> items = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      var registration =
          new NodeRegistration(
              String.format("%012x", index),
              1,
              "edge-" + index,
              "zone-" + index % 12,
              "edge",
              "10.1." + index / 250 + "." + index % 250 + ":7001",
              "10.1." + index / 250 + "." + index % 250 + ":7000",
              true);
      items.add(new MetadataRecord("member/" + registration.id(), 1, Json.bytes(registration)));
    }
    return items;
  }

  static List<MetadataRecord> workerRegistrations(int count) {
    List<MetadataRecord> items = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      var worker =
          new WorkerRegistration(
              "w" + index,
              "10.2." + index / 250 + "." + index % 250 + ":8000",
              "main",
              "ready",
              "zone-1",
              0);
      items.add(new MetadataRecord("worker/w" + index, 1, Json.bytes(worker)));
    }
    return items;
  }

  static MetadataRecord configuration(long number, byte[] bytes) {
    return new MetadataRecord(
        "bundle",
        number,
        Json.bytes(new SignedConfiguration(number, bytes, "operator", new byte[64])));
  }

  // ---- environment: no call has an effect

  @Override
  public long nowMs() {
    return 1_000_000;
  }

  @Override
  public long wallClockMs() {
    return nowMs();
  }

  @Override
  public ScheduledTask schedule(long millis, Runnable task) {
    return () -> {};
  }

  @Override
  public void send(String peerAddress, Envelope envelope) {
    sentBytes += codec.encode(envelope).length + FRAME_HEAD_BYTES;
  }

  @Override
  public void write(List<LogRecord> records, Runnable whenSynced) {
    whenSynced.run();
  }

  @Override
  public MemoryAccount memory() {
    return memory;
  }

  @Override
  public boolean acceptsWrites() {
    return true;
  }

  @Override
  public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
    return () -> {};
  }
}
