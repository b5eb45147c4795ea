package applespindle.corelogic.controlplane;

import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.EdgeList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides what the list of edges that count becomes next; see {@link EdgeList} for what the steps
 * must keep to.
 */
final class EdgeListPolicy {
  private final Environment environment;

  /** Edges that joined and when the last of them did, until the first list is made. */
  private Set<String> joining = Set.of();

  private long lastJoinedAt;
  private long changedAt;
  private final Map<String, Long> silentSince = new HashMap<>();

  EdgeListPolicy(Environment environment) {
    this.environment = environment;
  }

  /** The next list, or null if there is nothing to change now; present is null before the first. */
  EdgeList next(EdgeList present, Set<String> live, boolean presentKnownToMost) {
    EdgeList next = present == null ? first(live) : changed(present, live, presentKnownToMost);
    if (next != null) {
      changedAt = environment.nowMs();
    }
    return next;
  }

  private EdgeList first(Set<String> live) {
    if (!live.equals(joining)) {
      joining = Set.copyOf(live);
      lastJoinedAt = environment.nowMs();
      return null;
    }
    boolean settled = environment.nowMs() - lastJoinedAt >= MembershipConstants.EDGE_LIST_SETTLE_MS;
    return live.isEmpty() || !settled ? null : new EdgeList(1, List.copyOf(live));
  }

  /** One address at a time, and only when a majority of the edges knows the present list. */
  private EdgeList changed(EdgeList present, Set<String> live, boolean presentKnownToMost) {
    long now = environment.nowMs();
    silentSince.keySet().removeAll(live);
    present.addresses().stream()
        .filter(address -> !live.contains(address))
        .forEach(address -> silentSince.putIfAbsent(address, now));
    if (now - changedAt < MembershipConstants.EDGE_LIST_CHANGE_INTERVAL_MS || !presentKnownToMost) {
      return null;
    }
    List<String> next = new ArrayList<>(present.addresses());
    Optional<String> newcomer =
        live.stream().filter(address -> !next.contains(address)).findFirst();
    if (newcomer.isPresent()) {
      next.add(newcomer.get());
      return new EdgeList(present.version() + 1, next);
    }
    boolean struck =
        next.stream()
            .filter(
                address ->
                    !live.contains(address)
                        && now - silentSince.getOrDefault(address, now)
                            >= MembershipConstants.EDGE_REMOVAL_DELAY_MS)
            .findFirst()
            .map(next::remove)
            .orElse(false);
    return struck ? new EdgeList(present.version() + 1, next) : null;
  }
}
