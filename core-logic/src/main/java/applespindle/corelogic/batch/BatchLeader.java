package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Invariant;
import applespindle.corelogic.environment.StageTimer;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.RangeReport;
import applespindle.corelogic.protocol.Message.RangeRequest;
import applespindle.corelogic.replication.ReplicatedLogLeader;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The leader of one batch: accepts and ends it, and passes requests to the parts that assign its
 * ranges, record its results, answer its reads and report its capacity.
 *
 * <p>A batch is unknown, then accepted (or refused, for as long as it is not accepted), and at last
 * either finished, when each item has a result, or ended by its client. A finished or ended batch
 * stays readable until it is removed. All state comes from the batch's log but for the leases, the
 * waiting reads and the partial streams, which a new leader begins anew.
 */
public final class BatchLeader {
  /** What the leader needs of the edge it runs on. */
  public interface Context {
    /** Sends a message; an empty id means whoever is at the address. */
    void send(String toAddress, String toId, Message message);

    /** Sends to every live edge, this one included. */
    void broadcastToEdges(Message message);

    /**
     * Reports to the capacity ledger how much waiting work the batch still takes.
     *
     * @param capacity tokens of a proxied batch, items of a batch of prompts
     * @param then gets the waiting work of all batches of the route, if the ledger responds
     */
    void reportCapacity(String batch, long capacity, LongConsumer then);

    /** The configuration this edge works by, or null. */
    RoutingConfiguration configuration();

    /** The routes of proxied requests in that configuration; empty while there is none. */
    RouteTable routes();

    /** Whether that configuration is known to be the newest, or nearly. */
    boolean isMetadataFresh();

    /** Logs a sentence about a batch. */
    void log(String sentence);

    /**
     * When the batch is due on this node's clock, in milliseconds, by the newest offer of an
     * earlier leader; null if none came.
     */
    Long lastKnownDueAt(String batch);

    /**
     * Counts a report whose offset is beyond the recorded one; the results it carries must make up
     * for the difference.
     */
    void recordOffsetAhead(String batch);

    /** Reports that an invariant does not hold. */
    void reportViolation(Invariant invariant, String detail);
  }

  public final String batch;
  public final ReplicatedLogLeader logLeader;
  public final BatchState batchState;
  private final Environment environment;
  private final Context edge;
  private final BatchLog log;
  private final BatchResponses responses;
  private final BatchReads reads;
  private final BatchCapacityReporter capacity;
  private final RangeAssigner ranges;
  private final RangeReportHandler reports;
  private final BatchExpiry expiry;
  private long lastUsedAt;
  private boolean acceptancePending;
  private boolean finishPending;

  /**
   * Starts to lead a batch: folds its log, completes an acceptance that an earlier leader left
   * without an order of ranges, and offers the unassigned ranges.
   *
   * @param logLeader of the batch's log; the node must have won its election
   */
  public BatchLeader(
      Environment environment, Context edge, String batch, ReplicatedLogLeader leader) {
    this.environment = environment;
    this.edge = edge;
    this.batch = batch;
    this.logLeader = leader;
    log = new BatchLog(environment, edge, batch, leader);
    batchState = log.state;
    lastUsedAt = log.startedAt();
    responses = new BatchResponses(log);
    reads = new BatchReads(environment, log, responses, this::markUsed);
    capacity = new BatchCapacityReporter(environment, edge, log);
    BatchRoute route = new BatchRoute(environment, edge, batchState);
    UnrecordedOutcomes unrecorded = new UnrecordedOutcomes();
    ranges = new RangeAssigner(environment, edge, log, unrecorded);
    reports = new RangeReportHandler(edge, log, ranges, route, unrecorded, this::handleNewResults);
    expiry = new BatchExpiry(edge, log, route, unrecorded, this::handleNewResults);
    if (batchState.isOpen() && batchState.ranges.isEmpty()) {
      ranges.appendOrder(batchState.items());
    }
    if (batchState.isOpen()) {
      ranges.announceLeader();
      ranges.offer();
    }
  }

  private void markUsed() {
    lastUsedAt = environment.nowMs();
  }

  // ---- acceptance and end

  /**
   * Accepts the batch and responds with 201 once that is committed. The same batch again gets the
   * same response; another one under the same id gets IdempotencyKeyConflict. OutcomeUnknown tells
   * the client that the batch may be accepted later.
   */
  public void submit(Accepted accepted, Consumer<Response> then) {
    markUsed();
    if (batchState.accepted != null || acceptancePending) {
      log.confirmLeadership(error -> then.accept(responseToRepeated(accepted, error)));
      return;
    }
    acceptancePending = true;
    StageTimer stages = new StageTimer(environment);
    int items = accepted.items().size();
    log.append(
        BatchEvent.accepted(accepted),
        () -> {
          acceptancePending = false;
          stages.mark("commit");
          logAcceptance(items, stages);
        },
        respondWithSummary(201, then));
    ranges.appendOrder(items);
  }

  private void logAcceptance(int items, StageTimer stages) {
    edge.log(
        "Batch accepted: "
            + batch
            + ", "
            + items
            + " items, from append to commit:"
            + stages
            + ".");
  }

  private Response responseToRepeated(Accepted accepted, ApiError error) {
    if (error != null) {
      return unknownOutcome(error);
    }
    if (batchState.accepted == null) {
      return Response.of(new ApiError.OutcomeUnknown(batch));
    }
    if (SubmissionReader.haveDifferentContents(batchState.accepted.digest(), accepted.digest())) {
      return Response.of(new ApiError.IdempotencyKeyConflict(batch));
    }
    return Response.of(201, responses.summary());
  }

