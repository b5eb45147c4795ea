package applespindle.corelogic.dataplane;

import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.node.NodeIdentity;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which edges lead batches, and in which order they are tried. Leading costs processor time in
 * proportion to a batch's bytes, and bandwidth to send them to every replica: on a machine with
 * little of either, that alone takes longer than clients wait. An edge is fit to lead if, with the
 * processor and link that its registration states, it can accept a batch of typical size within
 * {@link BatchConstants#MAX_LEADER_ACCEPT_MS}, or within twice the time of the fastest edge. An
 * edge whose registration does not state them is fit.
 */
public final class BatchLeaderPlacement {
  /** How many fit edges are tried before an edge that is not fit leads a batch submitted to it. */
  private static final int TRIES_ELSEWHERE = 2;

  private final int replicas;
  private final Map<String, NodeRegistration> fit = new LinkedHashMap<>();
  private final Map<String, NodeRegistration> others = new LinkedHashMap<>();

  /**
   * @param replicas how many replicas of a batch its leader sends to
   * @param edges those that are live now
   */
  BatchLeaderPlacement(int replicas, Collection<NodeRegistration> edges) {
    this.replicas = replicas;
    double fastestMs = edges.stream().mapToDouble(this::acceptMs).min().orElse(0);
    double slowestMs = Math.max(BatchConstants.MAX_LEADER_ACCEPT_MS, 2 * fastestMs);
    for (NodeRegistration edge : edges) {
      (acceptMs(edge) <= slowestMs ? fit : others).put(edge.id(), edge);
    }
  }

  /** Whether an edge is fit to lead, or there is none. */
  public boolean mayLead(String edgeId) {
    return fit.containsKey(edgeId) || fit.isEmpty();
  }

  /**
   * The edge for an attempt, in the agreed order for a key and cyclically; null if there is none.
   */
  public NodeAddress edge(String key, int attempt) {
    return target(order(key), attempt);
  }

  /** The edge for an attempt at a batch submitted to this edge; this edge if none is known. */
  public NodeAddress edgeFrom(NodeIdentity here, String key, int attempt) {
    NodeAddress chosen = target(orderFrom(here.id(), here.zone(), key), attempt);
    return chosen != null ? chosen : new NodeAddress(here.id(), here.peerAddress());
  }

  private static NodeAddress target(List<NodeRegistration> order, int attempt) {
    if (order.isEmpty()) {
      return null;
    }
    NodeRegistration edge = order.get(attempt % order.size());
    return new NodeAddress(edge.id(), edge.peerAddress());
  }

  /** All edges in the order agreed for a key: those fit to lead before the others. */
  List<NodeRegistration> order(String key) {
    List<NodeRegistration> order = new ArrayList<>(rendezvous(key, fit));
    order.addAll(rendezvous(key, others));
    return order;
  }

  /**
   * The order for a batch submitted to one edge. A fit edge comes first itself. Before an edge that
   * is not fit come at most {@link #TRIES_ELSEWHERE} fit ones, those of its own zone first, so that
   * the body crosses zones only if it must; then the edge itself, which can still lead if it does
   * not reach those. The rest is the agreed order. Compares ids and no registrations: a record's
   * own hash code is linked at its first use, which costs a small machine a tenth of a second.
   */
  List<NodeRegistration> orderFrom(String ownId, String ownZone, String key) {
    List<NodeRegistration> agreed = order(key);
    Map<String, NodeRegistration> order = new LinkedHashMap<>();
    if (!fit.containsKey(ownId)) {
      List<NodeRegistration> agreedFit = agreed.subList(0, fit.size());
      addUpTo(TRIES_ELSEWHERE, order, edgesOfZone(ownZone, agreedFit));
      addUpTo(TRIES_ELSEWHERE, order, agreedFit);
    }
    for (NodeRegistration edge : agreed) {
      if (edge.id().equals(ownId)) {
        order.put(ownId, edge);
      }
    }
    addUpTo(agreed.size(), order, agreed);
    return List.copyOf(order.values());
  }

  private static List<NodeRegistration> edgesOfZone(String zone, List<NodeRegistration> edges) {
    return edges.stream().filter(edge -> edge.zone().equals(zone)).toList();
  }

  /** Adds edges behind those in the order, each once, until it has so many. */
  private static void addUpTo(
      int most, Map<String, NodeRegistration> order, List<NodeRegistration> edges) {
    for (NodeRegistration edge : edges) {
      if (order.size() >= most) {
        return;
      }
      order.putIfAbsent(edge.id(), edge);
    }
  }

  /** How long an edge takes to accept a typical batch, in milliseconds; 0 if it is not known. */
  private double acceptMs(NodeRegistration edge) {
    double processorMs =
        edge.processorCores() <= 0
            ? 0
            : BatchConstants.LEADER_PROCESSOR_MS_PER_BATCH / edge.processorCores();
    double linkMs =
        edge.linkMegabits() <= 0
            ? 0
            : BatchConstants.TYPICAL_BATCH_BYTES * 8.0 * replicas / (edge.linkMegabits() * 1_000);
    return processorMs + linkMs;
  }

  private static List<NodeRegistration> rendezvous(
      String key, Map<String, NodeRegistration> edges) {
    return RendezvousHashing.order(key, edges.keySet()).stream().map(edges::get).toList();
  }
}
