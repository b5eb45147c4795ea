package applespindle.adapters;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.DiskConstants;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.dataplane.DataPlaneNode;
import applespindle.corelogic.dataplane.MetadataReaders;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerListPage;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCallResult;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.memory.MemoryHolder;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One process round one node of the logic: implements the node's environment on real threads,
 * sockets and disk. There is one thread each for the logic, for the connections to peers, for HTTP
 * and for the disk; on a machine with a single processor the first three are one.
 *
 * <p>Only the logic thread touches the node. What other threads have for it waits in a bounded
 * number of tasks, and what goes beyond is refused. Methods of {@link Environment} are called on
 * the logic thread.
 */
public final class NodeProcess implements Environment {
  private static final Logger LOGGER = LoggerFactory.getLogger(NodeProcess.class);
  private static final String LOG_PREFIX = "process";

  /**
   * Whether traces include processor time. Off unless asked for: the first reading loads many
   * classes, which a small machine would notice.
   */
  private static final boolean TRACES_PROCESSOR_TIME =
      Boolean.getBoolean("applespindle.trace.processor");

  /** Loaded at the first reading only. */
  private static final class ThreadTimes {
    static final ThreadMXBean BEAN = ManagementFactory.getThreadMXBean();
  }

  private static final String DISK_LOG_PREFIX = "disk";

  /**
   * How the workers of proxied requests are reached.
   *
   * @param format the format of requests and responses; null where there are no proxied requests
   * @param list where the list of workers is kept; null where it is kept by the fleet itself
   * @param calls makes the calls of duties to the platform; null where there are no duties
   */
  public record WorkerIntegration(
      WorkerProtocol format, WorkerListSource list, PlatformCallSender calls) {
    public static final WorkerIntegration NONE = new WorkerIntegration(null, null, null);
  }

  private final StartupOptions startup;
  private final WorkerIntegration workerIntegration;
  private final EventLoopThread logicThread = new EventLoopThread("logic");

  /** The same thread as that of the logic on a machine with a single processor. */
  private final EventLoopThread httpThread;

  /** The same thread as that of the logic on a machine with a single processor. */
  private final EventLoopThread peerThread;

  /** Tasks of other threads that the logic has not begun; at most WRITE_RING_SLOTS. */
  private final AtomicInteger pendingTasks = new AtomicInteger();

  private final RandomGenerator random;
  private final MemoryAccount memory =
      MemoryAccount.ofHeap(Runtime.getRuntime().maxMemory(), this::executeOnLogic);
  private final PeerTransport transport;
  private final WorkerClient workerClient;

  /** Null where there are no proxied requests. */
  private final WorkerHttpClient workerHttpClient;

  /** Null in a process that keeps nothing on disk. */
  private final DiskWriter diskWriter;

  private final ProcessorUsage processorUsage;
  private final Node node;
  private final CountDownLatch nodeStopped = new CountDownLatch(1);
  private volatile boolean stopping;

  /** A process with the default settings and without workers of proxied requests. */
  public NodeProcess(StartupOptions startup, BiFunction<Environment, NodeIdentity, Node> maker) {
    this(startup, NodeSettings.DEFAULT, maker, WorkerIntegration.NONE);
  }

  /** A process with the default settings. */
  public NodeProcess(
      StartupOptions startup,
      BiFunction<Environment, NodeIdentity, Node> maker,
      WorkerIntegration workerIntegration) {
    this(startup, NodeSettings.DEFAULT, maker, workerIntegration);
  }

  /**
   * A process whose threads fit the processors of this machine. Nothing runs before {@link #start}.
   *
   * @throws DiskException if the data folder can't be used
   */
  public NodeProcess(
      StartupOptions startup,
      NodeSettings settings,
      BiFunction<Environment, NodeIdentity, Node> maker,
      WorkerIntegration workerIntegration) {
    this(
        startup,
        settings,
        maker,
        workerIntegration,
        Runtime.getRuntime().availableProcessors() == 1);
  }

