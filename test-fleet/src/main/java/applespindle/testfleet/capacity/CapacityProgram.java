package applespindle.testfleet.capacity;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.testfleet.capacity.Measurements.Made;
import applespindle.testfleet.capacity.Measurements.Row;
import applespindle.testfleet.capacity.Measurements.Slope;
import applespindle.testfleet.capacity.Measurements.Unusable;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Measures what the system costs as it grows, and draws what was measured. */
public final class CapacityProgram {
  private static final int EXIT_INPUT = 2;
  private static final int RUNS_MOST = 50;
  private static final int SIZES_MOST = 10;

  /** The largest fleet of the slopes and its copies of frames under way. */
  private static final long SLOPES_HEAP_BYTES = 900L << 20;

  /** What was asked for can not be done; each sentence names one reason. */
  static final class Refused extends Exception {
    final List<String> reasons;

    Refused(List<String> reasons) {
      super(String.join("; ", reasons));
      this.reasons = reasons;
    }
  }

  public static void main(String[] arguments) {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.exit(run(arguments, System.err));
  }

  static int run(String[] arguments, PrintStream faults) {
    ArgumentParser parser =
        ArgumentParsers.newFor("capacity")
            .build()
            .description("What the system costs as it grows.");
    var commands = parser.addSubparsers().dest("command").metavar("COMMAND");
    Subparser slopes = commands.addParser("slopes").help("measure each cost at several sizes");
    slopes
        .addArgument("--out")
        .metavar("FOLDER")
        .setDefault("docs/capacity")
        .help("where slopes.json, .csv and pictures go");
    slopes.addArgument("--runs").type(Integer.class).setDefault(3).help("runs of each size");
    slopes
        .addArgument("--sizes")
        .type(Integer.class)
        .setDefault(SIZES_MOST)
        .help("only the first so many sizes");
    slopes
        .addArgument("--name")
        .setDefault("slopes")
        .help("of the result file, so that parts can be measured apart");
    slopes
        .addArgument("--only")
        .nargs("+")
        .metavar("EXPERIMENT")
        .help("of: " + new ScalingMeasurements(new Measurements()).names());
    Subparser plot =
        commands.addParser("plot").help("draw a result file again and print its slopes");
    plot.addArgument("file").nargs("+").help("result files, such as docs/capacity/control.json");
    plot.addArgument("--out")
        .metavar("FOLDER")
        .help("where the pictures go; none are drawn without it");
    Subparser target =
        commands
            .addParser("target")
            .help("today's design at the target's size, worked out from a result file");
    target.addArgument("file").nargs("+").help("result files of slopes, all of one commit");
    target
        .addArgument("--out")
        .metavar("FOLDER")
        .help("where target.md goes; only printed without it");
    ScaleCommand.addTo(commands);
    try {
      Namespace flags = parser.parseArgs(arguments);
      switch (flags.getString("command")) {
        case "slopes" -> slopes(flags, String.join(" ", arguments));
        case "plot" -> plot(flags);
        case "target" -> target(flags);
        default -> ScaleCommand.run(flags, String.join(" ", arguments));
      }
      return 0;
    } catch (ArgumentParserException fault) {
      parser.handleError(fault, new PrintWriter(faults, true));
      return EXIT_INPUT;
    } catch (Refused refused) {
      refused.reasons.forEach(reason -> faults.println("capacity: " + reason));
      return EXIT_INPUT;
    } catch (Unusable unusable) {
      faults.println("capacity: " + unusable.getMessage());
      return EXIT_INPUT;
    } catch (IOException fault) {
      faults.println("capacity: can not write: " + fault.getMessage());
      return EXIT_INPUT;
    }
  }

  private static void slopes(Namespace flags, String command) throws Refused, IOException {
    Measurements measured = new Measurements();
    ScalingMeasurements slopes = new ScalingMeasurements(measured);
    List<String> reasons = new ArrayList<>();
    demand(reasons, "--runs", flags.getInt("runs"), 1, RUNS_MOST);
    demand(reasons, "--sizes", flags.getInt("sizes"), 1, SIZES_MOST);
    List<String> chosen = flags.getList("only") == null ? slopes.names() : flags.getList("only");
    chosen.stream()
        .filter(name -> !slopes.names().contains(name))
        .forEach(
            name ->
                reasons.add(
                    "--only: there is no experiment " + name + "; there are " + slopes.names()));
    String name = flags.getString("name");
    if (!name.matches("[a-z][a-z-]{0,40}")) {
      reasons.add("--name must be small letters and dashes, not " + name);
    }
    if (Runtime.getRuntime().maxMemory() < SLOPES_HEAP_BYTES) {
      reasons.add(
          "too little memory: a heap of "
              + (SLOPES_HEAP_BYTES >> 20)
              + " MB is wanted, give -Xmx1200m");
    }
    refuseIf(reasons);
    String commit = commit();
    Path folder = Path.of(flags.getString("out"));
    for (String experiment : chosen) {
      slopes.run(experiment, flags.getInt("runs"), flags.getInt("sizes"));
      write(folder, name, commit, command, measured.rows());
    }
    Plots.write(folder, "", measured.rows());
    print(measured.rows());
  }

