package applespindle.testfleet;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.testfleet.History.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Workers of opaque requests on simulated time. A worker is one life with its own id at an address
 * that another may get later; it works on so many at once, reads of a prompt what it does not keep,
 * lets urgent ones take the place of others and keeps its output to what it was asked.
 */
final class ProxyWorkers {
  /**
   * GREY fails a part, ERRS answers a part with 500, LOSES runs and resets, SLOWS when nearly full.
   */
  enum Condition {
    WELL,
    DARK,
    VANISHED,
    CUTS,
    GARBAGE,
    GREY,
    ERRS,
    LOSES,
    REFUSES,
    SLOW,
    SLOWS
  }

  static final int SLOTS = 8;

  WorkerEngine engine = WorkerEngine.DEFAULT;

  /** Each worker has one of these; empty: any between 0.8 and 1.2. */
  List<Double> paces = List.of();

  WorkerEngine.Watcher watcher = (worker, edgeZone, request) -> {};

  /** By the last part of a target: what to do once a run of it has ended whole. */
  final Map<String, Runnable> whenDone = new HashMap<>();

  private static final double WITHIN_ZONE_MS = 0.4;
  private static final double BETWEEN_ZONES_MS = 1.2;
  private static final long CONNECT_TIMEOUT_MS = 300;
  private static final double CROWDED = 0.05;
  private static final int SLOW_BY = 8;
  private static final int TOKENS_AN_EVENT_MOST = 3;
  private static final int ONE_IN = 3;

  /** Marks in a body: items that fail a part of the time, and items that no worker can do. */
  static final String FAILING = "failing";

  static final String IMPOSSIBLE = "impossible";

  final class Worker {
    final String id;
    final String address;
    final String pool;
    final String zone;
    final int slots = engine.slots();
    private final double pace;
    Condition condition = Condition.WELL;
    boolean leaving;
    boolean over;
    private final List<Run> running = new ArrayList<>();
    private final List<Run> waiting = new ArrayList<>();
    private final LinkedHashMap<String, Integer> kept = new LinkedHashMap<>(16, 0.75f, true);
    private long keptTokens;
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

    void become(Condition next) {
      condition = next;
      List<Run> stuck = List.copyOf(running);
      stuck.forEach(Run::goOn);
      pump();
    }

    void end() {
      over = true;
      leave(running);
      leave(waiting);
    }

    private void leave(List<Run> runs) {
      List.copyOf(runs).forEach(run -> run.breakOff(new ApiError.WorkerStreamTruncated(id)));
    }

    private WorkerLoad load() {
      return new WorkerLoad(running.size(), waiting.size(), slots, leaving);
    }

    int inWork() {
      return running.size() + waiting.size();
    }

