package applespindle.corelogic;

import applespindle.corelogic.Surroundings.WorkerCall;
import applespindle.corelogic.Surroundings.WorkerListener;
import applespindle.corelogic.Surroundings.WorkerRun;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Live requests on one edge: takes them, queues them by class, selects a worker, and streams the
 * response back.
 */
public final class LiveDesk {
  /**
   * A live request as checked; body is what a worker gets, prompt what its way and its worker are
   * chosen by.
   */
  public record Request(
      String sender,
      String model,
      String trafficClass,
      Map<String, String> headers,
      String prompt,
      ObjectNode body,
      boolean stream,
      String onceId) {}

  /** Hears texts only if the request streams, then exactly one end or fault. */
  public interface Listener {
    void text(String text);

    /**
     * A worker has begun to answer a request that does not stream; may be told again after another
     * worker was tried.
     */
    default void running() {}

    void end(String wholeOutput, String finishReason);

    /** cut: texts were already passed on, so the output must be shown as incomplete. */
    void fault(Response response, boolean cut);
  }

  /** A request that was taken; lets its client give it up. */
  public interface Handle {
    void cancel();
  }

  /** What the desk needs of the edge it lives on. */
  interface Edge {
    Fault mayBegin();

    /**
     * Null when a request that was already taken may go on to a worker; a polite stop alone does
     * not hinder it.
     */
    Fault mayGoOn();

    Bundle bundle();

    /** What that bundle says of opaque requests; empty while there is none. */
    RouteTable routes();

    void claimOnce(String id, String token, Consumer<Fault> then);

    void unclaimOnce(String id, String token);

    void count(String counter);
  }

  private final class Taken implements Handle {
    final Request request;
    final Listener listener;
    final Bundle.Way way;
    final Bundle.Pool pool;

    /**
     * Rank and queue limit of the bundle the request began with; a later bundle does not touch it.
     */
    final Bundle.ClassLimit classLimit;

    final long takenAt = surroundings.now();
    final long expiresAt;
    final Set<String> tried = new HashSet<>();
    final StringBuilder output = new StringBuilder();
    String token = "";
    int retriesLeft;
    WorkerBook.Known worker;
    WorkerRun run;
    WorkerListener runListener;
    long lastTextAt;
    boolean passedOn;
    boolean handedOver;
    boolean over;

    Taken(Request request, Listener listener, Bundle bundle, Bundle.Way way) {
      this.request = request;
      this.listener = listener;
      this.way = way;
      this.pool = bundle.pools().get(way.pool());
      this.classLimit = bundle.limits().classes().get(way.trafficClass());
      this.expiresAt = takenAt + way.expiryMs();
      this.retriesLeft = way.retries();
    }

    @Override
    public void cancel() {
      if (!over) {
        edge.count("live_cancelled");
        finish();
      }
    }

    void refuse(Fault fault) {
      if (over) {
        return;
      }
      edge.count("live_refused_" + fault.type());
      boolean unknownOnce = !request.onceId().isEmpty() && handedOver;
      int comeBack = comeBackSeconds(fault, this);
      finish();
      listener.fault(
          unknownOnce
              ? Response.of(new Fault.OutcomeUnknown(request.onceId()))
              : Response.of(fault, comeBack),
          passedOn);
    }

    void finish() {
      over = true;
      queue(this).remove(this);
      leaveWorker();
      if (!token.isEmpty() && !handedOver) {
        edge.unclaimOnce(request.onceId(), token);
      }
    }

    void leaveWorker() {
      if (run != null) {
        run.cancel();
        run = null;
        book.ended(worker, false);
        atWorkers.remove(this);
      }
    }
  }

  private final Surroundings surroundings;
  private final String nodeId;
  private final Edge edge;
  private final WorkerBook book;

  /** By rank, then class: short checks stand before notes and are never behind them. */
  private final TreeMap<String, ArrayDeque<Taken>> queues = new TreeMap<>();

  private final Map<String, Double> startIntervals = new HashMap<>();
  private final Map<String, Long> lastStartAt = new HashMap<>();
  private CompiledRules rules;
  private Bundle rulesOf;
  private long tokens;
  private final Set<Taken> atWorkers = new LinkedHashSet<>();

  LiveDesk(Surroundings surroundings, String nodeId, Edge edge, WorkerBook book) {
    this.surroundings = surroundings;
    this.nodeId = nodeId;
    this.edge = edge;
    this.book = book;
  }

  private ArrayDeque<Taken> queue(Taken taken) {
    return queues.computeIfAbsent(
        String.format("%03d %s", taken.classLimit.rank(), taken.way.trafficClass()),
        unseen -> new ArrayDeque<>());
  }