  /**
   * Makes the process; nothing runs before {@link #start}.
   *
   * @param sharedThread whether logic, peers and HTTP share a thread: where only one can run at a
   *     time, handing tasks from one to the other would only cost
   * @throws DiskException if the data folder can't be used
   */
  NodeProcess(
      StartupOptions startup,
      NodeSettings settings,
      BiFunction<Environment, NodeIdentity, Node> maker,
      WorkerIntegration workerIntegration,
      boolean sharedThread) {
    this.startup = startup;
    this.workerIntegration = workerIntegration;
    httpThread = sharedThread ? logicThread : new EventLoopThread("http");
    peerThread = sharedThread ? logicThread : new EventLoopThread("peer");
    random =
        new SplittableRandom(
            System.nanoTime() ^ System.currentTimeMillis() << 20 ^ startup.peer().hashCode());
    List<LogRecord> records = new ArrayList<>();
    DiskLog diskLog = startup.data() == null ? null : openLog(settings, records::add);
    diskWriter = diskLog == null ? null : diskWriter(diskLog);
    processorUsage = new ProcessorUsage(eventLoopThreads(), diskWriter);
    transport =
        new PeerTransport(
            peerThread.loop(), memory, this::received, message -> log("peer", message));
    workerClient = new WorkerClient(httpThread.loop());
    workerHttpClient =
        workerIntegration.format() == null
            ? null
            : new WorkerHttpClient(
                httpThread.loop(), workerIntegration.format(), this::executeOnLogic);
    node = maker.apply(this, identity(diskLog));
    records.forEach(node::recover);
  }

  private DiskLog openLog(NodeSettings settings, Consumer<LogRecord> replay) {
    return DiskLog.open(
        Path.of(startup.data()),
        LogSizes.of(settings.diskBytes()),
        memory.openCache(MemoryHolder.DISK_CACHE),
        replay,
        message -> log(DISK_LOG_PREFIX, message));
  }

  private DiskWriter diskWriter(DiskLog diskLog) {
    DiskWriter.LogicThread logic =
        new DiskWriter.LogicThread() {
          @Override
          public void execute(Runnable task) {
            executeOnLogic(task);
          }

          @Override
          public void reportSynced(List<Runnable> callbacks) {
            executeOnLogic(() -> callbacks.forEach(NodeProcess::runSafely));
          }
        };
    return new DiskWriter(
        diskLog,
        memory.open(MemoryHolder.DISK_QUEUE),
        logic,
        () -> node().checkpoint(),
        message -> log(DISK_LOG_PREFIX, message));
  }

  /** A node without a disk is a new one at each start. */
  private NodeIdentity identity(DiskLog diskLog) {
    String id = diskLog == null ? IdentityFile.newNodeId() : diskLog.id();
    long incarnation = diskLog == null ? 1 : diskLog.incarnation();
    return new NodeIdentity(
        id,
        incarnation,
        startup.name(),
        startup.zone(),
        startup.role(),
        startup.peer(),
        startup.http(),
        startup.seeds());
  }

  /** The loop of the HTTP thread, to make servers and clients on. */
  public Eventloop httpLoop() {
    return httpThread.loop();
  }

  /** The node; to be touched on the logic thread only. */
  public Node node() {
    return node;
  }

  /** The options that the process was started with. */
  public StartupOptions startup() {
    return startup;
  }

  /**
   * Starts all threads; the process then lives until it is stopped.
   *
   * @param openInterface opens the HTTP interface, before the threads start
   * @throws IOException if the address for peers can't be listened on
   */
  public void start(Consumer<NodeProcess> openInterface) throws IOException {
    transport.listen(startup.listenAddress());
    openInterface.accept(this);
    if (diskWriter != null) {
      diskWriter.start();
    }
    processorUsage.noteStarted();
    eventLoopThreads().forEach(EventLoopThread::start);
    toLogic(node::start);
    prepareWhileWaiting();
    Runtime.getRuntime().addShutdownHook(new Thread(this::stopGracefully, "stop"));
    log(
        LOG_PREFIX,
        startup.role()
            + " "
            + startup.name()
            + " started, incarnation "
            + node.identity().incarnation()
            + ".");
  }

