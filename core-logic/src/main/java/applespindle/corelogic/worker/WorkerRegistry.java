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

  private final Environment surroundings;
  private final WorkerLoadPoller polling;
  private final OutlierDetection outcomes;
  private Consumer<WorkerState> whenBegan = unheard -> {};
  private final Map<String, WorkerState> known = new TreeMap<>();

  /** Workers listed soon after this are only new to this edge; -1 before the first list. */
  private long followedSince = -1;

  public WorkerRegistry(Environment surroundings, Runnable whenChanged) {
    this.surroundings = surroundings;
    this.polling = new WorkerLoadPoller(surroundings, this::listed, whenChanged);
    this.outcomes = new OutlierDetection(surroundings);
  }

  public void follow(Map<String, WorkerRegistration> workers) {
    followedSince = followedSince < 0 ? surroundings.now() : followedSince;
    boolean first = surroundings.now() - followedSince < WorkerConstants.SLOW_START_MS;
    known.keySet().retainAll(workers.keySet());
    workers.forEach(
        (id, worker) -> {
          WorkerState present = known.get(id);
          if (present == null || !present.worker.address().equals(worker.address())) {
            present = new WorkerState();
            present.idHash = RendezvousHashing.hash(id);
            present.rampFrom = first ? present.rampFrom : surroundings.now();
            known.put(id, present);
          }
          present.worker = worker;
          if (!present.passive()) {
            polling.begin(present);
          }
        });
  }

  public Collection<WorkerState> all() {
    return known.values();
  }

  public WorkerState get(String id) {
    return known.get(id);
  }

  boolean listed(WorkerState worker) {
    return known.get(worker.worker.id()) == worker;
  }

  /** Listed, heard of lately, not leaving, not at rest after a fault. */
  public boolean usable(WorkerState worker) {
    long now = surroundings.now();
    return listed(worker) && !worker.leaving() && heardOfLately(worker) && now >= worker.restsUntil;
  }

  private boolean heardOfLately(WorkerState worker) {
    return worker.passive()
        || surroundings.now() - worker.loadAt < WorkerConstants.LOAD_STALE_AFTER_MS;
  }

  /**
   * Neither its load nor a run there has been heard of for so long that what runs there is taken
   * for lost.
   */
  public boolean lost(WorkerState worker, long lastTextAt) {
    long now = surroundings.now();
    long heardAt = Math.max(worker.loadAt, worker.heardAt);
    return now - heardAt > WorkerConstants.LOAD_STALE_AFTER_MS
        && now - lastTextAt > WorkerConstants.LOAD_STALE_AFTER_MS;
  }

  /** Usable now, or as soon as a rest ends that ends before the expiry. */
  public boolean comesBackBy(WorkerState worker, long expiresAt) {
    return listed(worker)
        && !worker.leaving()
        && heardOfLately(worker)
        && worker.restsUntil < expiresAt;
  }

  /**
   * How long until the worker may be usable as far as is known: its rest, or the time its silence
   * needs to show.
   */
  public long restMs(WorkerState worker) {
    long now = surroundings.now();
    boolean silent = !heardOfLately(worker) || worker.leaving();
    return Math.max(worker.restsUntil - now, silent ? WorkerConstants.LOAD_STALE_AFTER_MS : 0);
  }

  public void whenBegan(Consumer<WorkerState> then) {
    whenBegan = then;
  }

  public void began(WorkerState worker, boolean batch) {
    whenBegan.accept(worker);
    worker.sinceReport++;
    if (batch) {
      worker.batch++;
    } else {
      worker.live++;
    }
  }

  public void ended(WorkerState worker, boolean batch) {
    worker.sinceReport--;
    if (batch) {
      worker.batch--;
    } else {
      worker.live--;
    }
  }

  /** The worker or the way to it failed: it is left to rest. */
  public void faulted(WorkerState worker) {
    outcomes.faulted(worker);
  }

  /** It answered, but with a failure of its own. */
  public void failed(WorkerState worker) {
    outcomes.failed(worker);
  }

  /** Part of its recent runs that failed; what is long past counts less. */
  double faultShare(WorkerState worker) {
    return outcomes.faultShare(worker);
  }

  /** Bytes of any run came: it is there. */
  public void heard(WorkerState worker) {
    outcomes.heard(worker);
  }

  /** What another edge of the zone has at workers; it counts less the longer ago that was. */
  public void peerTold(String peer, Message.PeerLoadReport told) {
    long now = surroundings.now();
    for (Message.PeerLoadReport.OwnLoad load : told.loads()) {
      WorkerState worker = known.get(load.worker());
      if (worker != null) {
        worker
            .peers
            .values()
            .removeIf(each -> now - each.at() > WorkerConstants.PEER_LOAD_EXPIRY_MS);
        worker.peers.put(peer, new PeerLoad(load.running(), load.unread(), now));
      }
    }
  }

  /** What a response told of the worker's load; this edge's own runs are in it. */
  public void told(WorkerState worker, WorkerLoad load) {
    if (worker.passive()) {
      worker.others = Math.max(0, load.running() + load.queued() - worker.live - worker.batch);
      worker.othersAt = surroundings.now();
    }
  }

  /** From 1 at full strength down to a small part of it for a worker that is new or was at rest. */
  public double ramp(WorkerState worker) {
    return outcomes.ramp(worker);
  }

  /** How long a further request is likely to wait there for a slot. */
  double waitMs(WorkerState worker, double running) {
    int slots = Math.max(1, worker.capacity());
    return Math.max(0, running + 1 - slots) * worker.serviceMs / slots;
  }

  /** It said that it is full: it is left alone for a moment. */
  public void refused(WorkerState worker) {
    outcomes.refused(worker);
  }

  /** A refusal for want of room, which says nothing against the request. */
  public static boolean saysFull(ApiError fault) {
    return fault instanceof ApiError.WorkerRejected refused
        && (refused.status() == 429 || refused.status() == 503);
  }

  public void served(WorkerState worker) {
    outcomes.served(worker);
  }

  public void served(WorkerState worker, long tookMs) {
    served(worker);
    worker.serviceMs += (tookMs - worker.serviceMs) * WorkerConstants.MOVING_AVERAGE_WEIGHT;
  }

  public void describe(ArrayNode rows) {
    for (WorkerState each : known.values()) {
      rows.addObject()
          .put("id", each.worker.id())
          .put("state", each.worker.state())
          .put("usable", usable(each))
          .put("running", each.running())
          .put("capacity", each.capacity())
          .put("leaving", each.leaving())
          .put("ownLive", each.live)
          .put("ownBatch", each.batch);
    }
  }
}
