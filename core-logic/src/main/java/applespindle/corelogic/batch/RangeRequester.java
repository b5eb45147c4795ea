package applespindle.corelogic.batch;

import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.memory.HolderAccount;
import applespindle.corelogic.memory.MemoryHolder;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.RangeRequest;
import applespindle.corelogic.protocol.Message.RangeSize;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Requests ranges from the leaders of batches for workers that run out of items. It holds which
 * batches were offered, until their leader says that none is left or the offer is too old, and
 * which requests are unanswered: one per batch and worker at a time.
 *
 * <p>Invariant: a range is requested only if its items, as its leader says how large they may be,
 * have room beside those that are held or requested; one range always has room.
 */
final class RangeRequester {
  /** A batch with unassigned ranges, as its leader last offered it. */
  private static final class Offer {
    NodeAddress leader;

    /** Host of a proxied batch; empty for a batch of prompts. */
    String host;

    String path;
    long dueAt;
    long receivedAt;
  }

  /** The room that a range of a batch takes, as its leader last announced it. */
  private record RangeRoom(long bytes, long receivedAt) {}

  /** An unanswered request, with the room that is kept for its items. */
  private record PendingRequest(long sentAt, long reservedBytes) {}

  /** The body of an item is in base64 in an assignment: four bytes for three. */
  private static final double ASSIGNED_BYTES_FACTOR = 4.0 / 3;

  private final Environment environment;
  private final BatchDispatcher.Context edge;
  private final Map<String, Offer> offers = new LinkedHashMap<>();

  /** Unanswered requests, by batch and worker. */
  private final Map<String, PendingRequest> pendingRequests = new HashMap<>();

  /** By batch; small ranges are not announced. */
  private final Map<String, RangeRoom> roomByBatch = new HashMap<>();

  private final LongSupplier heldItemBytes;
  private final HolderAccount account;

  /**
   * @param heldItemBytes the size of the items that are held now, in bytes
   */
  RangeRequester(
      Environment environment, BatchDispatcher.Context edge, LongSupplier heldItemBytes) {
    this.environment = environment;
    this.edge = edge;
    this.heldItemBytes = heldItemBytes;
    this.account = environment.memory().open(MemoryHolder.ASSIGNED_ITEMS);
  }

  void recordOffer(BatchOffer offer, NodeAddress leader) {
    Offer known = offers.computeIfAbsent(offer.batch(), unseen -> new Offer());
    known.leader = leader;
    known.host = offer.host();
    known.path = offer.path();
    known.receivedAt = environment.nowMs();
    known.dueAt = environment.nowMs() + offer.dueInMs();
  }

  void recordRangeSize(RangeSize size) {
    long bytes = (long) (size.largestRangeBytes() * ASSIGNED_BYTES_FACTOR);
    roomByBatch.put(size.batch(), new RangeRoom(bytes, environment.nowMs()));
  }

  /** Forgets the request that the leader has answered. */
  void handleAnswered(String batch, String workerId) {
    pendingRequests.remove(requestKey(batch, workerId));
  }

  /** Forgets the offer of a batch without unassigned ranges. */
  void exhausted(String batch) {
    offers.remove(batch);
    roomByBatch.remove(batch);
  }

  private static String requestKey(String batch, String workerId) {
    return batch + " " + workerId;
  }

  /** Requests ranges of the batches that come first, until they cover the wanted items. */
  void requestRanges(WorkerRegistration worker, int wanted, DeadlineOrder order) {
    String workerId = worker.id();
    long now = environment.nowMs();
    offers.values().removeIf(offer -> now - offer.receivedAt > BatchConstants.OFFER_EXPIRY_MS);
    roomByBatch.values().removeIf(room -> now - room.receivedAt() > BatchConstants.OFFER_EXPIRY_MS);
    pendingRequests
        .values()
        .removeIf(request -> now - request.sentAt() > BatchConstants.OFFER_EXPIRY_MS);
    long unanswered =
        pendingRequests.keySet().stream().filter(name -> name.endsWith(" " + workerId)).count();
    int missing = wanted - BatchConstants.ITEMS_PER_RANGE * (int) unanswered;
    if (missing <= 0 || edge.rejectionOfNewWork() != null) {
      return;
    }
    for (String batch : batchesByDeadline(worker, order)) {
      if (missing <= 0) {
        return;
      }
      long rangeBytes = rangeBytes(batch);
      String name = requestKey(batch, workerId);
      if (!pendingRequests.containsKey(name) && reserve(rangeBytes)) {
        pendingRequests.put(name, new PendingRequest(now, rangeBytes));
        NodeAddress leader = offers.get(batch).leader;
        edge.send(leader.address(), leader.id(), new RangeRequest(batch, workerId, now));
        missing -= BatchConstants.ITEMS_PER_RANGE;
      }
    }
  }

  private long rangeBytes(String batch) {
    RangeRoom room = roomByBatch.get(batch);
    return room == null ? 0 : room.bytes();
  }

  /** Counts what is held or requested anew, as runs have begun or ended since. */
  void recount() {
    long bytes = heldItemBytes.getAsLong();
    for (PendingRequest request : pendingRequests.values()) {
      bytes += request.reservedBytes();
    }
    account.holdExactly(bytes);
  }

  private boolean reserve(long rangeBytes) {
    recount();
    if (account.heldBytes() == 0) {
      account.hold(rangeBytes);
      return true;
    }
    return account.tryReserveEvicting(rangeBytes);
  }

  private List<String> batchesByDeadline(WorkerRegistration worker, DeadlineOrder order) {
    return offers.entrySet().stream()
        .filter(entry -> mayRunAt(worker, entry.getValue()))
        .sorted((one, other) -> order.compare(one.getValue().dueAt, other.getValue().dueAt))
        .map(Map.Entry::getKey)
        .toList();
  }

  private boolean mayRunAt(WorkerRegistration worker, Offer offer) {
    if (offer.host.isEmpty()) {
      return worker.pool().equals(edge.configuration().limits().batch().pool());
    }
    Route route = edge.routes().findBatch(offer.host, offer.path);
    return route != null && route.sendsTo(worker.pool());
  }
}
