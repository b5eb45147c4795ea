package applespindle.adapters;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.DiskConstants;
import applespindle.corelogic.constants.LifecycleConstants;
import applespindle.corelogic.constants.MembershipConstants;
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
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.OneToOneConcurrentArrayQueue;
import org.tinylog.Logger;

/**
 * One process round one node of the logic. Duties of their own thread: logic, peer, http, disk. The
 * logic alone touches the node, and what comes from elsewhere waits for it in a bounded number.
 * Where there is but one processor, the first three share a thread.
 */
public final class NodeProcess implements Environment {
  private static final String PART = "process";

  /**
   * Whether traces tell processor time as well. Off unless asked for: the first reading loads many
   * classes, which a small machine would notice.
   */
  private static final boolean TRACES_PROCESSOR_TIME =
      Boolean.getBoolean("applespindle.trace.processor");

  /** Loaded at the first reading only. */
  private static final class ThreadTimes {
    static final ThreadMXBean BEAN = ManagementFactory.getThreadMXBean();
  }

  private static final int EXIT_DISK = 3;
  private static final int EXIT_UNFINISHED = 4;

  /** Monotonic: the loops' own timers must not jump with the wall clock either. */
  private static long millis() {
    return System.nanoTime() / 1_000_000L;
  }

  /**
   * One thread with a loop that blocks until a socket is ready, a timer is due or a task is handed
   * over.
   */
  private static final class ThreadRole {
    /** With nothing due a loop sleeps this long; all that matters wakes it. */
    private static final Duration IDLE = Duration.ofHours(1);

    final Eventloop loop;
    final Thread thread;

    ThreadRole(String name) {
      loop =
          Eventloop.builder()
              .withThreadName(name)
              .withTimeProvider(NodeProcess::millis)
              .withIdleInterval(IDLE)
              .build();
      loop.keepAlive(true);
      // Before any thread starts: a task handed over must find the selector that it is to wake.
      loop.ensureSelector();
      thread = new Thread(loop, name);
    }

    void start() {
      thread.start();
    }

    void hand(Runnable task) {
      if (Thread.currentThread() == thread) {
        loop.postLast(task);
      } else {
        loop.execute(task);
      }
    }
  }

  private record DiskJob(List<LogRecord> records, Runnable whenSynced, boolean checkpoint) {}

  /**
   * The formats in which opaque requests and the outside list of workers are spoken; null where
   * there are none.
   */
  public record WorkerIntegration(WorkerProtocol format, WorkerListSource list) {
    public static final WorkerIntegration NONE = new WorkerIntegration(null, null);
  }

  private final StartupOptions startup;
  private final WorkerIntegration outside;
  private final ThreadRole logic = new ThreadRole("logic");
  private final ThreadRole http;
  private final ThreadRole peer;

  /**
   * Tasks of other threads that the logic has not begun; what goes beyond the ring's slots is
   * refused.
   */
  private final AtomicInteger waiting = new AtomicInteger();

  private final OneToOneConcurrentArrayQueue<DiskJob> diskRing =
      new OneToOneConcurrentArrayQueue<>(DiskConstants.WRITE_RING_SLOTS);
  private final RandomGenerator random;
  private final PeerTransport transport;
  private final WorkerClient workers;
  private final WorkerHttpClient exchanges;
  private final DiskLog disk;
  private final Node node;
  private final Thread diskThread = new Thread(this::runDisk, "disk");
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile boolean diskFull;
  private volatile boolean stopping;
  private long spaceReadAt;
  private volatile long diskWakeUps;
  private double startSeconds;

  public NodeProcess(StartupOptions startup, BiFunction<Environment, NodeIdentity, Node> maker) {
    this(startup, NodeSettings.DEFAULT, maker, WorkerIntegration.NONE);
  }

  public NodeProcess(
      StartupOptions startup,
      BiFunction<Environment, NodeIdentity, Node> maker,
      WorkerIntegration outside) {
    this(startup, NodeSettings.DEFAULT, maker, outside);
  }

