package applespindle.corelogic;

import applespindle.corelogic.Records.EdgeList;
import java.util.Set;

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

  void tick() {
    CoreKeyState state = keys.get(MetadataKeys.EDGE_LIST);
    Set<String> live = NewsInForce.Edges.of(table).live().keySet();
    if (state == null) {
      boolean needed = !table.has(MetadataKeys.EDGE_LIST) && !live.isEmpty();
      if (needed && membership.isFirstFor(MetadataKeys.EDGE_LIST)) {
        keys.claim(MetadataKeys.EDGE_LIST);
      }
      return;
    }
    EdgeList list = state.as(EdgeList.class);
    boolean knownToMost =
        list != null && inForce.knownToMost(MetadataKeys.EDGE_LIST, state.valueSequence);
    EdgeList next = listing.next(list, live, knownToMost);
    if (next != null) {
      surroundings.log(
          PART, "Edges that count: list " + next.number() + " of " + next.addresses().size() + ".");
      keys.put(state, next, fault -> {});
    }
  }
}
