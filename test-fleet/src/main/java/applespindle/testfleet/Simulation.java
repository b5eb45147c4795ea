package applespindle.testfleet;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.adapters.PeerCodec;
import applespindle.adapters.UnreadableFrameException;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.ConfigurationFormat;
import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerListPage;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.Invariant;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.MessageNames;
import applespindle.corelogic.replication.LogReplicas;
import applespindle.corelogic.storage.StorageNode;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A whole fleet in one thread on simulated time: the nodes are the real logic, and network, disks,
 * clocks and workers are made up from one seed. After every step the invariants of the owned keys
 * are checked on what the step touched.
 */
public final class Simulation {
  /** Microseconds, one way: within a zone, and between zones as the brief has it. */
  private static final long WITHIN_ZONE_US = 150;

  private static final long BETWEEN_ZONES_US = 1_000;
  private static final long JITTER_US = 300;
  private static final long SYNC_LEAST_US = 400;
  private static final long SYNC_SPREAD_US = 3_000;
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long MS = 1_000;

  /** Between full checks only the newest committed entries of a touched key are looked at. */
  private static final int FULL_CHECK_EVERY = 200;

  private record Event(long atUs, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atUs, other.atUs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** Broken by a step: the text names key, node and what was seen. */
  public static final class InvariantBroken extends RuntimeException {
    InvariantBroken(String what) {
      super(what);
    }
  }

  /** A disk: what is synced survives anything but the disk's own loss. */
  private static final class Disk {
    String id;
    long incarnation;
    final List<LogRecord> synced = new ArrayList<>();
    long stalledUntilUs;
    long lastSyncUs;
  }

  /** One process and the machine it runs on; its surroundings are made up here. */
  public final class Process implements Environment {
    public final String name;
    final String zone;
    final String role;
    private final List<String> seeds;
    private Disk disk;
    private Node node;
    private int life;
    private boolean alive;
    private boolean frozen;

    /** Gone for good: not even the end of the run brings it back. */
    boolean destroyed;

    private long clockShiftMs;

    /**
     * Each task of a slowed process takes this long, one after the other; what waits then keeps its
     * order.
     */
    private long taskUs;

    private long busyUntilUs;

    /** What its link carries each way; 0: all at once. */
    private long linkBytesPerMs;

    private long outboundFreeUs;
    private long inboundFreeUs;

    /** Rises when its connections are reset: what was under way on the old ones is lost. */
    private int connections;

    private long refusesWritesUntilUs;

    final SimulatedProcessor processor =
        new SimulatedProcessor(Simulation.this, this::unlessFrozen);

    /** Payload written to its disk so far, and bytes that reached it from others by kind. */
    private long writtenBytes;

    private final Map<String, Long> receivedBytes = new TreeMap<>();
    private boolean stopping;
    private final ArrayDeque<Runnable> whileFrozen = new ArrayDeque<>();
    private final List<LogRecord> unsynced = new ArrayList<>();
    private final Set<SimulatedWorkers.Run> runs = new LinkedHashSet<>();
    private final Set<ProxyWorkers.Run> opaqueRuns = new LinkedHashSet<>();

    /** Told when the process dies: callers that wait for it. */
    private final Set<Runnable> waitingCallers = new LinkedHashSet<>();

    Process(String name, String zone, String role, List<String> seeds, boolean hasDisk) {
      this.name = name;
      this.zone = zone;
      this.role = role;
      this.seeds = seeds;
      this.disk = hasDisk ? new Disk() : null;
    }

    public Node node() {
      return node;
    }

    void linkMbits(double mbits) {
      linkBytesPerMs = (long) (mbits * 125);
    }

    public boolean alive() {
      return alive;
    }

    public boolean frozen() {
      return frozen;
    }

    void start() {
      life++;
      alive = true;
      frozen = false;
      if (stopping) {
        stopping = false;
        trouble(this, false, "stopping");
      }
      trouble(this, false, "down");
      String id = newId();
      long incarnation = 1;
      if (disk != null) {
        disk.id = disk.id == null ? id : disk.id;
        id = disk.id;
        incarnation = ++disk.incarnation;
      }
      var identity =
          new NodeIdentity(id, incarnation, name, zone, role, name, name + "/http", seeds);
      node =
          switch (role) {
            case "core" ->
                new ControlPlaneNode(
                    this,
                    identity,
                    operatorKeys,
                    settings == NodeSettings.DEFAULT ? seeds : List.of(),
                    bounds(),
                    ConfigurationFormat.OWN);
            case "storage" -> new StorageNode(this, identity, bounds());
            default -> new EdgeNode(this, identity, bounds());
          };
      if (disk != null) {
        disk.synced.forEach(node::recover);
      }
      processor.run(node::start);
    }

    /**
     * Only the first start of all, with an empty disk, is told to found the core, unless its
     * settings stay as they were; a machine without a disk has no vote.
     */
    private NodeSettings bounds() {
      return settings == NodeSettings.DEFAULT
          ? settings
          : settings.atNode(
              disk != null, (life == 1 || bootstrapStays) && simulatedNowMs() < foundedByMs);
    }

    private String newId() {
      return String.format("%08x%04x", random.nextInt(), random.nextInt(1 << 16));
    }

    /**
     * The process dies; what was written but not synced may or may not have reached the disk, power
     * loss takes it.
     */
    void kill(boolean powerLoss) {
      kill(powerLoss, !powerLoss);
    }

    /**
     * keepsSome: of what was written and not synced, a part from the beginning may be found again.
     */
    void kill(boolean powerLoss, boolean keepsSome) {
      if (alive) {
        trouble(this, true, "down");
      }
      if (alive && disk != null) {
        forgetUntold(this);
      }
      alive = false;
      life++;
      busyUntilUs = 0;
      processor.restart();
      whileFrozen.clear();
      if (keepsSome && !unsynced.isEmpty()) {
        disk.synced.addAll(unsynced.subList(0, random.nextInt(unsynced.size() + 1)));
      }
      unsynced.clear();
      List.copyOf(runs).forEach(SimulatedWorkers.Run::dropped);
      runs.clear();
      List.copyOf(opaqueRuns).forEach(ProxyWorkers.Run::dropped);
      opaqueRuns.clear();
      List.copyOf(waitingCallers).forEach(Runnable::run);
      waitingCallers.clear();
      if (frozen) {
        frozen = false;
        trouble(this, false, "frozen");
      }
    }

    /** Every connection of the process breaks; the process itself goes on. */
    void resetConnections() {
      trouble(this, true, "reset");
      connections++;
      List.copyOf(opaqueRuns).forEach(ProxyWorkers.Run::reset);
      opaqueRuns.clear();
      List.copyOf(waitingCallers).forEach(Runnable::run);
      waitingCallers.clear();
      trouble(this, false, "reset");
    }

    /** Told to stop: ends when it says that it is done, and is killed after the grace. */
    void stopPolitely(long graceMs, Runnable whenEnded) {
      int inLife = life;
      toldToStop();
      Runnable end =
          () -> {
            if (alive && life == inLife) {
              kill(false);
              whenEnded.run();
            }
          };
      enter(inLife, () -> node.stop(() -> afterMs(1, end)));
      afterMs(graceMs, end);
    }

    void loseDisk() {
      disk = new Disk();
    }

    void toldToStop() {
      stopping = true;
      trouble(this, true, "stopping");
    }

    void freeze() {
      if (!frozen) {
        trouble(this, true, "frozen");
      }
      frozen = true;
    }

    /** 0 makes its link carry as much as ever. */
    void narrowLink(long bytesPerMs) {
      trouble(this, bytesPerMs > 0, "slow");
      linkBytesPerMs = bytesPerMs;
    }

    long writtenBytes() {
      return writtenBytes;
    }

    /** By kind of message, in all its lives. */
    Map<String, Long> receivedBytes() {
      return receivedBytes;
    }

    /** 0 makes it as fast as ever. */
    void slowDown(long micros) {
      if (processor.modelled()) {
        throw new IllegalArgumentException("its processor is modelled: " + name);
      }
      trouble(this, micros > 0, "slow");
      taskUs = micros;
    }

    void refuseWrites(long millis) {
      trouble(this, true, "disk");
      refusesWritesUntilUs = nowUs + millis * MS;
      afterMs(millis, () -> trouble(this, false, "disk"));
    }

    void wake() {
      if (!frozen) {
        return;
      }
      frozen = false;
      trouble(this, false, "frozen");
      int present = life;
      while (!whileFrozen.isEmpty() && life == present && alive && !frozen) {
        whileFrozen.poll().run();
      }
    }

    /** Runs in the process now, later if it is frozen, never if it has died meanwhile. */
    void enter(int inLife, Runnable task) {
      if (!alive || life != inLife) {
        return;
      }
      if (processor.modelled()) {
        unlessFrozen(() -> processor.run(() -> runNow(inLife, task)));
      } else if (frozen) {
        whileFrozen.add(task);
      } else if (taskUs > 0 || busyUntilUs > nowUs) {
        busyUntilUs = Math.max(nowUs, busyUntilUs) + taskUs;
        at(busyUntilUs, () -> runNow(inLife, task));
      } else {
        runNow(inLife, task);
      }
    }

    /** Now, or once the process wakes. */
    private void unlessFrozen(Runnable task) {
      if (frozen) {
        whileFrozen.add(task);
      } else {
        task.run();
      }
    }

    private void runNow(int inLife, Runnable task) {
      if (!alive || life != inLife) {
        return;
      }
      if (frozen) {
        whileFrozen.add(task);
      } else {
        task.run();
        checkInvariants(this);
      }
    }

    void stallDisk(long millis) {
      trouble(this, true, "disk");
      disk.stalledUntilUs = nowUs + millis * MS;
      afterMs(millis, () -> trouble(this, false, "disk"));
    }

    void shiftClock(long millis) {
      trouble(this, true, "clock");
      clockShiftMs += millis;
      trouble(this, false, "clock");
    }

    // ---- ports

    @Override
    public long nowMs() {
      return nowUs / MS + 1_000_000 + clockShiftMs;
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      int inLife = life;
      boolean[] cancelled = new boolean[1];
      at(
          nowUs + millis * MS,
          () ->
              enter(
                  inLife,
                  () -> {
                    if (!cancelled[0]) {
                      task.run();
                    }
                  }));
      return () -> cancelled[0] = true;
    }

    @Override
    public void send(String peerAddress, Envelope envelope) {
      if (processor.modelled() && !peerAddress.equals(name)) {
        processor.frame(codec.encode(envelope).length);
      }
      processor.output(() -> transmit(peerAddress, envelope));
    }

    private void transmit(String peerAddress, Envelope envelope) {
      submissions.sent(this, envelope.message());
      Process target = processes.get(peerAddress);
      tellPromise(this, envelope.message());
      if (target == null || cut(this, target) || !target.alive) {
        return;
      }
      if (instant != null && target != this && instant.strikes(this, target, envelope.message())) {
        return;
      }
      byte[] frame = target == this ? new byte[0] : codec.encode(envelope);
      Envelope carried = target == this ? envelope : decoded(frame, envelope);
      if (instant != null && instant.receiverNext) {
        instant.receiverNext = false;
        struckByReceiving = carried;
      }
      int targetLife = target.life;
      int sentOver = connections;
      int takenOver = target.connections;
      String link = name + ">" + peerAddress;
      long arrives = nowUs + latency(zone, target.zone, target == this);
      if (frame.length >= PeerConnectionConstants.LARGE_FRAME_BYTES
          && (linkBytesPerMs + target.linkBytesPerMs) > 0) {
        // Large frames have a connection of their own, and share the links with each other.
        arrives += carryOver(this, target, frame.length);
      } else {
        arrives = Math.max(arrives, linkBusyUntil.getOrDefault(link, 0L) + 1);
        linkBusyUntil.put(link, arrives);
      }
      messages++;
      target.receivedBytes.merge(
          Instant.kindOf(envelope.message()), (long) frame.length, Long::sum);
      newsItems +=
          envelope.message()
                  instanceof applespindle.corelogic.protocol.Message.ChangeFeedUpdate update
              ? update.records().size()
              : 0;
      Runnable arrival =
          () -> {
            if (!cut(this, target) && connections == sentOver && target.connections == takenOver) {
              target.enter(targetLife, () -> target.receive(carried, frame.length));
              if (struckByReceiving == carried) {
                struckByReceiving = null;
                instant.fall(target);
              }
            }
          };
      if (heldLinks.contains(link)) {
        held.add(arrival);
      } else {
        at(arrives, arrival);
      }
    }

    private void receive(Envelope envelope, int frameBytes) {
      processor.frame(frameBytes);
      submissions.received(this, envelope.message());
      node.receive(envelope);
    }

    @Override
    public void write(List<LogRecord> records, Runnable whenSynced) {
      int inLife = life;
      unsynced.addAll(records);
      records.forEach(record -> writtenBytes += record.payload().length);
      long done =
          Math.max(
              Math.max(nowUs, disk.stalledUntilUs)
                  + SYNC_LEAST_US
                  + random.nextLong(SYNC_SPREAD_US),
              disk.lastSyncUs + 1);
      disk.lastSyncUs = done;
      sync(done, inLife, List.copyOf(records), whenSynced);
    }

    private void sync(long done, int inLife, List<LogRecord> records, Runnable whenSynced) {
      at(
          done,
          () -> {
            if (!alive || life != inLife) {
              return;
            }
            if (nowUs < disk.stalledUntilUs) {
              sync(disk.stalledUntilUs + 1, inLife, records, whenSynced);
              return;
            }
            disk.synced.addAll(records);
            unsynced.subList(0, records.size()).clear();
            enter(inLife, whenSynced);
          });
    }

    @Override
    public boolean acceptsWrites() {
      return nowUs >= refusesWritesUntilUs;
    }

    @Override
    public WorkerCallHandle exchange(WorkerExchange exchange, ExchangeListener listener) {
      int inLife = life;
      ProxyWorkers.Run[] run = new ProxyWorkers.Run[1];
      run[0] =
          outside.workers.run(
              name,
              zone,
              exchange,
              new ExchangeListener() {
                @Override
                public void head(ProxiedRequest.ResponseHead head) {
                  enter(inLife, () -> unlessCancelled(() -> listener.head(head)));
                }

                @Override
                public void chunk(ProxiedRequest.ResponseChunk chunk) {
                  enter(inLife, () -> unlessCancelled(() -> listener.chunk(chunk)));
                }

                @Override
                public void end() {
                  opaqueRuns.remove(run[0]);
                  enter(inLife, () -> unlessCancelled(listener::end));
                }

                @Override
                public void load(WorkerLoad load) {
                  enter(inLife, () -> unlessCancelled(() -> listener.load(load)));
                }

                @Override
                public void fail(ApiError error, boolean mayHaveRun) {
                  opaqueRuns.remove(run[0]);
                  enter(inLife, () -> unlessCancelled(() -> listener.fail(error, mayHaveRun)));
                }

                private void unlessCancelled(Runnable telling) {
                  if (!run[0].cancelled) {
                    telling.run();
                  }
                }
              },
              () -> !alive || life != inLife);
      opaqueRuns.add(run[0]);
      return () -> {
        run[0].cancelled = true;
        opaqueRuns.remove(run[0]);
        run[0].dropped();
      };
    }

    @Override
    public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
      int inLife = life;
      SimulatedWorkers.Run run =
          workers.run(
              call,
              new WorkerCallListener() {
                @Override
                public void text(String text) {
                  enter(inLife, () -> listener.text(text));
                }

                @Override
                public void end(String finishReason) {
                  enter(inLife, () -> listener.end(finishReason));
                }

                @Override
                public void fail(ApiError error, boolean mayHaveRun) {
                  enter(inLife, () -> listener.fail(error, mayHaveRun));
                }
              },
              () -> !alive || life != inLife);
      runs.add(run);
      return () -> {
        runs.remove(run);
        run.dropped();
      };
    }

    @Override
    public void readLoad(
        String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
      int inLife = life;
      workers.readLoad(
          workerAddress,
          load -> enter(inLife, () -> whenRead.accept(load)),
          error -> enter(inLife, () -> whenFaulty.accept(error)));
    }

    @Override
    public void listWorkers(
        String pageToken, Consumer<WorkerListPage> whenRead, Consumer<ApiError> whenFaulty) {
      int inLife = life;
      outsideList.read(
          this,
          pageToken,
          page -> enter(inLife, () -> whenRead.accept(page)),
          error -> enter(inLife, () -> whenFaulty.accept(error)));
    }

    @Override
    public RandomGenerator random() {
      return random;
    }

    @Override
    public void invariantViolated(Invariant invariant, String detail) {
      throw new InvariantBroken(invariant + " at " + name + ": " + detail);
    }

    @Override
    public void log(String part, String sentence) {
      submissions.logged(this, sentence);
      if (logging) {
        System.out.printf("%9.3f %-10s [%s] %s%n", nowUs / 1e6, name, part, sentence);
      }
    }
  }

