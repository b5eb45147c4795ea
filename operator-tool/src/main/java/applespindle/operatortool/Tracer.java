package applespindle.operatortool;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.adapters.ExitStatus;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.util.List;

/**
 * Follows one key through the event journals of all named nodes. Nodes that do not answer are
 * listed as such.
 */
final class Tracer {
  private Tracer() {}

  /**
   * Prints the events about a key, node by node.
   *
   * @param nodes HTTP addresses
   * @param key such as {@code worker/w1}
   */
  static ExitStatus trace(HttpCaller caller, List<String> nodes, String key) {
    int eventCount = 0;
    int reached = 0;
    for (String node : nodes) {
      HttpCaller.Result result =
          caller.get(node, "/v1/journal?key=" + URLEncoder.encode(key, UTF_8));
      if (!result.good()) {
        System.out.println(node + "  unreachable");
        continue;
      }
      reached++;
      eventCount += print(node, result.body());
    }
    if (eventCount == 0) {
      System.err.println(
          "unknown: " + key + " is in no journal of the " + reached + " nodes reached");
      return ExitStatus.REFUSED;
    }
    return ExitStatus.DONE;
  }

  /** Prints one node's events; returns their number. */
  private static int print(String address, JsonNode journal) {
    JsonNode events = journal.path("events");
    String suffix = events.isEmpty() ? "  nothing" : "";
    System.out.println(address + "  " + journal.path("node").asText() + suffix);
    for (JsonNode event : events) {
      System.out.printf(
          "    %12d ms  %-12s %s  %s%n",
          event.path("atMs").asLong(),
          event.path("kind").asText(),
          event.path("key").asText(),
          event.path("detail").asText());
    }
    return events.size();
  }
}