  static void write(Path folder, String name, String commit, String command, List<Row> rows)
      throws IOException {
    var made =
        new Made(
            commit,
            Instant.now().truncatedTo(ChronoUnit.SECONDS).toString(),
            System.getProperty("java.version"),
            Runtime.getRuntime().availableProcessors(),
            command);
    Measurements.write(folder.resolve(name + ".json"), new Measurements.File(made, rows));
    Measurements.writeWhole(folder.resolve(name + ".csv"), Measurements.csv(rows));
  }

  private static void plot(Namespace flags) throws Unusable, IOException {
    Measurements.File file = read(flags);
    if (flags.getString("out") != null) {
      Plots.write(Path.of(flags.getString("out")), "", file.rows());
    }
    System.out.println("commit " + file.made().commit() + ", " + file.made().at());
    print(file.rows());
  }

  private static void target(Namespace flags) throws Unusable, IOException {
    Measurements.File file = read(flags);
    String table =
        "Worked out from the slopes of commit "
            + file.made().commit()
            + ", "
            + file.made().at()
            + ".\n\n"
            + TargetExtrapolation.table(TargetExtrapolation.terms(file.rows()));
    if (flags.getString("out") != null) {
      Measurements.writeWhole(Path.of(flags.getString("out")).resolve("target.md"), table);
    }
    System.out.print(table);
  }

  /** All files as one; figures of different commits don't belong together. */
  private static Measurements.File read(Namespace flags) throws Unusable {
    List<Row> rows = new ArrayList<>();
    Made made = null;
    for (String name : flags.<String>getList("file")) {
      Measurements.File each = Measurements.read(Path.of(name));
      if (made != null && !made.commit().equals(each.made().commit())) {
        throw new Unusable(
            name
                + " is of commit "
                + each.made().commit()
                + ", the file before it of "
                + made.commit());
      }
      made = each.made();
      rows.addAll(each.rows());
    }
    return new Measurements.File(made, rows);
  }

  /**
   * Exponent: 1 grows with the size, 2 with its square; it means little where the offset is most of
   * the figure.
   */
  private static void print(List<Row> rows) {
    System.out.printf(
        "%-62s %-6s %14s %14s %14s %9s%n",
        "experiment | role | figure",
        "unit",
        "first size",
        "last size",
        "for one more",
        "exponent");
    Measurements.bySeries(rows)
        .forEach(
            (name, series) -> {
              Slope slope = Measurements.slope(series);
              Row first = series.get(0);
              Row last = series.get(series.size() - 1);
              System.out.printf(
                  Locale.ROOT,
                  "%-62s %-6s %14s %14s %14.5f %9.2f%n",
                  name,
                  first.unit(),
                  Measurements.number(first.median()),
                  Measurements.number(last.median()),
                  slope.slope(),
                  slope.exponent());
            });
  }

  static void demand(List<String> reasons, String name, long value, long least, long most) {
    if (value < least || value > most) {
      reasons.add(name + " must be from " + least + " to " + most + ", not " + value);
    }
  }

  static void refuseIf(List<String> reasons) throws Refused {
    if (!reasons.isEmpty()) {
      throw new Refused(reasons);
    }
  }

  /** The commit of the tree this was started in, with a plus if the tree differs from it. */
  static String commit() {
    String head = git("rev-parse", "--short", "HEAD");
    if (head.isEmpty()) {
      return "unknown";
    }
    boolean clean = git("status", "--porcelain", "--untracked-files=no").isEmpty();
    return clean ? head : head + "+";
  }

  private static String git(String... words) {
    List<String> command = new ArrayList<>(List.of("git"));
    command.addAll(List.of(words));
    try {
      Process process =
          new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
      String text = new String(process.getInputStream().readAllBytes(), UTF_8).strip();
      return process.waitFor() == 0 ? text : "";
    } catch (IOException | InterruptedException unknown) {
      return "";
    }
  }

  private CapacityProgram() {}
}