  /**
   * A process dies at one step of a protocol: before or after it sends, or receives, the n-th
   * message of a kind.
   */
  final class Instant {
    enum Position {
      SENDER_BEFORE,
      SENDER_AFTER,
      RECEIVER_BEFORE,
      RECEIVER_AFTER
    }

    private final String kind;
    private final Position position;
    private final boolean powerLoss;
    private final long fromMs;
    private final long backAfterMs;
    private int left;
    private boolean receiverNext;
    Process fallen;

    Instant(
        String kind,
        int number,
        Position position,
        boolean powerLoss,
        long fromMs,
        long backAfterMs) {
      this.kind = kind;
      this.left = number;
      this.position = position;
      this.powerLoss = powerLoss;
      this.fromMs = fromMs;
      this.backAfterMs = backAfterMs;
    }

    static String kindOf(Message message) {
      return message instanceof Message.PeerRequest request
          ? "Ask:" + request.operationName()
          : MessageNames.of(message);
    }

    /** True if the message must not go out. */
    private boolean strikes(Process from, Process to, Message message) {
      if (left == 0 || simulatedNowMs() < fromMs || !kindOf(message).equals(kind) || --left > 0) {
        return false;
      }
      switch (position) {
        case SENDER_BEFORE -> at(nowUs, () -> fall(from));
        case SENDER_AFTER -> at(nowUs + 1, () -> fall(from));
        case RECEIVER_BEFORE -> at(nowUs, () -> fall(to));
        case RECEIVER_AFTER -> receiverNext = true;
      }
      return position == Position.SENDER_BEFORE;
    }