  public NodeProcess(
      StartupOptions startup,
      NodeSettings settings,
      BiFunction<Environment, NodeIdentity, Node> maker,
      WorkerIntegration outside) {
    this(startup, settings, maker, outside, Runtime.getRuntime().availableProcessors() == 1);
  }

  /**
   * sharedThread: where only one thread can run at a time, handing tasks from one to the other
   * would only cost.
   */
  NodeProcess(
      StartupOptions startup,
      NodeSettings settings,
      BiFunction<Environment, NodeIdentity, Node> maker,
      WorkerIntegration outside,
      boolean sharedThread) {
    this.startup = startup;
    this.outside = outside;
    http = sharedThread ? logic : new ThreadRole("http");
    peer = sharedThread ? logic : new ThreadRole("peer");
    random =
        new SplittableRandom(
            System.nanoTime() ^ System.currentTimeMillis() << 20 ^ startup.peer().hashCode());
    List<LogRecord> records = new ArrayList<>();
    disk =
        startup.data() == null
            ? null
            : DiskLog.open(
                Path.of(startup.data()),
                LogSizes.of(settings.diskBytes()),
                records::add,
                sentence -> log("disk", sentence));
    String id =
        disk == null ? UUID.randomUUID().toString().replace("-", "").substring(0, 12) : disk.id();
    long incarnation = disk == null ? 1 : disk.incarnation();
    var identity =
        new NodeIdentity(
            id,
            incarnation,
            startup.name(),
            startup.zone(),
            startup.role(),
            startup.peer(),
            startup.http(),
            startup.seeds());
    transport = new PeerTransport(peer.loop, this::received, sentence -> log("peer", sentence));
    workers = new WorkerClient(http.loop);
    exchanges =
        outside.format() == null
            ? null
            : new WorkerHttpClient(http.loop, outside.format(), this::backToLogic);
    node = maker.apply(this, identity);
    records.forEach(node::recover);
  }

  public Eventloop httpLoop() {
    return http.loop;
  }

  public Node node() {
    return node;
  }

  public StartupOptions startup() {
    return startup;
  }

  /** Starts all threads; the process then lives until it is stopped. */
  public void start(Consumer<NodeProcess> openInterface) throws IOException {
    transport.listen(startup.listenAddress());
    openInterface.accept(this);
    if (disk != null) {
      noteSpace();
      diskThread.start();
    }
    startSeconds = processorSeconds();
    duties().forEach(ThreadRole::start);
    toLogic(node::start);
    Runtime.getRuntime().addShutdownHook(new Thread(this::stopPolitely, "stop"));
    log(
        PART,
        startup.role()
            + " "
            + startup.name()
            + " started, incarnation "
            + node.identity().incarnation()
            + ".");
  }

  /** What the process has used so far; thread names are those of its duties. */
  record Cost(
      double startSeconds,
      double processSeconds,
      Map<String, Double> threadSeconds,
      Map<String, Long> wakeUps) {}

  /** Asks each duty in turn, as only its own thread knows how often it woke. */
  void cost(Consumer<Cost> then) {
    Map<String, Long> wakeUps = new LinkedHashMap<>();
    ask(
        new ArrayDeque<>(duties()),
        wakeUps,
        () -> {
          var threads = ManagementFactory.getThreadMXBean();
          Map<String, Double> seconds = new LinkedHashMap<>();
          duties()
              .forEach(
                  duty ->
                      seconds.put(
                          duty.thread.getName(),
                          threads.getThreadCpuTime(duty.thread.getId()) / 1e9));
          if (disk != null) {
            seconds.put(diskThread.getName(), threads.getThreadCpuTime(diskThread.getId()) / 1e9);
            wakeUps.put(diskThread.getName(), diskWakeUps);
          }
          then.accept(new Cost(startSeconds, processorSeconds(), seconds, wakeUps));
        });
  }

