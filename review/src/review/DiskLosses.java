package review;

import java.io.File;
import java.util.List;

/**
 * Lots at the usual rate of the sheet; then the storage machines lose their disks one after the
 * other. A machine is killed, its data folder emptied, and it returns; the next one follows only
 * when the one before no longer counts as lost. Each lot that was answered 202 must be readable.
 */
final class DiskLosses extends Case {
  private static final double LOTS_PER_S = 1.14;
  private static final int LOTS = 30;
  private static final int ITEM_BYTES = 71_500;
  private static final long COMPLETION_MS = 8_000;
  private static final double READ_BEFORE_S = 5;

  /** The bound sync_s of the settings. */
  private static final double SYNC_S = 4.8;

  /** Beyond sync_s, from the start of the machine's process. */
  private static final double MARGIN_S = 0.7;

  private static final long DOWN_MS = 1_000;
  private static final long RECOVERY_MS = 12_000;
  private static final double READ_FOR_S = 15;

  public static void main(String[] arguments) throws Exception {
    new DiskLosses().run(arguments[0]);
  }

  @Override
  int play(boolean trouble) throws Exception {
    Lots lots = new Lots(record, fleet, ITEM_BYTES);
    lots.handIn(LOTS, LOTS_PER_S);
    Thread.sleep(COMPLETION_MS);
    List<String> accepted = lots.accepted();
    List<String> unreadBefore = lots.readUntil(accepted, record.seconds() + READ_BEFORE_S);
    record.say(
        accepted.size()
            + " of "
            + lots.sent()
            + " lots accepted, "
            + runs
            + " runs of items, can't be read before the trouble: "
            + unreadBefore);
    if (accepted.size() < LOTS / 2 || !unreadBefore.isEmpty() || !exits.isEmpty()) {
      return COULD_NOT_RUN;
    }
    if (trouble) {
      for (Fleet.Program storage : fleet.of("storage")) {
        loseDisk(storage);
      }
    }
    Thread.sleep(RECOVERY_MS);
    List<String> unread = lots.readUntil(accepted, record.seconds() + READ_FOR_S);
    record.say("ended by themselves: " + exits);
    record.say(accepted.size() + " lots accepted, " + unread.size() + " can't be read: " + unread);
    return unread.isEmpty() ? HELD : BROKEN;
  }

  /** Returns when the machine no longer counts as lost. */
  private void loseDisk(Fleet.Program storage) throws Exception {
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
