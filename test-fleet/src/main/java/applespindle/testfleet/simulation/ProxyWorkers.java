package applespindle.testfleet.simulation;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.testfleet.checker.ProxyChecker;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.ProxiedOutput;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Simulated workers of proxied requests. A worker is one incarnation with its own id, at an address
 * that a later one may get. It runs a limited number of requests at once, reads the part of a
 * prompt that is not in its cache, preempts runs for those of a more urgent rank, and puts out a
 * text that names the request.
 */
public final class ProxyWorkers {
  /** The states of a worker that scenario files name. */
  public enum Condition {
    WELL,
    /** Accepts connections and does nothing more. */
    DARK,
    /** Does not answer connection attempts. */
    VANISHED,
    /** Truncates each output half-way. */
    CUTS,
    /** Sends malformed responses. */
    GARBAGE,
    /** Truncates a part of the responses before their start. */
    GREY,
    /** Answers a part of the requests with status 500. */
    ERRS,
    /** Runs each request and resets the connection in place of the end. */
    LOSES,
    /** Rejects each request. */
    REFUSES,
    SLOW,
    /** Is slow when nearly full. */
    SLOWS
  }

  public static final int SLOTS = 8;

  private static final double WITHIN_ZONE_MS = 0.4;
  private static final double BETWEEN_ZONES_MS = 1.2;
  private static final long CONNECT_TIMEOUT_MS = 300;
  private static final double SLOWDOWN_PER_RUN = 0.05;
  private static final int SLOW_FACTOR = 8;
  private static final int MAX_TOKENS_PER_EVENT = 3;
  private static final int FAILS_ONE_IN = 3;

  /** Marks a target whose runs fail a part of the time. */
  public static final String FAILING = "failing";

  /** Marks a target that no worker can run. */
  public static final String IMPOSSIBLE = "impossible";

  public WorkerEngine engine = WorkerEngine.DEFAULT;

  /** Each worker has a random one of these; empty: one between 0.8 and 1.2. */
  public List<Double> paces = List.of();

  public WorkerEngine.Watcher watcher = (worker, edgeZone, request) -> {};

  /** By the last part of a target: what to do once a run of it is complete. */
  public final Map<String, Runnable> whenDone = new HashMap<>();

  private final Simulation simulation;
  private final Map<String, Worker> byAddress = new HashMap<>();
  private final Map<String, Worker> byId = new LinkedHashMap<>();
  private long runs;
  public long readTokens;
  public long promptedTokens;

  ProxyWorkers(Simulation simulation) {
    this.simulation = simulation;
  }

  /** One incarnation of a worker with its running and waiting runs. */
  public final class Worker {
    public final String id;
    final String address;
    public final String pool;
    public final String zone;
    public final int slots = engine.slots();
    private final double pace;
    public Condition condition = Condition.WELL;
    public boolean leaving;
    boolean over;
    private final List<Run> running = new ArrayList<>();
    private final List<Run> waiting = new ArrayList<>();
    private final PromptCache promptCache = new PromptCache(engine.keptTokensMost());
    private double readerFreeAtMs;

    Worker(String id, String address, String pool, String zone) {
      this.id = id;
      this.address = address;
      this.pool = pool;
      this.zone = zone;
      this.pace =
          paces.isEmpty()
              ? 0.8 + simulation.random.nextInt(5) / 10.0
              : paces.get(simulation.random.nextInt(paces.size()));
    }

    /** Changes the condition of the worker, with what that means for its runs. */
    public void become(Condition next) {
      condition = next;
      List<Run> stuck = List.copyOf(running);
      stuck.forEach(Run::resume);
      pump();
    }

    void end() {
      over = true;
      failAll(running);
      failAll(waiting);
    }

    private void failAll(List<Run> runs) {
      List.copyOf(runs).forEach(run -> run.fail(new ApiError.WorkerStreamTruncated(id)));
    }

    private WorkerLoad load() {
      return new WorkerLoad(running.size(), waiting.size(), slots, leaving);
    }

    /** The number of requests that run or wait here. */
    public int inWork() {
      return running.size() + waiting.size();
    }

