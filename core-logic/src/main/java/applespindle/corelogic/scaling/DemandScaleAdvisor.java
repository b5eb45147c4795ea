package applespindle.corelogic.scaling;

import applespindle.corelogic.configuration.RoutingConfiguration.Autoscale;
import applespindle.corelogic.configuration.RoutingConfiguration.Pool;
import applespindle.corelogic.constants.ScalingConstants;
import applespindle.corelogic.duty.DesiredCount;
import applespindle.corelogic.duty.ScaleAdvisor;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.WorkerRegistration;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Orders workers by the demand that the edges report to the holder of the scale duty.
 *
 * <p>State belongs to one holdership and starts empty: the first decisions go by the workers that
 * are listed, and nothing is ordered before edges have reported. Confined to the logic thread.
 */
public final class DemandScaleAdvisor implements ScaleAdvisor {
  private static final String PART = "scaling";

  private final Environment environment;
  private final Supplier<Map<String, Pool>> pools;
  private final Supplier<List<WorkerRegistration>> workers;
  private final Supplier<Set<String>> liveEdges;
  private final DemandTable demand = new DemandTable();
  private final ScalePolicy policy = new ScalePolicy();

  /** Where workers run, or have run during this holdership. */
  private final Set<PoolZone> subjects = new TreeSet<>();

  /** The last decisions, the oldest first. */
  private final Deque<ScaleDecision> decisions = new ArrayDeque<>();

  /**
   * Creates an advisor that has heard of no edge.
   *
   * @param pools of the configuration in force; empty if there is none
   * @param workers those that are listed
   * @param liveEdges ids of the edges that hold a lease
   */
  public DemandScaleAdvisor(
      Environment environment,
      Supplier<Map<String, Pool>> pools,
      Supplier<List<WorkerRegistration>> workers,
      Supplier<Set<String>> liveEdges) {
    this.environment = environment;
    this.pools = pools;
    this.workers = workers;
    this.liveEdges = liveEdges;
  }

  /** Starts anew for a holdership. */
  public void begin() {
    demand.clear();
    policy.reset();
    subjects.clear();
  }

  /** Takes a report of an edge. */
  public void handle(DemandReport report) {
    demand.put(report, environment.nowMs());
  }

  @Override
  public List<DesiredCount> desiredCounts() {
    long now = environment.nowMs();
    demand.removeExpired(now);
    if (demand.isEmpty()) {
      return List.of();
    }
    Map<String, Pool> poolsInForce = pools.get();
    List<WorkerRegistration> listed = workers.get();
    listed.forEach(worker -> subjects.add(new PoolZone(worker.pool(), worker.zone())));
    boolean complete = demand.isComplete(liveEdges.get());
    List<DesiredCount> desired = new ArrayList<>();
    for (PoolZone subject : subjects) {
      Pool pool = poolsInForce.get(subject.pool());
      if (pool == null || pool.autoscale() == null) {
        continue;
      }
      decide(observe(subject, pool, listed, complete), now);
      policy
          .decidedCount(subject)
          .ifPresent(count -> desired.add(new DesiredCount(subject.pool(), subject.zone(), count)));
    }
    return desired;
  }

  private void decide(ScaleObservation observation, long now) {
    if (observation.slots() <= 0) {
      return;
    }
    policy
        .decide(observation, now)
        .ifPresent(
            decision -> {
              decisions.addLast(decision);
              if (decisions.size() > ScalingConstants.KEPT_DECISIONS) {
                decisions.removeFirst();
              }
              environment.log(PART, sentence(decision));
            });
  }

  private static String sentence(ScaleDecision decision) {
    return "Workers of "
        + decision.subject().pool()
        + " in "
        + decision.subject().zone()
        + ": "
        + decision.before()
        + " to "
        + decision.count()
        + ". "
        + decision.reason();
  }

  private ScaleObservation observe(
      PoolZone subject, Pool pool, List<WorkerRegistration> listed, boolean complete) {
    Autoscale bounds = pool.autoscale();
    int listedSlots =
        listed.stream()
            .filter(worker -> worker.pool().equals(subject.pool()))
            .mapToInt(WorkerRegistration::slots)
            .max()
            .orElse(0);
    int slots = pool.slots() != null && pool.slots() > 0 ? pool.slots() : listedSlots;
    long present =
        listed.stream()
            .filter(worker -> isAt(worker, subject))
            .filter(worker -> worker.state().equals(WorkerRegistration.READY))
            .count();
    long zones = subjects.stream().filter(other -> other.pool().equals(subject.pool())).count();
    return new ScaleObservation(
        subject,
        bounds.minCount(),
        bounds.maxCount(),
        slots,
        (int) present,
        (int) zones,
        demand.callsAt(subject),
        complete);
  }

  private static boolean isAt(WorkerRegistration worker, PoolZone subject) {
    return worker.pool().equals(subject.pool()) && worker.zone().equals(subject.zone());
  }

  /** Adds a row for each of the last decisions of this process, the newest last. */
  public void describe(ArrayNode rows) {
    long now = environment.nowMs();
    for (ScaleDecision decision : decisions) {
      rows.addObject()
          .put("pool", decision.subject().pool())
          .put("zone", decision.subject().zone())
          .put("before", decision.before())
          .put("count", decision.count())
          .put("msAgo", now - decision.at())
          .put("reason", decision.reason());
    }
  }
}
