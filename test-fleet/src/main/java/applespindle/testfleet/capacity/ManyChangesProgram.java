package applespindle.testfleet.capacity;

import applespindle.testfleet.scenario.ManyChanges;
import applespindle.testfleet.scenario.ManyChanges.Absence;
import applespindle.testfleet.scenario.ManyChanges.Plan;
import applespindle.testfleet.scenario.ManyChanges.Result;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What many changes cost and how long each absence takes to catch up. Usage: CHANGES... prints
 * rows; --plot ROWS FOLDER draws rows that were printed before.
 */
public final class ManyChangesProgram {
  private static final long SLOW_LINK = 256;
  private static final long DISK_TROUBLE_MS = 3_000;

  /** Of the longest days only the two that show most are played. */
  private static final int ALL_PLANS_UP_TO = 1_000;

  private static final String HEAD =
      "changes,process,absence,link B/ms,disk stalls ms,disk refuses ms,caught up after ms,"
          + "bytes received on return,bytes of the key in a snapshot,"
          + "disk bytes of the last change,news bytes to an edge of the last change,violation";
  private static final int CAUGHT_UP_COLUMN = 6;
  private static final int RETURN_BYTES_COLUMN = 7;

  private static List<Plan> plans(int changes) {
    if (changes > ALL_PLANS_UP_TO) {
      return List.of(
          new Plan("core-2", Absence.POWER_LOST, changes, SLOW_LINK, 0, 0, 2),
          new Plan("edge-2", Absence.CUT_OFF, changes, SLOW_LINK, 0, 0, 8));
    }
    return List.of(
        new Plan("core-2", Absence.KILLED, changes, 0, 0, 0, 1),
        new Plan("core-2", Absence.POWER_LOST, changes, SLOW_LINK, 0, 0, 2),
        new Plan("core-2", Absence.POWER_LOST, changes, 0, DISK_TROUBLE_MS, 0, 3),
        new Plan("core-2", Absence.POWER_LOST, changes, 0, 0, DISK_TROUBLE_MS, 4),
        new Plan("core-2", Absence.DISK_LOST, changes, 0, 0, 0, 5),
        new Plan("core-2", Absence.FROZEN, changes, 0, 0, 0, 6),
        new Plan("edge-2", Absence.KILLED, changes, 0, 0, 0, 7),
        new Plan("edge-2", Absence.CUT_OFF, changes, SLOW_LINK, 0, 0, 8));
  }

  private static String row(Plan plan, Result result) {
    return String.format(
        "%d,%s,%s,%d,%d,%d,%d,%d,%d,%d,%d,%s",
        plan.changes(),
        plan.process(),
        plan.absence(),
        plan.linkBytesPerMs(),
        plan.diskStallMs(),
        plan.diskRefusesMs(),
        result.caughtUpMs(),
        result.returnBytes(),
        result.stateBytes(),
        result.diskBytesOfLastChange(),
        result.edgeBytesOfLastChange(),
        result.violation().orElse("none"));
  }

  private static void plot(Path rows, Path folder) throws IOException {
    Measurements measured = new Measurements();
    for (String line : Files.readAllLines(rows)) {
      String[] cells = line.split(",");
      if (!line.equals(HEAD)) {
        String conditions =
            (cells[3].equals("0") ? "" : ", slow link")
                + (cells[4].equals("0") ? "" : ", disk stalls 3 s")
                + (cells[5].equals("0") ? "" : ", disk refuses 3 s");
        String series = cells[1] + " " + cells[2].toLowerCase(java.util.Locale.ROOT) + conditions;
        double changes = Double.parseDouble(cells[0]);
        double caughtUp = Double.parseDouble(cells[CAUGHT_UP_COLUMN]);
        double bytes = Double.parseDouble(cells[RETURN_BYTES_COLUMN]);
        measured.add("many-changes", series, "caught up", "ms", "changes", changes, caughtUp);
        measured.add("many-changes", series, "received", "B", "changes", changes, bytes);
      }
    }
    Plots.write(folder, "", measured.rows());
  }

  /** Measures many changes of the configuration and writes or prints the figures. */
  public static void main(String[] arguments) throws IOException {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    if (arguments.length == 3 && arguments[0].equals("--plot")) {
      plot(Path.of(arguments[1]), Path.of(arguments[2]));
      return;
    }
    System.out.println(HEAD);
    for (String changes : arguments) {
      for (Plan plan : plans(Integer.parseInt(changes))) {
        System.out.println(row(plan, ManyChanges.run(plan)));
      }
    }
  }

  private ManyChangesProgram() {}
}
