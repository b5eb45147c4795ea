package applespindle.corelogic;

import applespindle.corelogic.Records.EdgeList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the leader of the edge list's key does: keeps the list of edges whose confirmation counts in
 * step with the live ones. Invariant: lists change one address at a time, each only once a majority
 * of the listed edges knows the present one.
 */
final class EdgeListDuty {
  private static final String PART = "core";

  private final Surroundings surroundings;
  private final CoreTable table;
  private final CoreMembership membership;
  private final CoreKeys keys;
  private final NewsInForce inForce;
  private final EdgeListing listing;

  EdgeListDuty(
      Surroundings surroundings,
      CoreTable table,
      CoreMembership membership,
      CoreKeys keys,
      NewsInForce inForce) {
    this.surroundings = surroundings;
    this.table = table;
    this.membership = membership;
    this.keys = keys;
    this.inForce = inForce;
    this.listing = new EdgeListing(surroundings);
  }

  /** The listed edges and the live ones, as committed and known here. */
  static NewsInForce.Edges edges(CoreTable table) {
    Map<String, String> live = new TreeMap<>();
    table.live("edge").forEach(member -> live.put(member.peerAddress(), member.name()));
    List<String> listed = table.edges() == null ? List.of() : table.edges().addresses();
    return new NewsInForce.Edges(listed, live);
  }

  void tick() {
    CoreKeyState state = keys.get(CoreTable.EDGES);
    Set<String> live = edges(table).live().keySet();
    if (state == null) {
      boolean needed = !table.has(CoreTable.EDGES) && !live.isEmpty();
      if (needed && membership.isFirstFor(CoreTable.EDGES)) {
        keys.claim(CoreTable.EDGES);
      }
      return;
    }
    EdgeList list = state.as(EdgeList.class);
    boolean knownToMost = list != null && inForce.knownToMost(CoreTable.EDGES, state.valueSequence);
    EdgeList next = listing.next(list, live, knownToMost);
    if (next != null) {
      surroundings.log(
          PART, "Edges that count: list " + next.number() + " of " + next.addresses().size() + ".");
      keys.put(state, next, fault -> {});
    }
  }
}