    /** The number of running requests that are items of batches. */
    public int itemsRunning() {
      return (int) running.stream().filter(run -> run.exchange.rank() > 0).count();
    }

    private void pump() {
      if (condition == Condition.DARK || over) {
        return;
      }
      if (engine.ranks()) {
        waiting.sort(
            Comparator.comparingInt((Run run) -> run.exchange.rank())
                .thenComparingLong(run -> run.number));
      }
      while (!waiting.isEmpty()) {
        Run next = waiting.get(0);
        if (running.size() >= slots) {
          Run preempted =
              running.stream()
                  .max(
                      Comparator.comparingInt((Run run) -> run.exchange.rank())
                          .thenComparingLong(run -> run.number))
                  .get();
          if (!engine.ranks() || preempted.exchange.rank() <= next.exchange.rank()) {
            return;
          }
          preempted.preempt();
        }
        waiting.remove(next);
        next.begin();
      }
    }

    /** Gives the number of tokens to read: all from the first part that is not cached. */
    private int read(List<PromptPart> prompt, int promptTokens) {
      int unreadTokens = Math.max(0, promptTokens - promptCache.put(prompt));
      readTokens += unreadTokens;
      promptedTokens += promptTokens;
      return unreadTokens;
    }
  }

  /** One exchange of a node with a worker, from its arrival to its end. */
  final class Run {
    private final String label;
    private final long number;
    private final String edge;
    private final String zone;
    private final WorkerExchange exchange;
    private final String asked;
    private final RunConnection connection;
    private final BooleanSupplier callerDead;
    private final boolean stream;
    private final int tokens;
    private final long resumeAfter;
    private Worker worker;
    private int position;
    private int round;
    private boolean begun;
    private boolean headSent;
    private boolean over;

    /** Set by the caller: it listens no longer. */
    boolean cancelled;

    Run(
        String edge,
        String zone,
        WorkerExchange exchange,
        RunConnection connection,
        BooleanSupplier callerDead) {
      ProxiedRequest request = exchange.request();
      this.number = ++runs;
      this.label = "r" + number;
      this.edge = edge;
      this.zone = zone;
      this.exchange = exchange;
      this.connection = connection;
      this.callerDead = callerDead;
      this.asked = ProxiedRequestText.asked(request);
      this.stream =
          request.target().startsWith("/stream")
              || request.target().startsWith("/resumable")
              || request.target().startsWith("/batch");
      this.tokens = ProxiedRequestText.tokens(request);
      String after =
          exchange.resumeAfter() == null || exchange.resumeAfter().isEmpty()
              ? request.resumeAfter()
              : exchange.resumeAfter();
      this.resumeAfter = after == null || after.isEmpty() ? 0 : Long.parseLong(after);
      this.position = (int) resumeAfter;
    }

    private void arrive() {
      worker = byAddress.get(exchange.address());
      if (worker == null || worker.over) {
        over = true;
        connection.refuse(exchange.workerId());
        return;
      }
      if (worker.condition == Condition.VANISHED) {
        over = true;
        connection.timeOut(CONNECT_TIMEOUT_MS, worker.id);
        return;
      }
      if (callerDead.getAsBoolean() || cancelled) {
        over = true;
        return;
      }
      if (!worker.id.equals(exchange.workerId())) {
        reject(421);
      } else if (worker.condition == Condition.REFUSES || exchange.expiryMs() <= 0 || full()) {
        reject(503);
      } else {
        recordArrival(0);
        watcher.arrives(worker, zone, exchange.request());
        worker.waiting.add(this);
        simulation.afterMs(exchange.expiryMs(), this::expire);
        worker.pump();
      }
    }

    private boolean full() {
      return worker.running.size() >= worker.slots
          && worker.waiting.size() >= engine.waitingMost()
          && (!engine.ranks()
              || worker.running.stream().allMatch(run -> run.exchange.rank() <= exchange.rank()));
    }

    private void recordArrival(int status) {
      simulation.history.add(
          simulation.simulatedNowMs(),
          Kind.RUN_ARRIVED,
          worker.id,
          exchange.request().id() + " " + edge + " " + label,
          asked,
          status);
    }

