package applespindle.testfleet.capacity;

import applespindle.adapters.FrameDeflation;
import applespindle.adapters.LogRecordCodec;
import applespindle.adapters.PeerCodec;
import applespindle.adapters.UnreadableFrameException;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.WorkerInput;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.storage.StorageNode;
import applespindle.operatortool.Signing;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * A fleet of the real logic on simulated time, in which every node's cost is metered: each message
 * goes through the real codec on both sides, and the processor time of a node is that of this
 * thread while it runs the node. Links have a fixed delay and nothing is lost but by a cut. No
 * invariants are checked here; the simulator does that.
 */
final class MeasuredFleet {
  private static final long MS = 1_000;
  private static final long WITHIN_ZONE_US = 150;
  private static final long WITHIN_REGION_US = 1_000;
  private static final long BETWEEN_REGIONS_US = 30_000;
  private static final long SYNC_US = 3_000;
  private static final long LOAD_READ_MS = 1;

  /** Machines come up over this long, so that their heartbeats do not fall together. */
  private static final long START_SPREAD_MS = 500;

  private static final int LISTED_AT_ONCE = 10;
  private static final int FRAME_HEAD_BYTES = 4;
  private static final int DISK_HEAD_BYTES = 8;
  private static final Signing.Keys KEYS = Signing.generate();
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  /** regions x zonesEach zones; reports: whether workers answer reads of their load. */
  record Shape(
      int edges, int regions, int zonesEach, boolean reports, int workerSlots, long runMs) {
    static Shape of(int edges) {
      return new Shape(edges, 1, 3, false, 8, 20);
    }
  }

  /** One node and the machine under it. */
  final class Machine extends StubEnvironment {
    private final MemoryAccount memory =
        MemoryAccount.ofHeap(Runtime.getRuntime().maxMemory(), Runnable::run);
    final String name;
    final String zone;
    final String region;
    final String role;
    final Meter meter = new Meter();
    Node node;
    boolean up;
    private int life;

    Machine(String name, String region, String zone, String role, SplittableRandom random) {
      super(random);
      this.name = name;
      this.region = region;
      this.zone = zone;
      this.role = role;
    }

    void start() {
      up = true;
      life++;
      var identity =
          new NodeIdentity(
              name + "-" + life + "-" + Integer.toHexString(random().nextInt(1 << 20)),
              life,
              name,
              zone,
              role,
              name,
              name + "/http",
              CONTROL_PLANE);
      node =
          switch (role) {
            case "core" ->
                new ControlPlaneNode(
                    this, identity, Map.of("operator", KEYS.publicKey()), CONTROL_PLANE);
            case "storage" -> new StorageNode(this, identity);
            default -> new EdgeNode(this, identity);
          };
      enter(node::start);
    }

    void kill() {
      up = false;
      life++;
    }

    void enter(Runnable task) {
      if (!up) {
        return;
      }
      long begun = THREADS.getCurrentThreadCpuTime();
      task.run();
      meter.processorNanos += THREADS.getCurrentThreadCpuTime() - begun;
    }

    private void enter(int inLife, Runnable task) {
      if (life == inLife) {
        enter(task);
      }
    }

    @Override
    public long nowMs() {
      return time.nowUs() / MS + 1_000_000;
    }

    @Override
    public long wallClockMs() {
      return nowMs();
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      int inLife = life;
      boolean[] cancelled = new boolean[1];
      time.at(
          time.nowUs() + millis * MS,
          () -> {
            if (!cancelled[0]) {
              enter(inLife, task);
            }
          });
      return () -> cancelled[0] = true;
    }

    @Override
    public void send(String peerAddress, Envelope envelope) {
      Machine target = machines.get(peerAddress);
      if (target == this) {
        time.at(time.nowUs() + 1, () -> enter(life, () -> node.receive(envelope)));
        return;
      }
      byte[] frame = codec.encode(envelope);
      meter.sent(MessageKinds.of(envelope.message()), frame.length + FRAME_HEAD_BYTES);
      if (target != null && !target.zone.equals(zone)) {
        meter.sentBetweenZonesBytes += writtenBytes(frame);
      }
      sentFrames.accept(this, envelope);
      if (target == null || !target.up || cut.test(new Link(this, target))) {
        return;
      }
      int targetLife = target.life;
      time.at(
          time.nowUs() + delayUs(this, target),
          () ->
              target.enter(
                  targetLife,
                  () -> {
                    target.meter.receivedBytes += frame.length + FRAME_HEAD_BYTES;
                    decode(frame);
                    target.node.receive(envelope);
                    recordArrival(target, envelope.message());
                  }));
    }

