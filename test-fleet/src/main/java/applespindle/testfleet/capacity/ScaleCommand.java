package applespindle.testfleet.capacity;

import applespindle.testfleet.capacity.Measurements.Row;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * The command for scale runs: a fleet that joins, changes its configuration, loses machines, a rack
 * and a zone, and is cut off from one region. It is simulated, or consists of real processes beside
 * {@link LightweightEdgeHost lightweight edges}.
 */
final class ScaleCommand {
  /** The other phases differ little from these in a picture; their figures are in the table. */
  private static final List<String> DRAWN = List.of("join", "rest", "changes");

  private static final int NODES_LEAST = 12;
  private static final int NODES_MOST = 2_000;
  private static final int WORKERS_MOST = 20_000;
  private static final int SECONDS_MOST = 3_600;
  private static final int RUNS_MOST = 50;
  private static final int CHANGES_A_MINUTE_MOST = 600;
  private static final int HOSTS_MOST = 50;
  private static final int HEAP_MEGABYTES_LEAST = 64;
  private static final int HEAP_MEGABYTES_MOST = 4_096;

  static void addTo(Subparsers commands) {
    Subparser scale =
        commands
            .addParser("scale")
            .help("a fleet of lightweight nodes with joins, changes and losses");
    scale
        .addArgument("--nodes")
        .nargs("+")
        .type(Integer.class)
        .setDefault(List.of(50))
        .help("one run for each size");
    scale
        .addArgument("--workers")
        .type(Integer.class)
        .setDefault(0)
        .help("workers listed, at every size");
    scale.addArgument("--seconds").type(Integer.class).setDefault(10).help("length of each phase");
    scale.addArgument("--runs").type(Integer.class).setDefault(1);
    scale
        .addArgument("--changes-a-minute")
        .type(Integer.class)
        .setDefault(27)
        .help("27 a minute are 39,000 a day");
    addProcessArguments(scale);
    scale
        .addArgument("--out")
        .metavar("FOLDER")
        .help("where scale.json, .csv and pictures go; nothing is kept without it");
  }

  private static void addProcessArguments(Subparser scale) {
    scale
        .addArgument("--processes")
        .action(Arguments.storeTrue())
        .help("on real time: real processes beside lightweight nodes");
    scale
        .addArgument("--hosts")
        .type(Integer.class)
        .setDefault(2)
        .help("processes that share the lightweight nodes");
    scale
        .addArgument("--heap")
        .type(Integer.class)
        .setDefault(192)
        .metavar("MB")
        .help("of each real process");
    scale
        .addArgument("--cut-most")
        .type(Integer.class)
        .setDefault(100)
        .help("the region is cut only up to this size: nodes then call each other");
    scale
        .addArgument("--folder")
        .setDefault("capacity-data")
        .help("where the real processes keep data and logs; must not exist");
  }

  static void run(Namespace flags, String command) throws RefusedException, IOException {
    check(flags);
    boolean processes = flags.getBoolean("processes");
    List<Integer> sizes = flags.getList("nodes");
    Measurements measured = new Measurements();
    String commit = SourceRevision.commit();
    int processRuns = 0;
    for (int nodes : sizes) {
      for (int run = 1; run <= flags.getInt("runs"); run++) {
        if (processes) {
          runProcesses(flags, measured, nodes, run, processRuns++);
        } else {
          runSimulated(flags, measured, nodes, run);
        }
        if (flags.getString("out") != null) {
          write(flags, commit, command, measured.rows());
        }
      }
    }
    if (!processes) {
      print(measured.rows());
    }
  }