    /** What the request shows of its tenant, if the client has a key or the edge knows tenants. */
    private void recordTenant() {
      boolean passedOn = exchange.tenant() == null;
      if (passedOn && exchange.request().apiKey().isEmpty()) {
        return;
      }
      recordRun(Kind.RUN_TENANT, passedOn ? "" : exchange.tenant(), passedOn ? 1 : 0);
    }

    private void recordRun(Kind kind, String subject, long number) {
      simulation.history.add(
          simulation.simulatedNowMs(), kind, subject, exchange.request().id(), label, number);
    }

    private void reject(int status) {
      over = true;
      recordArrival(status);
      connection.reject(worker.load(), status);
    }

    private void begin() {
      worker.running.add(this);
      if (begun) {
        read();
        return;
      }
      begun = true;
      simulation.history.add(
          simulation.simulatedNowMs(),
          Kind.RUN_BEGAN,
          worker.id,
          exchange.request().id(),
          label,
          resumeAfter);
      recordTenant();
      if (exchange.request().target().contains(IMPOSSIBLE)) {
        respond(422);
        return;
      }
      boolean fails = simulation.random.nextInt(FAILS_ONE_IN) == 0;
      if (fails
          && (worker.condition == Condition.ERRS
              || exchange.request().target().contains(FAILING))) {
        respond(500);
        return;
      }
      if (fails && worker.condition == Condition.GREY) {
        fail(new ApiError.WorkerStreamTruncated(worker.id));
        return;
      }
      read();
    }

    /** Reads the prompt, again after the run was preempted. */
    private void read() {
      int unread = worker.read(exchange.request().prompt(), exchange.request().promptTokens());
      double readMs = unread * engine.readMsAToken();
      if (!engine.oneReader()) {
        scheduleNext(engine.firstMs() + readMs);
        return;
      }
      double nowMs = simulation.nowUs() / 1_000.0;
      worker.readerFreeAtMs = Math.max(nowMs, worker.readerFreeAtMs) + readMs;
      scheduleNext(engine.firstMs() + worker.readerFreeAtMs - nowMs);
    }

    private void preempt() {
      round++;
      worker.running.remove(this);
      worker.waiting.add(this);
    }

    private void resume() {
      if (!over && worker.running.contains(this)) {
        scheduleNext(engine.eventMs());
      }
    }

    private void scheduleNext(double waitMs) {
      int scheduledRound = ++round;
      double crowd = 1 + SLOWDOWN_PER_RUN * worker.running.size();
      boolean nearlyFull =
          worker.condition == Condition.SLOWS && worker.running.size() * 5 > worker.slots * 4;
      double factor =
          worker.pace
              * crowd
              * (worker.condition == Condition.SLOW || nearlyFull ? SLOW_FACTOR : 1);
      simulation.afterMs(
          waitMs * factor,
          () -> {
            if (!over
                && scheduledRound == round
                && worker.running.contains(this)
                && worker.condition != Condition.DARK) {
              produceOutput();
            }
          });
    }

    private void produceOutput() {
      if (callerDead.getAsBoolean()) {
        dropped();
        return;
      }
      if (worker.condition == Condition.GARBAGE) {
        fail(new ApiError.MalformedWorkerResponse(worker.id));
        return;
      }
      if (worker.condition == Condition.CUTS && position >= tokens / 2) {
        fail(new ApiError.WorkerStreamTruncated(worker.id));
        return;
      }
      int first = position + 1;
      position = Math.min(tokens, stream ? position + tokensOfNextEvent() : tokens);
      int last = position;
      double outputMs = stream ? 0 : engine.eventMs() * (tokens - first);
      if (stream && first <= last) {
        sendHead(200);
        String text = ProxiedOutput.text(asked, first, last, label);
        connection.event(last, text);
      }
      if (position < tokens) {
        scheduleNext(engine.eventMs());
      } else if (outputMs > 0) {
        scheduleFinish(outputMs);
      } else {
        finish();
      }
    }

    private void scheduleFinish(double waitMs) {
      int scheduledRound = ++round;
      simulation.afterMs(
          waitMs * worker.pace,
          () -> {
            if (!over && scheduledRound == round && worker.condition != Condition.DARK) {
              finish();
            }
          });
    }

