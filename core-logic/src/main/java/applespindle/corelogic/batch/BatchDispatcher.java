package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.RangeAssignment;
import applespindle.corelogic.protocol.Message.RangeReportResponse;
import applespindle.corelogic.worker.WorkerRegistry;
import applespindle.corelogic.worker.WorkerState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * This edge's feeding of workers with batch items, for those workers whose feeder it is. It pulls a
 * range when its buffer for a worker runs empty, streams the items in order, and moves on only from
 * what the leader has recorded.
 */
public final class BatchDispatcher implements ItemRunner.RangeSource {
  /** What the feeder needs of the edge it lives on. */
  public interface Context {
    void send(String toAddress, String toId, Message message);

    boolean dispatchesTo(String worker);

    /** Null when work may begin now; asked right before each item is sent. */
    ApiError rejectionOfNewWork();

    RoutingConfiguration configuration();

    /** What that bundle says of opaque requests; empty while there is none. */
    RouteTable routes();

    boolean isStopping();
  }

  private final Environment environment;
  private final Context edge;
  private final WorkerRegistry registry;
  private final RangeRequester puller;
  private final WorkerBatchCapacity capacity;
  private final RangeReporter reporter;
  private final ItemRunner runner;

  /** By batch, range and epoch: one assignment is held once. */
  private final Map<String, AssignedRange> held = new LinkedHashMap<>();

  /** By worker: since when it has had no room for a further item. */
  private final Map<String, Long> fullSince = new HashMap<>();

  private boolean looksAgain;

  public BatchDispatcher(
      Environment environment, String nodeId, Context edge, WorkerRegistry registry) {
    this.environment = environment;
    this.edge = edge;
    this.registry = registry;
    this.puller = new RangeRequester(environment, edge);
    this.capacity = new WorkerBatchCapacity(environment, edge, registry, this::starting);
    this.reporter = new RangeReporter(environment, edge);
    this.runner = new ItemRunner(environment, nodeId, edge, registry, capacity, reporter, this);
  }

  // ---- what leaders say

  public void handleOffer(BatchOffer offer, String fromId, String fromAddress) {
    leaderMoved(offer.batch(), fromId, fromAddress);
    if (offer.unassignedRanges() > 0) {
      puller.offered(offer, new NodeAddress(fromId, fromAddress));
      pump();
    }
  }

  public void leaderMoved(String batch, String leaderId, String leaderAddress) {
    NodeAddress leader = new NodeAddress(leaderId, leaderAddress);
    held.values().stream()
        .filter(range -> range.batch.equals(batch) && !range.leader.equals(leader))
        .forEach(range -> range.moveTo(leader));
  }

  public void handleAssignment(RangeAssignment assignment, String fromId, String fromAddress) {
    puller.answered(assignment.batch(), assignment.worker());
    if (assignment.none()) {
      puller.exhausted(assignment.batch());
    } else {
      NodeAddress leader = new NodeAddress(fromId, fromAddress);
      AssignedRange range = new AssignedRange(assignment, leader, environment.nowMs());
      held.put(range.name(), range);
    }
    pump();
  }

  public void handleReportResponse(RangeReportResponse answer) {
    AssignedRange range =
        held.get(AssignedRange.name(answer.batch(), answer.range(), answer.rangeEpoch()));
    if (range == null) {
      return;
    }
    range.answered(answer.reportNumber(), answer.keepLease());
    forgetIfDone(range);
    pump();
  }

  public void batchEnded(String batch) {
    puller.exhausted(batch);
    List.copyOf(held.values()).stream()
        .filter(range -> range.batch.equals(batch))
        .forEach(this::end);
    pump();
  }

  private void end(AssignedRange range) {
    List.copyOf(range.running.values()).forEach(runner::cancel);
    range.unanswered.clear();
    range.drop();
    forgetIfDone(range);
  }

  private void forgetIfDone(AssignedRange range) {
    if (range.isDone()) {
      held.remove(range.name());
    }
  }

  // ---- feeding

  @Override
  public void pump() {
    for (WorkerState worker : List.copyOf(registry.all())) {
      pump(worker);
    }
  }

  @Override
  public void pump(WorkerState worker) {
    String workerId = worker.registration.id();
    boolean feeds = edge.dispatchesTo(workerId) && !edge.isStopping();
    DeadlineOrder order = new DeadlineOrder(environment.nowMs(), capacity.itemMs());
    List<AssignedRange> ranges = rangesAt(workerId, order);
    if (!feeds
        || !registry.isUsableBefore(
            worker, environment.nowMs() + WorkerConstants.LOAD_POLL_INTERVAL_MS)) {
      ranges.forEach(reporter::giveBack);
      capacity.feedsNoMore(workerId);
      return;
    }
    capacity.feeds(workerId);
    int free = capacity.free(worker);
    makeRoomForLive(worker, free);
    free = sendItems(ranges, worker, free);
    giveBackIfLongFull(ranges, workerId, free);
    int unsent = ranges.stream().mapToInt(range -> range.unsent.size()).sum();
    int ahead = free > 0 ? BatchConstants.PREFETCH_RANGES * BatchConstants.ITEMS_PER_RANGE : 0;
    puller.pull(worker.registration, free + ahead - unsent, order);
  }

