package applespindle.testfleet.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.common.Json;
import applespindle.testfleet.deployment.EmulatedWorkers.Pace;
import java.util.Map;
import java.util.TreeMap;

/**
 * The two deployments of today, a small one for trials, and one of many edges. The paces of their
 * workers are assumptions.
 */
public enum Deployment {
  AUTHORITY(9, 10, 80, 160, 10_000, new Pace(16, 60, 15, 120)),
  COOPERATIVE(9, 8, 40, 110, 8_000, new Pace(16, 60, 15, 120)),
  SMALL(3, 3, 20, 16, 10_000, new Pace(8, 20, 5, 20)),
  MANY_EDGES(82, 24, 20, 16, 10_000, new Pace(8, 20, 5, 20));

  public final int edges;
  public final int workers;
  public final int batchItems;

  /** Tokens of the output of one batch item. */
  public final int batchTokens;

  public final long dueMs;
  public final Pace pace;

  Deployment(int edges, int workers, int batchItems, int batchTokens, long dueMs, Pace pace) {
    this.edges = edges;
    this.workers = workers;
    this.batchItems = batchItems;
    this.batchTokens = batchTokens;
    this.dueMs = dueMs;
    this.pace = pace;
  }

  /**
   * A configuration with one pool, where checks rank before notes and live requests before batches.
   */
  public String configuration(long number) {
    return configuration(number, "", "");
  }

  /**
   * The same with one class routed to another pool, so that the workers show which configuration is
   * in force.
   */
  public String configuration(long number, String trafficClass, String pool) {
    return """
    {
      "number": %d,
      "pools": {"main": {"prefixBlockChars": 64, "prefixBlocks": 4, "loadFactor": 1.5}%s},
      "rules": [
        {"name": "notes", "match": {"trafficClass": "note"},
         "way": {"pool": "%s", "trafficClass": "note", "expiryMs": 10000, "retries": 2}},
        {"name": "checks", "way": {"pool": "%s", "trafficClass": "check", "expiryMs": 5000, "retries": 2}}
      ],
      "limits": {
        "classes": {"check": {"rank": 0, "queueMost": 200}, "note": {"rank": 1, "queueMost": 100}},
        "batch": {"pool": "main", "waitingItemsMost": 2000, "perWorkerMost": 12, "liveReserve": 2,
                  "cancelForLive": true, "itemExpiryMs": 30000, "retentionMs": 86400000}
      }
    }
    """
        .formatted(
            number,
            pool.isEmpty() || pool.equals("main")
                ? ""
                : ", \""
                    + pool
                    + "\": {\"prefixBlockChars\": 64, \"prefixBlocks\": 4, \"loadFactor\": 1.5}",
            trafficClass.equals("note") ? pool : "main",
            trafficClass.equals("check") ? pool : "main");
  }

  /** By traffic class, the pool to which a configuration of this form routes it. */
  public static Map<String, String> pools(String bundle) {
    Map<String, String> pools = new TreeMap<>();
    Json.tree(bundle.getBytes(UTF_8))
        .path("rules")
        .forEach(
            rule ->
                pools.put(rule.at("/way/trafficClass").asText(), rule.at("/way/pool").asText()));
    return pools;
  }
}
