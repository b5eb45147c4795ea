package applespindle.testfleet;

import applespindle.testfleet.ManyChanges.Absence;
import applespindle.testfleet.ManyChanges.Plan;
import applespindle.testfleet.ManyChanges.Result;
import java.util.Arrays;
import java.util.List;

/** Prints what many changes cost and how long each absence takes to catch up. Usage: CHANGES... */
public final class ManyChangesProgram {
  private static final long SLOW_LINK = 256;
  private static final long DISK_TROUBLE_MS = 3_000;

  /** Of the longest days only the two that show most are played. */
  private static final int ALL_PLANS_UP_TO = 1_000;

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

  public static void main(String[] arguments) {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    List<Integer> counts = Arrays.stream(arguments).map(Integer::parseInt).toList();
    System.out.println(
        "changes,process,absence,link B/ms,disk stalls ms,disk refuses ms,caught up after ms,"
            + "bytes received on return,bytes of the key in a snapshot,"
            + "disk bytes of the last change,news bytes to an edge of the last change,violation");
    for (int changes : counts) {
      for (Plan plan : plans(changes)) {
        Result result = ManyChanges.run(plan);
        System.out.printf(
            "%d,%s,%s,%d,%d,%d,%d,%d,%d,%d,%d,%s%n",
            changes,
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
    }
  }

  private ManyChangesProgram() {}
}
