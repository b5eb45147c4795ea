package applespindle.corelogic.worker;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the worker of a proxied request: the one with the least cost, as far as this edge knows.
 *
 * <p>The cost of a worker is a sum of terms in milliseconds: its load, the wait for a slot or
 * memory, the prefill before the first byte, the pause caused in other streams, and penalties in
 * units of the request's target latency for another zone, for a risk of failure, and a random one.
 * Each evaluation draws one random number for each candidate, in the order of the workers' ids.
 * Keeps no state of its own. Confined to the logic thread.
 */
public final class WorkerSelection {
  /** Share of a prompt's shared tokens that its preferred cache worker is expected to hold. */
  private static final double PREFERRED_WORKER_CACHED_SHARE = 0.5;

  /**
   * What a request needs of a worker.
   *
   * @param pool only workers of this pool are chosen
   * @param targetMs the time within which its first byte should come
   * @param sticky whether a prompt's only part may be kept in the cache for a session
   * @param prompt the parts of the prompt in order; empty if unknown
   * @param prefixHashes for each part of the prompt, the hash of all parts up to and including it
   * @param promptTokens of all parts of the prompt together
   * @param tokens of its prompt, and the most it may put out
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
    /** Sums up the prompt's tokens once, as each candidate's cost needs them. */
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

