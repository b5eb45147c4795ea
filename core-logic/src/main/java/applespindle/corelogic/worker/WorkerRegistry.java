package applespindle.corelogic.worker;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * This edge's view of each listed worker: its mark, its load, and what this edge has running there.
 * Workers whose slots are listed are never asked for their load: what others run there is known
 * from what their responses tell, and the longer ago that was, the less it counts.
 */
public final class WorkerRegistry {

  private final Environment environment;
  private final WorkerLoadPoller polling;
  private final OutlierDetection outcomes;
  private Consumer<WorkerState> whenBegan = unheard -> {};
  private final Map<String, WorkerState> statesById = new TreeMap<>();

  /** Workers listed soon after this are only new to this edge; -1 before the first list. */
  private long followedSince = -1;

  public WorkerRegistry(Environment environment, Runnable whenChanged) {
    this.environment = environment;
    this.polling = new WorkerLoadPoller(environment, this::isListed, whenChanged);
    this.outcomes = new OutlierDetection(environment);
  }

  public void updateWorkers(Map<String, WorkerRegistration> workers) {
    followedSince = followedSince < 0 ? environment.nowMs() : followedSince;
    boolean first = environment.nowMs() - followedSince < WorkerConstants.SLOW_START_MS;
    statesById.keySet().retainAll(workers.keySet());
    workers.forEach(
        (id, worker) -> {
          WorkerState present = statesById.get(id);
          if (present == null || !present.registration.address().equals(worker.address())) {
            present = new WorkerState();
            present.idHash = RendezvousHashing.hash(id);
            present.slowStartFrom = first ? present.slowStartFrom : environment.nowMs();
            statesById.put(id, present);
          }
          present.registration = worker;
          if (!present.hasListedSlots()) {
            polling.begin(present);
          }
        });
  }

  public Collection<WorkerState> all() {
    return statesById.values();
  }

  public WorkerState get(String id) {
    return statesById.get(id);
  }

  boolean isListed(WorkerState worker) {
    return statesById.get(worker.registration.id()) == worker;
  }

  /** Listed, heard of lately, not leaving, not at rest after a fault. */
  public boolean isUsable(WorkerState worker) {
    long now = environment.nowMs();
    return isListed(worker)
        && !worker.isDraining()
        && heardOfLately(worker)
        && now >= worker.ejectedUntil;
  }

  private boolean heardOfLately(WorkerState worker) {
    return worker.hasListedSlots()
        || environment.nowMs() - worker.loadAt < WorkerConstants.LOAD_STALE_AFTER_MS;
  }

  /**
   * Neither its load nor a run there has been heard of for so long that what runs there is taken
   * for lost.
   */
  public boolean isPresumedLost(WorkerState worker, long lastTextAt) {
    long now = environment.nowMs();
    long heardAt = Math.max(worker.loadAt, worker.lastActivityAt);
    return now - heardAt > WorkerConstants.LOAD_STALE_AFTER_MS
        && now - lastTextAt > WorkerConstants.LOAD_STALE_AFTER_MS;
  }

  /** Usable now, or as soon as a rest ends that ends before the expiry. */
  public boolean isUsableBefore(WorkerState worker, long expiresAt) {
    return isListed(worker)
        && !worker.isDraining()
        && heardOfLately(worker)
        && worker.ejectedUntil < expiresAt;
  }

  /**
   * How long until the worker may be usable as far as is known: its rest, or the time its silence
   * needs to show.
   */
  public long unavailableMs(WorkerState worker) {
    long now = environment.nowMs();
    boolean silent = !heardOfLately(worker) || worker.isDraining();
    return Math.max(worker.ejectedUntil - now, silent ? WorkerConstants.LOAD_STALE_AFTER_MS : 0);
  }

  public void onCallStart(Consumer<WorkerState> then) {
    whenBegan = then;
  }

  public void recordCallStart(WorkerState worker, boolean batch) {
    whenBegan.accept(worker);
    worker.callsSinceReport++;
    if (batch) {
      worker.batchCalls++;
    } else {
      worker.liveCalls++;
    }
  }

  public void recordCallEnd(WorkerState worker, boolean batch) {
    worker.callsSinceReport--;
    if (batch) {
      worker.batchCalls--;
    } else {
      worker.liveCalls--;
    }
  }

  /** The worker or the way to it failed: it is left to rest. */
  public void recordConnectionFailure(WorkerState worker) {
    outcomes.recordConnectionFailure(worker);
  }

  /** It answered, but with a failure of its own. */
  public void recordErrorResponse(WorkerState worker) {
    outcomes.recordErrorResponse(worker);
  }

  /** Part of its recent runs that failed; what is long past counts less. */
  double failureRate(WorkerState worker) {
    return outcomes.failureRate(worker);
  }

  /** Bytes of any run came: it is there. */
  public void recordActivity(WorkerState worker) {
    outcomes.recordActivity(worker);
  }

  /** What another edge of the zone has at workers; it counts less the longer ago that was. */
  public void recordPeerLoad(String peer, Message.PeerLoadReport told) {
    long now = environment.nowMs();
    for (Message.PeerLoadReport.OwnLoad load : told.loads()) {
      WorkerState worker = statesById.get(load.worker());
      if (worker != null) {
        worker
            .peers
            .values()
            .removeIf(each -> now - each.at() > WorkerConstants.PEER_LOAD_EXPIRY_MS);
        worker.peers.put(peer, new PeerLoad(load.running(), load.unreadPromptTokens(), now));
      }
    }
  }

  /** What a response told of the worker's load; this edge's own runs are in it. */
  public void recordLoad(WorkerState worker, WorkerLoad load) {
    if (worker.hasListedSlots()) {
      worker.otherCalls =
          Math.max(0, load.running() + load.queued() - worker.liveCalls - worker.batchCalls);
      worker.otherCallsAt = environment.nowMs();
    }
  }

  /** From 1 at full strength down to a small part of it for a worker that is new or was at rest. */
  public double slowStartWeight(WorkerState worker) {
    return outcomes.slowStartWeight(worker);
  }

  /** How long a further request is likely to wait there for a slot. */
  double waitMs(WorkerState worker, double running) {
    int slots = Math.max(1, worker.capacity());
    return Math.max(0, running + 1 - slots) * worker.serviceMs / slots;
  }

  /** It said that it is full: it is left alone for a moment. */
  public void recordRejection(WorkerState worker) {
    outcomes.recordRejection(worker);
  }

  /** A refusal for want of room, which says nothing against the request. */
  public static boolean isCapacityRejection(ApiError error) {
    return error instanceof ApiError.WorkerRejected refused
        && (refused.status() == 429 || refused.status() == 503);
  }

  public void recordSuccess(WorkerState worker) {
    outcomes.recordSuccess(worker);
  }

  public void recordSuccess(WorkerState worker, long tookMs) {
    recordSuccess(worker);
    worker.serviceMs += (tookMs - worker.serviceMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
  }

  public void describe(ArrayNode rows) {
    for (WorkerState each : statesById.values()) {
      rows.addObject()
          .put("id", each.registration.id())
          .put("state", each.registration.state())
          .put("usable", isUsable(each))
          .put("running", each.runningCalls())
          .put("capacity", each.capacity())
          .put("leaving", each.isDraining())
          .put("ownLive", each.liveCalls)
          .put("ownBatch", each.batchCalls);
    }
  }
}
