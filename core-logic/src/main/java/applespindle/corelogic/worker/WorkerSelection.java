package applespindle.corelogic.worker;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the worker for a live request: the one at which it waits least, as far as this edge
 * knows. What speaks for and against a worker is added up in milliseconds.
 */
public final class WorkerSelection {
  /**
   * What a request asks of a worker.
   *
   * @param targetMs the time within which its first byte should come
   * @param sticky its prompt's only part may be kept for a session
   * @param prefixHashes one key for each part of the prompt together with all before it
   * @param promptTokens of all parts of the prompt together
   * @param tokens of its prompt and the most it may put out
   * @param cacheTokensPerWorker memory of a worker of the pool, in tokens; 0 if unknown
   */
  public record Demand(
      String pool,
      double targetMs,
      boolean sticky,
      List<PromptPart> prompt,
      long[] prefixHashes,
      int promptTokens,
      long tokens,
      long cacheTokensPerWorker) {
    /** Adds the parts up once: each worker that is weighed needs the sum. */
    public Demand(
        String pool,
        double targetMs,
        boolean sticky,
        List<PromptPart> prompt,
        long[] prefixHashes,
        long tokens,
        long cacheTokensPerWorker) {
      this(
          pool,
          targetMs,
          sticky,
          prompt,
          prefixHashes,
          prompt.stream().mapToInt(PromptPart::tokens).sum(),
          tokens,
          cacheTokensPerWorker);
    }

    /** Of all parts but the last, which belongs to the request itself. */
    int sharedTokens() {
      return prompt.isEmpty() ? 0 : promptTokens - prompt.get(prompt.size() - 1).tokens();
    }
  }

  private final Environment environment;
  private final String zone;
  private final EdgeContext edge;
  private final WorkerRegistry registry;

  public WorkerSelection(
      Environment environment, String zone, EdgeContext edge, WorkerRegistry registry) {
    this.environment = environment;
    this.zone = zone;
    this.edge = edge;
    this.registry = registry;
  }

  /**
   * The worker that costs the request least, or null if there is none.
   *
   * @param allowed whether the request may go to a worker
   * @param repeatable whether it may run again elsewhere if the worker fails it
   */
  public WorkerState select(Demand demand, Predicate<WorkerState> allowed, boolean repeatable) {
    List<WorkerState> candidates = new ArrayList<>();
    for (WorkerState each : registry.all()) {
      if (each.registration.pool().equals(demand.pool())
          && !each.isDraining()
          && allowed.test(each)) {
        candidates.add(each);
      }
    }
    WorkerState keeper = preferredCacheWorker(demand, candidates);
    double usualBusyPart = usualBusyShare(candidates);
    WorkerState least = null;
    double leastCost = 0;
    for (WorkerState each : candidates) {
      double cost = costMs(demand, each, running(each, usualBusyPart), each == keeper, repeatable);
      if (least == null || cost < leastCost) {
        least = each;
        leastCost = cost;
      }
    }
    return least;
  }

  /**
   * The worker at which all edges of a zone look first for a prompt's shared parts: the first in
   * the rendezvous order of these parts, in this edge's own zone where it has workers. Null if
   * nothing is shared.
   */
  private WorkerState preferredCacheWorker(Demand demand, List<WorkerState> candidates) {
    int parts = demand.prefixHashes().length;
    int shared = demand.sticky() && parts == 1 ? parts : parts - 1;
    if (shared <= 0) {
      return null;
    }
    long key = demand.prefixHashes()[shared - 1];
    WorkerState first = null;
    boolean firstNear = false;
    long firstWeight = 0;
    for (WorkerState each : candidates) {
      boolean near = isInOwnZone(each);
      long weight = RendezvousHashing.mix(key ^ each.idHash);
      if (first == null || near && !firstNear || near == firstNear && weight > firstWeight) {
        first = each;
        firstNear = near;
        firstWeight = weight;
      }
    }
    return first;
  }

  /**
   * The part of a worker's slots that requests of other edges and batch items usually take, over
   * the candidates of this edge's own zone; 0 if there are none.
   */
  private double usualBusyShare(List<WorkerState> candidates) {
    long now = environment.nowMs();
    double running = 0;
    double slots = 0;
    for (WorkerState each : candidates) {
      if (isInOwnZone(each)) {
        running += each.runningCallsNow(now) - each.liveCalls;
        slots += each.capacity();
      }
    }
    return slots == 0 ? 0 : running / slots;
  }