  private static void check(Namespace flags) throws RefusedException {
    List<Integer> sizes = flags.getList("nodes");
    List<String> reasons = new ArrayList<>();
    sizes.forEach(
        nodes -> ArgumentChecks.requireRange(reasons, "--nodes", nodes, NODES_LEAST, NODES_MOST));
    requireRange(reasons, flags, "workers", 0, WORKERS_MOST);
    requireRange(reasons, flags, "seconds", 5, SECONDS_MOST);
    requireRange(reasons, flags, "runs", 1, RUNS_MOST);
    requireRange(reasons, flags, "changes_a_minute", 1, CHANGES_A_MINUTE_MOST);
    requireRange(reasons, flags, "hosts", 1, HOSTS_MOST);
    requireRange(reasons, flags, "heap", HEAP_MEGABYTES_LEAST, HEAP_MEGABYTES_MOST);
    int largest = sizes.stream().mapToInt(Integer::intValue).max().orElse(0);
    if (flags.getBoolean("processes")) {
      checkProcesses(flags, largest, reasons);
    } else if (reasons.isEmpty()) {
      checkHeap(largest, flags.getInt("workers"), reasons);
    }
    ArgumentChecks.refuseIf(reasons);
  }

  private static void requireRange(
      List<String> reasons, Namespace flags, String name, long least, long most) {
    String flag = "--" + name.replace('_', '-');
    ArgumentChecks.requireRange(reasons, flag, flags.getInt(name), least, most);
  }

  private static void checkProcesses(Namespace flags, int largest, List<String> reasons) {
    if (flags.getInt("workers") > 0) {
      reasons.add(
          "--workers: a run on processes lists the stand-in workers of its small fleet only");
    }
    if (Files.exists(Path.of(flags.getString("folder")))) {
      reasons.add("--folder: " + flags.getString("folder") + " exists already");
    }
    if (!reasons.isEmpty()) {
      return;
    }
    long allowed = machineMegabytes() / 2;
    int needed = ProcessScale.totalMegabytes(largest, flags.getInt("hosts"), flags.getInt("heap"));
    if (needed > allowed) {
      reasons.add(
          String.format(
              Locale.ROOT,
              "too little memory: %d nodes want %d MB, half of this machine's is %d MB",
              largest,
              needed,
              allowed));
    }
  }

  private static void checkHeap(int largest, int workers, List<String> reasons) {
    long wanted = SimulatedScale.heapBytes(largest, workers);
    long present = Runtime.getRuntime().maxMemory();
    if (wanted > present) {
      reasons.add(
          String.format(
              Locale.ROOT,
              "too little memory: %d nodes and %d workers want a heap of %d MB, there are %d MB",
              largest,
              workers,
              wanted >> 20,
              present >> 20));
    }
  }

  private static void runProcesses(
      Namespace flags, Measurements measured, int nodes, int run, int number) throws IOException {
    Path folder = Path.of(flags.getString("folder")).resolve(nodes + "-" + run);
    try (ProcessScale scale =
        new ProcessScale(
            measured,
            nodes,
            flags.getInt("seconds") * 1000L,
            flags.getInt("changes_a_minute"),
            flags.getInt("hosts"),
            flags.getInt("heap"),
            flags.getInt("cut_most"),
            folder,
            System.getProperty("java.class.path"),
            number)) {
      scale.run();
    }
  }

  private static void runSimulated(Namespace flags, Measurements measured, int nodes, int seed) {
    SimulatedScale scale =
        new SimulatedScale(
            measured,
            nodes,
            flags.getInt("workers"),
            flags.getInt("seconds") * 1000L,
            flags.getInt("changes_a_minute"),
            seed);
    scale.run();
  }

  private static void write(Namespace flags, String commit, String command, List<Row> rows)
      throws IOException {
    Path folder = Path.of(flags.getString("out"));
    String name = flags.getBoolean("processes") ? "scale" : "scale-simulated";
    Measurements.write(folder, name, commit, command, rows);
    List<Row> drawn = rows.stream().filter(row -> DRAWN.contains(row.experiment())).toList();
    Plots.write(folder, name + "-", drawn);
  }

  private static void print(List<Row> rows) {
    for (Row row : rows) {
      System.out.printf(
          "%-16s %-5s %-46s %5s %10s %-6s%n",
          row.experiment(),
          row.role(),
          row.metric(),
          Measurements.number(row.size()),
          Measurements.number(row.median()),
          row.unit());
    }
  }

  private static long machineMegabytes() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
            .getTotalMemorySize()
        >> 20;
  }

  private ScaleCommand() {}
}
