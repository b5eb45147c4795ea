package applespindle.corelogic.batch;

import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sends the items of the assigned ranges to the workers that this edge dispatches to, as each has
 * free capacity, and requests further ranges before a worker runs out of items.
 *
 * <p>Ranges of workers that are no longer dispatched to from here, or that stay full, are returned.
 * Live requests come first: if the configuration says so, the newest items are cancelled for them.
 */
final class WorkerDispatcher implements DispatchTrigger {
  private final Environment environment;
  private final BatchDispatcher.Context edge;
  private final WorkerRegistry registry;
  private final AssignedRanges ranges;
  private final RangeRequester rangeRequester;
  private final RangeReporter reporter;
  private final WorkerBatchCapacity capacity;
  private final ItemRunner runner;

  /** By worker: since when it has had no capacity for a further item. */
  private final Map<String, Long> fullSince = new HashMap<>();

  private boolean recheckScheduled;

  WorkerDispatcher(
      Environment environment,
      String nodeId,
      BatchDispatcher.Context edge,
      WorkerRegistry registry,
      AssignedRanges ranges,
      RangeRequester rangeRequester,
      RangeReporter reporter) {
    this.environment = environment;
    this.edge = edge;
    this.registry = registry;
    this.ranges = ranges;
    this.rangeRequester = rangeRequester;
    this.reporter = reporter;
    this.capacity = new WorkerBatchCapacity(environment, edge, registry, ranges::countStartingRuns);
    this.runner = new ItemRunner(environment, nodeId, edge, registry, capacity, reporter, this);
  }

  @Override
  public void dispatch() {
    for (WorkerState worker : List.copyOf(registry.all())) {
      dispatch(worker);
    }
  }

  @Override
  public void dispatch(WorkerState worker) {
    String workerId = worker.registration.id();
    boolean dispatches = edge.dispatchesTo(workerId) && !edge.isStopping();
    DeadlineOrder order = new DeadlineOrder(environment.nowMs(), capacity.itemDurationMs());
    List<AssignedRange> workerRanges = ranges.ofWorker(workerId, order);
    if (!dispatches
        || !registry.isUsableBefore(
            worker, environment.nowMs() + WorkerConstants.LOAD_POLL_INTERVAL_MS)) {
      workerRanges.forEach(reporter::returnRange);
      capacity.clearDispatching(workerId);
      return;
    }
    capacity.markDispatching(workerId);
    int free = capacity.free(worker);
    cancelForLiveRequests(worker, free);
    free = sendItems(workerRanges, worker, free);
    returnRangesIfLongFull(workerRanges, workerId, free);
    int unsent = workerRanges.stream().mapToInt(range -> range.unsent.size()).sum();
    int ahead = free > 0 ? BatchConstants.PREFETCH_RANGES * BatchConstants.ITEMS_PER_RANGE : 0;
    rangeRequester.requestRanges(worker.registration, free + ahead - unsent, order);
  }

  /** Sends as many items as there is capacity for, and returns how much of it is left. */
  private int sendItems(List<AssignedRange> workerRanges, WorkerState worker, int free) {
    int left = free;
    for (AssignedRange range : workerRanges) {
      left = sendItems(range, worker, left);
    }
    return left;
  }

  private int sendItems(AssignedRange range, WorkerState worker, int free) {
    int freeNow = free;
    for (int left = range.unsent.size(); left > 0; left--) {
      if (freeNow <= 0 || range.unsent.isEmpty()) {
        return freeNow;
      }
      if (capacity.hasPromptBacklog(worker)) {
        scheduleRecheck();
        return freeNow;
      }
      if (range.isBackingOff(range.unsent.peek().index(), environment.nowMs())) {
        range.unsent.add(range.unsent.poll());
      } else if (runner.start(range, worker)) {
        freeNow--;
        fullSince.remove(worker.registration.id());
      } else {
        return freeNow;
      }
    }
    return freeNow;
  }

  private void scheduleRecheck() {
    if (!recheckScheduled) {
      recheckScheduled = true;
      environment.schedule(
          BatchConstants.ITEM_CHECK_INTERVAL_MS,
          () -> {
            recheckScheduled = false;
            dispatch();
          });
    }
  }

  /** Returns the unsent items of a worker that stays full, as another may run them sooner. */
  private void returnRangesIfLongFull(List<AssignedRange> workerRanges, String workerId, int free) {
    if (free > 0) {
      fullSince.remove(workerId);
      return;
    }
    long now = environment.nowMs();
    long since = fullSince.computeIfAbsent(workerId, unseen -> now);
    if (now - since > BatchConstants.RANGE_LEASE_MS) {
      workerRanges.stream().filter(range -> !range.unsent.isEmpty()).forEach(reporter::returnRange);
    }
  }

  /**
   * Cancels the newest items for live requests, if the configuration allows that. The items go back
   * to the front of their ranges; the output of prompts is dropped.
   */
  private void cancelForLiveRequests(WorkerState worker, int free) {
    if (worker.registration.slots() != 0 || worker.free() > 0 || free >= 0) {
      return;
    }
    RoutingConfiguration.BatchLimits limits = edge.configuration().limits().batch();
    if (limits.cancelForLive()) {
      cancelNewest(worker, Math.min(-free, limits.liveReserve()));
    }
  }

  private void cancelNewest(WorkerState worker, int number) {
    ranges.newestRunsOf(worker.registration.id()).stream()
        .limit(number)
        .forEach(
            run -> {
              runner.cancel(run);
              run.range.requeue(run);
            });
  }

  /** Cancels all runs of the range. */
  void cancelRuns(AssignedRange range) {
    List.copyOf(range.running.values()).forEach(runner::cancel);
  }

  /** Fails the runs whose worker has been silent for too long. */
  void failLostRuns() {
    for (AssignedRange range : ranges.all()) {
      List.copyOf(range.running.values()).forEach(runner::failIfLost);
    }
  }
}
