package applespindle.testfleet.processes;

import applespindle.testfleet.checker.Checker;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.deployment.EmulatedWorkers;
import applespindle.testfleet.history.History;
import applespindle.testfleet.processes.Fleet.Member;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Starts a fleet on this machine. It keeps the fleet until stopped, or runs traffic, with faults on
 * request, and checks the recorded history.
 */
public final class FleetProgram {
  private static final long OPEN_MS = 60_000;

  /** Traffic starts this long after the processes. */
  private static final long TRAFFIC_FROM_MS = 15_000;

  private static final long TRAFFIC_SEED = 20261202;
  private static final long PATIENCE_MS = 12_000;
  private static final int SUBMIT_TRIES = 6;
  private static final long SETTLE_MS = 60_000;

  /**
   * Starts a fleet of processes on this machine; without traffic it runs until it is interrupted.
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    ArgumentParser parser = parser();
    Namespace flags;
    try {
      flags = parser.parseArgs(arguments);
    } catch (ArgumentParserException fault) {
      parser.handleError(fault);
      System.exit(2);
      return;
    }
    Path folder = Path.of(flags.getString("folder"));
    empty(folder);
    Fleet fleet = fleet(flags, folder);
    long startedAt = EmulatedWorkers.nowMs();
    fleet.start();
    fleet.open(OPEN_MS);
    System.out.println("ready after " + (EmulatedWorkers.nowMs() - startedAt) + " ms");
    if (flags.getInt("traffic") == null) {
      printMembers(fleet, folder);
      Thread.currentThread().join();
    }
    TimeUnit.MILLISECONDS.sleep(
        Math.max(0, TRAFFIC_FROM_MS - (EmulatedWorkers.nowMs() - startedAt)));
    runTraffic(fleet, flags);
    System.exit(judge(fleet.history, folder) ? 0 : 1);
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("test-fleet").build().description("A whole fleet on this machine.");
    parser
        .addArgument("--deployment")
        .choices("authority", "cooperative", "small")
        .setDefault("small");
    parser
        .addArgument("--folder")
        .setDefault("fleet-data")
        .help("data folders and logs; emptied at the start");
    parser.addArgument("--first-port").type(Integer.class).setDefault(7100);
    parser
        .addArgument("--traffic")
        .type(Integer.class)
        .metavar("SECONDS")
        .help("run the brief's traffic, then judge");
    parser
        .addArgument("--faults")
        .nargs("*")
        .metavar("SECOND:VERB:WHO")
        .setDefault(List.of())
        .help(
            "such as 10:kill:leader 18:start:last; verbs kill start freeze wake stop lose-disk; or"
                + " of outside: bundle:2:check:spare leaving:w3 dark:w1 cuts:w1 garbage:w1"
                + " refuses:w1 well:w1");
    parser
        .addArgument("--spare")
        .nargs("*")
        .metavar("WORKER")
        .setDefault(List.of())
        .help("workers listed in a second pool, for bundles that route there");
    return parser;
  }

  /** A fleet that is not started yet; it ends with this process. */
  private static Fleet fleet(Namespace flags, Path folder) throws IOException {
    Deployment deployment = Deployment.valueOf(flags.getString("deployment").toUpperCase());
    Fleet fleet =
        new Fleet(
            deployment, folder, System.getProperty("java.class.path"), flags.getInt("first_port"));
    fleet.spares = Set.copyOf(flags.<String>getList("spare"));
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
    return fleet;
  }

  private static void printMembers(Fleet fleet, Path folder) {
    for (Member member : fleet.members.values()) {
      System.out.println(member.name + "  http " + member.http + "  pid " + member.pid());
    }
    System.out.println(
        "The operators' key is " + folder.resolve("operator.key") + ", its id is operator.");
    System.out.println("The fleet serves. Stop it with Ctrl-C.");
  }

  /** Runs the traffic to its end, with the faults beside it. */
  private static void runTraffic(Fleet fleet, Namespace flags) throws InterruptedException {
    long everyMs = fleet.deployment == Deployment.COOPERATIVE ? 2_000 : 4_000;
    var plan =
        new RealTraffic.Plan(
            TRAFFIC_SEED,
            30,
            3,
            2,
            everyMs,
            flags.getInt("traffic") * 1_000L,
            PATIENCE_MS,
            SUBMIT_TRIES,
            0,
            SETTLE_MS);
    RealTraffic traffic = new RealTraffic(fleet, plan);
    Thread faults = new Thread(() -> runFaults(fleet, flags.getList("faults")), "faults");
    faults.setDaemon(true);
    faults.start();
    traffic.run();
    System.out.println(traffic.summary());
  }

