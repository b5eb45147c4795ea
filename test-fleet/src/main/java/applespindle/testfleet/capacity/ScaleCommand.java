package applespindle.testfleet.capacity;

import applespindle.testfleet.capacity.CapacityProgram.Refused;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * The scale run: a fleet of hollow nodes that joins, changes, loses machines, a rack, a zone and
 * the way between regions.
 */
final class ScaleCommand {
  /** The other phases differ little from these in a picture; their figures are in the table. */
  private static final List<String> DRAWN = List.of("join", "rest", "changes");

  private static final int NODES_LEAST = 12;
  private static final int NODES_MOST = 2_000;
  private static final int WORKERS_MOST = 20_000;
  private static final int SECONDS_MOST = 3_600;

  static void addTo(Subparsers commands) {
    Subparser scale =
        commands.addParser("scale").help("a fleet of hollow nodes with joins, changes and losses");
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
    scale
        .addArgument("--processes")
        .action(Arguments.storeTrue())
        .help("on real time: real processes beside hollow ones");
    scale
        .addArgument("--hosts")
        .type(Integer.class)
        .setDefault(2)
        .help("processes that share the hollow nodes");
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
    scale
        .addArgument("--out")
        .metavar("FOLDER")
        .help("where scale.json, .csv and pictures go; nothing is kept without it");
  }

  static void run(Namespace flags, String command) throws Refused, IOException {
    List<Integer> nodes = flags.getList("nodes");
    int workers = flags.getInt("workers");
    List<String> reasons = new ArrayList<>();
    nodes.forEach(
        each -> CapacityProgram.demand(reasons, "--nodes", each, NODES_LEAST, NODES_MOST));
    CapacityProgram.demand(reasons, "--workers", workers, 0, WORKERS_MOST);
    CapacityProgram.demand(reasons, "--seconds", flags.getInt("seconds"), 5, SECONDS_MOST);
    CapacityProgram.demand(reasons, "--runs", flags.getInt("runs"), 1, 50);
    CapacityProgram.demand(reasons, "--changes-a-minute", flags.getInt("changes_a_minute"), 1, 600);
    boolean processes = Boolean.TRUE.equals(flags.getBoolean("processes"));
    int hosts = flags.getInt("hosts");
    CapacityProgram.demand(reasons, "--hosts", hosts, 1, 50);
    CapacityProgram.demand(reasons, "--heap", flags.getInt("heap"), 64, 4_096);
    if (processes && workers > 0) {
      reasons.add(
          "--workers: a run on processes lists the stand-in workers of its small fleet only");
    }
    if (processes && Files.exists(Path.of(flags.getString("folder")))) {
      reasons.add("--folder: " + flags.getString("folder") + " exists already");
    }
    int largest = nodes.stream().mapToInt(Integer::intValue).max().orElse(0);
    long wanted = SimulatedScale.heapBytes(largest, workers);
    if (processes && reasons.isEmpty()) {
      long allowed = machineMegabytes() / 2;
      int needed = ProcessScale.totalMegabytes(largest, hosts, flags.getInt("heap"));
      if (needed > allowed) {
        reasons.add(
            "too little memory: "
                + largest
                + " nodes want "
                + needed
                + " MB, half of this machine's is "
                + allowed
                + " MB");
      }
    } else if (reasons.isEmpty() && wanted > Runtime.getRuntime().maxMemory()) {
      reasons.add(
          "too little memory: "
              + largest
              + " nodes and "
              + workers
              + " workers want a heap of "
              + (wanted >> 20)
              + " MB, there are "
              + (Runtime.getRuntime().maxMemory() >> 20)
              + " MB");
    }
    CapacityProgram.refuseIf(reasons);
    Measurements measured = new Measurements();
    String commit = CapacityProgram.commit();
    int number = 0;
    for (int each : nodes) {
      for (int run = 1; run <= flags.getInt("runs"); run++) {
        if (processes) {
          Path folder = Path.of(flags.getString("folder")).resolve(each + "-" + run);
          try (ProcessScale scale =
              new ProcessScale(
                  measured,
                  each,
                  flags.getInt("seconds") * 1000L,
                  flags.getInt("changes_a_minute"),
                  hosts,
                  flags.getInt("heap"),
                  flags.getInt("cut_most"),
                  folder,
                  System.getProperty("java.class.path"),
                  number++)) {
            scale.run();
          }
        } else {
          new SimulatedScale(
                  measured,
                  each,
                  workers,
                  flags.getInt("seconds") * 1000L,
                  flags.getInt("changes_a_minute"),
                  run)
              .run();
        }
        if (flags.getString("out") != null) {
          Path folder = Path.of(flags.getString("out"));
          String name = processes ? "scale" : "scale-simulated";
          CapacityProgram.write(folder, name, commit, command, measured.rows());
          Plots.write(
              folder,
              name + "-",
              measured.rows().stream().filter(row -> DRAWN.contains(row.experiment())).toList());
        }
      }
    }
    if (!processes) {
      measured
          .rows()
          .forEach(
              row ->
                  System.out.printf(
                      "%-16s %-5s %-46s %5s %10s %-6s%n",
                      row.experiment(),
                      row.role(),
                      row.metric(),
                      Measurements.number(row.size()),
                      Measurements.number(row.median()),
                      row.unit()));
    }
  }

  private static long machineMegabytes() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
            .getTotalMemorySize()
        >> 20;
  }

  private ScaleCommand() {}
}
