package applespindle.corelogic.controlplane;

import applespindle.corelogic.changefeed.MetadataTable;
import applespindle.corelogic.changefeed.UpdateAcknowledgements;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.EdgeList;
import applespindle.corelogic.metadata.MetadataKeys;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the list of edges whose acknowledgements count in step with the live edges.
 *
 * <p>It owns the key of the edge list while this node leads it; {@link EdgeListPolicy} decides what
 * the next list is. Invariant: successive lists differ in one address, and the next is written only
 * once a majority of the listed edges has applied the present one.
 */
final class EdgeListManager implements KeyManager {
  private static final String PART = "core";

  private final Environment environment;
  private final MetadataTable table;
  private final LedKeys keys;
  private final UpdateAcknowledgements updateAcknowledgements;
  private final EdgeListPolicy policy;

  EdgeListManager(ControlPlaneContext context) {
    this.environment = context.environment();
    this.table = context.table();
    this.keys = context.keys();
    this.updateAcknowledgements = context.updateAcknowledgements();
    this.policy = new EdgeListPolicy(environment);
  }

  @Override
  public void tick() {
    LedKey ledKey = keys.get(MetadataKeys.EDGE_LIST);
    Set<String> live = UpdateAcknowledgements.KnownEdges.of(table).live().keySet();
    if (ledKey == null) {
      electForFirstList(live);
    } else {
      advance(ledKey, live);
    }
  }

  /** Before the first list, one process has to lead the key once there are edges. */
  private void electForFirstList(Set<String> live) {
    if (!table.has(MetadataKeys.EDGE_LIST) && !live.isEmpty()) {
      keys.electIfVacant(MetadataKeys.EDGE_LIST);
    }
  }

  private void advance(LedKey ledKey, Set<String> live) {
    EdgeList current = ledKey.as(EdgeList.class);
    Optional<EdgeList> next = policy.next(current, live, isAppliedByMajority(ledKey, current));
    if (next.isEmpty()) {
      return;
    }
    environment.log(
        PART,
        "Edge list " + next.get().version() + " has " + next.get().addresses().size() + " edges.");
    keys.put(ledKey, next.get(), error -> {});
  }

  private boolean isAppliedByMajority(LedKey ledKey, EdgeList current) {
    return current != null
        && updateAcknowledgements.isAppliedByMajority(
            MetadataKeys.EDGE_LIST, ledKey.valueSequence());
  }
}
