package applespindle.testfleet.scenario;

import applespindle.testfleet.simulation.CrashPoint;
import applespindle.testfleet.simulation.CrashPoint.Position;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A systematic search for crashes at the worst step of a protocol. For each kind of message, each
 * of some counts and each of the four positions (before and after it is sent, before and after it
 * is received) a scenario runs once, in which the process dies at that step, by kill or by loss of
 * power, and starts again 3 s later. Usage: FILE SEED [COUNT...].
 */
public final class CrashPoints {
  /** Steps of replication, the change feed, dispatch, copying of shards and set changes. */
  static final List<String> KINDS =
      List.of(
          "KeyPromise",
          "KeyPromised",
          "KeyAppend",
          "KeyAppended",
          "KeyHandOver",
          "FeedNews",
          "KeysKnown",
          "KeysAsked",
          "CorePing",
          "RangePull",
          "RangeHandout",
          "RangeReport",
          "RangeReported",
          "WorkOffer",
          "BatchEnded",
          "Unfinished",
          "Ask:submit",
          "Ask:room",
          "Ask:end",
          "Ask:results",
          "Ask:peek",
          "Ask:claim",
          "Ask:copy",
          "Ask:copied",
          "Ask:bundle",
          "Ask:worker",
          "Ask:storage",
          "Ask:grant",
          "Ask:leave",
          "AskResponse");

  private static final long FROM_MS = 14_900;
  private static final long RESTART_AFTER_MS = 3_000;

  record Case(String kind, int number, Position position, boolean powerLoss) {
    Scenario.Outcome run(Scenario scenario, long seed) {
      return scenario.run(
          seed,
          false,
          fleet ->
              fleet.simulation.crashPoint =
                  new CrashPoint(
                      fleet.simulation,
                      kind,
                      number,
                      position,
                      powerLoss,
                      FROM_MS,
                      RESTART_AFTER_MS));
    }

    @Override
    public String toString() {
      return kind + " " + number + " " + position + (powerLoss ? " power-loss" : " kill");
    }
  }

  static List<Case> cases(List<Integer> numbers) {
    List<Case> cases = new ArrayList<>();
    for (String kind : KINDS) {
      for (int number : numbers) {
        for (Position position : Position.values()) {
          for (boolean powerLoss : new boolean[] {false, true}) {
            cases.add(new Case(kind, number, position, powerLoss));
          }
        }
      }
    }
    return cases;
  }

  /**
   * Runs a scenario with a crash at each point around each kind of message and prints what broke.
   */
  public static void main(String[] arguments) throws IOException {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    if (arguments.length < 2) {
      System.err.println("give a scenario file, a seed, and counts");
      System.exit(2);
    }
    Scenario scenario = Scenario.parse(Files.readString(Path.of(arguments[0])));
    long seed = Long.parseLong(arguments[1]);
    List<Integer> numbers =
        arguments.length == 2
            ? List.of(1, 2, 3, 5, 8, 13, 21, 34, 55, 89)
            : Arrays.stream(arguments).skip(2).map(Integer::parseInt).toList();
    Map<String, int[]> byKind = new TreeMap<>();
    List<String> broken = new ArrayList<>();
    cases(numbers).parallelStream()
        .forEach(
            each -> {
              Scenario.Outcome outcome = each.run(scenario, seed);
              boolean crashed = outcome.fleet().simulation.crashPoint.crashed() != null;
              synchronized (broken) {
                int[] counts = byKind.computeIfAbsent(each.kind(), unseen -> new int[3]);
                counts[0]++;
                counts[1] += crashed ? 1 : 0;
                counts[2] += outcome.faults().isEmpty() ? 0 : 1;
                if (!outcome.faults().isEmpty()) {
                  broken.add(each + ": " + outcome.faults().get(0));
                }
              }
            });
    byKind.forEach(
        (kind, counts) ->
            System.out.printf(
                "%-16s %4d runs, %4d struck, %d broken%n", kind, counts[0], counts[1], counts[2]));
    broken.stream().sorted().forEach(System.out::println);
    System.exit(broken.isEmpty() ? 0 : 1);
  }

  private CrashPoints() {}
}
