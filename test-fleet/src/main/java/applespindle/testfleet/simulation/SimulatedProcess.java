package applespindle.testfleet.simulation;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.ConfigurationFormat;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.duty.DutyInputs;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Invariant;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCallResult;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.storage.StorageNode;
import applespindle.testfleet.history.InvariantViolationException;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * One process of a simulated fleet and the machine it runs on. It is the environment of its node:
 * clock, disk, network and workers are simulated.
 */
public final class SimulatedProcess implements Environment {
  /** The heap of an edge by deploy/system.toml. */
  public static final long HEAP_BYTES = 128 << 20;

  /** Clocks of nodes begin here, so that one that is shifted back stays positive. */
  private static final long CLOCK_START_MS = 1_000_000;

  public final String name;
  public final String zone;
  public final String role;
  public final SimulatedLink link = new SimulatedLink();
  public final SimulatedProcessor processor;
  private final Simulation simulation;
  private final List<String> seeds;

  /** Null if the process keeps nothing over a restart. */
  private final SimulatedDisk disk;

  private final ProcessWorkerCalls workerCalls;

  /** Of the present incarnation; null until the first start. */
  private MemoryAccount memory;

  /** Null until the first start; of a dead process, the node of its last incarnation. */
  private Node node;

  /** Rises with each start and each death: a task of an earlier value must not run. */
  private int incarnation;

  private boolean alive;

  /** Only true of a process that is alive; its tasks then wait in whileFrozen. */
  private boolean frozen;

  private boolean stopping;

  /** Gone for good: not even the end of the run brings it back. */
  public boolean destroyed;

  private long clockShiftMs;

  /** How far the wall clock of the machine is ahead of true time. */
  private long wallClockShiftMs;

  /** Each task of a slowed process takes this long; 0: no time. */
  private long taskUs;

  /** Tasks of a slowed process run one after the other, the next one not before this. */
  private long busyUntilUs;

  /** Rises when connections are reset: what was under way on the old ones is lost. */
  private int connections;

  private long refusesWritesUntilUs;

  /** Bytes received from other processes by kind of message, over all incarnations. */
  private final Map<String, Long> receivedBytes = new TreeMap<>();

  /** In the order of arrival; empty unless the process is frozen. */
  private final ArrayDeque<Runnable> whileFrozen = new ArrayDeque<>();

  /** Run when the process dies or its connections break: callers that await a response. */
  private final Set<Runnable> waitingCallers = new LinkedHashSet<>();

  SimulatedProcess(
      Simulation simulation,
      String name,
      String zone,
      String role,
      List<String> seeds,
      boolean hasDisk) {
    this.simulation = simulation;
    this.name = name;
    this.zone = zone;
    this.role = role;
    this.seeds = seeds;
    this.disk = hasDisk ? new SimulatedDisk(simulation.events, simulation.random) : null;
    this.processor = new SimulatedProcessor(simulation, this::unlessFrozen);
    this.workerCalls = new ProcessWorkerCalls(simulation, this);
  }

  /** The node that runs now; a start replaces it. Null before the first start. */
  public Node node() {
    return node;
  }

  /** Whether the process runs; a frozen one does. */
  public boolean alive() {
    return alive;
  }

  /** Whether the process is frozen: it neither runs tasks nor receives messages. */
  public boolean frozen() {
    return frozen;
  }

  int incarnation() {
    return incarnation;
  }

  /** Whether an incarnation is the present one and alive. */
  boolean runs(int ofIncarnation) {
    return alive && incarnation == ofIncarnation;
  }

  int connections() {
    return connections;
  }

  /** Null until the first start. */
  String diskId() {
    return disk.id();
  }

  /** Payload written to its disk so far. */
  public long writtenBytes() {
    return disk == null ? 0 : disk.writtenBytes();
  }

  /** The bytes received so far by kind of message. */
  public Map<String, Long> receivedBytes() {
    return receivedBytes;
  }

