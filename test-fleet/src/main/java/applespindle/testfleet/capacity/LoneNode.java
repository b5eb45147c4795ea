package applespindle.testfleet.capacity;

import applespindle.adapters.PeerCodec;
import applespindle.adapters.UnreadableFrame;
import applespindle.corelogic.CoreNode;
import applespindle.corelogic.DiskRecord;
import applespindle.corelogic.EdgeNode;
import applespindle.corelogic.Envelope;
import applespindle.corelogic.Fault;
import applespindle.corelogic.Json;
import applespindle.corelogic.Message;
import applespindle.corelogic.Message.FeedItem;
import applespindle.corelogic.Message.FeedNews;
import applespindle.corelogic.Node;
import applespindle.corelogic.Records.CoreMember;
import applespindle.corelogic.Records.Member;
import applespindle.corelogic.Records.Roster;
import applespindle.corelogic.Records.SignedBundle;
import applespindle.corelogic.Records.Worker;
import applespindle.corelogic.StorageNode;
import applespindle.corelogic.Surroundings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * One node that is told things and whose own words go nowhere: for what it holds and what taking it
 * in costs.
 */
final class LoneNode implements Surroundings {
  private static final int FRAME_HEAD_BYTES = 4;
  private final PeerCodec codec = new PeerCodec();
  private final RandomGenerator random = new SplittableRandom(1);
  final Node node;
  long sentBytes;

  LoneNode(Function<LoneNode, Node> maker) {
    this.node = maker.apply(this);
  }

  static LoneNode edge() {
    return new LoneNode(surroundings -> new EdgeNode(surroundings, place("edge")));
  }

  static LoneNode storage() {
    return new LoneNode(surroundings -> new StorageNode(surroundings, place("storage")));
  }

  static LoneNode core() {
    return new LoneNode(
        surroundings -> new CoreNode(surroundings, place("core"), Map.of(), List.of()));
  }

  private static Node.Place place(String role) {
    return new Node.Place(
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
   * What the node gets has been through the codec, so that it shares nothing with what the teller
   * holds.
   */
  void tell(Message message) {
    try {
      byte[] frame = codec.encode(new Envelope("core00000001", "10.0.1.1:7000", "", message));
      node.receive(codec.decode(frame));
    } catch (UnreadableFrame broken) {
      throw new IllegalStateException(broken);
    }
  }

  static int bytesOf(Message message) {
    return new PeerCodec().encode(new Envelope("core00000001", "10.0.1.1:7000", "", message)).length
        + FRAME_HEAD_BYTES;
  }

  static Message roster() {
    List<CoreMember> members = new ArrayList<>();
    for (int index = 1; index <= 3; index++) {
      members.add(
          new CoreMember(
              "core0000000" + index,
              "10.0.1." + index + ":7000",
              "10.0.1." + index + ":7001",
              "zone-" + index,
              "core-" + index));
    }
    return new Message.CoreIs(1, Json.bytes(new Roster(1, members, List.of())));
  }

  static Message checkpoint(List<FeedItem> items) {
    return new FeedNews("core00000001", 1, 0, items.size(), true, false, 0, 1_000_000, items);
  }

  static List<FeedItem> members(int count) {
    List<FeedItem> items = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      var member =
          new Member(
              String.format("%012x", index),
              1,
              "edge-" + index,
              "zone-" + index % 12,
              "edge",
              "10.1." + index / 250 + "." + index % 250 + ":7001",
              "10.1." + index / 250 + "." + index % 250 + ":7000",
              true);
      items.add(new FeedItem("member/" + member.id(), 1, Json.bytes(member)));
    }
    return items;
  }

  static List<FeedItem> workers(int count) {
    List<FeedItem> items = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      var worker =
          new Worker(
              "w" + index,
              "10.2." + index / 250 + "." + index % 250 + ":8000",
              "main",
              "ready",
              "zone-1",
              0);
      items.add(new FeedItem("worker/w" + index, 1, Json.bytes(worker)));
    }
    return items;
  }

  static FeedItem bundle(long number, byte[] bytes) {
    return new FeedItem(
        "bundle", number, Json.bytes(new SignedBundle(number, bytes, "operator", new byte[64])));
  }

  // ---- ports: nothing comes back

  @Override
  public long now() {
    return 1_000_000;
  }

  @Override
  public Schedule after(long millis, Runnable task) {
    return () -> {};
  }

  @Override
  public void send(String peerAddress, Envelope envelope) {
    sentBytes += codec.encode(envelope).length + FRAME_HEAD_BYTES;
  }

  @Override
  public void write(List<DiskRecord> records, Runnable whenSynced) {
    whenSynced.run();
  }

  @Override
  public boolean takesWrites() {
    return true;
  }

  @Override
  public WorkerRun run(WorkerCall call, WorkerListener listener) {
    return () -> {};
  }

  @Override
  public void readLoad(
      String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<Fault> whenFaulty) {}

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void log(String part, String sentence) {}
}