    private void fall(Process process) {
      if (!process.alive) {
        return;
      }
      fallen = process;
      history.add(
          simulatedNowMs(),
          History.Kind.FAULT,
          (powerLoss ? "power-loss " : "kill ") + process.name,
          "",
          "",
          0);
      process.kill(powerLoss);
      afterMs(
          backAfterMs,
          () -> {
            if (!process.alive) {
              process.start();
            }
          });
    }
  }

  /** The list of workers that is kept outside, as a process reads it. */
  interface OutsideList {
    void read(
        Process reader,
        String pageToken,
        Consumer<Environment.WorkerListPage> whenRead,
        Consumer<ApiError> whenFaulty);
  }

  NodeSettings settings = NodeSettings.DEFAULT;

  /** Processes first started before this are told to found the core. */
  long foundedByMs = 10_000;

  /** A later start before foundedByMs is told to found the fleet too, as its settings stayed. */
  boolean bootstrapStays;

  OutsideList outsideList =
      (reader, token, whenRead, whenFaulty) -> whenFaulty.accept(new ApiError.Overloaded("list"));
  Instant instant;

  /** The platform round the fleet, where there is one: opaque workers and the list of them. */
  SimulatedPlatform outside;

  private Envelope struckByReceiving;
  public final SplittableRandom random;
  public final Map<String, Process> processes = new LinkedHashMap<>();
  public final SimulatedWorkers workers;
  public final History history = new History();
  final SubmissionStages submissions = new SubmissionStages(this);
  boolean logging;
  private final Map<String, String> operatorKeys;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final PeerCodec codec = new PeerCodec();
  private final Map<String, Long> linkBusyUntil = new HashMap<>();