    @Override
    public void write(List<LogRecord> records, Runnable whenSynced) {
      for (LogRecord record : records) {
        meter.diskBytes += logRecordCodec.encode(record).length + DISK_HEAD_BYTES;
      }
      int inLife = life;
      time.at(time.nowUs() + SYNC_US, () -> enter(inLife, whenSynced));
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
      int inLife = life;
      boolean[] cancelled = new boolean[1];
      running.merge(call.workerAddress(), 1, Integer::sum);
      time.at(
          time.nowUs() + shape.runMs * MS,
          () -> {
            running.merge(call.workerAddress(), -1, Integer::sum);
            if (!cancelled[0]) {
              enter(
                  inLife,
                  () -> {
                    for (String text : workerOutput) {
                      listener.text(text);
                    }
                    listener.end("stop");
                  });
            }
          });
      return () -> cancelled[0] = true;
    }

    @Override
    public void readLoad(
        String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
      meter.loadReads++;
      if (shape.reports) {
        int inLife = life;
        time.at(
            time.nowUs() + LOAD_READ_MS * MS,
            () ->
                enter(
                    inLife,
                    () ->
                        whenRead.accept(
                            new WorkerLoad(
                                running.getOrDefault(workerAddress, 0),
                                0,
                                shape.workerSlots,
                                false))));
      }
    }
  }

  /** The way from one machine to another. */
  record Link(Machine from, Machine to) {}

  static final List<String> CONTROL_PLANE = List.of("core-1", "core-2", "core-3");
  final Map<String, Machine> machines = new LinkedHashMap<>();
  final List<Machine> edges = new ArrayList<>();
  final Shape shape;

  /** The links that are cut now. */
  Predicate<Link> cut = link -> false;

  BiConsumer<Machine, Envelope> sentFrames = (from, envelope) -> {};

  /** Output of a worker for each request, in pieces. */
  List<String> workerOutput = List.of("word ".repeat(40));

  private final Map<String, Integer> running = new HashMap<>();
  private final SimulatedTime time = new SimulatedTime();
  private final PeerCodec codec = new PeerCodec();
  private final LogRecordCodec logRecordCodec = new LogRecordCodec();
  private final FrameDeflation deflation = new FrameDeflation();
  private final SplittableRandom random;

  /** In simulated microseconds. */
  private final ConfigurationArrivals<Machine> arrivals = new ConfigurationArrivals<>();

  MeasuredFleet(Shape shape, long seed) {
    this.shape = shape;
    this.random = new SplittableRandom(seed);
    int zones = shape.regions * shape.zonesEach;
    for (int index = 0; index < CONTROL_PLANE.size(); index++) {
      add(CONTROL_PLANE.get(index), index * zones / CONTROL_PLANE.size(), "core");
    }
    for (int index = 0; index < 3; index++) {
      add("storage-" + (index + 1), index * zones / 3, "storage");
    }
    for (int index = 0; index < shape.edges; index++) {
      edges.add(add("edge-" + (index + 1), index % zones, "edge"));
    }
    machines
        .values()
        .forEach(machine -> time.at(random.nextLong(START_SPREAD_MS * MS), machine::start));
  }

  Machine add(String name, int zone, String role) {
    Machine machine =
        new Machine(name, "region-" + zone / shape.zonesEach, "zone-" + zone, role, random.split());
    machines.put(name, machine);
    return machine;
  }

  private static long delayUs(Machine from, Machine to) {
    if (from.zone.equals(to.zone)) {
      return WITHIN_ZONE_US;
    }
    return from.region.equals(to.region) ? WITHIN_REGION_US : BETWEEN_REGIONS_US;
  }

  private int writtenBytes(byte[] frame) {
    boolean large = frame.length >= PeerConnectionConstants.MIN_DEFLATE_BYTES;
    return FRAME_HEAD_BYTES + (large ? deflation.deflate(frame).length : frame.length);
  }

  private void decode(byte[] frame) {
    try {
      codec.decode(frame);
    } catch (UnreadableFrameException broken) {
      throw new IllegalStateException(broken);
    }
  }

  private void recordArrival(Machine machine, Message message) {
    if (machine.role.equals("edge") && message instanceof ChangeFeedUpdate update) {
      arrivals.record(machine, update, time.nowUs());
    }
  }

  // ---- time

  long nowMs() {
    return time.nowMs();
  }

  void runFor(long millis) {
    time.runFor(millis);
  }

  /** As {@link SimulatedTime#runUntil}. */
  boolean runUntil(BooleanSupplier condition, long mostMs) {
    return time.runUntil(condition, mostMs);
  }

  // ---- what operators do

  private ControlPlaneNode controlPlane() {
    return (ControlPlaneNode)
        machines.values().stream()
            .filter(
                machine ->
                    machine.role.equals("core")
                        && machine.up
                        && machine.node.notReadyReason().isEmpty())
            .map(machine -> machine.node)
            .findFirst()
            .orElseThrow(() -> new IllegalStateException("no core node is ready"));
  }

