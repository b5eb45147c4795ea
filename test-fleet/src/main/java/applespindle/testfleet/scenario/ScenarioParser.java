package applespindle.testfleet.scenario;

import applespindle.testfleet.deployment.Deployment;
import java.util.Arrays;

/** Reads the lines of a scenario file; {@link Scenario} lists them. */
final class ScenarioParser {
  private static final int MS_PER_SECOND = 1_000;

  private final ScenarioSettings settings = new ScenarioSettings();

  private ScenarioParser() {}

  static ScenarioSettings parse(String text) {
    ScenarioParser parser = new ScenarioParser();
    int number = 0;
    for (String line : text.split("\n")) {
      number++;
      String stripped = line.strip();
      if (!stripped.isEmpty() && !stripped.startsWith("#")) {
        parser.parseLine(stripped, number);
      }
    }
    return parser.settings;
  }

  private void parseLine(String line, int number) {
    String[] words = line.split("\\s+");
    boolean known;
    try {
      known = parseFleetLine(words, number, line) || parsePlatformLine(words);
    } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException fault) {
      throw new UnreadableLineException(number, line);
    }
    if (!known) {
      throw new UnreadableLineException(number, line);
    }
  }

  /** Lines about the fleet, its traffic and the course of the run. */
  private boolean parseFleetLine(String[] words, int number, String line) {
    switch (words[0]) {
      case "about" -> {}
      case "fleet" -> settings.deployment = Deployment.valueOf(words[1].toUpperCase());
      case "seeds" -> settings.seeds = Arrays.stream(words).skip(1).map(Long::parseLong).toList();
      case "run" -> settings.runMs = seconds(words[1]);
      case "checks" -> settings.checks = Double.parseDouble(words[1]);
      case "notes" -> settings.notes = Double.parseDouble(words[1]);
      case "once" -> settings.once = Double.parseDouble(words[1]);
      case "batches" -> settings.batchEverySeconds = Double.parseDouble(words[1]);
      case "at" ->
          settings.timed.add(
              new ScenarioAction(
                  seconds(words[1]), Arrays.copyOfRange(words, 2, words.length), number, line));
      case "beyond" -> {
        settings.timed.add(
            new ScenarioAction(seconds(words[1]), new String[] {"beyond-begins"}, number, line));
        settings.timed.add(
            new ScenarioAction(seconds(words[2]), new String[] {"beyond-ends"}, number, line));
      }
      case "spare" -> settings.spares = Arrays.stream(words).skip(1).toList();
      case "tries" -> settings.submitTries = Integer.parseInt(words[1]);
      case "honor-retry-after" -> settings.obedient = true;
      case "losses" -> settings.losses = true;
      case "watch-core" -> {
        settings.watchFromMs = seconds(words[1]);
        settings.watchToMs = seconds(words[2]);
      }
      case "random" -> {
        settings.randomFromMs = seconds(words[1]);
        settings.randomToMs = seconds(words[2]);
      }
      case "on" ->
          settings.triggered.add(
              new ScenarioSettings.Triggered(
                  words[1],
                  Long.parseLong(words[2]),
                  new ScenarioAction(0, Arrays.copyOfRange(words, 3, words.length), number, line)));
      case "expect" ->
          settings.expected.add(
              new ScenarioSettings.Expected(words[1], Double.parseDouble(words[2])));
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Lines about the platform, proxied traffic and the capacity of edges. */
  private boolean parsePlatformLine(String[] words) {
    switch (words[0]) {
      case "tolerated-losses" -> settings.platformLosses = Integer.parseInt(words[1]);
      case "proxied" -> {
        for (int index = 1; index < words.length; index += 2) {
          settings.proxiedRates.put(words[index], Double.parseDouble(words[index + 1]));
        }
      }
      case "proxied-batches" -> {
        settings.proxiedBatchEverySeconds = Double.parseDouble(words[1]);
        settings.proxiedBatchItems = Integer.parseInt(words[2]);
        settings.proxiedItemBytes = words.length > 3 ? Integer.parseInt(words[3]) : 0;
        settings.proxiedBatchItemsLimit = words.length > 4 ? Integer.parseInt(words[4]) : 0;
      }
      case "tenants" -> settings.tenants = Integer.parseInt(words[1]);
      case "edge-links" -> settings.edgeLinkMbits = Double.parseDouble(words[1]);
      case "edge-processor" -> settings.edgeProcessorShare = Double.parseDouble(words[1]);
      case "larger-edges" -> {
        settings.largerEdges = Integer.parseInt(words[1]);
        settings.largerEdgeShare = Double.parseDouble(words[2]);
        settings.largerEdgeMbits = Double.parseDouble(words[3]);
      }
      case "list" -> {
        settings.listLagMs = Long.parseLong(words[1]);
        settings.listCallsPerS = Double.parseDouble(words[2]);
      }
      case "duties" -> settings.duties = true;
      case "usage-of-edges" -> settings.usageOfEdges = true;
      case "waiting-tokens" -> settings.waitingTokensLimit = Long.parseLong(words[1]);
      default -> {
        return false;
      }
    }
    return true;
  }

  /** Milliseconds of a number of seconds. */
  static long seconds(String word) {
    return (long) (Double.parseDouble(word) * MS_PER_SECOND);
  }
}
