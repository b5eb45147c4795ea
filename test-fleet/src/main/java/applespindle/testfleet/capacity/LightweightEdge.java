package applespindle.testfleet.capacity;

import applespindle.adapters.PeerCodec;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One edge of a {@link LightweightEdgeHost}: the real logic and real peer frames over TCP, without
 * HTTP, disk and workers that answer. Reads of the load of workers are never answered; they are
 * HTTP, which the experiments on load measure.
 */
final class LightweightEdge extends StubEnvironment {
  final int index;
  final LightweightPeerTransport peers;
  private final MemoryAccount memory =
      MemoryAccount.ofHeap(Runtime.getRuntime().maxMemory(), Runnable::run);
  private final Eventloop eventloop;
  private final FleetLayout layout;
  private final NetworkCut networkCut;
  private final ConfigurationArrivals<Integer> arrivals;
  Node node;
  boolean up;
  private int life;

  LightweightEdge(
      int index,
      Eventloop eventloop,
      PeerCodec codec,
      FleetLayout layout,
      NetworkCut networkCut,
      ConfigurationArrivals<Integer> arrivals)
      throws IOException {
    super(new SplittableRandom(index));
    this.index = index;
    this.eventloop = eventloop;
    this.layout = layout;
    this.networkCut = networkCut;
    this.arrivals = arrivals;
    this.peers =
        new LightweightPeerTransport(eventloop, codec, layout.address(index), this::received);
  }

  void start() {
    up = true;
    life++;
    node =
        new EdgeNode(
            this,
            new NodeIdentity(
                String.format("%04x%04x%04x", index, life, random().nextInt(1 << 16)),
                1,
                "hollow-" + index,
                "zone-" + layout.zone(index),
                "edge",
                layout.address(index),
                layout.address(index),
                layout.seeds()));
    node.start();
  }

  void kill() {
    up = false;
    life++;
  }

  private boolean isCutFrom(String address) {
    return networkCut.separates(layout.region(index), layout.regionOf(address));
  }

  private void received(Envelope envelope) {
    if (!up || isCutFrom(envelope.fromAddress())) {
      return;
    }
    node.receive(envelope);
    if (envelope.message() instanceof ChangeFeedUpdate update) {
      arrivals.record(index, update, System.nanoTime());
    }
  }

  @Override
  public long nowMs() {
    return System.nanoTime() / 1_000_000L;
  }

  @Override
  public long wallClockMs() {
    return System.currentTimeMillis();
  }

  @Override
  public ScheduledTask schedule(long millis, Runnable task) {
    int inLife = life;
    ScheduledRunnable planned =
        eventloop.delay(
            millis,
            () -> {
              if (up && life == inLife) {
                task.run();
              }
            });
    return planned::cancel;
  }

  @Override
  public void send(String peerAddress, Envelope envelope) {
    if (peerAddress.equals(layout.address(index))) {
      schedule(0, () -> node.receive(envelope));
    } else if (!isCutFrom(peerAddress)) {
      peers.send(peerAddress, envelope);
    }
  }

  @Override
  public void write(List<LogRecord> records, Runnable whenSynced) {
    throw new IllegalStateException("an edge keeps no records");
  }

  @Override
  public MemoryAccount memory() {
    return memory;
  }

  @Override
  public boolean acceptsWrites() {
    return false;
  }

  @Override
  public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
    throw new IllegalStateException("a lightweight node serves nothing");
  }
}
