package applespindle.corelogic.batch;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.live.StreamText;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import applespindle.corelogic.protocol.Message.RangeReport;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Tells the leaders of batches what came of the ranges assigned here. Each report renews the
 * range's lease and carries the outcomes that were not answered in time.
 */
final class RangeReporter {
  private final Environment environment;
  private final BatchDispatcher.Context edge;

  RangeReporter(Environment environment, BatchDispatcher.Context edge) {
    this.environment = environment;
    this.edge = edge;
  }

  /** Reports the outcome of a run at once. */
  void outcome(ItemRun run, String finishReason, String faultType, String output) {
    AssignedRange range = run.range;
    range.unanswered.add(
        new AssignedRange.Outcome(
            new ItemOutcome(
                run.item.index(),
                run.id,
                range.worker,
                finishReason,
                faultType,
                output.getBytes(StandardCharsets.UTF_8))));
    report(range);
  }

  /** What the next feeder may go on from; a range that stays here keeps it for itself. */
  void giveBackText(ItemRun run) {
    if (run.range.givingBack || run.range.dropped) {
      giveBackText(run.range, run.item.index(), run.text);
    }
  }

  private void giveBackText(AssignedRange range, int index, StreamText text) {
    if (!text.resumeAfter().isEmpty() && !text.text().isEmpty()) {
      range.unanswered.add(
          new AssignedRange.Outcome(
              new ItemOutcome(
                  index,
                  "",
                  range.worker,
                  text.resumeAfter(),
                  BatchLeader.PART,
                  text.text().getBytes(StandardCharsets.UTF_8))));
    }
  }

  /** Begins nothing more of the range; it is handed back once nothing of it runs. */
  void giveBack(AssignedRange range) {
    if (!range.givingBack && !range.dropped) {
      range.givingBack = true;
      range.texts.forEach((index, text) -> giveBackText(range, index, text));
      range.unsent.clear();
      report(range);
    }
  }

  void report(AssignedRange range) {
    long now = environment.nowMs();
    long number = range.nextReport(now);
    boolean handsBack = range.givingBack && range.running.isEmpty();
    List<ItemOutcome> carried = range.carry(number, handsBack && !range.handedBack, now);
    range.handedBack |= handsBack;
    edge.send(
        range.leader.address(),
        range.leader.id(),
        new RangeReport(
            range.batch,
            range.number,
            range.epoch,
            range.worker,
            number,
            range.offset(number),
            handsBack,
            carried));
  }
}
