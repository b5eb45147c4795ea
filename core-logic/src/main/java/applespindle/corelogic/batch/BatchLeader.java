package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchEvent.Assigned;
import applespindle.corelogic.batch.BatchEvent.Attempt;
import applespindle.corelogic.batch.BatchEvent.ProxiedRoute;
import applespindle.corelogic.batch.BatchEvent.Recorded;
import applespindle.corelogic.batch.BatchEvent.Result;
import applespindle.corelogic.batch.BatchEvent.Returned;
import applespindle.corelogic.batch.BatchState.Range;
import applespindle.corelogic.batch.BatchState.RangeState;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Invariant;
import applespindle.corelogic.environment.StageTimer;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import applespindle.corelogic.protocol.Message.RangeAssignment;
import applespindle.corelogic.protocol.Message.RangeReport;
import applespindle.corelogic.protocol.Message.RangeReportResponse;
import applespindle.corelogic.protocol.Message.RangeRequest;
import applespindle.corelogic.replication.ReplicatedLogLeader;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The leader of one batch: holds the order of its ranges and the progress of each, hands the next
 * range to whoever pulls, and takes reports. All it holds comes from the batch's log, except the
 * grants.
 */
public final class BatchLeader {
  /** What the leader needs of the edge it lives on. */
  public interface Context {
    void send(String toAddress, String toId, Message message);

    /** To every live edge, this one included. */
    void broadcastToEdges(Message message);

    /**
     * Tells the ledger what the batch still takes; then gets how much waits there in all, if it
     * answered.
     */
    void reportCapacity(String batch, long room, LongConsumer then);

    /** The bundle this edge works by, or null. */
    RoutingConfiguration configuration();

    /** What that bundle says of opaque requests; empty while there is none. */
    RouteTable routes();

    /** Whether that bundle is known to be the newest, or nearly. */
    boolean isMetadataFresh();

    void log(String sentence);

    /** When a batch is due on our clock as an earlier leader told it, or null if none did. */
    Long lastKnownDueAt(String batch);

    /**
     * A report moves the offset beyond what is recorded here yet; the results it carries must make
     * up for it.
     */
    void recordOffsetAhead(String batch);

    /** Something that must always hold does not. */
    void reportViolation(Invariant invariant, String detail);
  }

  /**
   * What a feeder gives back of a stream that was cut: no outcome, only where the next run may go
   * on.
   */
  static final String PART = new ApiError.WorkerStreamTruncated("").type();

  private static final String IMPOSSIBLE = new ApiError.ItemNotExecutable().type();
  private static final Consumer<ApiError> NO_CALLER = error -> {};
  private static final Runnable NOTHING_MORE = () -> {};

  private final Environment environment;
  private final Context edge;
  public final String batch;
  public final ReplicatedLogLeader leader;
  public final BatchState batchState = new BatchState();
  private final long bornAt;
  private final long ageAtBirthMs;

  /**
   * Range to when its grant ends on our clock; in memory only: a new leader gives each range a full
   * one.
   */
  private final Map<Integer, Long> rangeLeases = new HashMap<>();

  /** Ranges with an event on its way to the disks. */
  private final Set<Integer> busyRanges = new HashSet<>();

  private final Set<Integer> itemsBeingRecorded = new HashSet<>();

  /**
   * By item, the longest part of its stream that a feeder gave back; in memory only, a new leader
   * begins such items anew.
   */
  private final Map<Integer, ItemOutcome> partsOfStreams = new HashMap<>();

  private long lastOfferAt = Long.MIN_VALUE / 2;
  private long lastRoomReportAt = Long.MIN_VALUE / 2;
  private long lastReportedRoom = -1;

  /**
   * Of the route's ceiling, what all batches together took when the ledger last told; more than all
   * of it at first.
   */
  private double roomTaken = Double.MAX_VALUE;

  private long lastUsedAt;
  private long highestRangeEpoch;
  private boolean accepting;
  private boolean finishing;
  private boolean ending;