  /** Pairs of process names that can not reach each other, both orders. */
  private final Set<String> cutLinks = new HashSet<>();

  /** Whom a cut parts from a process with a disk. */
  private final Set<String> cutOff = new LinkedHashSet<>();

  private final Set<String> heldLinks = new HashSet<>();
  private final List<Runnable> held = new ArrayList<>();

  /** Key and sequence to epoch and content, for every entry any replica ever held as committed. */
  private final Map<String, String> committedEver = new HashMap<>();

  private final Map<String, Long> committedHighest = new TreeMap<>();
  private final Map<String, Epoch> promisedBefore = new HashMap<>();

  /**
   * By disk and key, the highest epoch that its holder told anyone to have promised: no loss of
   * power excuses less.
   */
  private final Map<String, Epoch> promisedAloud = new HashMap<>();

  private final Map<String, Long> checkedUpTo = new HashMap<>();
  private long nowUs;
  private long order;
  private long steps;
  private long messages;

  public Simulation(long seed, Map<String, String> operatorKeys, EmulatedWorkers.Pace pace) {
    this.random = new SplittableRandom(seed);
    this.operatorKeys = operatorKeys;
    this.workers = new SimulatedWorkers(this, pace);
  }

  public Process add(String name, String zone, String role, List<String> seeds, boolean hasDisk) {
    Process process = new Process(name, zone, role, seeds, hasDisk);
    processes.put(name, process);
    return process;
  }

