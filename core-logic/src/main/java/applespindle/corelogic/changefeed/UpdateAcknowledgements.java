package applespindle.corelogic.changefeed;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.ChangeFeedConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.protocol.Message.AppliedPositions;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Delays the acknowledgement of a committed update until the edges apply it. Owns the updates that
 * wait, in the order of their requests; {@link AppliedPositionTracker} owns what edges reported.
 *
 * <p>Transitions of a waiting update:
 *
 * <ul>
 *   <li>to acknowledged, once every known edge applies it;
 *   <li>to acknowledged, after {@link ChangeFeedConstants#ALL_EDGES_WAIT_MS}, if a majority of the
 *       listed edges applies it. An edge that is cut off from the control plane for longer works on
 *       only while it reaches a majority of the same list, and learns the update from one of them.
 *   <li>to acknowledged, after {@link ChangeFeedConstants#CONNECTED_EDGES_WAIT_MS}, where edges
 *       that are cut off are not bound by acknowledgements. The feed brings a connected edge the
 *       update within the time in which it may still apply older values.
 *   <li>to unknown outcome, after {@link ChangeFeedConstants#ALL_EDGES_WAIT_MS} otherwise.
 * </ul>
 *
 * <p>Invariant: an update is acknowledged only while this node is in contact with a majority of the
 * control plane, because its list of edges may be outdated otherwise.
 */
public final class UpdateAcknowledgements {
  private static final int HTTP_OK = 200;

  /**
   * The edges that acknowledgements depend on.
   *
   * @param listed peer addresses on the replicated list of edges
   * @param live names of the edges that hold a lease, by peer address
   */
  public record KnownEdges(List<String> listed, Map<String, String> live) {
    /** The edges as committed and known here. */
    public static KnownEdges of(MetadataTable table) {
      Map<String, String> live = new TreeMap<>();
      table.live("edge").forEach(member -> live.put(member.peerAddress(), member.name()));
      List<String> listed = table.edges() == null ? List.of() : table.edges().addresses();
      return new KnownEdges(listed, live);
    }

    private boolean includes(String address) {
      return listed.contains(address) || live.containsKey(address);
    }

    /** All addresses, in order. */
    private Set<String> addresses() {
      Set<String> addresses = new TreeSet<>(listed);
      addresses.addAll(live.keySet());
      return addresses;
    }

    /** The name of a live edge; the address itself of another. */
    private String nameOf(String address) {
      return live.getOrDefault(address, address);
    }
  }

  private record PendingAcknowledgement(
      String key, long sequence, long startedAt, ObjectNode body, Consumer<Response> responder) {}

  private enum Decision {
    WAIT,
    ACKNOWLEDGE,
    REPORT_UNKNOWN_OUTCOME
  }

  private final Environment environment;
  private final boolean bindsDisconnectedEdges;
  private final Supplier<KnownEdges> edges;
  private final BooleanSupplier isInContactWithMajority;
  private final Consumer<String> requestPositions;
  private final AppliedPositionTracker appliedPositions = new AppliedPositionTracker();
  private final List<PendingAcknowledgement> pending = new ArrayList<>();

  /**
   * Creates the acknowledgements of one control plane node.
   *
   * @param bindsDisconnectedEdges whether an acknowledgement also binds edges that are cut off from
   *     the control plane, so that a majority of the listed edges must apply the update
   * @param edges the edges as known at the time of the call
   * @param isInContactWithMajority whether this node is in contact with a majority of the control
   *     plane
   * @param requestPositions asks the edge at a peer address to report what it applies
   */
  public UpdateAcknowledgements(
      Environment environment,
      boolean bindsDisconnectedEdges,
      Supplier<KnownEdges> edges,
      BooleanSupplier isInContactWithMajority,
      Consumer<String> requestPositions) {
    this.environment = environment;
    this.bindsDisconnectedEdges = bindsDisconnectedEdges;
    this.edges = edges;
    this.isInContactWithMajority = isInContactWithMajority;
    this.requestPositions = requestPositions;
  }

  /** Processes an edge's report and responds to the updates that waited for it. */
  public void handleAppliedPositions(AppliedPositions report) {
    appliedPositions.record(report);
    completePending();
  }

  /** Whether a majority of the listed edges applies the key's value of this sequence or newer. */
  public boolean isAppliedByMajority(String key, long sequence) {
    return appliedPositions.isAppliedByMajority(edges.get().listed(), key, sequence);
  }

  /**
   * Responds once the update is acknowledged, or its outcome is unknown; this may be at once.
   *
   * @param body of the response; the names of the edges that did and did not confirm are added
   * @param responder is called once
   */
  public void await(String key, long sequence, ObjectNode body, Consumer<Response> responder) {
    pending.add(new PendingAcknowledgement(key, sequence, environment.nowMs(), body, responder));
    tick();
  }

  /**
   * Responds to the updates whose wait is over, and asks again the edges that others wait for: a
   * message may be lost, and this process may have become the leader only now.
   */
  public void tick() {
    completePending();
    KnownEdges current = edges.get();
    appliedPositions.retainIf(current::includes);
    edgesToAsk(current).forEach(requestPositions);
  }

  /**
   * Without waiting updates a new leader asks all listed edges, until a majority has reported: the
   * next change of the list depends on their reports.
   */
  private Set<String> edgesToAsk(KnownEdges current) {
    Set<String> asked = new TreeSet<>();
    pending.forEach(update -> asked.addAll(unconfirmed(current, update)));
    if (asked.isEmpty() && !appliedPositions.hasReportsOfMajority(current.listed())) {
      asked.addAll(current.listed());
    }
    return asked;
  }

  /** Addresses of the known edges that did not report to apply the update. */
  private Set<String> unconfirmed(KnownEdges current, PendingAcknowledgement update) {
    Set<String> unconfirmed = current.addresses();
    unconfirmed.removeIf(
        address -> appliedPositions.isAppliedBy(address, update.key(), update.sequence()));
    return unconfirmed;
  }

  /** Takes all completed updates off the list first, as a response may start another update. */
  private void completePending() {
    if (pending.isEmpty()) {
      return;
    }
    KnownEdges current = edges.get();
    List<Runnable> responses = new ArrayList<>();
    pending.removeIf(
        update -> {
          Set<String> unconfirmed = unconfirmed(current, update);
          Decision decision = decide(current, update, unconfirmed.isEmpty());
          if (decision == Decision.WAIT) {
            return false;
          }
          addEdgeNames(update.body(), current, unconfirmed);
          responses.add(() -> update.responder().accept(response(update, decision)));
          return true;
        });
    responses.forEach(Runnable::run);
  }

  private Decision decide(
      KnownEdges current, PendingAcknowledgement update, boolean confirmedByAll) {
    long waitedMs = environment.nowMs() - update.startedAt();
    boolean confirmed = confirmedByAll || isConfirmedByEnough(current, update, waitedMs);
    if (confirmed && isInContactWithMajority.getAsBoolean()) {
      return Decision.ACKNOWLEDGE;
    }
    return waitedMs >= ChangeFeedConstants.ALL_EDGES_WAIT_MS
        ? Decision.REPORT_UNKNOWN_OUTCOME
        : Decision.WAIT;
  }

  /** Whether the update may be acknowledged although not every edge has confirmed it. */
  private boolean isConfirmedByEnough(
      KnownEdges current, PendingAcknowledgement update, long waitedMs) {
    if (!bindsDisconnectedEdges) {
      return waitedMs >= ChangeFeedConstants.CONNECTED_EDGES_WAIT_MS;
    }
    return waitedMs >= ChangeFeedConstants.ALL_EDGES_WAIT_MS
        && appliedPositions.isAppliedByMajority(current.listed(), update.key(), update.sequence());
  }

  private static void addEdgeNames(
      ObjectNode body, KnownEdges current, Set<String> unconfirmedAddresses) {
    ArrayNode confirmed = body.putArray("confirmed");
    ArrayNode unconfirmed = body.putArray("unconfirmed");
    for (String address : current.addresses()) {
      boolean isUnconfirmed = unconfirmedAddresses.contains(address);
      (isUnconfirmed ? unconfirmed : confirmed).add(current.nameOf(address));
    }
  }

  private static Response response(PendingAcknowledgement update, Decision decision) {
    return decision == Decision.ACKNOWLEDGE
        ? Response.of(HTTP_OK, update.body())
        : Response.of(new ApiError.OutcomeUnknown(update.key()));
  }
}