  /**
   * Since when, on our clock, the bundle has had no route for the items; MAX_VALUE while it has
   * one.
   */
  private long routelessSince = Long.MAX_VALUE;

  private final List<WaitingRead> waitingReads = new ArrayList<>();

  /** A read of results that came before there was one at its place. */
  private record WaitingRead(long from, Consumer<Response> then) {}

  public BatchLeader(Environment environment, Context edge, String batch, ReplicatedLogLeader key) {
    this.environment = environment;
    this.edge = edge;
    this.batch = batch;
    this.leader = key;
    for (LogEntry entry : key.entries()) {
      if (!entry.isTakeover()) {
        batchState.apply(entry.event());
      }
    }
    checkAcceptedOnce();
    bornAt = environment.nowMs();
    lastUsedAt = bornAt;
    Long heardDueAt = edge.lastKnownDueAt(batch);
    ageAtBirthMs =
        heardDueAt == null || batchState.accepted == null
            ? batchState.ageMs
            : Math.max(batchState.ageMs, batchState.accepted.dueInMs() - (heardDueAt - bornAt));
    highestRangeEpoch = batchState.highestRangeEpoch;
    for (int range = 0; range < batchState.ranges.size(); range++) {
      if (batchState.ranges.get(range).state == RangeState.ASSIGNED) {
        rangeLeases.put(range, bornAt + BatchConstants.RANGE_LEASE_MS);
      }
    }
    if (batchState.isOpen() && batchState.ranges.isEmpty()) {
      layOut();
    }
    if (batchState.isOpen()) {
      edge.broadcastToEdges(workOffer(0));
      offer();
    }
  }

  private long ageMs() {
    return ageAtBirthMs + environment.nowMs() - bornAt;
  }

  /**
   * Appends an event to the batch's log. Once it is committed it is folded into the view, then
   * commitListener runs; this has no time limit, so that the view holds every committed entry in
   * log order, as the next leader's will. Only the answer to a caller has a time limit.
   */
  private void append(BatchEvent event, Runnable whenCommitted, Consumer<ApiError> answer) {
    byte[] bytes = BatchEventCodec.encode(event);
    leader.append(
        event.kind().equals(BatchEvent.REMOVED),
        bytes,
        () -> {
          batchState.apply(event);
          checkAcceptedOnce();
          whenCommitted.run();
        },
        answer);
  }

  private void checkAcceptedOnce() {
    if (batchState.acceptedTwice) {
      edge.reportViolation(Invariant.BATCH_ACCEPTED_ONCE, batch);
    }
  }

  /** The same for an event that no caller waits for. */
  private void append(BatchEvent event, Runnable whenCommitted) {
    append(event, whenCommitted, NO_CALLER);
  }

  // ---- acceptance and end

  public void submit(Accepted accepted, Consumer<Response> then) {
    lastUsedAt = environment.nowMs();
    if (batchState.accepted != null || accepting) {
      leader.confirmLeadership(
          error ->
              then.accept(
                  error != null
                      ? unknown(error)
                      : batchState.accepted == null
                          ? Response.of(new ApiError.OutcomeUnknown(batch))
                          : SubmissionReader.haveDifferentContents(
                                  batchState.accepted.digest(), accepted.digest())
                              ? Response.of(new ApiError.IdempotencyKeyConflict(batch))
                              : Response.of(201, summary())));
      return;
    }
    accepting = true;
    StageTimer trace = new StageTimer(environment);
    append(
        BatchEvent.accepted(accepted),
        () -> {
          accepting = false;
          trace.mark("commit");
          edge.log(
              "Batch accepted: "
                  + batch
                  + ", "
                  + accepted.items().size()
                  + " items, from append to commit:"
                  + trace
                  + ".");
        },
        error -> then.accept(error == null ? Response.of(201, summary()) : unknown(error)));
    layOut(accepted.items().size());
  }

  private Response unknown(ApiError error) {
    return Response.of(
        error instanceof ApiError.NotLeader ? error : new ApiError.OutcomeUnknown(batch));
  }

  private void layOut() {
    layOut(batchState.accepted.items().size());
  }

