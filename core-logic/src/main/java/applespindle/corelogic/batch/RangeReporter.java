package applespindle.corelogic.batch;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.live.StreamText;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import applespindle.corelogic.protocol.Message.RangeReport;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Reports the outcomes of the assigned ranges to the leaders of their batches. Each report renews
 * the range's lease and repeats the outcomes that were not answered in time.
 */
final class RangeReporter {
  private final Environment environment;
  private final BatchDispatcher.Context edge;

  RangeReporter(Environment environment, BatchDispatcher.Context edge) {
    this.environment = environment;
    this.edge = edge;
  }

  /** Reports the outcome of a run at once. */
  void reportOutcome(ItemRun run, String finishReason, String errorType, String output) {
    AssignedRange range = run.range;
    range.unanswered.add(
        new AssignedRange.Outcome(
            new ItemOutcome(
                run.item.index(),
                run.id,
                range.worker,
                finishReason,
                errorType,
                output.getBytes(StandardCharsets.UTF_8))));
    report(range);
  }

  /**
   * Reports the partial stream of a run whose range is leaving this edge, so that the next
   * dispatcher can resume it. A range that stays keeps its partial streams.
   */
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

  /** Starts nothing more of the range; it is returned once nothing of it runs. */
  void returnRange(AssignedRange range) {
    if (!range.returning && !range.dropped) {
      range.returning = true;
      range.partialStreams.forEach((index, text) -> reportPartialStream(range, index, text));
      range.unsent.clear();
      report(range);
    }
  }

  /** Reports the range now, with the outcomes that are due to be sent. */
  void report(AssignedRange range) {
    long now = environment.nowMs();
    long number = range.nextReportNumber(now);
    boolean returned = range.returning && range.running.isEmpty();
    List<ItemOutcome> outcomes =
        range.takeOutcomesDue(number, returned && !range.returnReported, now);
    range.returnReported |= returned;
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
            returned,
            outcomes));
  }
}