  Handle take(Request request, Listener listener) {
    Fault hindrance = edge.mayBegin();
    Bundle bundle = edge.bundle();
    if (hindrance == null && bundle == null) {
      hindrance = new Fault.NoBundle();
    }
    if (hindrance != null) {
      edge.count("live_refused_" + hindrance.type());
      listener.fault(Response.of(hindrance), false);
      return () -> {};
    }
    if (rulesOf != bundle) {
      rules = CompiledRules.compile(bundle);
      rulesOf = bundle;
    }
    Bundle.Way way =
        rules.run(
            new CompiledRules.Subject(
                request.model(),
                request.sender(),
                request.trafficClass(),
                request.headers(),
                request.prompt().length()));
    if (way == null) {
      listener.fault(Response.of(new Fault.NoMatchingRule()), false);
      return () -> {};
    }
    Taken taken = new Taken(request, listener, bundle, way);
    Fault refusal = refusalAtOnce(taken);
    if (refusal != null) {
      taken.refuse(refusal);
      return taken;
    }
    edge.count("live_taken");
    if (request.onceId().isEmpty()) {
      enqueue(taken);
    } else {
      claimThenEnqueue(taken);
    }
    return taken;
  }

  /** What can not start within its expiry hears so now, not at the end of it. */
  private Fault refusalAtOnce(Taken taken) {
    ArrayDeque<Taken> queue = queue(taken);
    if (queue.size() >= taken.classLimit.queueMost()
        && (queue.size() > 0 || select(taken) == null)) {
      return new Fault.QueueFull(taken.way.trafficClass());
    }
    if (book.all().stream()
        .noneMatch(worker -> ofPool(worker, taken) && book.comesBackBy(worker, taken.expiresAt))) {
      return new Fault.NoWorker(taken.way.pool());
    }
    double interval = startIntervals.getOrDefault(taken.way.trafficClass(), 0.0);
    return queue.size() * interval > taken.way.expiryMs() ? new Fault.ExpiryPassed() : null;
  }

  /**
   * From what is known now: the pace of the queue, or when the first worker's rest ends; else the
   * fault's own.
   */
  private int comeBackSeconds(Fault fault, Taken taken) {
    long waitMs;
    if (fault instanceof Fault.QueueFull || fault instanceof Fault.ExpiryPassed) {
      waitMs =
          (long) (queue(taken).size() * startIntervals.getOrDefault(taken.way.trafficClass(), 0.0));
    } else if (fault instanceof Fault.NoWorker
        || fault instanceof Fault.WorkerRefused
        || fault instanceof Fault.WorkerUnreachable) {
      waitMs =
          book.all().stream()
              .filter(worker -> ofPool(worker, taken))
              .mapToLong(book::restMs)
              .min()
              .orElse(Constants.LOAD_STALE_MS);
    } else {
      return fault.row().comeBackSeconds();
    }
    return (int) Math.max(1, Math.min(Constants.COME_BACK_MOST_S, (waitMs + 999) / 1_000));
  }

  private void claimThenEnqueue(Taken taken) {
    String token = nodeId + "-" + ++tokens;
    edge.claimOnce(
        taken.request.onceId(),
        token,
        fault -> {
          if (taken.over) {
            if (fault == null) {
              edge.unclaimOnce(taken.request.onceId(), token);
            }
            return;
          }
          if (fault != null) {
            taken.refuse(fault);
          } else {
            taken.token = token;
            enqueue(taken);
          }
        });
  }

  private void enqueue(Taken taken) {
    queue(taken).add(taken);
    surroundings.after(
        Math.max(0, taken.expiresAt - surroundings.now()),
        () -> {
          if (!taken.over && taken.run == null) {
            taken.refuse(new Fault.ExpiryPassed());
          }
        });
    pump();
  }

  void pump() {
    for (ArrayDeque<Taken> queue : queues.values()) {
      for (Taken taken : List.copyOf(queue)) {
        if (taken.over || taken.run != null) {
          continue;
        }
        WorkerBook.Known worker = select(taken);
        if (worker == null) {
          if (book.all().stream()
              .noneMatch(
                  each ->
                      ofPool(each, taken)
                          && book.comesBackBy(each, taken.expiresAt)
                          && !taken.tried.contains(each.worker.id()))) {
            taken.refuse(new Fault.NoWorker(taken.way.pool()));
            continue;
          }
          break;
        }
        handOver(taken, worker);
      }
      queue.removeIf(taken -> taken.over || taken.run != null);
    }
  }

  private boolean ofPool(WorkerBook.Known worker, Taken taken) {
    return worker.worker.pool().equals(taken.way.pool());
  }

  /**
   * The first worker in the prompt prefix's order that is usable, has room, and is not loaded
   * beyond the bound; so the same prefix meets the same cache from every edge without any talk
   * between them.
   */
  private WorkerBook.Known select(Taken taken) {
    Map<String, WorkerBook.Known> usable = new TreeMap<>();
    int load = 0;
    for (WorkerBook.Known each : book.all()) {
      if (ofPool(each, taken) && book.usable(each) && !taken.tried.contains(each.worker.id())) {
        usable.put(each.worker.id(), each);
        load += each.running();
      }
    }
    if (usable.isEmpty()) {
      return null;
    }
    double bound = Math.ceil(taken.pool.loadFactor() * (load + 1) / usable.size());
    WorkerBook.Known fallback = null;
    for (String id :
        Rendezvous.order(prefix(taken.request.prompt(), taken.pool), usable.keySet())) {
      WorkerBook.Known each = usable.get(id);
      if (each.free() <= 0) {
        continue;
      }
      if (each.running() + 1 <= bound) {
        return each;
      }
      if (fallback == null || each.running() < fallback.running()) {
        fallback = each;
      }
    }
    return fallback;
  }