  /**
   * Splits by position only; the items stay where they are recorded. The order is a random
   * permutation.
   */
  private void layOut(int items) {
    int ranges = (items + BatchConstants.ITEMS_PER_RANGE - 1) / BatchConstants.ITEMS_PER_RANGE;
    List<Integer> order = IntStream.range(0, ranges).boxed().collect(Collectors.toList());
    Collections.shuffle(order, new Random(environment.random().nextLong()));
    append(BatchEvent.ordered(order, BatchConstants.ITEMS_PER_RANGE), this::offer);
  }

  /**
   * Makes sure that nothing of this batch can be accepted by an older leader, and says so in the
   * record. A fault if the batch was accepted, or may be.
   */
  public void refuse(Consumer<ApiError> then) {
    if (batchState.accepted != null || accepting) {
      then.accept(new ApiError.OutcomeUnknown(batch));
      return;
    }
    if (batchState.refused) {
      then.accept(null);
      return;
    }
    append(BatchEvent.plain(BatchEvent.REFUSED, 0), NOTHING_MORE, then);
  }

  /**
   * Takes a batch that is over and was kept long enough off the disks; its key may be used anew
   * after that.
   */
  public void remove(Consumer<Response> then) {
    if (batchState.accepted != null && !batchState.isOpen()) {
      append(
          BatchEvent.plain(BatchEvent.REMOVED, 0),
          NOTHING_MORE,
          error -> then.accept(error == null ? Response.of(200, summary()) : unknown(error)));
    } else {
      then.accept(Response.of(200, summary()));
    }
  }

  public void end(Consumer<Response> then) {
    lastUsedAt = environment.nowMs();
    if (batchState.accepted == null) {
      leader.confirmLeadership(
          error ->
              then.accept(Response.of(error != null ? error : new ApiError.NoSuchBatch(batch))));
      return;
    }
    if (batchState.ended || batchState.finished || ending || batchState.unfinishedItems() == 0) {
      leader.confirmLeadership(
          error -> then.accept(error != null ? unknown(error) : Response.of(200, summary())));
      return;
    }
    ending = true;
    append(
        BatchEvent.plain(BatchEvent.ENDED, ageMs()),
        () -> {
          ending = false;
          rangeLeases.clear();
          edge.broadcastToEdges(new Message.BatchEnded(batch));
          edge.log("Batch ended: " + batch + ".");
          reportRoom(true);
          answerReads();
        },
        error -> then.accept(error == null ? Response.of(200, summary()) : unknown(error)));
  }

  // ---- reading

  public void read(Consumer<Response> then) {
    lastUsedAt = environment.nowMs();
    leader.confirmLeadership(
        error ->
            then.accept(
                error != null
                    ? Response.of(error)
                    : batchState.accepted == null
                        ? Response.of(new ApiError.NoSuchBatch(batch))
                        : Response.of(200, summary())));
  }

  public void readPromptResults(long after, int limit, Consumer<Response> then) {
    lastUsedAt = environment.nowMs();
    leader.confirmLeadership(
        error ->
            then.accept(
                error != null
                    ? Response.of(error)
                    : batchState.accepted == null
                        ? Response.of(new ApiError.NoSuchBatch(batch))
                        : Response.of(200, promptResultsPage(after, limit))));
  }

  /** Held until there is a result at that place, no more can come, or holdMs have passed. */
  public void readProxiedResults(long from, long holdMs, Consumer<Response> then) {
    lastUsedAt = environment.nowMs();
    leader.confirmLeadership(
        error -> {
          if (error != null) {
            then.accept(Response.of(error));
          } else if (batchState.accepted == null) {
            then.accept(Response.of(new ApiError.NoSuchBatch(batch)));
          } else if (from < batchState.results.size() || !batchState.isOpen() || holdMs <= 0) {
            then.accept(Response.of(200, proxiedResultsPage(from)));
          } else {
            WaitingRead read = new WaitingRead(from, then);
            waitingReads.add(read);
            environment.schedule(
                holdMs,
                () -> {
                  if (waitingReads.remove(read)) {
                    readProxiedResults(from, 0, then);
                  }
                });
          }
        });
  }

