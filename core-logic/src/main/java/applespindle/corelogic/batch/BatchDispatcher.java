package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.WorkerRanks;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.RangeAssignment;
import applespindle.corelogic.protocol.Message.RangeReportResponse;
import applespindle.corelogic.protocol.Message.RangeSize;
import applespindle.corelogic.worker.WorkerRegistry;

/**
 * The dispatcher of batch items at an edge, for the workers that this edge dispatches to. It takes
 * the messages of batch leaders and does the periodic work; {@link WorkerDispatcher} sends the
 * items.
 *
 * <p>A range is requested after its batch was offered, held from its assignment, and forgotten once
 * its items have run and the leader has acknowledged all outcomes, or long after its lease ended.
 * An outcome is kept until the leader has answered a report that carried it, so that a lost message
 * or a new leader loses none.
 */
public final class BatchDispatcher {
  /** What the dispatcher needs of the edge it runs on. */
  public interface Context {
    /** Sends a message; an empty id means whoever is at the address. */
    void send(String toAddress, String toId, Message message);

    /** Whether this edge is the one that dispatches batch items to the worker. */
    boolean dispatchesTo(String worker);

    /** The error that forbids new work now, or null; checked right before each item is sent. */
    ApiError rejectionOfNewWork();

    /** The configuration this edge works by, or null. */
    RoutingConfiguration configuration();

    /** The routes of proxied requests in that configuration; empty while there is none. */
    RouteTable routes();

    /** The ranks of items at workers, by the configuration in force. */
    WorkerRanks workerRanks();

    /** Whether this edge is being stopped, so that it starts nothing more. */
    boolean isStopping();
  }

  /** After so many lease times a range without outcomes is forgotten. */
  private static final int ABANDONED_AFTER_LEASES = 4;

  private final Environment environment;
  private final WorkerRegistry registry;
  private final RangeRequester rangeRequester;
  private final RangeReporter reporter;
  private final AssignedRanges ranges = new AssignedRanges();
  private final WorkerDispatcher workerDispatcher;

  /**
   * @param nodeId of this edge; the ids of runs begin with it
   */
  public BatchDispatcher(
      Environment environment, String nodeId, Context edge, WorkerRegistry registry) {
    this.environment = environment;
    this.registry = registry;
    this.rangeRequester = new RangeRequester(environment, edge, ranges::heldItemBytes);
    this.reporter = new RangeReporter(environment, edge);
    this.workerDispatcher =
        new WorkerDispatcher(environment, nodeId, edge, registry, ranges, rangeRequester, reporter);
  }

  // ---- messages of leaders

  /** Takes the leader of a batch from its offer, and requests ranges of it if there are any. */
  public void handleOffer(BatchOffer offer, String fromId, String fromAddress) {
    leaderMoved(offer.batch(), fromId, fromAddress);
    if (offer.unassignedRanges() > 0) {
      rangeRequester.recordOffer(offer, new NodeAddress(fromId, fromAddress));
      dispatch();
    }
  }

  /** Takes how large the ranges of a batch are, which its next offer may be for. */
  public void handleRangeSize(RangeSize size) {
    rangeRequester.recordRangeSize(size);
  }

  /** Sends the reports of the batch's ranges to its new leader from now on. */
  public void leaderMoved(String batch, String leaderId, String leaderAddress) {
    NodeAddress leader = new NodeAddress(leaderId, leaderAddress);
    ranges.all().stream()
        .filter(range -> range.batch.equals(batch) && !range.leader.equals(leader))
        .forEach(range -> range.changeLeader(leader));
  }

  /** Holds the assigned range, or notes that the batch has none left. */
  public void handleAssignment(RangeAssignment assignment, String fromId, String fromAddress) {
    rangeRequester.handleAnswered(assignment.batch(), assignment.worker());
    if (assignment.none()) {
      rangeRequester.exhausted(assignment.batch());
    } else {
      NodeAddress leader = new NodeAddress(fromId, fromAddress);
      ranges.add(new AssignedRange(assignment, leader, environment.nowMs()));
    }
    rangeRequester.recount();
    dispatch();
  }

  /** Renews the range's lease, or drops the range if its leader has reassigned it. */
  public void handleReportResponse(RangeReportResponse response) {
    AssignedRange range = ranges.get(response.batch(), response.range(), response.rangeEpoch());
    if (range == null) {
      return;
    }
    range.handleReportResponse(response.reportNumber(), response.keepLease());
    ranges.removeIfDone(range);
    dispatch();
  }

  /** Cancels all runs of the batch and forgets its ranges. */
  public void batchEnded(String batch) {
    rangeRequester.exhausted(batch);
    ranges.all().stream().filter(range -> range.batch.equals(batch)).forEach(this::end);
    dispatch();
  }

  private void end(AssignedRange range) {
    workerDispatcher.cancelRuns(range);
    range.unacknowledged.clear();
    range.drop();
    ranges.removeIfDone(range);
  }

  // ---- periodic work

  /** Sends as many items to each worker as it has capacity for, and requests ranges. */
  public void dispatch() {
    workerDispatcher.dispatch();
  }

  /**
   * Fails lost runs, returns the ranges of removed workers, and reports each range that is due for
   * it: a report renews the lease and repeats the outcomes that were not answered in time.
   */
  public void tick() {
    workerDispatcher.failLostRuns();
    rangeRequester.recount();
    ranges.all().stream()
        .filter(range -> registry.get(range.worker) == null)
        .forEach(reporter::returnRange);
    long now = environment.nowMs();
    for (AssignedRange range : ranges.all()) {
      if (range.isReportDue(now)) {
        reporter.report(range);
      }
      if (isAbandoned(range, now)) {
        ranges.remove(range);
      }
    }
    dispatch();
  }

  /** Nothing of the range runs, and its lease ended so long ago that no response will come. */
  private static boolean isAbandoned(AssignedRange range, long now) {
    long lapsedMs = now - range.leaseEndsAt;
    return range.running.isEmpty()
        && lapsedMs > ABANDONED_AFTER_LEASES * BatchConstants.RANGE_LEASE_MS
        && (range.unacknowledged.isEmpty() || lapsedMs > BatchConstants.OUTCOME_RETENTION_MS);
  }

  /**
   * Returns all items that have not been started, for a graceful stop.
   *
   * @return true once nothing runs and the leaders have acknowledged all outcomes
   */
  public boolean drain() {
    ranges.all().forEach(reporter::returnRange);
    return ranges.all().stream()
        .allMatch(range -> range.running.isEmpty() && range.unacknowledged.isEmpty());
  }

  /** How many ranges are assigned to this edge. */
  public int heldRanges() {
    return ranges.size();
  }

  /** The size of the items of the ranges assigned to this edge, in bytes. */
  public long heldItemBytes() {
    return ranges.heldItemBytes();
  }

  /** How many batch items run at workers from here. */
  public int runningItems() {
    return ranges.countRuns();
  }
}
