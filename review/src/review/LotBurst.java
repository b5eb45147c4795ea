package review;

import java.util.List;
import java.util.TreeMap;

/**
 * Lots at the usual rate of the sheet, then a burst of lots. Each lot is within the limits of the
 * configuration. No process may end by itself three times on two machines, and at the end every lot
 * that was answered 202 must be readable.
 */
final class LotBurst extends Case {
  private static final double LOTS_PER_S = 1.14;
  private static final double BURST_X = 6.0;
  private static final double BURST_S = 4.0;
  private static final int USUAL_LOTS = 24;
  private static final int ITEM_BYTES = 71_500;
  private static final long COMPLETION_MS = 10_000;
  private static final long RECOVERY_MS = 12_000;
  private static final double READ_UNTIL_S = 90;

  public static void main(String[] arguments) throws Exception {
    new LotBurst().run(arguments[0]);
  }

  @Override
  int play(boolean trouble) throws Exception {
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
    record.say("ended by themselves: " + new TreeMap<>(exits));
    record.say(accepted.size() + " lots accepted, " + unread.size() + " can't be read: " + unread);
    if (accepted.size() < USUAL_LOTS / 2) {
      return COULD_NOT_RUN;
    }
    return breaksFault() || !unread.isEmpty() ? BROKEN : HELD;
  }
}