  /**
   * Only what is committed in our own epoch is in the view, so that a read held until now may be
   * answered from it.
   */
  private void answerReads() {
    for (WaitingRead read : List.copyOf(waitingReads)) {
      if (read.from() < batchState.results.size() || !batchState.isOpen()) {
        waitingReads.remove(read);
        read.then().accept(Response.of(200, proxiedResultsPage(read.from())));
      }
    }
  }

  /** At least one result if there is one at that place, and then as many as fit into a page. */
  private ObjectNode proxiedResultsPage(long from) {
    ObjectNode page = JSON.createObjectNode().put("total", batchState.items());
    ArrayNode rows = page.putArray("results");
    int number = (int) Math.min(from, Integer.MAX_VALUE);
    for (long bytes = 0;
        number < batchState.results.size() && bytes < BatchConstants.MAX_RESULTS_PAGE_BYTES;
        number++) {
      Result result = batchState.results.get(number);
      String output = result.output() == null ? "" : result.output();
      bytes += Json.bytes(output).length + 200;
      if (!rows.isEmpty() && bytes > BatchConstants.MAX_RESULTS_PAGE_BYTES) {
        break;
      }
      rows.addObject()
          .put("id", batchState.accepted.items().get(result.index()).path("id").asText())
          .put("state", result.errorType() == null ? "complete" : "expired")
          .put("output", output);
    }
    return page.put("next", number);
  }

  public void readProxiedItem(String item, Consumer<Response> then) {
    lastUsedAt = environment.nowMs();
    leader.confirmLeadership(
        error -> {
          JsonNode body =
              error != null || batchState.accepted == null
                  ? null
                  : batchState.accepted.items().stream()
                      .filter(each -> each.path("id").asText().equals(item))
                      .map(each -> each.path("body"))
                      .findFirst()
                      .orElse(null);
          then.accept(
              error != null
                  ? Response.of(error)
                  : body == null
                      ? Response.of(new ApiError.NoSuchBatch(batch))
                      : Response.of(200, JSON.createObjectNode().set("body", body)));
        });
  }

  private ObjectNode summary() {
    ObjectNode summary = JSON.createObjectNode();
    long failed = batchState.results.stream().filter(result -> result.errorType() != null).count();
    return summary
        .put("batch", batch)
        .put("state", batchState.state())
        .put("items", batchState.items())
        .put("recorded", batchState.results.size())
        .put("failed", failed)
        .put("ageMs", ageMs());
  }

  private ObjectNode promptResultsPage(long after, int limit) {
    ObjectNode page = summary();
    ArrayNode rows = page.putArray("results");
    int last = (int) Math.min(batchState.results.size(), after + limit);
    for (int number = (int) Math.min(after, last); number < last; number++) {
      Result result = batchState.results.get(number);
      JsonNode item = batchState.accepted.items().get(result.index());
      ObjectNode row =
          rows.addObject()
              .put("n", number + 1)
              .put("id", item.path("id").asText())
              .put("type", result.errorType() == null ? "succeeded" : "failed");
      if (result.errorType() == null) {
        row.put("output", result.output()).put("finish_reason", result.finishReason());
      } else {
        row.put("fault", result.errorType());
      }
      row.put("run", result.run()).put("worker", result.worker());
    }
    return page.put("next", Math.max(last, Math.min(after, batchState.results.size())));
  }

  // ---- ranges

