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
 * This edge's view of all listed workers: owns one {@link WorkerState} for each, and is where
 * dispatchers record what happened to their calls.
 *
 * <p>A worker whose id is listed with another address is a new worker and starts with a new state.
 * Workers without listed slots are polled for their load. Workers with listed slots never are: the
 * calls of other edges there are known from the load in responses and from the other edges'
 * reports, both discounted by age. Confined to the logic thread.
 */
public final class WorkerRegistry {
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Environment environment;
  private final WorkerLoadPoller loadPoller;
  private final OutlierDetection outlierDetection;
  private final Map<String, WorkerState> statesById = new TreeMap<>();
  private Consumer<WorkerState> callStartListener = ignored -> {};

  /** When the first list came; -1 before. Workers listed soon after are new to this edge only. */
  private long firstListAt = -1;

  /**
   * Creates a registry without workers.
   *
   * @param onLoadChanged runs after each load poll that brought a load
   */
  public WorkerRegistry(Environment environment, Runnable onLoadChanged) {
    this.environment = environment;
    this.loadPoller = new WorkerLoadPoller(environment, this::isListed, onLoadChanged);
    this.outlierDetection = new OutlierDetection(environment);
  }

  /** Replaces the list of workers. Those listed in the first seconds get no slow start. */
  public void updateWorkers(Map<String, WorkerRegistration> workers) {
    firstListAt = firstListAt < 0 ? environment.nowMs() : firstListAt;
    boolean isFirstList = environment.nowMs() - firstListAt < WorkerConstants.SLOW_START_MS;
    statesById.keySet().retainAll(workers.keySet());
    workers.forEach((id, registration) -> updateWorker(id, registration, isFirstList));
  }

  private void updateWorker(String id, WorkerRegistration registration, boolean isFirstList) {
    WorkerState state = statesById.get(id);
    if (state == null || !state.registration.address().equals(registration.address())) {
      state = new WorkerState(RendezvousHashing.hash(id));
      if (!isFirstList) {
        state.startSlowStart(environment.nowMs());
      }
      statesById.put(id, state);
    }
    state.registration = registration;
    if (!state.hasListedSlots()) {
      loadPoller.start(state);
    }
  }

  /** All listed workers, in the order of their ids; a live view. */
  public Collection<WorkerState> all() {
    return statesById.values();
  }

  /** The worker with this id, or null if it is not listed. */
  public WorkerState get(String id) {
    return statesById.get(id);
  }

  boolean isListed(WorkerState worker) {
    return statesById.get(worker.registration.id()) == worker;
  }

  /** Whether the worker is listed, recently polled if at all, not draining and not ejected. */
  public boolean isUsable(WorkerState worker) {
    long now = environment.nowMs();
    return isListed(worker)
        && !worker.isDraining()
        && hasRecentLoad(worker)
        && !worker.isEjected(now);
  }

  private boolean hasRecentLoad(WorkerState worker) {
    return worker.hasListedSlots()
        || environment.nowMs() - worker.loadAt() < WorkerConstants.LOAD_STALE_AFTER_MS;
  }

  /**
   * Whether neither the worker's load nor bytes of any call, of this one included, have come for so
   * long that what runs there is presumed lost.
   *
   * @param lastTextAt when bytes of this call last came, in monotonic milliseconds
   */
  public boolean isPresumedLost(WorkerState worker, long lastTextAt) {
    long now = environment.nowMs();
    long lastContactAt = Math.max(worker.loadAt(), worker.lastActivityAt);
    return now - lastContactAt > WorkerConstants.LOAD_STALE_AFTER_MS
        && now - lastTextAt > WorkerConstants.LOAD_STALE_AFTER_MS;
  }

  /** Whether the worker is usable, or will be once an ejection ends before this time. */
  public boolean isUsableBefore(WorkerState worker, long expiresAt) {
    return isListed(worker)
        && !worker.isDraining()
        && hasRecentLoad(worker)
        && worker.ejectedUntil() < expiresAt;
  }

