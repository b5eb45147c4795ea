package applespindle.operatortool;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.util.List;

/**
 * Follows one key through the journals of all named nodes. Nodes that do not answer are listed as
 * such.
 */
final class Tracer {
  static int trace(HttpCaller caller, List<String> nodes, String key) {
    int known = 0;
    int reached = 0;
    for (String node : nodes) {
      HttpCaller.Result result =
          caller.get(node, "/v1/journal?key=" + URLEncoder.encode(key, UTF_8));
      if (!result.good()) {
        System.out.println(node + "  unreachable");
        continue;
      }
      reached++;
      JsonNode events = result.body().path("events");
      System.out.println(
          node
              + "  "
              + result.body().path("node").asText()
              + (events.isEmpty() ? "  nothing" : ""));
      for (JsonNode event : events) {
        known++;
        System.out.printf(
            "    %12d ms  %-12s %s  %s%n",
            event.path("atMs").asLong(),
            event.path("kind").asText(),
            event.path("key").asText(),
            event.path("detail").asText());
      }
    }
    if (known == 0) {
      System.err.println(
          "unknown: " + key + " is in no journal of the " + reached + " nodes reached");
      return 1;
    }
    return 0;
  }

  private Tracer() {}
}