  /**
   * Next range in the batch's order for whoever pulls; the pull itself says that a buffer ran
   * empty.
   */
  public void handleRangeRequest(RangeRequest pull, String fromId, String fromAddress) {
    int chosenRange = -1;
    if (batchState.isOpen() && !ending) {
      for (int range : batchState.order) {
        if (batchState.ranges.get(range).state == RangeState.UNASSIGNED
            && !busyRanges.contains(range)) {
          chosenRange = range;
          break;
        }
      }
    }
    if (chosenRange < 0) {
      edge.send(
          fromAddress,
          fromId,
          new RangeAssignment(batch, pull.worker(), 0, 0, true, 0, pull.sentAt(), List.of()));
      return;
    }
    int range = chosenRange;
    long rangeEpoch = ++highestRangeEpoch;
    busyRanges.add(range);
    rangeLeases.put(
        range,
        environment.nowMs()
            + ReplicationConstants.COMMIT_TIMEOUT_MS
            + BatchConstants.RANGE_LEASE_MS);
    append(
        BatchEvent.assigned(ageMs(), new Assigned(range, rangeEpoch, fromId, pull.worker())),
        () -> {
          busyRanges.remove(range);
          if (!batchState.isOpen()) {
            return;
          }
          rangeLeases.put(range, environment.nowMs() + BatchConstants.RANGE_LEASE_MS);
          edge.send(fromAddress, fromId, handout(pull, range, rangeEpoch));
        });
  }

  private RangeAssignment handout(RangeRequest pull, int range, long rangeEpoch) {
    Range handed = batchState.ranges.get(range);
    List<AssignedItem> items = new ArrayList<>();
    for (int index = handed.first + handed.offset; index < handed.first + handed.length; index++) {
      if (!batchState.hasResult(index) && !itemsBeingRecorded.contains(index)) {
        items.add(new AssignedItem(index, handedItem(index)));
      }
    }
    return new RangeAssignment(
        batch, pull.worker(), range, rangeEpoch, false, dueInMs(), pull.sentAt(), items);
  }

  private byte[] handedItem(int index) {
    JsonNode item = batchState.accepted.items().get(index);
    ProxiedRoute proxiedRoute = batchState.accepted.proxiedRoute();
    ItemOutcome part = partsOfStreams.get(index);
    return Json.bytes(
        proxiedRoute == null
            ? item
            : new ProxiedItemAssignment(
                proxiedRoute.host(),
                proxiedRoute.path(),
                batchState.accepted.expiresInMs() - ageMs(),
                JSON.convertValue(item, ProxiedBatch.Item.class),
                part == null ? "" : part.finishReason(),
                part == null ? "" : new String(part.output(), StandardCharsets.UTF_8)));
  }

  private long dueInMs() {
    return batchState.accepted.dueInMs() - ageMs();
  }

  /**
   * Results first to the disks, then the answer; only then may the feeder move its offset and
   * forget.
   */
  public void handleRangeReport(RangeReport report, String fromId, String fromAddress) {
    if (!batchState.isOpen() || ending || report.range() >= batchState.ranges.size()) {
      leader.confirmLeadership(error -> answer(report, fromId, fromAddress, false));
      return;
    }
    Range range = batchState.ranges.get(report.range());
    if (report.offset() > range.first + range.offset) {
      edge.recordOffsetAhead(batch);
    }
    boolean current = range.epoch == report.rangeEpoch() && range.state != RangeState.UNASSIGNED;
    if (current && !report.returned()) {
      rangeLeases.put(report.range(), environment.nowMs() + BatchConstants.RANGE_LEASE_MS);
    }
    List<Result> results = new ArrayList<>();
    List<Attempt> attempts = new ArrayList<>();
    sort(report, results, attempts);
    if (!results.isEmpty() || !attempts.isEmpty()) {
      results.forEach(result -> itemsBeingRecorded.add(result.index()));
      append(
          BatchEvent.recorded(
              ageMs(), new Recorded(report.range(), report.rangeEpoch(), results, attempts)),
          () -> {
            results.forEach(result -> itemsBeingRecorded.remove(result.index()));
            answerReads();
            finishIfDone();
          });
    }
    if (report.returned() && current) {
      append(
          BatchEvent.returned(ageMs(), new Returned(report.range(), report.rangeEpoch())),
          () -> {
            rangeLeases.remove(report.range());
            offer();
          });
    }
    boolean onlyRenews = results.isEmpty() && attempts.isEmpty() && !report.returned();
    Consumer<ApiError> answering =
        error -> {
          if (error == null) {
            boolean keep =
                batchState.isOpen()
                    && !report.returned()
                    && range.epoch == report.rangeEpoch()
                    && range.state == RangeState.ASSIGNED;
            answer(report, fromId, fromAddress, keep);
          }
        };
    if (onlyRenews) {
      leader.confirmAtBeat(answering);
    } else {
      leader.confirmLeadership(answering);
    }
  }