  /**
   * Milliseconds until the worker may be usable, as far as is known: the rest of its ejection, and
   * at least the time after which a load is stale if the worker is draining or its load is stale. 0
   * or negative if it may be usable now.
   */
  public long unavailableMs(WorkerState worker) {
    long now = environment.nowMs();
    boolean unavailable = !hasRecentLoad(worker) || worker.isDraining();
    return Math.max(
        worker.ejectionRemainingMs(now), unavailable ? WorkerConstants.LOAD_STALE_AFTER_MS : 0);
  }

  /** Sets the listener that is called before each call starts; replaces the one before. */
  public void onCallStart(Consumer<WorkerState> listener) {
    callStartListener = listener;
  }

  /** A call of this edge is about to be sent; each start is followed by one end. */
  public void recordCallStart(WorkerState worker, boolean batch) {
    callStartListener.accept(worker);
    worker.recordCallStart(batch);
  }

  /** A call of this edge has ended in any way. */
  public void recordCallEnd(WorkerState worker, boolean batch) {
    worker.recordCallEnd(batch);
  }

  /** The worker or the connection to it failed: it is ejected. */
  public void recordConnectionFailure(WorkerState worker) {
    outlierDetection.recordConnectionFailure(worker);
  }

  /** The worker answered with an error of its own: it is not ejected. */
  public void recordErrorResponse(WorkerState worker) {
    outlierDetection.recordErrorResponse(worker);
  }

  /** Share of the worker's recent calls that failed, 0 to 1. */
  double failureRate(WorkerState worker) {
    return outlierDetection.failureRate(worker);
  }

  /** Bytes of any call came from the worker: it is responsive. */
  public void recordActivity(WorkerState worker) {
    outlierDetection.recordActivity(worker);
  }

  /** Records the calls that another edge of the zone reports; unlisted workers are ignored. */
  public void recordPeerLoad(String peerId, Message.PeerLoadReport report) {
    long now = environment.nowMs();
    for (Message.PeerLoadReport.OwnLoad load : report.loads()) {
      WorkerState worker = statesById.get(load.worker());
      if (worker != null) {
        worker.recordPeerLoad(
            peerId, new PeerLoad(load.running(), load.unreadPromptTokens(), now), now);
      }
    }
  }

  /**
   * Records the load that a worker reported with a response, which includes this edge's own calls.
   * Ignored for workers that are polled.
   */
  public void recordLoad(WorkerState worker, WorkerLoad load) {
    if (worker.hasListedSlots()) {
      int others = load.running() + load.queued() - worker.ownCalls();
      worker.recordOtherCalls(Math.max(0, others), environment.nowMs());
    }
  }

  /** Weight of the worker's capacity, 0 to 1; less than 1 during its slow start. */
  public double slowStartWeight(WorkerState worker) {
    return outlierDetection.slowStartWeight(worker);
  }

  /** Expected wait of a further call for a slot, in milliseconds, with this many calls there. */
  double waitMs(WorkerState worker, double running) {
    int slots = Math.max(1, worker.capacity());
    return Math.max(0, running + 1 - slots) * worker.serviceTimeMs() / slots;
  }

  /** The worker rejected a call for want of capacity. */
  public void recordRejection(WorkerState worker) {
    outlierDetection.recordRejection(worker);
  }

  /** Whether an error is a worker's rejection for want of capacity, not because of the request. */
  public static boolean isCapacityRejection(ApiError error) {
    return error instanceof ApiError.WorkerRejected rejected
        && (rejected.status() == TOO_MANY_REQUESTS || rejected.status() == SERVICE_UNAVAILABLE);
  }

  /** A call has completed without error. */
  public void recordSuccess(WorkerState worker) {
    outlierDetection.recordSuccess(worker);
  }

  /** A call has completed without error, and its duration is typical of the worker's calls. */
  public void recordSuccess(WorkerState worker, long tookMs) {
    recordSuccess(worker);
    worker.recordServiceTime(tookMs);
  }

  /** Adds one row for each worker to the edge's status. */
  public void describe(ArrayNode rows) {
    for (WorkerState worker : statesById.values()) {
      rows.addObject()
          .put("id", worker.registration.id())
          .put("state", worker.registration.state())
          .put("usable", isUsable(worker))
          .put("running", worker.runningCalls())
          .put("capacity", worker.capacity())
          .put("leaving", worker.isDraining())
          .put("ownLive", worker.liveCalls())
          .put("ownBatch", worker.batchCalls);
    }
  }
}