  public long simulatedNowMs() {
    return nowUs / MS;
  }

  long nowUs() {
    return nowUs;
  }

  public long steps() {
    return steps;
  }

  void at(long atUs, Runnable task) {
    events.add(new Event(Math.max(atUs, nowUs), order++, task));
  }

  public void atMs(long atMs, Runnable task) {
    at(atMs * MS, task);
  }

  public void afterMs(double millis, Runnable task) {
    at(nowUs + (long) (millis * MS), task);
  }

  public void runUntil(long untilMs) {
    while (!events.isEmpty() && events.peek().atUs() <= untilMs * MS) {
      Event event = events.poll();
      nowUs = event.atUs();
      steps++;
      event.task().run();
    }
    nowUs = untilMs * MS;
  }

  // ---- network

  private long latency(String fromZone, String toZone, boolean self) {
    if (self) {
      return 20;
    }
    return (fromZone.equals(toZone) ? WITHIN_ZONE_US : BETWEEN_ZONES_US)
        + random.nextLong(JITTER_US);
  }

  /** How long a frame takes over both links, behind what is on them already. */
  private long carryOver(Process from, Process to, int bytes) {
    from.outboundFreeUs = Math.max(nowUs, from.outboundFreeUs) + transferUs(from, bytes);
    to.inboundFreeUs = Math.max(from.outboundFreeUs, to.inboundFreeUs) + transferUs(to, bytes);
    return to.inboundFreeUs - nowUs;
  }

