package applespindle.testfleet.soak;

import applespindle.testfleet.deployment.Deployment;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Soaks a fleet of real processes seed by seed. Exit status: 0 if all passed, 1 if a rule was
 * broken, 2 on wrong use.
 */
public final class SoakProgram {
  /** Runs the soak for each seed in turn; exit status 1 if a rule was broken. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    ArgumentParser parser =
        ArgumentParsers.newFor("soak")
            .build()
            .description("Real processes on this machine under random troubles, seed by seed.");
    parser
        .addArgument("--seeds")
        .nargs(2)
        .type(Long.class)
        .metavar("FROM", "TO")
        .setDefault(List.of(1L, 8L));
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(30)
        .help("how long troubles and traffic last; the rest of a seed is starting and judging");
    parser
        .addArgument("--deployment")
        .choices("authority", "cooperative", "small")
        .setDefault("small")
        .help("paces and sizes; the number of processes is drawn from the seed");
    parser
        .addArgument("--folder")
        .setDefault("soak-data")
        .help("keeps logs, data and history of each seed that was not sound");
    Namespace flags;
    try {
      flags = parser.parseArgs(arguments);
    } catch (ArgumentParserException fault) {
      parser.handleError(fault);
      System.exit(2);
      return;
    }
    System.exit(soak(flags) ? 0 : 1);
  }

  private static boolean soak(Namespace flags) throws IOException, InterruptedException {
    Deployment deployment =
        Deployment.valueOf(flags.getString("deployment").toUpperCase(Locale.ROOT));
    List<Long> seeds = flags.getList("seeds");
    boolean allSound = true;
    for (long seed = seeds.get(0); seed <= seeds.get(1); seed++) {
      Path folder = Path.of(flags.getString("folder")).resolve("seed-" + seed);
      if (Files.exists(folder)) {
        System.err.println(folder + " is there already; name another folder");
        System.exit(2);
      }
      SoakPlan plan = SoakPlan.of(seed, flags.getInt("seconds") * 1_000L);
      boolean sound = soak(deployment, folder, plan);
      if (sound) {
        delete(folder);
      }
      allSound &= sound;
    }
    return allSound;
  }

  /** A fleet that does not start, or that cannot get its planned faults, has failed too. */
  private static boolean soak(Deployment deployment, Path folder, SoakPlan plan)
      throws IOException, InterruptedException {
    try {
      SoakRun.Outcome outcome =
          new SoakRun(deployment, folder, System.getProperty("java.class.path")).run(plan);
      System.out.println(outcome);
      return outcome.sound();
    } catch (IllegalStateException fault) {
      System.out.println("seed " + plan.seed() + " BROKEN; " + plan + "; " + fault);
      return false;
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  private SoakProgram() {}
}
