package review;

import java.io.File;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lots at the usual rate of the sheet; then the storage machines lose their disks one after the
 * other. A machine is killed, its data folder emptied, and it returns; the next one follows only
 * when the one before no longer counts as lost. Each lot that was answered 202 must be readable.
 */
final class DiskLosses {
  private static final double LOTS_PER_S = 1.14;
  private static final int LOTS = 30;
  private static final int ITEM_BYTES = 71_500;
  private static final long QUEUED_TOKENS = 840_000;
  private static final long COMPLETION_MS = 8_000;

  /** The bound sync_s of the settings. */
  private static final double SYNC_S = 4.8;

  /** Beyond sync_s, from the start of the machine's process. */
  private static final double MARGIN_S = 0.7;

  private static final long DOWN_MS = 1_000;
  private static final double RECOVERY_S = 12;
  private static final double READ_FOR_S = 15;

  private DiskLosses() {}

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
    lots.handIn(LOTS, LOTS_PER_S);
    Thread.sleep(COMPLETION_MS);
    List<String> accepted = lots.accepted();
    List<String> unreadBefore = lots.readUntil(accepted, record.seconds() + 5);
    record.say(
        accepted.size()
            + " of "
            + lots.sent()
            + " lots accepted, "
            + runs
            + " runs of items, can't be read before the trouble: "
            + unreadBefore);
    if (accepted.size() < LOTS / 2 || !unreadBefore.isEmpty() || !exits.isEmpty()) {
      return 2;
    }
    if (trouble) {
      for (Fleet.Program storage : fleet.of("storage")) {
        loseDisk(record, fleet, storage);
      }
    }
    Thread.sleep(Math.round(RECOVERY_S * 1_000));
    List<String> unread = lots.readUntil(accepted, record.seconds() + READ_FOR_S);
    keeper.interrupt();
    record.say("ended by themselves: " + exits);
    record.say(accepted.size() + " lots accepted, " + unread.size() + " can't be read: " + unread);
    return unread.isEmpty() ? 0 : 1;
  }

  /** Returns when the machine no longer counts as lost. */
  private static void loseDisk(Record record, Fleet fleet, Fleet.Program storage)
      throws Exception {
    storage.kill();
    File data = fleet.folder.resolve(storage.machine).resolve(storage.role).toFile();
    int files = data.list().length;
    Fleet.empty(data);
    record.say(storage + " killed, " + files + " files of its disk lost");
    Thread.sleep(DOWN_MS);
    storage.startAgain();
    record.say(storage + " started again with an empty disk");
    Thread.sleep(Math.round((SYNC_S + MARGIN_S) * 1_000));
    record.say(storage + " no longer counts as lost");
  }
}
