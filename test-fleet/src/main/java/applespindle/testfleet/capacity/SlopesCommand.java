package applespindle.testfleet.capacity;

import applespindle.testfleet.capacity.Measurements.Row;
import applespindle.testfleet.capacity.Measurements.Slope;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The command that measures each cost at several sizes. */
final class SlopesCommand {
  private static final int RUNS_MOST = 50;
  private static final int SIZES_MOST = 10;

  /** Heap of the largest fleet that an experiment simulates, with its frames in transit. */
  private static final long HEAP_BYTES = 900L << 20;

  private SlopesCommand() {}

  static void addTo(Subparsers commands) {
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
  }

  static void run(Namespace flags, String command) throws RefusedException, IOException {
    Measurements measured = new Measurements();
    ScalingMeasurements experiments = new ScalingMeasurements(measured);
    check(flags, experiments.names());
    List<String> chosen =
        flags.getList("only") == null ? experiments.names() : flags.getList("only");
    String commit = SourceRevision.commit();
    Path folder = Path.of(flags.getString("out"));
    for (String experiment : chosen) {
      experiments.run(experiment, flags.getInt("runs"), flags.getInt("sizes"));
      Measurements.write(folder, flags.getString("name"), commit, command, measured.rows());
    }
    Plots.write(folder, "", measured.rows());
    print(measured.rows());
  }

  private static void check(Namespace flags, List<String> names) throws RefusedException {
    List<String> reasons = new ArrayList<>();
    ArgumentChecks.requireRange(reasons, "--runs", flags.getInt("runs"), 1, RUNS_MOST);
    ArgumentChecks.requireRange(reasons, "--sizes", flags.getInt("sizes"), 1, SIZES_MOST);
    List<String> chosen = flags.getList("only") == null ? names : flags.getList("only");
    chosen.stream()
        .filter(name -> !names.contains(name))
        .forEach(
            name -> reasons.add("--only: there is no experiment " + name + "; there are " + names));
    String name = flags.getString("name");
    if (!name.matches("[a-z][a-z-]{0,40}")) {
      reasons.add("--name must be small letters and dashes, not " + name);
    }
    if (Runtime.getRuntime().maxMemory() < HEAP_BYTES) {
      reasons.add(
          "too little memory: a heap of " + (HEAP_BYTES >> 20) + " MB is wanted, give -Xmx1200m");
    }
    ArgumentChecks.refuseIf(reasons);
  }

  /**
   * Prints the slope of each figure. An exponent of 1 means growth with the size, 2 with its
   * square; it means little where the offset is most of the figure.
   */
  static void print(List<Row> rows) {
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
}
