package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.changefeed.UpdateAcknowledgements;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.membership.QuorumView;
import applespindle.corelogic.metadata.EdgeList;
import applespindle.corelogic.metadata.MetadataKeys;
import java.util.Set;

/**
 * What the leader of the edge list's key does: keeps the list of edges whose confirmation counts in
 * step with the live ones. Invariant: lists change one address at a time, each only once a majority
 * of the listed edges knows the present one.
 */
final class EdgeListManager {
  private static final String PART = "core";

  private final Environment surroundings;
  private final MetadataTable table;
  private final QuorumView membership;
  private final LedKeys keys;
  private final UpdateAcknowledgements inForce;
  private final EdgeListPolicy listing;

  EdgeListManager(
      Environment surroundings,
      MetadataTable table,
      QuorumView membership,
      LedKeys keys,
      UpdateAcknowledgements inForce) {
    this.surroundings = surroundings;
    this.table = table;
    this.membership = membership;
    this.keys = keys;
    this.inForce = inForce;
    this.listing = new EdgeListPolicy(surroundings);
  }

  void tick() {
    LedKey state = keys.get(MetadataKeys.EDGE_LIST);
    Set<String> live = UpdateAcknowledgements.KnownEdges.of(table).live().keySet();
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
