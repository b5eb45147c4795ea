package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lots at the usual rate of the sheet, then a burst of lots. Each lot is within the limits of the
 * configuration. No process may end by itself three times on two machines, and at the end every lot
 * that was answered 202 must be readable.
 */
final class LotBurst {
  private static final double LOTS_PER_S = 1.14;
  private static final double BURST_X = 6.0;
  private static final double BURST_S = 4.0;
  private static final int USUAL_LOTS = 24;
  private static final int ITEM_BYTES = 71_500;
  private static final long QUEUED_TOKENS = 840_000;
  private static final long COMPLETION_MS = 10_000;
  private static final long RECOVERY_MS = 12_000;
  private static final double READ_UNTIL_S = 90;

  /** The rule Fault: on a tenth of the machines in use, two at least, three times in the day. */
  private static final int EXITS = 3;

  private static final int MACHINES = 2;

  private LotBurst() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    Fleet.limitTime(118);
    try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
      record.say("trouble: " + trouble);
      try (Fleet fleet = new Fleet();
          PlatformApi api = new PlatformApi(fleet.platform())) {
        result = play(record, fleet, api, trouble);
      } catch (Exception fault) {
        record.say("could not run: " + fault);
      }
      record.say("exit " + result);
    }
    System.exit(result);
  }

  private static int play(Record record, Fleet fleet, PlatformApi api, boolean trouble)
      throws Exception {
    AtomicInteger runs = new AtomicInteger();
    for (int number = 0; number < 9; number++) {
      api.workers.add(
          new Worker(
              "i-" + number,
              Fleet.ZONES[number % 3],
              fleet.network + (210 + number),
              (worker, id, headers, target, body) -> runs.incrementAndGet()));
    }
    if (!fleet.start(Config.of(1, 3, QUEUED_TOKENS, ""), 40_000)) {
      record.say("the fleet did not start");
      return 2;
    }
    Thread.sleep(2_000);
    Map<String, Integer> exits = new ConcurrentHashMap<>();
    Thread keeper = fleet.keepRunning(record, exits);
    record.say("started");
    Lots lots = new Lots(record, fleet, ITEM_BYTES);
    lots.handIn(USUAL_LOTS, LOTS_PER_S);
    if (trouble) {
      int burst = (int) (LOTS_PER_S * BURST_X * BURST_S);
      record.say("burst of " + burst + " lots in " + BURST_S + " s");
      lots.handIn(burst, LOTS_PER_S * BURST_X);
    }
    Thread.sleep(COMPLETION_MS + RECOVERY_MS);
    List<String> accepted = lots.accepted();
    record.say(lots.sent() + " lots sent, " + accepted.size() + " accepted, " + runs + " runs");
    List<String> unread = lots.readUntil(accepted, READ_UNTIL_S);
    keeper.interrupt();
    record.say("ended by themselves: " + new TreeMap<>(exits));
    record.say(accepted.size() + " lots accepted, " + unread.size() + " can't be read: " + unread);
    if (accepted.size() < USUAL_LOTS / 2) {
      return 2;
    }
    return Fleet.machinesWithExits(exits, EXITS) >= MACHINES || !unread.isEmpty() ? 1 : 0;
  }
}