  private void answer(RangeReport report, String fromId, String fromAddress, boolean keep) {
    edge.send(
        fromAddress,
        fromId,
        new RangeReportResponse(
            batch,
            report.range(),
            report.rangeEpoch(),
            report.worker(),
            report.reportNumber(),
            keep));
  }

  private void sort(RangeReport report, List<Result> results, List<Attempt> attempts) {
    for (ItemOutcome item : report.results()) {
      if (item.index() < 0
          || item.index() >= batchState.items()
          || batchState.hasResult(item.index())
          || itemsBeingRecorded.contains(item.index())) {
        continue;
      }
      if (batchState.accepted.proxiedRoute() != null && item.faultType().equals(PART)) {
        partsOfStreams.merge(
            item.index(),
            item,
            (one, other) -> one.output().length > other.output().length ? one : other);
      } else if (item.faultType().isEmpty()) {
        partsOfStreams.remove(item.index());
        results.add(
            new Result(
                item.index(),
                item.run(),
                item.worker(),
                item.finishReason(),
                null,
                new String(item.output(), StandardCharsets.UTF_8)));
      } else if (item.faultType().equals(IMPOSSIBLE)) {
        results.add(
            new Result(item.index(), item.run(), item.worker(), null, item.faultType(), null));
      } else if (!batchState.hasFailed(item.run())) {
        attempts.add(new Attempt(item.index(), item.run(), item.faultType()));
        if (batchState.attempts(item.index()) + 1 >= attemptsMost()) {
          results.add(
              new Result(item.index(), item.run(), item.worker(), null, item.faultType(), null));
        }
      }
    }
  }

  /**
   * A route that allows more by now is obeyed; one that allows less would break what the batch was
   * taken with.
   */
  private int attemptsMost() {
    ProxiedRoute proxiedRoute = batchState.accepted.proxiedRoute();
    if (proxiedRoute == null) {
      return BatchConstants.MAX_ITEM_ATTEMPTS;
    }
    RoutingConfiguration.Route route = route();
    return Math.max(1, Math.max(proxiedRoute.attempts(), route == null ? 0 : route.attempts()));
  }

  private RoutingConfiguration.Route route() {
    return edge.routes()
        .findBatch(
            batchState.accepted.proxiedRoute().host(), batchState.accepted.proxiedRoute().path());
  }

  /**
   * True once a bundle not older than the one the batch was taken under has had no route for it for
   * a while. Older news, as an edge may have that takes the batch over, proves nothing.
   */
  private boolean routeless() {
    ProxiedRoute proxiedRoute = batchState.accepted.proxiedRoute();
    RoutingConfiguration configuration = edge.configuration();
    boolean gone =
        proxiedRoute != null
            && configuration != null
            && configuration.number() >= proxiedRoute.configurationNumber()
            && edge.isMetadataFresh()
            && route() == null;
    routelessSince = gone ? Math.min(routelessSince, environment.nowMs()) : Long.MAX_VALUE;
    return gone && environment.nowMs() - routelessSince >= BatchConstants.ROUTE_REMOVED_GRACE_MS;
  }

  private void finishIfDone() {
    if (batchState.accepted == null
        || batchState.ended
        || batchState.finished
        || finishing
        || batchState.unfinishedItems() > 0) {
      return;
    }
    finishing = true;
    append(
        BatchEvent.plain(BatchEvent.FINISHED, ageMs()),
        () -> {
          finishing = false;
          edge.log("Batch finished: " + batch + ", after " + ageMs() + " ms.");
          reportRoom(true);
          answerReads();
        });
  }

  // ---- time