  private List<AssignedRange> rangesAt(String workerId, DeadlineOrder order) {
    return held.values().stream()
        .filter(range -> range.worker.equals(workerId))
        .sorted((one, other) -> order.compare(one.dueAt, other.dueAt))
        .toList();
  }

  /** Sends what fits, and says how much room is left. */
  private int sendItems(List<AssignedRange> ranges, WorkerState worker, int free) {
    int left = free;
    for (AssignedRange range : ranges) {
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
      AssignedItem item = range.unsent.peek();
      if (capacity.hasMuchToRead(worker)) {
        lookAgain();
        return freeNow;
      }
      if (range.rests(item.index(), environment.nowMs())) {
        range.unsent.add(range.unsent.poll());
      } else if (runner.begin(range, worker)) {
        freeNow--;
        fullSince.remove(worker.registration.id());
      } else {
        return freeNow;
      }
    }
    return freeNow;
  }

  private void lookAgain() {
    if (!looksAgain) {
      looksAgain = true;
      environment.schedule(
          BatchConstants.ITEM_CHECK_INTERVAL_MS,
          () -> {
            looksAgain = false;
            pump();
          });
    }
  }

  /** A worker that stays full keeps no unsent items, which another may run sooner. */
  private void giveBackIfLongFull(List<AssignedRange> ranges, String workerId, int free) {
    if (free > 0) {
      fullSince.remove(workerId);
      return;
    }
    long now = environment.nowMs();
    long since = fullSince.computeIfAbsent(workerId, unseen -> now);
    if (now - since > BatchConstants.RANGE_LEASE_MS) {
      ranges.stream().filter(range -> !range.unsent.isEmpty()).forEach(reporter::giveBack);
    }
  }

  /**
   * Live traffic needs the room: the newest items go back to the front of their ranges; their
   * partial output is dropped.
   */
  private void makeRoomForLive(WorkerState worker, int free) {
    if (worker.registration.slots() != 0 || worker.free() > 0 || free >= 0) {
      return;
    }
    RoutingConfiguration.BatchLimits limits = edge.configuration().limits().batch();
    if (limits.cancelForLive()) {
      cancelNewest(worker, Math.min(-free, limits.liveReserve()));
    }
  }

  private void cancelNewest(WorkerState worker, int number) {
    List<ItemRun> newestFirst = new ArrayList<>();
    held.values().stream()
        .filter(range -> range.worker.equals(worker.registration.id()))
        .forEach(range -> newestFirst.addAll(range.running.values()));
    Collections.reverse(newestFirst);
    newestFirst.stream()
        .limit(number)
        .forEach(
            run -> {
              runner.cancel(run);
              run.range.putBack(run);
            });
  }

  /** Runs of opaque items at a worker from which nothing has come yet. */
  private int starting(WorkerState worker) {
    int starting = 0;
    for (AssignedRange range : held.values()) {
      if (range.worker.equals(worker.registration.id())) {
        for (ItemRun run : range.running.values()) {
          starting += run.status == 0 ? 1 : 0;
        }
      }
    }
    return starting;
  }

  // ---- regular duties

  /**
   * Reports again and again: it renews the range's lease and carries what was not answered in time.
   */
  public void tick() {
    giveUpLostRuns();
    List.copyOf(held.values()).stream()
        .filter(range -> registry.get(range.worker) == null)
        .forEach(reporter::giveBack);
    long now = environment.nowMs();
    for (AssignedRange range : List.copyOf(held.values())) {
      if (range.isReportDue(now)) {
        reporter.report(range);
      }
      if (isLapsed(range, now)) {
        held.remove(range.name());
      }
    }
    pump();
  }

  private void giveUpLostRuns() {
    for (AssignedRange range : List.copyOf(held.values())) {
      List.copyOf(range.running.values()).forEach(runner::giveUpIfLost);
    }
  }

  /** Nothing of the range runs, and its lease ended so long ago that no answer will come. */
  private static boolean isLapsed(AssignedRange range, long now) {
    long lapsedMs = now - range.leaseEndsAt;
    return range.running.isEmpty()
        && lapsedMs > 4 * BatchConstants.RANGE_LEASE_MS
        && (range.unanswered.isEmpty() || lapsedMs > BatchConstants.OUTCOME_RETENTION_MS);
  }

  /**
   * For a polite stop: gives back all that has not begun. True once nothing runs and nothing is
   * unanswered.
   */
  public boolean drain() {
    List.copyOf(held.values()).forEach(reporter::giveBack);
    return held.values().stream()
        .allMatch(range -> range.running.isEmpty() && range.unanswered.isEmpty());
  }

  public int heldRanges() {
    return held.size();
  }

  public int runningItems() {
    return held.values().stream().mapToInt(range -> range.running.size()).sum();
  }
}