  // ---- start and end

  /** Starts the process: a new node that recovers from the disk. */
  public void start() {
    incarnation++;
    alive = true;
    frozen = false;
    if (stopping) {
      stopping = false;
      recordFault(false, "stopping");
    }
    recordFault(false, "down");
    memory = MemoryAccount.ofHeap(HEAP_BYTES, Runnable::run);
    node = createNode(createIdentity());
    if (disk != null) {
      disk.synced().forEach(node::recover);
    }
    processor.run(node::start);
  }

  private NodeIdentity createIdentity() {
    String newId =
        String.format("%08x%04x", simulation.random.nextInt(), simulation.random.nextInt(1 << 16));
    long starts = disk == null ? 1 : disk.startProcess(newId);
    String id = disk == null ? newId : disk.id();
    return new NodeIdentity(id, starts, name, zone, role, name, name + "/http", seeds);
  }

  private Node createNode(NodeIdentity identity) {
    return switch (role) {
      case "core" ->
          new ControlPlaneNode(
              this,
              identity,
              simulation.operatorKeys,
              simulation.settings == NodeSettings.DEFAULT ? seeds : List.of(),
              nodeSettings(),
              ConfigurationFormat.OWN,
              dutyInputs());
      case "storage" -> new StorageNode(this, identity, nodeSettings());
      default -> new EdgeNode(this, identity, nodeSettings());
    };
  }

  private DutyInputs dutyInputs() {
    return simulation.platform == null || simulation.platform.duties == null
        ? DutyInputs.NONE
        : simulation.platform.duties.inputs(this);
  }

  /**
   * Only the very first start, with an empty disk, bootstraps the control plane, unless the
   * settings of the process stay as they were; a machine without a disk has no vote.
   */
  private NodeSettings nodeSettings() {
    if (simulation.settings == NodeSettings.DEFAULT) {
      return simulation.settings;
    }
    boolean bootstraps =
        (incarnation == 1 || simulation.bootstrapStays)
            && simulation.simulatedNowMs() < simulation.bootstrapUntilMs;
    return simulation.settings.atNode(disk != null, bootstraps);
  }

  /**
   * The process dies. Of what was written but not synced, a part may have reached the disk; loss of
   * power takes all of it.
   */
  public void kill(boolean powerLoss) {
    kill(powerLoss, !powerLoss);
  }

  /** As above; keepsPart says whether a part of what was written but not synced may be kept. */
  public void kill(boolean powerLoss, boolean keepsPart) {
    if (alive) {
      recordFault(true, "down");
    }
    if (alive && disk != null) {
      simulation.invariants.processDied(this);
    }
    alive = false;
    incarnation++;
    busyUntilUs = 0;
    processor.restart();
    whileFrozen.clear();
    if (disk != null) {
      disk.processDied(keepsPart);
    }
    workerCalls.dropAll();
    breakConnectionsOfCallers();
    if (frozen) {
      frozen = false;
      recordFault(false, "frozen");
    }
  }

  private void breakConnectionsOfCallers() {
    List.copyOf(waitingCallers).forEach(Runnable::run);
    waitingCallers.clear();
  }

  /**
   * The process is asked to stop: it ends when it is done, and is killed after the grace period.
   */
  public void stopGracefully(long graceMs, Runnable whenEnded) {
    int stopped = incarnation;
    markStopping();
    Runnable end =
        () -> {
          if (runs(stopped)) {
            kill(false);
            whenEnded.run();
          }
        };
    enter(stopped, () -> node.stop(() -> simulation.afterMs(1, end)));
    simulation.afterMs(graceMs, end);
  }

  /** Notes in the history that the process is asked to stop. */
  public void markStopping() {
    stopping = true;
    recordFault(true, "stopping");
  }

  // ---- faults

  private void recordFault(boolean began, String what) {
    simulation.recordFault(this, began, what);
  }