  static String prefix(String prompt, Bundle.Pool pool) {
    int blocks = Math.min(pool.prefixBlocks(), prompt.length() / pool.prefixBlockChars());
    return blocks == 0 ? prompt : prompt.substring(0, blocks * pool.prefixBlockChars());
  }

  /**
   * Expiry and staleness are checked here, right before the hand-over: what was refused never runs.
   */
  private void handOver(Taken taken, WorkerBook.Known worker) {
    Fault hindrance = edge.mayGoOn();
    if (hindrance == null && surroundings.now() >= taken.expiresAt) {
      hindrance = new Fault.ExpiryPassed();
    }
    if (hindrance != null) {
      taken.refuse(hindrance);
      return;
    }
    noteStart(taken);
    taken.worker = worker;
    taken.handedOver = true;
    taken.output.setLength(0);
    book.began(worker, false);
    long expiry = Math.max(1, taken.expiresAt - surroundings.now()) + Constants.STREAM_SILENCE_MS;
    taken.lastTextAt = surroundings.now();
    taken.runListener = listener(taken, worker);
    taken.run =
        surroundings.run(
            new WorkerCall(worker.worker.address(), Json.bytes(taken.request.body()), expiry),
            taken.runListener);
    atWorkers.add(taken);
  }

  /**
   * Whoever waits in a queue of an edge that may begin nothing hears so now, not when a worker
   * would have been free.
   */
  private void refuseIfHindered() {
    Fault hindrance = edge.mayGoOn();
    if (hindrance != null) {
      queues.values().stream()
          .flatMap(queue -> List.copyOf(queue).stream())
          .toList()
          .forEach(taken -> taken.refuse(hindrance));
    }
  }

  /** Ends runs at workers that have gone dark, long before their connections would. */
  void tick() {
    refuseIfHindered();
    for (Taken taken : List.copyOf(atWorkers)) {
      if (taken.run != null && book.lost(taken.worker, taken.lastTextAt)) {
        taken.run.cancel();
        taken.runListener.fault(new Fault.WorkerSilent(taken.worker.worker.id()), true);
      }
    }
    pump();
  }

  private void noteStart(Taken taken) {
    String trafficClass = taken.way.trafficClass();
    long now = surroundings.now();
    Long before = lastStartAt.put(trafficClass, now);
    if (queue(taken).size() > 1 && before != null) {
      startIntervals.merge(
          trafficClass, (double) (now - before), (old, latest) -> old * 0.9 + latest * 0.1);
    } else {
      startIntervals.remove(trafficClass);
    }
  }

  private WorkerListener listener(Taken taken, WorkerBook.Known worker) {
    return new WorkerListener() {
      private boolean stands() {
        return !taken.over && taken.worker == worker && taken.run != null;
      }

      @Override
      public void text(String text) {
        if (!stands()) {
          return;
        }
        taken.lastTextAt = surroundings.now();
        if (taken.request.stream()) {
          taken.passedOn = true;
          taken.listener.text(text);
        } else {
          if (taken.output.isEmpty()) {
            taken.listener.running();
          }
          taken.output.append(text);
        }
      }

      @Override
      public void end(String finishReason) {
        if (!stands()) {
          return;
        }
        release();
        book.served(worker);
        taken.finish();
        edge.count("live_served");
        taken.listener.end(taken.output.toString(), finishReason);
        pump();
      }

      @Override
      public void fault(Fault fault, boolean mayHaveRun) {
        if (!stands()) {
          return;
        }
        release();
        if (WorkerBook.saysFull(fault)) {
          book.refused(worker);
          taken.handedOver = false;
          queue(taken).addFirst(taken);
          pump();
          return;
        }
        if (!(fault instanceof Fault.WorkerRefused)) {
          book.faulted(worker);
        }
        edge.count("live_worker_faults");
        taken.tried.add(worker.worker.id());
        boolean once = !taken.request.onceId().isEmpty();
        if (taken.passedOn || once && mayHaveRun || taken.retriesLeft-- <= 0) {
          taken.handedOver = mayHaveRun;
          taken.refuse(fault);
        } else {
          taken.handedOver = taken.handedOver && mayHaveRun;
          queue(taken).addFirst(taken);
        }
        pump();
      }

      private void release() {
        taken.run = null;
        book.ended(worker, false);
        atWorkers.remove(taken);
      }
    };
  }

  int runningRequests() {
    return atWorkers.size();
  }

  int queuedRequests() {
    return queues.values().stream().mapToInt(ArrayDeque::size).sum();
  }
}