  /**
   * Builds the readers of metadata on a thread of its own, so that the others stay responsive. It
   * ends by itself. A control plane has them from the replay of its log.
   */
  private void prepareWhileWaiting() {
    if (node instanceof DataPlaneNode) {
      Thread thread = new Thread(MetadataReaders::prepare, "prepare");
      thread.setDaemon(true);
      thread.start();
    }
  }

  /** Reads what the threads of the process have used; the reading arrives on one of them. */
  void readProcessorUsage(Consumer<ProcessorUsage.Reading> whenRead) {
    processorUsage.read(whenRead);
  }

  /** Each thread once, also where several tasks share one. */
  private List<EventLoopThread> eventLoopThreads() {
    return List.copyOf(new LinkedHashSet<>(List.of(peerThread, httpThread, logicThread)));
  }

  /** Whether the process is to end; it serves on for a while, but no connection need stay. */
  public boolean stopping() {
    return stopping;
  }

  private void stopGracefully() {
    stopping = true;
    toLogic(() -> node.stop(nodeStopped::countDown));
    boolean finished = false;
    try {
      finished =
          nodeStopped.await(
              LifecycleConstants.SHUTDOWN_NOTICE_MS
                  + LifecycleConstants.DRAIN_TIMEOUT_MS
                  + MembershipConstants.LEASE_DURATION_MS,
              TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      // The process ends now, without waiting for the rest.
    }
    log(LOG_PREFIX, finished ? "Stopped." : "Stopped before all was handed over.");
    Runtime.getRuntime().halt((finished ? ExitStatus.DONE : ExitStatus.UNFINISHED).code());
  }

  /**
   * Runs a task on the logic thread; from any thread. What the task throws is logged.
   *
   * @return false when too many tasks wait for the logic; this one is then not run
   */
  public boolean toLogic(Runnable task) {
    if (pendingTasks.incrementAndGet() > DiskConstants.WRITE_RING_SLOTS) {
      pendingTasks.decrementAndGet();
      return false;
    }
    executeOnLogic(
        () -> {
          pendingTasks.decrementAndGet();
          runSafely(task);
        });
    return true;
  }

  /** Runs a task on the HTTP thread; tasks from one thread keep their order. */
  public void toHttp(Runnable task) {
    httpThread.execute(task);
  }

  /**
   * Runs a task on the HTTP thread once the present task of the logic is over, so that all that it
   * reports is there by then; on the logic thread only.
   */
  public void toHttpAfterCurrentTask(Runnable task) {
    if (httpThread == logicThread) {
      httpThread.execute(task);
    } else {
      logicThread.loop().postLast(() -> httpThread.execute(task));
    }
  }

  /**
   * Runs a task on the logic thread without a bound: for what the logic itself has asked for, which
   * its own limits bound.
   */
  private void executeOnLogic(Runnable task) {
    logicThread.execute(task);
  }

  private void received(Envelope envelope, Runnable whenHandled) {
    boolean taken =
        toLogic(
            () -> {
              try {
                node.receive(envelope);
              } finally {
                whenHandled.run();
              }
            });
    if (!taken) {
      whenHandled.run();
    }
  }

  private static void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException fault) {
      LOGGER.error("[" + LOG_PREFIX + "] A task of the logic failed.", fault);
    }
  }

  /** By kind of message, the bytes that this process has sent to peers. */
  Map<String, Long> peerBytesOfKind() {
    return transport.bytesOfKind();
  }

  /**
   * The bytes that the work of this process holds at present and the limits, of the whole process
   * and of each holder, by the name of a metric.
   */
  Map<String, Long> heldBytes() {
    return memory.figures();
  }

  /** By reason, the frames for peers that this process has dropped. */
  Map<String, Long> droppedFramesByReason() {
    return transport.droppedFramesByReason();
  }

  @Override
  public long nowMs() {
    return EventLoopThread.nowMs();
  }

  @Override
  public long wallClockMs() {
    return System.currentTimeMillis();
  }

  @Override
  public ScheduledTask schedule(long millis, Runnable task) {
    long due = nowMs() + Math.max(0, millis);
    if (millis >= LifecycleConstants.MIN_COALESCED_TIMER_MS) {
      due =
          (due + LifecycleConstants.TIMER_GRANULARITY_MS - 1)
              / LifecycleConstants.TIMER_GRANULARITY_MS
              * LifecycleConstants.TIMER_GRANULARITY_MS;
    }
    return logicThread.loop().schedule(due, () -> runSafely(task))::cancel;
  }

  @Override
  public void send(String peerAddress, Envelope envelope) {
    if (peerAddress.equals(startup.peer())) {
      executeOnLogic(() -> runSafely(() -> node.receive(envelope)));
    } else {
      transport.send(peerAddress, envelope);
    }
  }

  @Override
  public void write(List<LogRecord> records, Runnable whenSynced) {
    requireDisk().write(records, whenSynced);
  }

  @Override
  public MemoryAccount memory() {
    return memory;
  }

  @Override
  public boolean acceptsWrites() {
    return requireDisk().acceptsWrites();
  }

  private DiskWriter requireDisk() {
    if (diskWriter == null) {
      throw new IllegalStateException("a node without a data folder keeps no records");
    }
    return diskWriter;
  }

  /** Whether so little is left on the disk that nothing new is taken. */
  boolean diskFull() {
    return diskWriter != null && diskWriter.full();
  }

  @Override
  public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
    WorkerClient.Run[] run = new WorkerClient.Run[1];
    toHttp(() -> run[0] = workerClient.run(call, onLogic(listener)));
    return () -> toHttp(() -> run[0].cancel());
  }

  /** A listener for the HTTP thread that passes everything on to one on the logic thread. */
  private WorkerCallListener onLogic(WorkerCallListener listener) {
    return new WorkerCallListener() {
      @Override
      public void text(String text) {
        executeOnLogic(() -> listener.text(text));
      }

      @Override
      public void end(String finishReason) {
        executeOnLogic(() -> listener.end(finishReason));
      }

      @Override
      public void fail(ApiError error, boolean mayHaveRun) {
        executeOnLogic(() -> listener.fail(error, mayHaveRun));
      }
    };
  }

  @Override
  public WorkerCallHandle exchange(WorkerExchange exchange, ExchangeListener listener) {
    WorkerHttpExchange prepared = workerHttpClient.prepare(exchange, listener);
    toHttp(prepared::start);
    return () -> toHttp(prepared::cancel);
  }

  @Override
  public void readLoad(
      String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
    toHttp(
        () ->
            workerClient.readLoad(
                workerAddress,
                load -> executeOnLogic(() -> whenRead.accept(load)),
                error -> executeOnLogic(() -> whenFaulty.accept(error))));
  }

  @Override
  public void listWorkers(
      String pageToken, Consumer<WorkerListPage> whenRead, Consumer<ApiError> whenFaulty) {
    toHttp(
        () ->
            workerIntegration
                .list()
                .read(
                    pageToken,
                    page -> executeOnLogic(() -> whenRead.accept(page)),
                    error -> executeOnLogic(() -> whenFaulty.accept(error))));
  }

  @Override
  public void callPlatform(PlatformCall call, Consumer<PlatformCallResult> then) {
    toHttp(
        () ->
            workerIntegration
                .calls()
                .send(call, result -> executeOnLogic(() -> then.accept(result))));
  }

  @Override
  public void warmUp(Envelope envelope) {
    transport.rehearse(envelope);
  }

  @Override
  public long processorMicros() {
    return TRACES_PROCESSOR_TIME ? ThreadTimes.BEAN.getCurrentThreadCpuTime() / 1_000 : 0;
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void log(String part, String message) {
    LOGGER.info("[" + part + "] " + message);
  }
}