  /** Every connection of the process breaks; the process itself goes on. */
  public void resetConnections() {
    recordFault(true, "reset");
    connections++;
    workerCalls.resetConnections();
    breakConnectionsOfCallers();
    recordFault(false, "reset");
  }

  /** Replaces the disk by an empty one; takes effect at the next start. */
  public void loseDisk() {
    disk.replace();
  }

  /** Lets no write of the disk end for this long, in milliseconds. */
  public void stallDisk(long millis) {
    recordFault(true, "disk");
    disk.stallUntil(afterNowUs(millis));
    simulation.afterMs(millis, () -> recordFault(false, "disk"));
  }

  /** Lets the disk refuse writes for this long, in milliseconds. */
  public void refuseWrites(long millis) {
    recordFault(true, "disk");
    refusesWritesUntilUs = afterNowUs(millis);
    simulation.afterMs(millis, () -> recordFault(false, "disk"));
  }

  private long afterNowUs(long millis) {
    return simulation.nowUs() + millis * EventQueue.US_PER_MS;
  }

  /** Moves the clock of the process by this many milliseconds. */
  public void shiftClock(long millis) {
    recordFault(true, "clock");
    clockShiftMs += millis;
    recordFault(false, "clock");
  }

  /** Steps the wall clock of the machine by this many milliseconds; it stays off. */
  public void stepWallClock(long millis) {
    recordFault(true, "wall-clock");
    wallClockShiftMs += millis;
    recordFault(false, "wall-clock");
  }

  /** Limits the bandwidth of the machine; 0 removes the limit. */
  public void limitBandwidth(long bytesPerMs) {
    recordFault(bytesPerMs > 0, "slow");
    link.bytesPerMs(bytesPerMs);
  }

  /** Makes each task take so long; 0 removes the delay. */
  public void slowDown(long micros) {
    if (processor.modelled()) {
      throw new IllegalArgumentException("its processor is modelled: " + name);
    }
    recordFault(micros > 0, "slow");
    taskUs = micros;
  }

  /** Freezes the process until {@link #wake}. */
  public void freeze() {
    if (!frozen) {
      recordFault(true, "frozen");
    }
    frozen = true;
  }

  /** Lets the process run on; what arrived meanwhile is received at once. */
  public void wake() {
    if (!frozen) {
      return;
    }
    frozen = false;
    recordFault(false, "frozen");
    int woken = incarnation;
    while (!whileFrozen.isEmpty() && runs(woken) && !frozen) {
      whileFrozen.poll().run();
    }
  }

  // ---- tasks

  /** Runs a task now, later if the process is frozen or busy, never if it has died meanwhile. */
  void enter(int ofIncarnation, Runnable task) {
    if (!runs(ofIncarnation)) {
      return;
    }
    if (processor.modelled()) {
      unlessFrozen(() -> processor.run(() -> runNow(ofIncarnation, task)));
    } else if (frozen) {
      whileFrozen.add(task);
    } else if (taskUs > 0 || busyUntilUs > simulation.nowUs()) {
      busyUntilUs = Math.max(simulation.nowUs(), busyUntilUs) + taskUs;
      simulation.at(busyUntilUs, () -> runNow(ofIncarnation, task));
    } else {
      runNow(ofIncarnation, task);
    }
  }

  /** Runs a task now, or once the process wakes. */
  private void unlessFrozen(Runnable task) {
    if (frozen) {
      whileFrozen.add(task);
    } else {
      task.run();
    }
  }

  private void runNow(int ofIncarnation, Runnable task) {
    if (!runs(ofIncarnation)) {
      return;
    }
    if (frozen) {
      whileFrozen.add(task);
    } else {
      task.run();
      simulation.invariants.checkAfterStep(this, simulation.steps());
      checkMemory();
    }
  }

  private void checkMemory() {
    if (memory.heldBytes() > memory.limitBytes()) {
      throw new InvariantViolationException(
          name + " holds " + memory.heldBytes() + " bytes, beyond " + memory.limitBytes());
    }
  }

