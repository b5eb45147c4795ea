package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.batch.BatchEvent.Assigned;
import applespindle.corelogic.batch.BatchEvent.ProxiedRoute;
import applespindle.corelogic.batch.BatchEvent.Returned;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import applespindle.corelogic.protocol.Message.RangeAssignment;
import applespindle.corelogic.protocol.Message.RangeRequest;
import applespindle.corelogic.protocol.Message.RangeSize;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Assigns the ranges of a batch to dispatchers, one per request, and reclaims those whose lease
 * ended.
 *
 * <p>A range is offered to all edges while it is unassigned, assigned to the first dispatcher that
 * requests it, and offered again after its return. Each assignment has a higher epoch than all
 * before it and is committed before its items are sent. The leases are in memory only: a new leader
 * starts a full one for each assigned range.
 */
final class RangeAssigner {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Environment environment;
  private final BatchLeader.Context edge;
  private final BatchLog log;
  private final UnrecordedOutcomes unrecorded;

  /** By range: when its lease ends, on this node's clock in milliseconds. */
  private final Map<Integer, Long> leaseEndsAt = new HashMap<>();

  /** Ranges whose assignment or reclaim is appended and not committed. */
  private final Set<Integer> changingRanges = new HashSet<>();

  private long highestRangeEpoch;
  private long lastOfferAt = NEVER;

  RangeAssigner(
      Environment environment,
      BatchLeader.Context edge,
      BatchLog log,
      UnrecordedOutcomes unrecorded) {
    this.environment = environment;
    this.edge = edge;
    this.log = log;
    this.unrecorded = unrecorded;
    highestRangeEpoch = log.state.highestRangeEpoch;
    for (int range = 0; range < log.state.ranges.size(); range++) {
      if (log.state.ranges.get(range).state == BatchRange.State.ASSIGNED) {
        leaseEndsAt.put(range, log.startedAt() + BatchConstants.RANGE_LEASE_MS);
      }
    }
  }

  // ---- order and offers

  /**
   * Divides the items into ranges, by position only, and records the order in which they are
   * assigned: a random permutation, offered once it is committed.
   */
  void appendOrder(int items) {
    int ranges = (items + BatchConstants.ITEMS_PER_RANGE - 1) / BatchConstants.ITEMS_PER_RANGE;
    List<Integer> order = IntStream.range(0, ranges).boxed().collect(Collectors.toList());
    Collections.shuffle(order, new Random(environment.random().nextLong()));
    log.append(BatchEvent.ordered(order, BatchConstants.ITEMS_PER_RANGE), this::offer);
  }

  /** Announces to all edges that this node leads the batch, without offering ranges. */
  void announceLeader() {
    edge.broadcastToEdges(createOffer(0));
  }

  /** Offers the unassigned ranges to all edges, if there are any. */
  void offer() {
    lastOfferAt = environment.nowMs();
    if (!log.isTakingWork()) {
      return;
    }
    int unassigned =
        (int)
            log.state.ranges.stream()
                .filter(range -> range.state == BatchRange.State.UNASSIGNED)
                .count();
    if (unassigned > 0) {
      announceRangeSize();
      edge.broadcastToEdges(createOffer(unassigned));
    }
  }

  /** Tells the dispatchers how large the ranges are, if that matters to their memory. */
  private void announceRangeSize() {
    long bytes = log.state.largestRangeBytes();
    if (bytes >= BatchConstants.ANNOUNCED_RANGE_BYTES) {
      edge.broadcastToEdges(new RangeSize(log.batch, bytes));
    }
  }

  /** Repeats the offer after {@link BatchConstants#OFFER_INTERVAL_MS}. */
  void offerIfDue(long now) {
    if (now - lastOfferAt >= BatchConstants.OFFER_INTERVAL_MS) {
      offer();
    }
  }

  private BatchOffer createOffer(int unassigned) {
    ProxiedRoute route = log.state.accepted.proxiedRoute();
    return new BatchOffer(
        log.batch,
        log.dueInMs(),
        unassigned,
        route == null ? "" : route.host(),
        route == null ? "" : route.path());
  }

  // ---- assignment

  /** Assigns the next range in the batch's order, or responds that there is none. */
  void handleRequest(RangeRequest request, String fromId, String fromAddress) {
    int range = nextUnassigned();
    if (range < 0) {
      edge.send(fromAddress, fromId, noRange(request));
      return;
    }
    long rangeEpoch = ++highestRangeEpoch;
    changingRanges.add(range);
    long now = environment.nowMs();
    leaseEndsAt.put(
        range, now + ReplicationConstants.COMMIT_TIMEOUT_MS + BatchConstants.RANGE_LEASE_MS);
    log.append(
        BatchEvent.assigned(log.ageMs(), new Assigned(range, rangeEpoch, fromId, request.worker())),
        () -> {
          changingRanges.remove(range);
          if (log.state.isOpen()) {
            renewLease(range);
            sendAssignment(request, range, rangeEpoch, fromId, fromAddress);
          }
        });
  }