  private static long transferUs(Process process, int bytes) {
    return process.linkBytesPerMs == 0 ? 0 : bytes * MS / process.linkBytesPerMs;
  }

  private Envelope decoded(byte[] frame, Envelope envelope) {
    try {
      return codec.decode(frame);
    } catch (UnreadableFrameException broken) {
      throw new InvariantBroken("a message did not survive its own codec: " + envelope.message());
    }
  }

  private boolean cut(Process one, Process other) {
    return cutLinks.contains(one.name + " " + other.name);
  }

  public void cutLink(String one, String other) {
    cutOneWay(one, other);
    cutOneWay(other, one);
  }

  /** Nothing that one sends reaches the other; the other way stays open. */
  public void cutOneWay(String from, String to) {
    cutLinks.add(from + " " + to);
    List<Process> ends = java.util.stream.Stream.of(from, to).map(processes::get).toList();
    if (ends.stream().anyMatch(end -> !end.role.equals("edge"))) {
      ends.stream()
          .filter(
              end -> ends.stream().allMatch(other -> other == end || !other.role.equals("edge")))
          .filter(end -> cutOff.add(end.name))
          .forEach(end -> trouble(end, true, "cut"));
    }
  }

  /** Seen from outside: something was done to a process, or undone. */
  void trouble(Process process, boolean began, String what) {
    history.add(
        simulatedNowMs(),
        History.Kind.TROUBLE,
        process.name,
        (began ? "began " : "ended ") + what,
        process.role,
        0);
  }

  /**
   * What is sent from one to the other arrives only once the links are healed, as over a stalled
   * connection.
   */
  public void holdLink(String from, String to) {
    heldLinks.add(from + ">" + to);
  }

  public void healLinks() {
    cutLinks.clear();
    cutOff.forEach(name -> trouble(processes.get(name), false, "cut"));
    cutOff.clear();
    heldLinks.clear();
    long arrives = nowUs + BETWEEN_ZONES_US;
    for (Runnable arrival : held) {
      at(arrives++, arrival);
    }
    held.clear();
  }