  /** The connection of a caller breaks if the process dies before the caller is removed. */
  void addWaitingCaller(Runnable whenBroken) {
    waitingCallers.add(whenBroken);
  }

  void removeWaitingCaller(Runnable whenBroken) {
    waitingCallers.remove(whenBroken);
  }

  void receive(Envelope envelope, int frameBytes) {
    processor.frame(frameBytes);
    simulation.submissions.received(this, envelope.message());
    node.receive(envelope);
  }

  /** Counts a message that is on its way to this process. */
  void countReceived(Message message, int bytes) {
    receivedBytes.merge(CrashPoint.kindOf(message), (long) bytes, Long::sum);
  }

  // ---- the environment of the node

  @Override
  public long nowMs() {
    return simulation.simulatedNowMs() + CLOCK_START_MS + clockShiftMs;
  }

  @Override
  public long wallClockMs() {
    return simulation.trueTimeMs() + wallClockShiftMs;
  }

  @Override
  public ScheduledTask schedule(long millis, Runnable task) {
    int scheduledBy = incarnation;
    boolean[] cancelled = new boolean[1];
    Runnable unlessCancelled =
        () -> {
          if (!cancelled[0]) {
            task.run();
          }
        };
    simulation.at(afterNowUs(millis), () -> enter(scheduledBy, unlessCancelled));
    return () -> cancelled[0] = true;
  }

  @Override
  public void send(String peerAddress, Envelope envelope) {
    if (processor.modelled() && !peerAddress.equals(name)) {
      processor.frame(simulation.network.encodedBytes(envelope));
    }
    processor.output(() -> transmit(peerAddress, envelope));
  }

  private void transmit(String peerAddress, Envelope envelope) {
    simulation.submissions.sent(this, envelope.message());
    simulation.invariants.messageSent(this, envelope.message());
    simulation.network.send(this, peerAddress, envelope);
  }

  @Override
  public void write(List<LogRecord> records, Runnable whenSynced) {
    int writer = incarnation;
    disk.write(records, () -> runs(writer), () -> enter(writer, whenSynced));
  }

  @Override
  public MemoryAccount memory() {
    return memory;
  }

  @Override
  public boolean acceptsWrites() {
    return simulation.nowUs() >= refusesWritesUntilUs;
  }

  @Override
  public WorkerCallHandle exchange(WorkerExchange exchange, ExchangeListener listener) {
    return workerCalls.exchange(exchange, listener);
  }

  @Override
  public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
    return workerCalls.call(call, listener);
  }

  @Override
  public void readLoad(
      String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
    int reader = incarnation;
    simulation.workers.readLoad(
        workerAddress,
        load -> enter(reader, () -> whenRead.accept(load)),
        error -> enter(reader, () -> whenFaulty.accept(error)));
  }

  @Override
  public void listWorkers(
      String pageToken, Consumer<WorkerListPage> whenRead, Consumer<ApiError> whenFaulty) {
    int reader = incarnation;
    simulation.workerList.read(
        this,
        pageToken,
        page -> enter(reader, () -> whenRead.accept(page)),
        error -> enter(reader, () -> whenFaulty.accept(error)));
  }

  @Override
  public void callPlatform(PlatformCall call, Consumer<PlatformCallResult> then) {
    int caller = incarnation;
    simulation.platform.duties.call(this, call, result -> enter(caller, () -> then.accept(result)));
  }

  @Override
  public RandomGenerator random() {
    return simulation.random;
  }

  @Override
  public void invariantViolated(Invariant invariant, String detail) {
    throw new InvariantViolationException(invariant + " at " + name + ": " + detail);
  }

  @Override
  public void log(String part, String sentence) {
    simulation.submissions.logged(this, sentence);
    if (simulation.logging) {
      System.out.printf("%9.3f %-10s [%s] %s%n", simulation.nowUs() / 1e6, name, part, sentence);
    }
  }
}