  /** Number of the first range in the batch's order that may be assigned; negative if none. */
  private int nextUnassigned() {
    if (!log.isTakingWork()) {
      return -1;
    }
    for (int range : log.state.order) {
      if (log.state.ranges.get(range).state == BatchRange.State.UNASSIGNED
          && !changingRanges.contains(range)) {
        return range;
      }
    }
    return -1;
  }

  private RangeAssignment noRange(RangeRequest request) {
    return new RangeAssignment(
        log.batch, request.worker(), 0, 0, true, 0, request.sentAt(), List.of());
  }

  /** Sends the items without a result once they are read, if the range is still assigned then. */
  private void sendAssignment(
      RangeRequest request, int number, long rangeEpoch, String fromId, String fromAddress) {
    BatchRange range = log.state.ranges.get(number);
    List<Integer> indexes = new ArrayList<>();
    for (int index = range.first + range.offset; index < range.first + range.length; index++) {
      if (!log.state.hasResult(index) && !unrecorded.isBeingRecorded(index)) {
        indexes.add(index);
      }
    }
    log.contents.readItems(
        indexes.stream().map(log.state::itemPart).toList(),
        items -> {
          if (items != null && log.isTakingWork() && range.isAssigned(rangeEpoch)) {
            edge.send(fromAddress, fromId, assignment(request, number, rangeEpoch, indexes, items));
          }
        });
  }

  private RangeAssignment assignment(
      RangeRequest request,
      int number,
      long rangeEpoch,
      List<Integer> indexes,
      List<JsonNode> items) {
    List<AssignedItem> assigned = new ArrayList<>();
    for (int position = 0; position < indexes.size(); position++) {
      int index = indexes.get(position);
      assigned.add(new AssignedItem(index, encodeItem(index, items.get(position))));
    }
    return new RangeAssignment(
        log.batch,
        request.worker(),
        number,
        rangeEpoch,
        false,
        log.dueInMs(),
        request.sentAt(),
        assigned);
  }

  /** A prompt as it was accepted; a proxied item with where and from which event on it is run. */
  private byte[] encodeItem(int index, JsonNode item) {
    ProxiedRoute route = log.state.accepted.proxiedRoute();
    if (route == null) {
      return Json.bytes(item);
    }
    ItemOutcome partial = unrecorded.partialStream(index);
    return Json.bytes(
        new ProxiedItemAssignment(
            route.host(),
            route.path(),
            log.state.accepted.expiresInMs() - log.ageMs(),
            JSON.convertValue(item, ProxiedBatch.Item.class),
            partial == null ? "" : partial.finishReason(),
            partial == null ? "" : new String(partial.output(), StandardCharsets.UTF_8),
            route.tenant()));
  }

  // ---- leases

  /** Starts a full lease of the range. */
  void renewLease(int range) {
    leaseEndsAt.put(range, environment.nowMs() + BatchConstants.RANGE_LEASE_MS);
  }

  /** Forgets all leases, as the batch has ended. */
  void clearLeases() {
    leaseEndsAt.clear();
  }

  /** Records that the dispatcher returned the range, and offers it again. */
  void returnRange(int range, long rangeEpoch) {
    log.append(
        BatchEvent.returned(log.ageMs(), new Returned(range, rangeEpoch)),
        () -> {
          leaseEndsAt.remove(range);
          offer();
        });
  }

  /** Reclaims the assigned ranges whose dispatcher has not renewed the lease in time. */
  void reclaimExpiredRanges(long now) {
    for (int range = 0; range < log.state.ranges.size(); range++) {
      BatchRange each = log.state.ranges.get(range);
      if (each.state == BatchRange.State.ASSIGNED
          && !changingRanges.contains(range)
          && now >= leaseEndsAt.getOrDefault(range, Long.MIN_VALUE)) {
        reclaim(range, each.epoch);
      }
    }
  }

  private void reclaim(int range, long rangeEpoch) {
    changingRanges.add(range);
    log.append(
        BatchEvent.returned(log.ageMs(), new Returned(range, rangeEpoch)),
        () -> {
          changingRanges.remove(range);
          offer();
        });
  }
}