  /**
   * What runs at a worker, as far as it is known. Edges of other zones tell this one nothing:
   * unless a worker of another zone has told its load itself of late, other edges are taken to use
   * it as much as those of this zone use theirs.
   */
  private double running(WorkerState worker, double usualBusyPart) {
    long now = environment.nowMs();
    if (isInOwnZone(worker) || !worker.hasListedSlots()) {
      return worker.runningCallsNow(now);
    }
    double guessed = usualBusyPart * worker.capacity() * (1 - worker.reportWeight(now));
    return worker.liveCalls + Math.max(worker.runningCallsNow(now) - worker.liveCalls, guessed);
  }

  private boolean isInOwnZone(WorkerState worker) {
    return worker.registration.zone().equals(zone);
  }

  private double costMs(
      Demand demand, WorkerState worker, double running, boolean keeper, boolean repeatable) {
    long now = environment.nowMs();
    double unread = keeper ? unreadTokensAtPreferred(demand, worker) : unreadTokens(demand, worker);
    double readingMs =
        (worker.pendingPrefillTokensAt(now) + unread) / WorkerConstants.PREFILL_TOKENS_PER_MS;
    return loadCostMs(demand, worker, running)
        + waitMs(demand, worker, running)
        + readingMs
        + pauseMs(demand, worker, unread)
        + demand.targetMs()
            * ((isInOwnZone(worker) ? 0 : WorkerConstants.REMOTE_ZONE_WEIGHT)
                + failureRisk(worker, repeatable) * WorkerConstants.OUTLIER_WEIGHT
                + environment.random().nextDouble() * WorkerConstants.JITTER_WEIGHT);
  }

  /** The more run at a worker, the slower is each. */
  private double loadCostMs(Demand demand, WorkerState worker, double running) {
    double slots = Math.max(1, worker.capacity()) * registry.slowStartWeight(worker);
    return demand.targetMs() * (running + 1) / slots;
  }

  /** What a pause in the worker's streams weighs that is too long or nearly so. */
  private double pauseMs(Demand demand, WorkerState worker, double unread) {
    long gapMs = edge.routes().gapTargetMs(demand.pool());
    if (gapMs <= 0) {
      return 0;
    }
    double pauseMs = worker.streamPauseMs(environment.nowMs(), unread);
    return WorkerConstants.STREAM_PAUSE_WEIGHT
        * Math.max(0, pauseMs - WorkerConstants.MAX_STREAM_PAUSE_SHARE * gapMs);
  }

  /** The part of its runs that failed, and more while it rests or is not proved well again. */
  private double failureRisk(WorkerState worker, boolean repeatable) {
    boolean rests = environment.nowMs() < worker.ejectedUntil;
    boolean unproved = worker.consecutiveFailures > 0 && (worker.liveCalls > 0 || !repeatable);
    return registry.failureRate(worker) + (rests || unproved ? 1 : 0);
  }

  /** Prompt tokens that a worker has to read: what this edge has sent there is kept there. */
  public static double unreadTokens(Demand demand, WorkerState worker) {
    return demand.promptTokens()
        - worker.prefixCache.cachedTokens(demand.prompt(), demand.prefixHashes());
  }

  /** Of what other edges sent, the keeper is trusted to have half of the shared parts. */
  private static double unreadTokensAtPreferred(Demand demand, WorkerState worker) {
    return Math.min(
        unreadTokens(demand, worker), demand.promptTokens() - demand.sharedTokens() / 2.0);
  }

  /** How long a request waits for a slot, and for memory where its size is known. */
  public double waitMs(Demand demand, WorkerState worker) {
    return waitMs(demand, worker, worker.runningCallsNow(environment.nowMs()));
  }

  private double waitMs(Demand demand, WorkerState worker, double running) {
    double waitMs = registry.waitMs(worker, running);
    long most = demand.cacheTokensPerWorker();
    int own = worker.liveCalls + worker.batchCalls;
    if (most > 0 && own > 0) {
      double inUse = worker.tokens * running / own + demand.tokens();
      waitMs += Math.max(0, inUse - most) / most * worker.serviceMs;
    }
    return waitMs;
  }
}
