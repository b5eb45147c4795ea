package applespindle.testfleet.simulation;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.testfleet.deployment.EmulatedWorkers.Pace;
import applespindle.testfleet.history.EmulatedOutput;
import applespindle.testfleet.history.History.Kind;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Workers on simulated time, with the output and pace of the emulated ones, and with faults. */
public final class SimulatedWorkers {
  /** The fault a worker is in. */
  public enum Condition {
    WELL,
    CRASHED,
    DARK,
    VANISHED,
    CUTS,
    GARBAGE,
    REFUSES,
    SLOW
  }

  private static final double WIRE_MS = 0.4;
  private static final int CACHE_PREFIXES = 64;
  private static final int CACHE_PREFIX_CHARS = 256;
  private static final int SLOW_BY = 8;

  /** One simulated worker. */
  public final class Worker {
    public final String id;
    Condition condition = Condition.WELL;
    public boolean leaving;
    private final Set<Run> running = new LinkedHashSet<>();
    private final Map<String, Boolean> cache =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CACHE_PREFIXES;
          }
        };
    public int cacheLooks;
    public int cacheHits;
    int mostRunning;

    Worker(String id) {
      this.id = id;
    }

    /** Changes the condition of the worker, with what that means for its runs. */
    public void become(Condition next) {
      condition = next;
      if (next == Condition.CRASHED) {
        List.copyOf(running).forEach(run -> run.fail(new ApiError.WorkerStreamTruncated(id)));
        running.clear();
        cache.clear();
      } else if (next == Condition.VANISHED) {
        running.clear();
      }
    }
  }

  /** One request at a worker, from its arrival to its end. */
  public final class Run {
    private final Worker worker;
    private final WorkerCallListener listener;
    private final BooleanSupplier callerDead;
    private final String prompt;
    private final String item;
    private final int tokens;
    private final long expiresAtMs;
    private long lastProgressMs;
    private int position;
    private boolean over;

    Run(Worker worker, WorkerCall call, WorkerCallListener listener, BooleanSupplier callerDead) {
      JsonNode body = Simulation.tree(call.body());
      this.worker = worker;
      this.listener = listener;
      this.callerDead = callerDead;
      this.prompt = body.path("prompt").asText();
      this.item = body.path("applespindle_item").asText("");
      this.tokens = body.path("max_tokens").asInt(EmulatedOutput.DEFAULT_TOKENS);
      this.lastProgressMs = simulation.simulatedNowMs();
      this.expiresAtMs = simulation.simulatedNowMs() + call.expiryMs();
    }

    private void arrive() {
      if (over) {
        return;
      }
      switch (worker.condition) {
        case CRASHED -> {
          over = true;
          listener.fail(new ApiError.WorkerUnreachable(worker.id), false);
          return;
        }
        case VANISHED -> {
          simulation.afterMs(
              simulation.connectTimeoutMs(),
              () -> {
                if (!over) {
                  over = true;
                  listener.fail(new ApiError.WorkerUnreachable(worker.id), false);
                }
              });
          return;
        }
        case DARK -> {
          watch();
          return;
        }
        default -> {}
      }
      if (worker.condition == Condition.REFUSES || worker.running.size() >= pace.capacity()) {
        over = true;
        simulation.afterMs(WIRE_MS, () -> listener.fail(new ApiError.WorkerRejected(503), false));
        return;
      }
      simulation.history.add(
          simulation.simulatedNowMs(), Kind.WORKER_RECEIVED, worker.id, item, prompt, 0);
      worker.running.add(this);
      worker.mostRunning = Math.max(worker.mostRunning, worker.running.size());
      boolean warm =
          worker.cache.put(prompt.substring(0, Math.min(prompt.length(), CACHE_PREFIX_CHARS)), true)
              != null;
      worker.cacheLooks++;
      worker.cacheHits += warm ? 1 : 0;
      watch();
      next(pace.firstTokenMs() + (warm ? 0 : pace.coldPrefixMs()));
    }

    private void next(long waitMs) {
      long spread = Math.max(1, waitMs / 4);
      simulation.afterMs(
          (worker.condition == Condition.SLOW ? SLOW_BY * waitMs : waitMs)
              + simulation.random.nextLong(spread),
          this::token);
    }

    private void token() {
      if (over || !worker.running.contains(this) || worker.condition == Condition.DARK) {
        return;
      }
      if (callerDead.getAsBoolean()) {
        dropped();
        return;
      }
      if (worker.condition == Condition.CUTS && position >= tokens / 2) {
        worker.running.remove(this);
        fail(new ApiError.WorkerStreamTruncated(worker.id));
        return;
      }
      if (worker.condition == Condition.GARBAGE) {
        worker.running.remove(this);
        fail(new ApiError.MalformedWorkerResponse(worker.id));
        return;
      }
      lastProgressMs = simulation.simulatedNowMs();
      if (position == tokens) {
        worker.running.remove(this);
        over = true;
        simulation.history.add(
            simulation.simulatedNowMs(), Kind.WORKER_FINISHED, worker.id, item, prompt, 0);
        simulation.afterMs(WIRE_MS, () -> listener.end("stop"));
        return;
      }
      String text = EmulatedOutput.token(prompt, position++);
      simulation.afterMs(WIRE_MS, () -> listener.text(text));
      next(pace.tokenMs());
    }

    /** Ends a run that stalls or expires, as the real client of a worker does. */
    private void watch() {
      simulation.afterMs(
          WorkerConstants.LOAD_POLL_INTERVAL_MS,
          () -> {
            if (over) {
              return;
            }
            long now = simulation.simulatedNowMs();
            if (now - lastProgressMs > LiveRequestConstants.STREAM_SILENCE_TIMEOUT_MS
                || now > expiresAtMs) {
              worker.running.remove(this);
              fail(new ApiError.WorkerTimeout(worker.id));
            } else {
              watch();
            }
          });
    }

    private void fail(ApiError error) {
      if (!over) {
        over = true;
        simulation.afterMs(WIRE_MS, () -> listener.fail(error, true));
      }
    }

    void dropped() {
      over = true;
      simulation.afterMs(WIRE_MS, () -> worker.running.remove(this));
    }
  }

  private final Simulation simulation;
  final Pace pace;
  private final Map<String, Worker> workers = new LinkedHashMap<>();

  SimulatedWorkers(Simulation simulation, Pace pace) {
    this.simulation = simulation;
    this.pace = pace;
  }

  /** Adds a worker that works. */
  public Worker add(String id) {
    Worker worker = new Worker(id);
    workers.put(address(id), worker);
    return worker;
  }

  /** The address of the worker of this id. */
  public static String address(String id) {
    return "worker:" + id;
  }

  /** The worker of this id, or null. */
  public Worker get(String id) {
    return workers.get(address(id));
  }

  /** All workers by address; a copy. */
  public Map<String, Worker> all() {
    return new HashMap<>(workers);
  }

  Run run(WorkerCall call, WorkerCallListener listener, BooleanSupplier callerDead) {
    Run run = new Run(workers.get(call.workerAddress()), call, listener, callerDead);
    simulation.afterMs(WIRE_MS, run::arrive);
    return run;
  }

  void readLoad(String address, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
    Worker worker = workers.get(address);
    simulation.afterMs(
        WIRE_MS,
        () -> {
          switch (worker.condition) {
            case CRASHED -> whenFaulty.accept(new ApiError.WorkerUnreachable(worker.id));
            case DARK, VANISHED ->
                simulation.afterMs(
                    WorkerConstants.LOAD_STALE_AFTER_MS,
                    () -> whenFaulty.accept(new ApiError.WorkerUnreachable(worker.id)));
            default -> {
              WorkerLoad load =
                  new WorkerLoad(worker.running.size(), 0, pace.capacity(), worker.leaving);
              simulation.afterMs(WIRE_MS, () -> whenRead.accept(load));
            }
          }
        });
  }
}
