package applespindle.corelogic.changefeed;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.ChangeFeedConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.protocol.Message.AppliedPositions;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Acknowledged means in force. Holds a yes back until every edge works by the news; after a wait,
 * until a majority of the listed edges does: an edge that has not heard the core for longer than
 * that wait goes on only beside a majority of the same list, and learns from one of them. What is
 * not in force by then is told as an outcome not known. Where a yes binds only edges that hear the
 * core, the wait is short and nothing more is asked of the others: the feed brings such an edge the
 * news well within the time that it may still use older ones.
 */
public final class UpdateAcknowledgements {
  /** The listed edges by address, and the addresses of all that hold a grant, with their names. */
  public record KnownEdges(List<String> listed, Map<String, String> live) {
    /** The edges as committed and known here. */
    public static KnownEdges of(MetadataTable table) {
      Map<String, String> live = new TreeMap<>();
      table.live("edge").forEach(member -> live.put(member.peerAddress(), member.name()));
      List<String> listed = table.edges() == null ? List.of() : table.edges().addresses();
      return new KnownEdges(listed, live);
    }
  }

  private record PendingAcknowledgement(
      String key, long sequence, long begunAt, ObjectNode body, Consumer<Response> then) {}

  private final Environment environment;
  private final Supplier<KnownEdges> edges;

  /**
   * Whether this core node hears a majority of the core now; without that its list of edges may be
   * an old one.
   */
  private final BooleanSupplier hearsCore;

  private final Consumer<String> askEdge;

  /**
   * By edge address and key, the highest place the edge said it works by. Never falls, as the
   * edge's own does not.
   */
  private final Map<String, Map<String, Long>> knownPlaces = new HashMap<>();

  private final List<PendingAcknowledgement> waiting = new ArrayList<>();

  /**
   * Whether edges that are cut off from the core count too; else only a core that hears a majority
   * of itself does.
   */
  private final boolean edgesConfirm;

  public UpdateAcknowledgements(
      Environment environment,
      boolean edgesConfirm,
      Supplier<KnownEdges> edges,
      BooleanSupplier hearsCore,
      Consumer<String> askEdge) {
    this.edgesConfirm = edgesConfirm;
    this.environment = environment;
    this.edges = edges;
    this.hearsCore = hearsCore;
    this.askEdge = askEdge;
  }

  public void handleAppliedPositions(AppliedPositions known) {
    Map<String, Long> places =
        knownPlaces.computeIfAbsent(known.edgeAddress(), unseen -> new HashMap<>());
    known.positions().forEach(place -> places.merge(place.key(), place.sequence(), Math::max));
    settle();
  }

  private boolean knows(String address, String key, long sequence) {
    return knownPlaces.getOrDefault(address, Map.of()).getOrDefault(key, 0L) >= sequence;
  }

  public boolean isAppliedByMajority(String key, long sequence) {
    return mostKnow(edges.get(), key, sequence);
  }

  private boolean mostKnow(KnownEdges present, String key, long sequence) {
    return present.listed().stream().filter(address -> knows(address, key, sequence)).count() * 2
        > present.listed().size();
  }

  public void await(String key, long sequence, ObjectNode body, Consumer<Response> then) {
    waiting.add(new PendingAcknowledgement(key, sequence, environment.nowMs(), body, then));
    tick();
  }

  /**
   * Asks the edges that are waited for again: a message may be lost, and this process may be new to
   * its duty.
   */
  public void tick() {
    settle();
    KnownEdges present = edges.get();
    knownPlaces
        .keySet()
        .removeIf(
            address -> !present.listed().contains(address) && !present.live().containsKey(address));
    Set<String> asked = new TreeSet<>();
    waiting.forEach(each -> asked.addAll(missing(present, each)));
    if (asked.isEmpty() && !knowsAnything(present)) {
      asked.addAll(present.listed());
    }
    asked.forEach(askEdge);
  }

  /**
   * A process that just took its duty up has heard no edge yet, and the next change of the list
   * needs them.
   */
  private boolean knowsAnything(KnownEdges present) {
    return present.listed().stream().filter(knownPlaces::containsKey).count() * 2
        > present.listed().size();
  }

  private Set<String> missing(KnownEdges present, PendingAcknowledgement each) {
    Set<String> missing = new TreeSet<>(present.listed());
    missing.addAll(present.live().keySet());
    missing.removeIf(address -> knows(address, each.key(), each.sequence()));
    return missing;
  }

  private void settle() {
    if (waiting.isEmpty()) {
      return;
    }
    KnownEdges present = edges.get();
    List<Runnable> told = new ArrayList<>();
    waiting.removeIf(
        each -> {
          Set<String> missing = missing(present, each);
          long waited = environment.nowMs() - each.begunAt();
          boolean waitedLong = waited >= ChangeFeedConstants.ALL_EDGES_WAIT_MS;
          boolean enough =
              missing.isEmpty()
                  || (edgesConfirm
                      ? waitedLong
                      : waited >= ChangeFeedConstants.CONNECTED_EDGES_WAIT_MS);
          boolean inForce =
              enough
                  && hearsCore.getAsBoolean()
                  && (missing.isEmpty()
                      || !edgesConfirm
                      || mostKnow(present, each.key(), each.sequence()));
          if (!inForce && !waitedLong) {
            return false;
          }
          ArrayNode confirmed = each.body().putArray("confirmed");
          ArrayNode unconfirmed = each.body().putArray("unconfirmed");
          Set<String> all = new TreeSet<>(present.listed());
          all.addAll(present.live().keySet());
          all.forEach(
              address ->
                  (missing.contains(address) ? unconfirmed : confirmed)
                      .add(present.live().getOrDefault(address, address)));
          told.add(
              () ->
                  each.then()
                      .accept(
                          inForce
                              ? Response.of(200, each.body())
                              : Response.of(new ApiError.OutcomeUnknown(each.key()))));
          return true;
        });
    told.forEach(Runnable::run);
  }
}
