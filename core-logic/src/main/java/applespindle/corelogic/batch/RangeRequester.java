package applespindle.corelogic.batch;

import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.WorkerRegistration;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.RangeRequest;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests ranges from the leaders of batches for workers that run out of items. It holds which
 * batches were offered, until their leader says that none is left or the offer is too old, and
 * which requests are unanswered: one per batch and worker at a time.
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

  private final Environment environment;
  private final BatchDispatcher.Context edge;
  private final Map<String, Offer> offers = new LinkedHashMap<>();

  /** Unanswered requests, by batch and worker, with the time of sending. */
  private final Map<String, Long> pendingRequests = new HashMap<>();

  RangeRequester(Environment environment, BatchDispatcher.Context edge) {
    this.environment = environment;
    this.edge = edge;
  }

  void recordOffer(BatchOffer offer, NodeAddress leader) {
    Offer known = offers.computeIfAbsent(offer.batch(), unseen -> new Offer());
    known.leader = leader;
    known.host = offer.host();
    known.path = offer.path();
    known.receivedAt = environment.nowMs();
    known.dueAt = environment.nowMs() + offer.dueInMs();
  }

  /** Forgets the request that the leader has answered. */
  void requestAnswered(String batch, String workerId) {
    pendingRequests.remove(requestKey(batch, workerId));
  }

  /** Forgets the offer of a batch without unassigned ranges. */
  void exhausted(String batch) {
    offers.remove(batch);
  }

  private static String requestKey(String batch, String workerId) {
    return batch + " " + workerId;
  }

  /** Requests ranges of the batches that come first, until they cover the wanted items. */
  void requestRanges(WorkerRegistration worker, int wanted, DeadlineOrder order) {
    String workerId = worker.id();
    long now = environment.nowMs();
    offers.values().removeIf(offer -> now - offer.receivedAt > BatchConstants.OFFER_EXPIRY_MS);
    pendingRequests.values().removeIf(sentAt -> now - sentAt > BatchConstants.OFFER_EXPIRY_MS);
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
      if (pendingRequests.putIfAbsent(requestKey(batch, workerId), now) == null) {
        NodeAddress leader = offers.get(batch).leader;
        edge.send(leader.address(), leader.id(), new RangeRequest(batch, workerId, now));
        missing -= BatchConstants.ITEMS_PER_RANGE;
      }
    }
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