    int itemsRunning() {
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
          Run given =
              running.stream()
                  .max(
                      Comparator.comparingInt((Run run) -> run.exchange.rank())
                          .thenComparingLong(run -> run.number))
                  .get();
          if (!engine.ranks() || given.exchange.rank() <= next.exchange.rank()) {
            return;
          }
          given.putBack();
        }
        waiting.remove(next);
        next.begin();
      }
    }

    /** Tokens that must be read: all from the first part on that is not kept. */
    private int read(List<PromptPart> prompt, int promptTokens) {
      int keptOfPrompt = 0;
      boolean whole = true;
      for (PromptPart part : prompt) {
        whole &= kept.containsKey(part.id());
        keptOfPrompt += whole ? part.tokens() : 0;
        if (kept.put(part.id(), part.tokens()) == null) {
          keptTokens += part.tokens();
        }
      }
      while (keptTokens > engine.keptTokensMost()) {
        String eldest = kept.keySet().iterator().next();
        keptTokens -= kept.remove(eldest);
      }
      readTokens += Math.max(0, promptTokens - keptOfPrompt);
      promptedTokens += promptTokens;
      return Math.max(0, promptTokens - keptOfPrompt);
    }
  }

  final class Run {
    private final String label;
    private final long number;
    private final String edge;
    private final String zone;
    private final double wireMs;
    private final WorkerExchange exchange;
    private final String asked;
    private final ExchangeListener listener;
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

    /** The connection is gone. */
    private boolean deaf;

    /** Set by the caller's side: nothing more is told. */
    boolean cancelled;

    Run(
        String edge,
        String zone,
        double wireMs,
        WorkerExchange exchange,
        ExchangeListener listener,
        BooleanSupplier callerDead) {
      ProxiedRequest request = exchange.request();
      this.number = ++runs;
      this.label = "r" + number;
      this.edge = edge;
      this.zone = zone;
      this.wireMs = wireMs;
      this.exchange = exchange;
      this.listener = listener;
      this.callerDead = callerDead;
      this.asked = asked(request);
      this.stream =
          request.target().startsWith("/stream")
              || request.target().startsWith("/resumable")
              || request.target().startsWith("/batch");
      this.tokens = tokens(request);
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
        tell(() -> listener.fail(new ApiError.WorkerUnreachable(exchange.workerId()), false));
        return;
      }
      if (worker.condition == Condition.VANISHED) {
        over = true;
        simulation.afterMs(
            CONNECT_TIMEOUT_MS,
            () -> listener.fail(new ApiError.WorkerUnreachable(worker.id), false));
        return;
      }
      if (callerDead.getAsBoolean() || cancelled) {
        over = true;
        return;
      }
      if (!worker.id.equals(exchange.workerId())) {
        turnAway(421);
      } else if (worker.condition == Condition.REFUSES || exchange.expiryMs() <= 0 || full()) {
        turnAway(503);
      } else {
        seen(0);
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

    private void seen(int status) {
      simulation.history.add(
          simulation.simulatedNowMs(),
          Kind.RUN_ARRIVED,
          worker.id,
          exchange.request().id() + " " + edge + " " + label,
          asked,
          status);
    }

    private void turnAway(int status) {
      over = true;
      seen(status);
      WorkerLoad load = worker.load();
      tell(
          () -> {
            tellLoad(load);
            listener.fail(new ApiError.WorkerRejected(status), false);
          });
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
      if (exchange.request().target().contains(IMPOSSIBLE)) {
        whole(422);
        return;
      }
      boolean fails = simulation.random.nextInt(ONE_IN) == 0;
      if (fails
          && (worker.condition == Condition.ERRS
              || exchange.request().target().contains(FAILING))) {
        whole(500);
        return;
      }
      if (fails && worker.condition == Condition.GREY) {
        breakOff(new ApiError.WorkerStreamTruncated(worker.id));
        return;
      }
      read();
    }

    /** Also after it was put back. */
    private void read() {
      int unread = worker.read(exchange.request().prompt(), exchange.request().promptTokens());
      double readMs = unread * engine.readMsAToken();
      if (!engine.oneReader()) {
        next(engine.firstMs() + readMs);
        return;
      }
      double nowMs = simulation.nowUs() / 1_000.0;
      worker.readerFreeAtMs = Math.max(nowMs, worker.readerFreeAtMs) + readMs;
      next(engine.firstMs() + worker.readerFreeAtMs - nowMs);
    }

    private void putBack() {
      round++;
      worker.running.remove(this);
      worker.waiting.add(this);
    }

    private void goOn() {
      if (!over && worker.running.contains(this)) {
        next(engine.eventMs());
      }
    }

    private void next(double waitMs) {
      int inRound = ++round;
      double crowd = 1 + CROWDED * worker.running.size();
      boolean nearlyFull =
          worker.condition == Condition.SLOWS && worker.running.size() * 5 > worker.slots * 4;
      double factor =
          worker.pace * crowd * (worker.condition == Condition.SLOW || nearlyFull ? SLOW_BY : 1);
      simulation.afterMs(
          waitMs * factor,
          () -> {
            if (!over
                && inRound == round
                && worker.running.contains(this)
                && worker.condition != Condition.DARK) {
              event();
            }
          });
    }

    private void event() {
      if (callerDead.getAsBoolean()) {
        dropped();
        return;
      }
      if (worker.condition == Condition.GARBAGE) {
        breakOff(new ApiError.MalformedWorkerResponse(worker.id));
        return;
      }
      if (worker.condition == Condition.CUTS && position >= tokens / 2) {
        breakOff(new ApiError.WorkerStreamTruncated(worker.id));
        return;
      }
      int first = position + 1;
      position = Math.min(tokens, stream ? position + tokensOfNextEvent() : tokens);
      int last = position;
      double took = stream ? 0 : engine.eventMs() * (tokens - first);
      if (stream && first <= last) {
        sendHead(200);
        String text = ProxiedOutput.text(asked, first, last, label);
        tell(() -> piece(Integer.toString(last), "id: " + last + "\ndata: " + text + "\n\n"));
      }
      if (position < tokens) {
        next(engine.eventMs());
      } else if (took > 0) {
        int inRound = ++round;
        simulation.afterMs(
            took * worker.pace,
            () -> {
              if (!over && inRound == round && worker.condition != Condition.DARK) {
                finish();
              }
            });
      } else {
        finish();
      }
    }

    private int tokensOfNextEvent() {
      return engine.tokensAnEvent() > 0
          ? engine.tokensAnEvent()
          : 1 + simulation.random.nextInt(TOKENS_AN_EVENT_MOST);
    }

    private void finish() {
      if (worker.condition == Condition.LOSES) {
        ended(200);
        tell(() -> listener.fail(new ApiError.WorkerStreamTruncated(worker.id), true));
        return;
      }
      whole(200);
      String target = exchange.request().target();
      String name = target.substring(target.lastIndexOf('/') + 1);
      Optional.ofNullable(whenDone.remove(name)).ifPresent(Runnable::run);
    }

    private void sendHead(int status) {
      if (!headSent) {
        headSent = true;
        WorkerLoad load = worker.load();
        ResponseHead head =
            new ResponseHead(
                status,
                List.of(
                    new Header(
                        "Content-Type",
                        stream && status == 200 ? "text/event-stream" : "text/plain"),
                    new Header("Stamp", ProxiedOutput.stamp(asked, label))));
        tell(
            () -> {
              tellLoad(load);
              listener.head(head);
            });
      }
    }

    /** A whole answer of the worker's own. */
    private void whole(int status) {
      boolean failure = status >= 300;
      sendHead(status);
      if (failure || !stream) {
        String text =
            failure
                ? ProxyChecker.failure(label, status)
                : ProxiedOutput.text(asked, 1, tokens, label);
        int half = text.length() / 2;
        tell(() -> piece("", text.substring(0, half)));
        tell(() -> piece("", text.substring(half)));
      }
      ended(status);
      tell(listener::end);
    }

    private void tellLoad(WorkerLoad load) {
      if (engine.tellsLoad()) {
        listener.load(load);
      }
    }

    private void piece(String eventId, String text) {
      listener.chunk(new ResponseChunk(eventId, text.getBytes(UTF_8)));
    }

    private void expire() {
      if (over || worker.condition == Condition.DARK) {
        return;
      }
      if (!begun) {
        leave();
        WorkerLoad load = worker.load();
        tell(
            () -> {
              tellLoad(load);
              listener.fail(new ApiError.WorkerRejected(503), false);
            });
      } else if (headSent) {
        breakOff(new ApiError.WorkerStreamTruncated(worker.id));
      } else {
        whole(504);
      }
    }

    private void breakOff(ApiError error) {
      if (!over) {
        ended(0);
        tell(() -> listener.fail(error, true));
      }
    }

    private void leave() {
      over = true;
      if (worker != null) {
        worker.running.remove(this);
        worker.waiting.remove(this);
        Worker left = worker;
        simulation.afterMs(0, left::pump);
      }
    }

    private void ended(int status) {
      leave();
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
          wireMs,
          () -> {
            if (!over) {
              ended(ProxyChecker.DROPPED);
            }
          });
    }

    /** The connection broke between both. */
    void reset() {
      if (!over) {
        dropped();
        tell(() -> listener.fail(new ApiError.WorkerStreamTruncated(exchange.workerId()), true));
        deaf = true;
      }
    }

    private void tell(Runnable telling) {
      if (!deaf) {
        simulation.afterMs(wireMs, telling);
      }
    }
  }

  private final Simulation simulation;
  private final Map<String, Worker> byAddress = new HashMap<>();
  private final Map<String, Worker> byId = new LinkedHashMap<>();
  private long runs;
  long readTokens;
  long promptedTokens;

  ProxyWorkers(Simulation simulation) {
    this.simulation = simulation;
  }

  /**
   * What a worker was asked, in one line; that it goes on behind some event changes nothing of it.
   */
  static String asked(ProxiedRequest request) {
    return request.method()
        + " "
        + request.host()
        + " "
        + request.target()
        + " "
        + new String(request.body(), UTF_8);
  }

  /** The number of tokens put out stands at the end of a body, behind the last dot. */
  private static int tokens(ProxiedRequest request) {
    String body = new String(request.body(), UTF_8);
    return Integer.parseInt(body.substring(body.lastIndexOf('.') + 1));
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

  List<Worker> present() {
    return byId.values().stream().filter(worker -> !worker.over).toList();
  }

  Run run(
      String edge,
      String zone,
      WorkerExchange exchange,
      ExchangeListener listener,
      BooleanSupplier callerDead) {
    Worker there = byAddress.get(exchange.address());
    double wireMs = there == null || there.zone.equals(zone) ? WITHIN_ZONE_MS : BETWEEN_ZONES_MS;
    Run run = new Run(edge, zone, wireMs, exchange, listener, callerDead);
    simulation.afterMs(wireMs, run::arrive);
    return run;
  }
}
