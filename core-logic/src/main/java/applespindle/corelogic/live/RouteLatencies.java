package applespindle.corelogic.live;

import java.util.HashMap;
import java.util.Map;

/** First-byte latency by route name, learned from this edge's own requests. Logic thread only. */
final class RouteLatencies {
  private final Map<String, FirstByteLatency> byRouteName = new HashMap<>();

  /** The latency of a route; without samples if none of its requests was answered yet. */
  FirstByteLatency of(String routeName) {
    return byRouteName.computeIfAbsent(routeName, unseen -> new FirstByteLatency());
  }
}