    /** Tokens of all parts but the last, which is the request's own. */
    int sharedTokens() {
      return prompt.isEmpty() ? 0 : promptTokens - prompt.get(prompt.size() - 1).tokens();
    }
  }

  private final Environment environment;
  private final String zone;
  private final EdgeContext edge;
  private final WorkerRegistry registry;

  /**
   * Creates a selection over the workers of a registry.
   *
   * @param zone of this edge
   */
  public WorkerSelection(
      Environment environment, String zone, EdgeContext edge, WorkerRegistry registry) {
    this.environment = environment;
    this.zone = zone;
    this.edge = edge;
    this.registry = registry;
  }

  /**
   * The worker with the least cost, or null if there is none.
   *
   * @param allowed whether the request may be sent to a worker
   * @param repeatable whether it may run again elsewhere if the worker fails
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
    WorkerState preferred = preferredCacheWorker(demand, candidates);
    double usualBusyShare = usualBusyShare(candidates);
    WorkerState best = null;
    double leastCostMs = 0;
    for (WorkerState each : candidates) {
      double running = estimatedRunningCalls(each, usualBusyShare);
      double costMs = costMs(demand, each, running, each == preferred, repeatable);
      if (best == null || costMs < leastCostMs) {
        best = each;
        leastCostMs = costMs;
      }
    }
    return best;
  }

  /**
   * The worker that all edges of a zone prefer for prompts with the same shared parts: the first in
   * the rendezvous order of these parts, within this edge's own zone if that has candidates. Null
   * if nothing is shared.
   */
  private WorkerState preferredCacheWorker(Demand demand, List<WorkerState> candidates) {
    int parts = demand.prefixHashes().length;
    int sharedParts = demand.sticky() && parts == 1 ? parts : parts - 1;
    if (sharedParts <= 0) {
      return null;
    }
    long prefixHash = demand.prefixHashes()[sharedParts - 1];
    WorkerState first = null;
    boolean isFirstInZone = false;
    long firstWeight = 0;
    for (WorkerState each : candidates) {
      boolean inZone = isInOwnZone(each);
      long weight = RendezvousHashing.mix(prefixHash ^ each.idHash);
      if (first == null
          || inZone && !isFirstInZone
          || inZone == isFirstInZone && weight > firstWeight) {
        first = each;
        isFirstInZone = inZone;
        firstWeight = weight;
      }
    }
    return first;
  }

  /**
   * Share of a worker's slots, over the candidates of this edge's own zone, that calls of other
   * edges and this edge's batch items take; 0 if the zone has no slots.
   */
  private double usualBusyShare(List<WorkerState> candidates) {
    long now = environment.nowMs();
    double running = 0;
    double slots = 0;
    for (WorkerState each : candidates) {
      if (isInOwnZone(each)) {
        running += each.runningCallsNow(now) - each.liveCalls();
        slots += each.capacity();
      }
    }
    return slots == 0 ? 0 : running / slots;
  }

  /**
   * Estimate of the calls at a worker. Edges of other zones report nothing to this one: unless a
   * worker of another zone has recently reported its load itself, the others' calls there are
   * assumed to take the same share of its slots as in this zone.
   */
  private double estimatedRunningCalls(WorkerState worker, double usualBusyShare) {
    long now = environment.nowMs();
    if (isInOwnZone(worker) || !worker.hasListedSlots()) {
      return worker.runningCallsNow(now);
    }
    double assumed = usualBusyShare * worker.capacity() * (1 - worker.reportWeight(now));
    return worker.liveCalls() + Math.max(worker.runningCallsNow(now) - worker.liveCalls(), assumed);
  }

  private boolean isInOwnZone(WorkerState worker) {
    return worker.registration.zone().equals(zone);
  }

  private double costMs(
      Demand demand, WorkerState worker, double running, boolean preferred, boolean repeatable) {
    double uncachedTokens =
        preferred ? uncachedTokensAtPreferred(demand, worker) : uncachedTokens(demand, worker);
    double prefillMs = prefillMs(worker, uncachedTokens);
    double loadMs = loadCostMs(demand, worker, running);
    double waitMs = waitMs(demand, worker, running);
    double pauseCostMs = pauseCostMs(demand, worker, uncachedTokens);
    double zonePenalty = isInOwnZone(worker) ? 0 : WorkerConstants.REMOTE_ZONE_WEIGHT;
    double failurePenalty = failureRisk(worker, repeatable) * WorkerConstants.OUTLIER_WEIGHT;
    double jitter = environment.random().nextDouble() * WorkerConstants.JITTER_WEIGHT;
    return loadMs
        + waitMs
        + prefillMs
        + pauseCostMs
        + demand.targetMs() * (zonePenalty + failurePenalty + jitter);
  }

  /** Time until the worker has processed the prompt and what is pending before it. */
  private double prefillMs(WorkerState worker, double uncachedTokens) {
    return (worker.pendingPrefillTokensAt(environment.nowMs()) + uncachedTokens)
        / WorkerConstants.PREFILL_TOKENS_PER_MS;
  }

  /** Cost of sharing the worker: the more calls it runs, the slower is each. */
  private double loadCostMs(Demand demand, WorkerState worker, double running) {
    double slots = Math.max(1, worker.capacity()) * registry.slowStartWeight(worker);
    return demand.targetMs() * (running + 1) / slots;
  }

  /** Cost of a pause in the worker's streams that is near or above the longest allowed. */
  private double pauseCostMs(Demand demand, WorkerState worker, double uncachedTokens) {
    long gapTargetMs = edge.routes().gapTargetMs(demand.pool());
    if (gapTargetMs <= 0) {
      return 0;
    }
    double pauseMs = worker.streamPauseMs(environment.nowMs(), uncachedTokens);
    return WorkerConstants.STREAM_PAUSE_WEIGHT
        * Math.max(0, pauseMs - WorkerConstants.MAX_STREAM_PAUSE_SHARE * gapTargetMs);
  }

  /**
   * Risk that a call fails: the worker's failure rate, and 1 more while the worker is ejected, or
   * after its ejection until one repeatable call at a time has shown that it works again.
   */
  private double failureRisk(WorkerState worker, boolean repeatable) {
    boolean ejected = worker.isEjected(environment.nowMs());
    boolean unproven = worker.consecutiveFailures() > 0 && (worker.liveCalls() > 0 || !repeatable);
    return registry.failureRate(worker) + (ejected || unproven ? 1 : 0);
  }

  /** Prompt tokens that the worker has to process, as this edge never sent their prefix there. */
  public static double uncachedTokens(Demand demand, WorkerState worker) {
    return demand.promptTokens()
        - worker.prefixCache.cachedTokens(demand.prompt(), demand.prefixHashes());
  }

  /**
   * The same for the preferred cache worker. Other edges send prompts with the same shared parts
   * there too, so it is expected to hold at least half of the shared tokens.
   */
  private static double uncachedTokensAtPreferred(Demand demand, WorkerState worker) {
    return Math.min(
        uncachedTokens(demand, worker),
        demand.promptTokens() - demand.sharedTokens() * PREFERRED_WORKER_CACHED_SHARE);
  }

  /**
   * Expected wait of a request for a slot at a worker, and for memory where its size is known, in
   * milliseconds.
   */
  public double waitMs(Demand demand, WorkerState worker) {
    return waitMs(demand, worker, worker.runningCallsNow(environment.nowMs()));
  }

  private double waitMs(Demand demand, WorkerState worker, double running) {
    double waitMs = registry.waitMs(worker, running);
    long memoryTokens = demand.cacheTokensPerWorker();
    int ownCalls = worker.ownCalls();
    if (memoryTokens > 0 && ownCalls > 0) {
      double tokensInUse = worker.reservedTokens() * running / ownCalls + demand.tokens();
      waitMs += Math.max(0, tokensInUse - memoryTokens) / memoryTokens * worker.serviceTimeMs();
    }
    return waitMs;
  }
}