  /** Sends a command as an operator does: repeats it until the response is definite. */
  private void command(Operation operation, String key, Object body, Consumer<Response> then) {
    ControlPlaneNode node = controlPlane();
    Machine machine = machines.get(node.identity().name());
    machine.enter(
        () ->
            node.command(
                operation,
                key,
                body,
                response ->
                    time.at(
                        time.nowUs(),
                        () -> {
                          if (response.isSuccess()
                              || response.status() == 409
                              || response.status() == 400) {
                            then.accept(response);
                          } else {
                            time.at(
                                time.nowUs() + 300 * MS, () -> command(operation, key, body, then));
                          }
                        })));
  }

  /** One change: when it was sent, when it was acknowledged (-1 not yet), and its number. */
  static final class Change {
    long number;
    long sentAtMs;
    long acknowledgedAtMs = -1;

    /** From sending to the acknowledgement, which must have come. */
    long acknowledgementDelayMs() {
      return acknowledgedAtMs - sentAtMs;
    }
  }

  Change sendConfiguration(long number, byte[] bytes) {
    var change = new Change();
    change.number = number;
    change.sentAtMs = nowMs();
    byte[] signature = Base64.getDecoder().decode(Signing.sign(bytes, KEYS.privateKey()));
    command(
        Operation.SET_CONFIGURATION,
        "bundle",
        new SignedConfiguration(0, bytes, "operator", signature),
        response -> {
          if (!response.isSuccess()) {
            throw new IllegalStateException(
                "bundle " + number + " was refused: " + response.errorType());
          }
          change.acknowledgedAtMs = nowMs();
        });
    return change;
  }

  /**
   * Delays from sending to being applied, one for each edge that is up; an edge that does not know
   * it yet counts as -1.
   */
  List<Long> delaysOf(Change change) {
    Map<Machine, Long> known = arrivals.of(change.number);
    return edges.stream()
        .filter(machine -> machine.up)
        .map(
            machine -> known.containsKey(machine) ? known.get(machine) / MS - change.sentAtMs : -1L)
        .toList();
  }

  boolean knownEverywhere(Change change) {
    return delaysOf(change).stream().noneMatch(delay -> delay < 0);
  }

  /** Lists workers one by one, some at a time, as the platform's calls do. */
  void listWorkers(int count, long mostMs) {
    int[] answered = new int[1];
    int[] sent = new int[1];
    Runnable[] next = new Runnable[1];
    next[0] =
        () -> {
          if (sent[0] < count) {
            int index = ++sent[0];
            var input =
                new WorkerInput(
                    "w" + index,
                    "10.0." + index / 250 + "." + index % 250 + ":8000",
                    "main",
                    "ready");
            command(
                Operation.SET_WORKER,
                "worker/" + input.id(),
                ControlPlaneNode.workerRegistration(input),
                response -> {
                  answered[0]++;
                  next[0].run();
                });
          }
        };
    IntStream.range(0, LISTED_AT_ONCE).forEach(each -> next[0].run());
    require(
        runUntil(() -> answered[0] == count, mostMs),
        "not every worker was listed in " + mostMs + " ms");
  }

  /** Makes a fleet and brings it up, as {@link #open} does. */
  static MeasuredFleet opened(Shape shape, long seed, int workers, byte[] configuration) {
    MeasuredFleet fleet = new MeasuredFleet(shape, seed);
    fleet.open(workers, configuration);
    return fleet;
  }

  /** Brings the fleet up: quorum, nodes, first configuration, every edge ready, then workers. */
  void open(int workers, byte[] firstConfiguration) {
    require(
        runUntil(
            () ->
                machines.values().stream()
                    .anyMatch(
                        machine ->
                            machine.role.equals("core")
                                && machine.up
                                && machine.node.notReadyReason().isEmpty()),
            60_000),
        "the core did not form");
    require(
        runUntil(
            () ->
                machines.values().stream()
                    .filter(machine -> machine.up && !machine.role.equals("core"))
                    .allMatch(machine -> !machine.node.notReadyReason().contains("grant")),
            120_000),
        "not every node was granted its place");
    sendConfiguration(1, firstConfiguration);
    require(
        runUntil(
            () -> edges.stream().allMatch(machine -> machine.node.notReadyReason().isEmpty()),
            120_000),
        "not every edge became ready: "
            + edges.stream()
                .map(machine -> machine.node.notReadyReason())
                .filter(reason -> !reason.isEmpty())
                .findFirst()
                .orElse(""));
    listWorkers(workers, 3_600_000);
    runFor(3_000);
  }

  static void require(boolean condition, String otherwise) {
    if (!condition) {
      throw new IllegalStateException(otherwise);
    }
  }

  void resetMeters() {
    machines.values().forEach(machine -> machine.meter.reset());
  }

  List<Machine> ofRole(String role) {
    return machines.values().stream().filter(machine -> machine.role.equals(role)).toList();
  }

  /** The mean of one figure over the machines; 0 if there are none. */
  static double mean(List<Machine> machines, ToDoubleFunction<Meter> figure) {
    return machines.stream()
        .mapToDouble(machine -> figure.applyAsDouble(machine.meter))
        .average()
        .orElse(0);
  }
}