  /** Keeps the history and checks it; false if an invariant was violated. */
  private static boolean judge(History history, Path folder) throws IOException {
    Files.writeString(folder.resolve("history.jsonl"), history.toLines());
    List<Checker.Violation> violations = Checker.check(history);
    violations.forEach(violation -> System.out.println("BROKEN " + violation));
    System.out.println(
        violations.isEmpty() ? "No never-rule was broken." : violations.size() + " rules broken.");
    return violations.isEmpty();
  }

  private static void empty(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    if (!Files.exists(folder.resolve("startup.json"))) {
      System.err.println(folder + " was not made by this program; name another folder");
      System.exit(2);
    }
    delete(folder);
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      List<Path> deepestFirst = new ArrayList<>(files.sorted(Comparator.reverseOrder()).toList());
      for (Path file : deepestFirst) {
        Files.delete(file);
      }
    }
  }

  /** Injects the faults, each at its second; blocks until the last one is injected. */
  private static void runFaults(Fleet fleet, List<String> faults) {
    long begunAt = EmulatedWorkers.nowMs();
    Member last = null;
    for (String fault : faults) {
      String[] words = fault.split(":");
      try {
        long dueAt = begunAt + (long) (Double.parseDouble(words[0]) * 1_000);
        TimeUnit.MILLISECONDS.sleep(Math.max(0, dueAt - EmulatedWorkers.nowMs()));
        if (injectOutside(fleet, words)) {
          continue;
        }
        Member target = words[2].equals("last") ? last : target(fleet, words[2]);
        last = target;
        System.out.println(words[0] + " s: " + words[1] + " " + target.name);
        recordFault(fleet, words[1] + " " + target.name);
        inject(fault, words[1], target);
      } catch (IOException | InterruptedException failed) {
        throw new IllegalStateException(failed);
      }
    }
  }

  private static void recordFault(Fleet fleet, String fault) {
    fleet.history.add(EmulatedWorkers.nowMs(), History.Kind.FAULT, fault, "", "", 0);
  }

  /** Injects a fault of a process of the fleet. */
  private static void inject(String fault, String verb, Member target)
      throws IOException, InterruptedException {
    switch (verb) {
      case "kill" -> target.kill();
      case "start" -> target.start();
      case "freeze" -> target.freeze();
      case "wake" -> target.wake();
      case "stop" -> System.out.println("    exit status " + target.stopPolitely());
      case "lose-disk" -> {
        target.kill();
        delete(target.data);
      }
      default -> throw new IllegalArgumentException(fault);
    }
  }

  /**
   * Does what operators, the platform and workers do: bundle:N:CLASS:POOL, leaving:WORKER or a
   * fault of a worker. False if the verb is none of these.
   */
  private static boolean injectOutside(Fleet fleet, String[] words) {
    switch (words[1]) {
      case "bundle" ->
          fleet.rollOut(
              Long.parseLong(words[2]),
              fleet.deployment.configuration(Long.parseLong(words[2]), words[3], words[4]));
      case "leaving" -> fleet.markLeaving(words[2]);
      case "dark", "cuts", "garbage", "refuses", "well" -> {
        recordFault(fleet, "worker " + words[2] + " " + words[1]);
        injectWorkerFault(fleet, words[2], words[1]);
      }
      default -> {
        return false;
      }
    }
    System.out.println(String.join(" ", words));
    return true;
  }

  private static void injectWorkerFault(Fleet fleet, String workerId, String verb) {
    fleet.workers.all().stream()
        .filter(worker -> worker.id.equals(workerId))
        .forEach(
            worker -> {
              worker.dark = verb.equals("dark");
              worker.cutAfterTokens = verb.equals("cuts") ? 1 : -1;
              worker.garbage = verb.equals("garbage");
              worker.refuses = verb.equals("refuses");
            });
  }

  private static Member target(Fleet fleet, String who) {
    if (!who.equals("leader")) {
      return fleet.member(who);
    }
    return fleet.ofRole("edge").stream()
        .filter(Member::alive)
        .max(
            Comparator.comparingInt(
                edge -> fleet.caller.get(edge.http, "/v1/status").body().path("leads").size()))
        .orElseThrow();
  }

  private FleetProgram() {}
}