  private void ask(ArrayDeque<ThreadRole> left, Map<String, Long> wakeUps, Runnable then) {
    ThreadRole duty = left.poll();
    if (duty == null) {
      then.run();
      return;
    }
    duty.hand(
        () -> {
          wakeUps.put(duty.thread.getName(), duty.loop.tick() >>> Integer.SIZE);
          ask(left, wakeUps, then);
        });
  }

  private Set<ThreadRole> duties() {
    return new LinkedHashSet<>(List.of(peer, http, logic));
  }

  private static double processorSeconds() {
    return ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO).toMillis() / 1e3;
  }

  /** The process was told to end; it serves on for a while, but no connection need stay. */
  public boolean stopping() {
    return stopping;
  }

  private void stopPolitely() {
    stopping = true;
    toLogic(() -> node.stop(stopped::countDown));
    boolean done = false;
    try {
      done =
          stopped.await(
              LifecycleConstants.SHUTDOWN_NOTICE_MS
                  + LifecycleConstants.DRAIN_TIMEOUT_MS
                  + MembershipConstants.LEASE_DURATION_MS,
              TimeUnit.MILLISECONDS);
    } catch (InterruptedException cutShort) {
      // It ends now.
    }
    log(PART, done ? "Stopped." : "Stopped before all was handed over.");
    Runtime.getRuntime().halt(done ? 0 : EXIT_UNFINISHED);
  }

  /**
   * Hands a task to the logic thread; false when too much waits for it, and then nothing was done.
   */
  public boolean toLogic(Runnable task) {
    if (waiting.incrementAndGet() > DiskConstants.WRITE_RING_SLOTS) {
      waiting.decrementAndGet();
      return false;
    }
    backToLogic(
        () -> {
          waiting.decrementAndGet();
          runSafely(task);
        });
    return true;
  }

  /** Hands a task to the http thread; tasks from one thread keep their order. */
  public void toHttp(Runnable task) {
    http.hand(task);
  }

  /**
   * The same once the logic's present task is over, so that all it tells goes over at once; on the
   * logic thread only.
   */
  public void toHttpAfterThis(Runnable task) {
    if (http == logic) {
      http.hand(task);
    } else {
      logic.loop.postLast(() -> http.hand(task));
    }
  }

  /**
   * What the logic itself has asked for must reach it: its own bounds on what it begins bound this
   * too.
   */
  private void backToLogic(Runnable task) {
    logic.hand(task);
  }

  private void received(Envelope envelope) {
    toLogic(() -> node.receive(envelope));
  }

  private void noteSpace() {
    spaceReadAt = nowMs();
    boolean full = disk.full();
    if (full != diskFull) {
      log("disk", full ? "The disk is full: nothing new is taken." : "The disk has room again.");
    }
    diskFull = full;
  }

  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException fault) {
      Logger.error(fault, "[" + PART + "] A task of the logic failed.");
    }
  }

  /**
   * Sleeps until there is work. A job is offered before the thread is unparked, so that no wake-up
   * is lost.
   */
  private void runDisk() {
    List<DiskJob> jobs = new ArrayList<>();
    boolean checkpointAsked = false;
    try {
      while (true) {
        jobs.clear();
        diskWakeUps++;
        diskRing.drainTo(jobs, 1024);
        if (jobs.isEmpty() && !diskFull) {
          LockSupport.park(this);
        } else if (jobs.isEmpty()) {
          LockSupport.parkNanos(this, DiskConstants.FREE_SPACE_CHECK_INTERVAL_MS * 1_000_000L);
        }
        List<DiskJob> group = new ArrayList<>();
        for (DiskJob job : jobs) {
          if (job.checkpoint()) {
            write(group);
            disk.checkpoint(job.records());
            checkpointAsked = false;
          } else {
            group.add(job);
          }
        }
        write(group);
        if (nowMs() - spaceReadAt >= DiskConstants.FREE_SPACE_CHECK_INTERVAL_MS) {
          noteSpace();
        }
        if (!checkpointAsked && disk.wantsCheckpoint(diskFull)) {
          checkpointAsked = true;
          backToLogic(() -> offerToDisk(new DiskJob(node.checkpoint(), () -> {}, true)));
        }
      }
    } catch (DiskException fault) {
      log("disk", "The disk failed and the process ends: " + fault.getMessage() + ".");
      Runtime.getRuntime().halt(EXIT_DISK);
    }
  }

  /** One write and one sync for all of a group; then the logic hears of each, in order. */
  private void write(List<DiskJob> group) {
    if (group.isEmpty()) {
      return;
    }
    List<LogRecord> records = new ArrayList<>();
    group.forEach(job -> records.addAll(job.records()));
    disk.append(records);
    List<Runnable> synced = group.stream().map(DiskJob::whenSynced).toList();
    group.clear();
    backToLogic(() -> synced.forEach(this::runSafely));
  }

  private void offerToDisk(DiskJob job) {
    if (!diskRing.offer(job)) {
      log("disk", "The disk is too far behind and the process ends.");
      Runtime.getRuntime().halt(EXIT_DISK);
    }
    LockSupport.unpark(diskThread);
  }

  /** By kind of message, what this process has sent to others. */
  Map<String, Long> peerBytesOfKind() {
    return transport.bytesOfKind();
  }

  // ---- ports

  @Override
  public long nowMs() {
    return millis();
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
    return logic.loop.schedule(due, () -> runSafely(task))::cancel;
  }

  @Override
  public void send(String peerAddress, Envelope envelope) {
    if (peerAddress.equals(startup.peer())) {
      backToLogic(() -> runSafely(() -> node.receive(envelope)));
    } else {
      transport.send(peerAddress, envelope);
    }
  }

  @Override
  public void write(List<LogRecord> records, Runnable whenSynced) {
    if (disk == null) {
      throw new IllegalStateException("a node without a data folder keeps no records");
    }
    offerToDisk(new DiskJob(records, whenSynced, false));
  }

  @Override
  public boolean acceptsWrites() {
    return diskRing.size() < DiskConstants.WRITE_RING_SLOTS / 2 && !diskFull && !disk.refusing();
  }

  /** So little is left on the disk that nothing new is taken; what is there stays. */
  boolean diskFull() {
    return diskFull;
  }

  @Override
  public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
    WorkerClient.Run[] run = new WorkerClient.Run[1];
    toHttp(
        () ->
            run[0] =
                workers.run(
                    call,
                    new WorkerCallListener() {
                      @Override
                      public void text(String text) {
                        backToLogic(() -> listener.text(text));
                      }

                      @Override
                      public void end(String finishReason) {
                        backToLogic(() -> listener.end(finishReason));
                      }

                      @Override
                      public void fail(ApiError error, boolean mayHaveRun) {
                        backToLogic(() -> listener.fail(error, mayHaveRun));
                      }
                    }));
    return () -> toHttp(() -> run[0].cancel());
  }

  @Override
  public WorkerCallHandle exchange(WorkerExchange exchange, ExchangeListener listener) {
    WorkerHttpClient.Exchange begun = exchanges.prepare(exchange, listener);
    toHttp(begun::start);
    return () -> toHttp(begun::cancel);
  }

  @Override
  public void readLoad(
      String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
    toHttp(
        () ->
            workers.readLoad(
                workerAddress,
                load -> backToLogic(() -> whenRead.accept(load)),
                error -> backToLogic(() -> whenFaulty.accept(error))));
  }

  @Override
  public void listWorkers(
      String pageToken, Consumer<WorkerListPage> whenRead, Consumer<ApiError> whenFaulty) {
    toHttp(
        () ->
            outside
                .list()
                .read(
                    pageToken,
                    page -> backToLogic(() -> whenRead.accept(page)),
                    error -> backToLogic(() -> whenFaulty.accept(error))));
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
  public void log(String part, String sentence) {
    Logger.info("[" + part + "] " + sentence);
  }
}
