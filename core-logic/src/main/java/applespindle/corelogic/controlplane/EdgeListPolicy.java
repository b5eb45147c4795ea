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
 * Decides what the next list of edges whose acknowledgements count is; {@link EdgeList} says why
 * lists may change only step by step.
 *
 * <p>State owned, known to this process only: the edges that joined before the first list, and
 * since when each listed edge has not been live. Invariants: the first list is made only after no
 * edge joined or left for {@link MembershipConstants#EDGE_LIST_STABLE_MS}; a later one adds or
 * removes one address; an edge is removed only after {@link
 * MembershipConstants#EDGE_REMOVAL_DELAY_MS}.
 */
final class EdgeListPolicy {
  private final Environment environment;

  /** The live edges at the last call before the first list. */
  private Set<String> joining = Set.of();

  /** When that set last changed, in milliseconds of this node's clock. */
  private long joiningChangedAtMs;

  /** When the list last changed, in milliseconds of this node's clock. */
  private long listChangedAtMs;

  /** Since when each listed edge has not been live, by address, in milliseconds. */
  private final Map<String, Long> unreachableSinceMs = new HashMap<>();

  EdgeListPolicy(Environment environment) {
    this.environment = environment;
  }

  /**
   * The next list, or empty if the present one stays.
   *
   * @param current the present list, null before the first
   * @param live the addresses of the live edges
   * @param currentIsApplied whether a majority of the listed edges has applied the present list
   */
  Optional<EdgeList> next(EdgeList current, Set<String> live, boolean currentIsApplied) {
    Optional<EdgeList> next =
        current == null ? first(live) : changed(current, live, currentIsApplied);
    if (next.isPresent()) {
      listChangedAtMs = environment.nowMs();
    }
    return next;
  }

  private Optional<EdgeList> first(Set<String> live) {
    long now = environment.nowMs();
    if (!live.equals(joining)) {
      joining = Set.copyOf(live);
      joiningChangedAtMs = now;
      return Optional.empty();
    }
    boolean stable = now - joiningChangedAtMs >= MembershipConstants.EDGE_LIST_STABLE_MS;
    return live.isEmpty() || !stable
        ? Optional.empty()
        : Optional.of(new EdgeList(1, List.copyOf(live)));
  }

  private Optional<EdgeList> changed(EdgeList current, Set<String> live, boolean currentIsApplied) {
    long now = environment.nowMs();
    noteUnreachable(current, live, now);
    if (now - listChangedAtMs < MembershipConstants.EDGE_LIST_CHANGE_INTERVAL_MS
        || !currentIsApplied) {
      return Optional.empty();
    }
    return withNewEdge(current, live).or(() -> withoutLostEdge(current, live, now));
  }

  private void noteUnreachable(EdgeList current, Set<String> live, long now) {
    unreachableSinceMs.keySet().removeAll(live);
    current.addresses().stream()
        .filter(address -> !live.contains(address))
        .forEach(address -> unreachableSinceMs.putIfAbsent(address, now));
  }

  private static Optional<EdgeList> withNewEdge(EdgeList current, Set<String> live) {
    return live.stream()
        .filter(address -> !current.addresses().contains(address))
        .findFirst()
        .map(
            address -> {
              List<String> addresses = new ArrayList<>(current.addresses());
              addresses.add(address);
              return new EdgeList(current.version() + 1, addresses);
            });
  }

  private Optional<EdgeList> withoutLostEdge(EdgeList current, Set<String> live, long now) {
    return current.addresses().stream()
        .filter(address -> !live.contains(address) && isLost(address, now))
        .findFirst()
        .map(
            address -> {
              List<String> addresses = new ArrayList<>(current.addresses());
              addresses.remove(address);
              return new EdgeList(current.version() + 1, addresses);
            });
  }

  private boolean isLost(String address, long now) {
    return now - unreachableSinceMs.getOrDefault(address, now)
        >= MembershipConstants.EDGE_REMOVAL_DELAY_MS;
  }
}
