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
  void reportOutcome(ItemRun run, String finishReason, String faultType, String output) {
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
  void reportPartialStream(ItemRun run) {
    if (run.range.returning || run.range.dropped) {
      reportPartialStream(run.range, run.item.index(), run.stream);
    }
  }

  private void reportPartialStream(AssignedRange range, int index, StreamText text) {
    if (!text.resumeAfter().isEmpty() && !text.text().isEmpty()) {
      range.unanswered.add(
          new AssignedRange.Outcome(
              new ItemOutcome(
                  index,
                  "",
                  range.worker,
                  text.resumeAfter(),
                  ItemErrorTypes.STREAM_TRUNCATED,
                  text.text().getBytes(StandardCharsets.UTF_8))));
    }
  }

  /** Begins nothing more of the range; it is handed back once nothing of it runs. */
  void returnRange(AssignedRange range) {
    if (!range.returning && !range.dropped) {
      range.returning = true;
      range.partialStreams.forEach((index, text) -> reportPartialStream(range, index, text));
      range.unsent.clear();
      report(range);
    }
  }

  void report(AssignedRange range) {
    long now = environment.nowMs();
    long number = range.nextReportNumber(now);
    boolean handsBack = range.returning && range.running.isEmpty();
    List<ItemOutcome> carried =
        range.takeOutcomesDue(number, handsBack && !range.returnReported, now);
    range.returnReported |= handsBack;
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