    private int tokensOfNextEvent() {
      return engine.tokensAnEvent() > 0
          ? engine.tokensAnEvent()
          : 1 + simulation.random.nextInt(MAX_TOKENS_PER_EVENT);
    }

    private void finish() {
      if (worker.condition == Condition.LOSES) {
        releaseAndRecord(200);
        connection.fail(new ApiError.WorkerStreamTruncated(worker.id));
        return;
      }
      respond(200);
      String target = exchange.request().target();
      String name = target.substring(target.lastIndexOf('/') + 1);
      Optional.ofNullable(whenDone.remove(name)).ifPresent(Runnable::run);
    }

    private void sendHead(int status) {
      if (headSent) {
        return;
      }
      headSent = true;
      if (status == 200) {
        recordFirstOutput();
      }
      String contentType = stream && status == 200 ? "text/event-stream" : "text/plain";
      List<Header> headers =
          List.of(
              new Header("Content-Type", contentType),
              new Header("Stamp", ProxiedOutput.stamp(asked, label)));
      connection.head(worker.load(), new ResponseHead(status, headers));
    }

    private void recordFirstOutput() {
      if (exchange.tenant() != null && !exchange.tenant().isEmpty()) {
        recordRun(Kind.RUN_PUT_OUT, exchange.tenant(), 0);
      }
    }

    /** Sends all of a response that is no stream, or the end of one that is. */
    private void respond(int status) {
      boolean failure = status >= 300;
      sendHead(status);
      if (failure || !stream) {
        String text =
            failure
                ? ProxyChecker.failure(label, status)
                : ProxiedOutput.text(asked, 1, tokens, label);
        int half = text.length() / 2;
        connection.chunk("", text.substring(0, half));
        connection.chunk("", text.substring(half));
      }
      releaseAndRecord(status);
      connection.end();
    }

    private void expire() {
      if (over || worker.condition == Condition.DARK) {
        return;
      }
      if (!begun) {
        release();
        connection.reject(worker.load(), 503);
      } else if (headSent) {
        fail(new ApiError.WorkerStreamTruncated(worker.id));
      } else {
        respond(504);
      }
    }

    private void fail(ApiError error) {
      if (!over) {
        releaseAndRecord(0);
        connection.fail(error);
      }
    }

    private void release() {
      over = true;
      if (worker != null) {
        worker.running.remove(this);
        worker.waiting.remove(this);
        Worker left = worker;
        simulation.afterMs(0, left::pump);
      }
    }

    private void releaseAndRecord(int status) {
      release();
      if (begun) {
        simulation.history.add(
            simulation.simulatedNowMs(),
            Kind.RUN_ENDED,
            worker.id,
            exchange.request().id(),
            label,
            status);
      }
    }

    /** The caller closed the connection or died. */
    void dropped() {
      simulation.afterMs(
          connection.latencyMs(),
          () -> {
            if (!over) {
              releaseAndRecord(ProxyChecker.DROPPED);
            }
          });
    }

    /** The network broke the connection. */
    void reset() {
      if (!over) {
        dropped();
        connection.reset(exchange.workerId());
      }
    }
  }

  Worker add(String id, String address, String pool, String zone) {
    Worker worker = new Worker(id, address, pool, zone);
    byAddress.put(address, worker);
    byId.put(id, worker);
    simulation.history.add(simulation.simulatedNowMs(), Kind.WORKER_BORN, id, pool, address, 0);
    return worker;
  }

  Worker get(String id) {
    return byId.get(id);
  }

  /** The workers that are not gone. */
  public List<Worker> present() {
    return byId.values().stream().filter(worker -> !worker.over).toList();
  }

  Run run(
      String edge,
      String zone,
      WorkerExchange exchange,
      ExchangeListener listener,
      BooleanSupplier callerDead) {
    Worker there = byAddress.get(exchange.address());
    double latencyMs = there == null || there.zone.equals(zone) ? WITHIN_ZONE_MS : BETWEEN_ZONES_MS;
    var connection = new RunConnection(simulation, listener, latencyMs, engine.tellsLoad());
    Run run = new Run(edge, zone, exchange, connection, callerDead);
    simulation.afterMs(latencyMs, run::arrive);
    return run;
  }
}
