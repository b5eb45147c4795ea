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

  private final Environment environment;
  private final MetadataTable table;
  private final QuorumView quorum;
  private final LedKeys keys;
  private final UpdateAcknowledgements updateAcknowledgements;
  private final EdgeListPolicy listing;

  EdgeListManager(
      Environment environment,
      MetadataTable table,
      QuorumView quorum,
      LedKeys keys,
      UpdateAcknowledgements updateAcknowledgements) {
    this.environment = environment;
    this.table = table;
    this.quorum = quorum;
    this.keys = keys;
    this.updateAcknowledgements = updateAcknowledgements;
    this.listing = new EdgeListPolicy(environment);
  }

  void tick() {
    LedKey ledKey = keys.get(MetadataKeys.EDGE_LIST);
    Set<String> live = UpdateAcknowledgements.KnownEdges.of(table).live().keySet();
    if (ledKey == null) {
      boolean needed = !table.has(MetadataKeys.EDGE_LIST) && !live.isEmpty();
      if (needed && quorum.isPreferredLeaderOf(MetadataKeys.EDGE_LIST)) {
        keys.elect(MetadataKeys.EDGE_LIST);
      }
      return;
    }
    EdgeList list = ledKey.as(EdgeList.class);
    boolean knownToMost =
        list != null
            && updateAcknowledgements.isAppliedByMajority(
                MetadataKeys.EDGE_LIST, ledKey.valueSequence);
    EdgeList next = listing.next(list, live, knownToMost);
    if (next != null) {
      environment.log(
          PART,
          "Edges that count: list " + next.version() + " of " + next.addresses().size() + ".");
      keys.put(ledKey, next, error -> {});
    }
  }
}