  private Consumer<ApiError> respondWithSummary(int status, Consumer<Response> then) {
    return error ->
        then.accept(
            error == null ? Response.of(status, responses.summary()) : unknownOutcome(error));
  }

  /** Only a lost leadership before the append is certain; any other error leaves it open. */
  private Response unknownOutcome(ApiError error) {
    return Response.of(
        error instanceof ApiError.NotLeader ? error : new ApiError.OutcomeUnknown(batch));
  }

  /**
   * Makes sure that nothing of this batch can be accepted by an older leader, and records that.
   *
   * @param then gets null once it is committed, or OutcomeUnknown if the batch is or may be
   *     accepted
   */
  public void refuse(Consumer<ApiError> then) {
    if (batchState.accepted != null || acceptancePending) {
      then.accept(new ApiError.OutcomeUnknown(batch));
      return;
    }
    if (batchState.refused) {
      then.accept(null);
      return;
    }
    log.append(BatchEvent.plain(BatchEvent.REFUSED, 0), BatchLog.NO_ACTION, then);
  }

  /**
   * Removes a finished or ended batch from the disks; its id may be used again. An open one stays.
   */
  public void remove(Consumer<Response> then) {
    if (batchState.accepted != null && !batchState.isOpen()) {
      log.append(
          BatchEvent.plain(BatchEvent.REMOVED, 0),
          BatchLog.NO_ACTION,
          respondWithSummary(200, then));
    } else {
      then.accept(Response.of(200, responses.summary()));
    }
  }

  /** Ends the batch on request of its client; results that are not recorded by then are dropped. */
  public void end(Consumer<Response> then) {
    markUsed();
    if (batchState.accepted == null) {
      log.confirmLeadership(
          error ->
              then.accept(Response.of(error != null ? error : new ApiError.NoSuchBatch(batch))));
      return;
    }
    if (!hasUnfinishedItems() || log.isEndPending()) {
      log.confirmLeadership(respondWithSummary(200, then));
      return;
    }
    log.appendEnd(
        () -> {
          ranges.clearLeases();
          edge.broadcastToEdges(new Message.BatchEnded(batch));
          edge.log("Batch ended: " + batch + ".");
          capacity.reportNow();
          reads.answerWaiting();
        },
        respondWithSummary(200, then));
  }

  private boolean hasUnfinishedItems() {
    return batchState.isOpen() && batchState.unfinishedItems() > 0;
  }

  private void handleNewResults() {
    reads.answerWaiting();
    finishIfDone();
  }

  private void finishIfDone() {
    if (!batchState.isOpen() || batchState.unfinishedItems() > 0 || finishPending) {
      return;
    }
    finishPending = true;
    log.append(
        BatchEvent.plain(BatchEvent.FINISHED, log.ageMs()),
        () -> {
          finishPending = false;
          edge.log("Batch finished: " + batch + ", after " + log.ageMs() + " ms.");
          capacity.reportNow();
          reads.answerWaiting();
        });
  }

  // ---- reads

  /** Responds with the state of the batch, or NoSuchBatch. */
  public void read(Consumer<Response> then) {
    reads.readSummary(then);
  }

  /**
   * Responds with a page of the results of a batch of prompts.
   *
   * @param after how many results to skip
   * @param limit the most results in the page
   */
  public void readPromptResults(long after, int limit, Consumer<Response> then) {
    reads.readPromptResults(after, limit, then);
  }

  /**
   * Responds with a page of the results of a proxied batch; held until there is a result at that
   * position, no more can come, or the time has passed.
   *
   * @param from the position of the first result
   * @param holdMs how long to wait for it, in milliseconds; zero does not wait
   */
  public void readProxiedResults(long from, long holdMs, Consumer<Response> then) {
    reads.readProxiedResults(from, holdMs, then);
  }

  /**
   * Responds with the request body of an item by its client's id for it, or NoSuchBatch.
   *
   * @param raw whether as an {@link ItemBody}; else as JSON, for an edge of an earlier version
   */
  public void readProxiedItem(String item, boolean raw, Consumer<Response> then) {
    reads.readProxiedItem(item, raw, then);
  }

  // ---- dispatchers

  /** Assigns the next range to the dispatcher that asks, or responds that there is none. */
  public void handleRangeRequest(RangeRequest request, String fromId, String fromAddress) {
    ranges.handleRequest(request, fromId, fromAddress);
  }

  /** Records what a dispatcher reports of a range, and responds once that is committed. */
  public void handleRangeReport(RangeReport report, String fromId, String fromAddress) {
    reports.handle(report, fromId, fromAddress);
  }

  // ---- time

  /**
   * Does the periodic work of the leader.
   *
   * @return true once nothing is left to do here and no client has asked for {@link
   *     BatchConstants#LEADER_IDLE_TIMEOUT_MS}, or the leadership is lost: this object may be
   *     released
   */
  public boolean tick() {
    long now = environment.nowMs();
    if (!logLeader.isLeading()) {
      return true;
    }
    if (!batchState.isOpen()) {
      capacity.reportIfDue();
      return now - lastUsedAt > BatchConstants.LEADER_IDLE_TIMEOUT_MS && !acceptancePending;
    }
    finishIfDone();
    expiry.expireItemsIfDue();
    ranges.reclaimExpiredRanges(now);
    ranges.offerIfDue(now);
    capacity.reportIfDue();
    return false;
  }

  /** Answers the waiting reads with NotLeader, so that their clients ask again. */
  public void leadershipLost() {
    reads.failWaiting(new ApiError.NotLeader(logLeader.key));
  }
}
