package applespindle.testfleet.clients;

import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Probes the control plane from the start of a fault until after its end: sends confirmed reads of
 * every key that has an owner to every control plane node, at a fixed interval. Measures how long
 * no node served a key, how many terms the owners used, and how long responses took.
 */
public final class ControlPlaneProbe {
  private static final long INTERVAL_MS = 200;
  private static final long TIMEOUT_MS = 15_000;

  /** How long the probe goes on after the fault, as a returning node must not disrupt others. */
  private static final long AFTER_MS = 10_000;

  /** Responses count from this time after the start of the fault, once nodes detected it. */
  private static final long DETECTION_MS = 3_000;

  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final long fromMs;
  private final long toMs;
  private final Map<String, Long> servedAtMs = new TreeMap<>();
  private Map<String, Long> termsBefore = Map.of();

  /** The longest time in which no node served one of the keys. */
  public long longestGapMs;

  /** The key that was not served for longest. */
  public String longestGapKey = "";

  /** Terms that all keys together used. */
  public long terms;

  /** The longest time to any response, refusals included, of a node that could respond. */
  public long slowestAnswerMs;

  /** A probe that measures between two simulated times, in milliseconds. */
  public ControlPlaneProbe(SimulatedFleet fleet, long fromMs, long toMs) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
    this.fromMs = fromMs;
    this.toMs = toMs;
    simulation.atMs(fromMs, this::begin);
    simulation.atMs(toMs + AFTER_MS, this::end);
  }

  private void begin() {
    termsBefore = terms();
    termsBefore.keySet().forEach(key -> servedAtMs.put(key, fromMs));
    sendReads();
  }

  private void end() {
    servedAtMs.keySet().forEach(this::measureGap);
    Map<String, Long> termsAfter = terms();
    termsBefore.forEach(
        (key, term) -> terms += Math.max(0, termsAfter.getOrDefault(key, term) - term));
  }

  /** By key, the highest term that any owner knows. */
  private Map<String, Long> terms() {
    Map<String, Long> terms = new TreeMap<>();
    for (SimulatedProcess node : controlPlaneNodes()) {
      if (node.alive()) {
        JsonNode owned = node.node().status().path("owned");
        owned
            .fields()
            .forEachRemaining(
                each -> terms.merge(each.getKey(), each.getValue().asLong(), Math::max));
      }
    }
    return terms;
  }

  private List<SimulatedProcess> controlPlaneNodes() {
    return simulation.processes.values().stream()
        .filter(process -> process.node() instanceof ControlPlaneNode)
        .toList();
  }

  private void sendReads() {
    if (simulation.simulatedNowMs() >= toMs + AFTER_MS) {
      return;
    }
    for (SimulatedProcess node : controlPlaneNodes()) {
      servedAtMs.keySet().forEach(key -> read(node, key));
    }
    simulation.afterMs(INTERVAL_MS, this::sendReads);
  }

  private void read(SimulatedProcess node, String key) {
    long begunMs = simulation.simulatedNowMs();
    boolean judged =
        begunMs >= fromMs + DETECTION_MS && begunMs < toMs - DETECTION_MS && !node.frozen();
    fleet.command(
        node,
        TIMEOUT_MS,
        Operation.READ_KEY,
        key,
        new byte[] {'{', '}'},
        response -> {
          long tookMs = simulation.simulatedNowMs() - begunMs;
          boolean connectionBroke = response == null && tookMs < TIMEOUT_MS;
          if (judged && !connectionBroke) {
            slowestAnswerMs = Math.max(slowestAnswerMs, tookMs);
          }
          if (response != null && response.isSuccess()) {
            measureGap(key);
          }
        });
  }

  private void measureGap(String key) {
    long now = simulation.simulatedNowMs();
    if (now > toMs + AFTER_MS) {
      return;
    }
    long gapMs = now - servedAtMs.put(key, now);
    if (gapMs > longestGapMs) {
      longestGapMs = gapMs;
      longestGapKey = key;
    }
  }

  /** What was measured, as a line of text. */
  public String summary() {
    return "core: longest time without service "
        + longestGapMs
        + " ms ("
        + longestGapKey
        + "), "
        + terms
        + " terms for "
        + termsBefore.size()
        + " keys, slowest answer "
        + slowestAnswerMs
        + " ms";
  }
}