  /**
   * True once nothing is left to do here and nobody has asked for a while: the key may be let go.
   */
  public boolean tick() {
    long now = environment.nowMs();
    if (!leader.isLeading()) {
      return true;
    }
    if (!batchState.isOpen()) {
      reportRoom(false);
      return now - lastUsedAt > BatchConstants.LEADER_IDLE_TIMEOUT_MS && !accepting;
    }
    finishIfDone();
    if (ageMs() > batchState.accepted.expiresInMs() || routeless()) {
      expireItems();
    }
    takeBackSilentRanges(now);
    if (now - lastOfferAt >= BatchConstants.OFFER_INTERVAL_MS) {
      offer();
    }
    reportRoom(false);
    return false;
  }

  private void takeBackSilentRanges(long now) {
    for (int range = 0; range < batchState.ranges.size(); range++) {
      Range each = batchState.ranges.get(range);
      if (each.state == RangeState.ASSIGNED
          && !busyRanges.contains(range)
          && now >= rangeLeases.getOrDefault(range, Long.MIN_VALUE)) {
        int silentRange = range;
        busyRanges.add(range);
        append(
            BatchEvent.returned(ageMs(), new Returned(range, each.epoch)),
            () -> {
              busyRanges.remove(silentRange);
              offer();
            });
      }
    }
  }

  private void expireItems() {
    List<Result> results = new ArrayList<>();
    for (int index = 0; index < batchState.items(); index++) {
      if (!batchState.hasResult(index) && itemsBeingRecorded.add(index)) {
        results.add(new Result(index, "", "", null, new ApiError.ItemExpired().type(), null));
      }
    }
    if (!results.isEmpty()) {
      append(
          BatchEvent.recorded(ageMs(), new Recorded(-1, 0, results, List.of())),
          () -> {
            results.forEach(result -> itemsBeingRecorded.remove(result.index()));
            edge.broadcastToEdges(new Message.BatchEnded(batch));
            answerReads();
            finishIfDone();
          });
    }
  }

  private BatchOffer workOffer(int unassigned) {
    ProxiedRoute proxiedRoute = batchState.accepted.proxiedRoute();
    return new BatchOffer(
        batch,
        dueInMs(),
        unassigned,
        proxiedRoute == null ? "" : proxiedRoute.host(),
        proxiedRoute == null ? "" : proxiedRoute.path());
  }

  private void offer() {
    lastOfferAt = environment.nowMs();
    if (!batchState.isOpen() || ending) {
      return;
    }
    int unassigned =
        (int)
            batchState.ranges.stream()
                .filter(range -> range.state == RangeState.UNASSIGNED)
                .count();
    if (unassigned > 0) {
      edge.broadcastToEdges(workOffer(unassigned));
    }
  }

  private void reportRoom(boolean atOnce) {
    long now = environment.nowMs();
    long waiting = batchState.remainingCapacity();
    boolean scarce =
        batchState.accepted == null
            || batchState.accepted.proxiedRoute() == null
            || roomTaken > BatchConstants.CAPACITY_SCARCE_SHARE;
    if ((waiting != lastReportedRoom || waiting == 0)
        && batchState.accepted != null
        && (atOnce
            || now - lastRoomReportAt
                >= (scarce
                    ? BatchConstants.CAPACITY_REPORT_INTERVAL_MS
                    : BatchConstants.CAPACITY_REPORT_SLOW_INTERVAL_MS))) {
      lastRoomReportAt = now;
      lastReportedRoom = waiting;
      edge.reportCapacity(batch, waiting, this::roomToldOf);
    }
  }

  private void roomToldOf(long waitingInAll) {
    if (batchState.accepted != null && batchState.accepted.proxiedRoute() != null) {
      long ceiling = batchState.accepted.proxiedRoute().maxWaitingTokens();
      roomTaken = ceiling == 0 ? 0 : waitingInAll / (double) ceiling;
    }
  }

  /** The key is not ours any more: whoever waits here is told to ask again. */
  public void leadershipLost() {
    List<WaitingRead> reads = List.copyOf(waitingReads);
    waitingReads.clear();
    reads.forEach(read -> read.then().accept(Response.of(new ApiError.NotLeader(leader.key))));
  }
}