  public void isolate(String name) {
    processes.keySet().stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> cutLink(name, other));
  }

  // ---- callers from outside

  /**
   * What a caller sees of one call to a process: an answer, or that the connection broke or never
   * stood.
   */
  public interface Caller<T> {
    void answered(T answer);

    void broken(boolean neverReached);
  }

  /** Runs a question in a process on behalf of an outside caller. */
  public <T> void call(Process process, Consumer<Consumer<T>> question, Caller<T> caller) {
    afterMs(
        0.3,
        () -> {
          if (!process.alive) {
            caller.broken(true);
            return;
          }
          boolean[] done = new boolean[1];
          Runnable whenDead =
              () -> {
                if (!done[0]) {
                  done[0] = true;
                  caller.broken(false);
                }
              };
          process.waitingCallers.add(whenDead);
          process.enter(
              process.life,
              () ->
                  question.accept(
                      answer ->
                          process.processor.output(
                              () ->
                                  afterMs(
                                      0.3,
                                      () -> {
                                        process.waitingCallers.remove(whenDead);
                                        if (!done[0]) {
                                          done[0] = true;
                                          caller.answered(answer);
                                        }
                                      }))));
        });
  }

  // ---- invariants

  private LogReplicas replicasOf(Process process) {
    return process.node instanceof ControlPlaneNode core
        ? core.replicas()
        : process.node instanceof StorageNode storage ? storage.replicas() : null;
  }

  private static String holder(Process process, String key) {
    return process.name + "/" + process.disk.id + " " + key;
  }

  private void tellPromise(Process process, Message message) {
    if (message instanceof Message.VoteResponse told && told.verdict() == Message.Verdict.OK) {
      promisedAloud.merge(
          holder(process, told.key()),
          told.requestedEpoch(),
          (one, other) -> one.compareTo(other) < 0 ? other : one);
    } else if (message instanceof Message.AppendResponse told
        && told.verdict() == Message.Verdict.OK) {
      promisedAloud.merge(
          holder(process, told.key()),
          told.epoch(),
          (one, other) -> one.compareTo(other) < 0 ? other : one);
    }
  }

  /** What a process promised, told nobody and had not synced may be forgotten with its death. */
  private void forgetUntold(Process process) {
    String prefix = process.name + "/" + process.disk.id + " ";
    promisedBefore.replaceAll(
        (holder, epoch) ->
            holder.startsWith(prefix) ? promisedAloud.getOrDefault(holder, Epoch.NONE) : epoch);
  }

  private void checkInvariants(Process process) {
    LogReplicas replicas = process.alive ? replicasOf(process) : null;
    if (replicas == null || replicas.lastChangedKey().isEmpty()) {
      return;
    }
    String key = replicas.lastChangedKey();
    String holder = holder(process, key);
    LogReplicas.View view = replicas.view(key);
    Epoch before = promisedBefore.put(holder, view.promisedEpoch());
    if (before != null && view.promisedEpoch().compareTo(before) < 0) {
      throw new InvariantBroken(
          "epoch fell on " + holder + ": " + before + " to " + view.promisedEpoch());
    }
    long checkedTo = steps % FULL_CHECK_EVERY == 0 ? 0 : checkedUpTo.getOrDefault(holder, 0L) - 1;
    view.committedEntries().stream()
        .filter(entry -> entry.sequence() > checkedTo)
        .forEach(
            entry -> {
              checkedUpTo.merge(holder, entry.sequence(), Math::max);
              String place = key + " " + entry.sequence();
              String content = entry.epoch() + " " + java.util.Arrays.hashCode(entry.event());
              String known = committedEver.putIfAbsent(place, content);
              if (known != null && !known.equals(content)) {
                throw new InvariantBroken(
                    "two committed values at "
                        + place
                        + " on "
                        + holder
                        + ": "
                        + known
                        + ", "
                        + content);
              }
              committedHighest.merge(key, entry.sequence(), Math::max);
            });
  }

  /**
   * At the end, with the fleet healed: whatever was committed stands on at least one replica that
   * lives.
   */
  public void checkNothingVanished() {
    committedHighest.forEach(
        (key, sequence) -> {
          String content = committedEver.get(key + " " + sequence);
          boolean stands =
              processes.values().stream()
                  .filter(Process::alive)
                  .map(this::replicasOf)
                  .filter(replicas -> replicas != null)
                  .anyMatch(
                      replicas ->
                          replicas.holds(
                              key,
                              sequence,
                              entry ->
                                  content.equals(
                                      entry.epoch()
                                          + " "
                                          + java.util.Arrays.hashCode(entry.event()))));
          if (!stands) {
            throw new InvariantBroken("committed entry vanished: " + key + " " + sequence);
          }
        });
  }

  /** Values of keys sent as news so far. */
  long newsItems;

  public long messages() {
    return messages;
  }

  static JsonNode tree(byte[] bytes) {
    try {
      return JSON.readTree(bytes);
    } catch (IOException fault) {
      throw new IllegalStateException(fault);
    }
  }

  long connectTimeoutMs() {
    return CONNECT_TIMEOUT_MS;
  }
}
