package applespindle.corelogic.dataplane;

import applespindle.corelogic.constants.ChangeFeedConstants;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When this node last reached each of the other edges. While it has no contact with the control
 * plane, it may begin new work only if it reaches a majority of the listed edges.
 */
final class PeerEdges {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final String ownAddress;

  /** By peer address: the sending time of the latest poll that the edge answered. */
  private final Map<String, Long> answeredPollSentAt = new HashMap<>();

  private int nextNotified;

  PeerEdges(String ownAddress) {
    this.ownAddress = ownAddress;
  }

  void recordAnswer(String address, long pollSentAt) {
    answeredPollSentAt.put(address, pollSentAt);
  }

  /** Whether this node and the listed edges that it reaches are a majority of the listed ones. */
  boolean reachesMajority(List<String> listedEdges, long now) {
    long reached = listedEdges.stream().filter(address -> isReachable(address, now)).count();
    return reached * 2 > listedEdges.size();
  }

  private boolean isReachable(String address, long now) {
    return address.equals(ownAddress)
        || now - answeredPollSentAt.getOrDefault(address, NEVER)
            < ChangeFeedConstants.PEER_EDGE_TIMEOUT_MS;
  }

  /** The next few addresses to be notified, in turn. */
  List<String> nextToNotify(List<String> addresses) {
    List<String> next = new ArrayList<>();
    int count = Math.min(ChangeFeedConstants.PEER_EDGES_NOTIFIED, addresses.size());
    for (int index = 0; index < count; index++) {
      next.add(addresses.get(Math.floorMod(nextNotified++, addresses.size())));
    }
    return next;
  }
}
