package applespindle.testfleet;

import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.protocol.Operation;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Callers of the control side, from the instant a trouble begins until after its end: they ask
 * every core process for a confirmed read of every key that has an owner, over and over. Measures
 * how long no process served a key, how many terms the owners used up, and how long answers took.
 */
final class ControlPlaneProbe {
  private static final long EVERY_MS = 200;
  private static final long PATIENCE_MS = 15_000;

  /** Watched for so long after the trouble's end: what returns must disturb nobody. */
  private static final long AFTER_MS = 10_000;

  /** Answers count once the trouble is known to whoever it befell. */
  private static final long KNOWN_MS = 3_000;

  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final long fromMs;
  private final long toMs;
  private final Map<String, Long> servedAtMs = new TreeMap<>();
  private Map<String, Long> termsBefore = Map.of();

  /** The longest time in which no core process served one of the keys, and which key it was. */
  long longestGapMs;

  String longestGapKey = "";

  /** Terms that all keys together used up. */
  long terms;

  /** The longest time until any answer, a refusal included, of a process that could answer. */
  long slowestAnswerMs;

  ControlPlaneProbe(SimulatedFleet fleet, long fromMs, long toMs) {
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
    ask();
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
    for (SimulatedProcess core : cores()) {
      if (core.alive()) {
        JsonNode owned = core.node().status().path("owned");
        owned
            .fields()
            .forEachRemaining(
                each -> terms.merge(each.getKey(), each.getValue().asLong(), Math::max));
      }
    }
    return terms;
  }

  private List<SimulatedProcess> cores() {
    return simulation.processes.values().stream()
        .filter(process -> process.node() instanceof ControlPlaneNode)
        .toList();
  }

  private void ask() {
    if (simulation.simulatedNowMs() >= toMs + AFTER_MS) {
      return;
    }
    for (SimulatedProcess core : cores()) {
      servedAtMs.keySet().forEach(key -> read(core, key));
    }
    simulation.afterMs(EVERY_MS, this::ask);
  }

  private void read(SimulatedProcess core, String key) {
    long begunMs = simulation.simulatedNowMs();
    boolean judged = begunMs >= fromMs + KNOWN_MS && begunMs < toMs - KNOWN_MS && !core.frozen();
    fleet.command(
        core,
        PATIENCE_MS,
        Operation.READ_KEY,
        key,
        new byte[] {'{', '}'},
        response -> {
          long tookMs = simulation.simulatedNowMs() - begunMs;
          boolean connectionBroke = response == null && tookMs < PATIENCE_MS;
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

  String summary() {
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
