package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.batch.BatchEvent.Attempt;
import applespindle.corelogic.batch.BatchEvent.Recorded;
import applespindle.corelogic.batch.BatchEvent.Result;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import applespindle.corelogic.protocol.Message.RangeReport;
import applespindle.corelogic.protocol.Message.RangeReportResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Handles the reports of dispatchers at the batch's leader: renews leases, records results and
 * failed attempts, and makes returned ranges available again.
 *
 * <p>Invariants: an item gets at most one result. A report is answered only after the entries that
 * it led to are committed and the leadership is confirmed, as the dispatcher then forgets the
 * outcomes it carried.
 */
final class RangeReportHandler {
  /** The outcomes of a report to be recorded; those of items that have a result are left out. */
  private record NewOutcomes(List<Result> results, List<Attempt> attempts) {
    NewOutcomes() {
      this(new ArrayList<>(), new ArrayList<>());
    }

    boolean isEmpty() {
      return results.isEmpty() && attempts.isEmpty();
    }
  }

  private final BatchLeader.Context edge;
  private final BatchLog log;
  private final RangeAssigner ranges;
  private final BatchRoute route;
  private final UnrecordedOutcomes unrecorded;
  private final Runnable whenRecorded;

  /**
   * @param whenRecorded runs after results or attempts were committed
   */
  RangeReportHandler(
      BatchLeader.Context edge,
      BatchLog log,
      RangeAssigner ranges,
      BatchRoute route,
      UnrecordedOutcomes unrecorded,
      Runnable whenRecorded) {
    this.edge = edge;
    this.log = log;
    this.ranges = ranges;
    this.route = route;
    this.unrecorded = unrecorded;
    this.whenRecorded = whenRecorded;
  }

  /** Handles a report; the lease of a range that is not assigned under its epoch is not renewed. */
  void handle(RangeReport report, String fromId, String fromAddress) {
    if (!log.isTakingWork() || report.range() >= log.state.ranges.size()) {
      log.confirmLeadership(error -> respond(report, fromId, fromAddress, false));
      return;
    }
    BatchRange range = log.state.ranges.get(report.range());
    if (report.offset() > range.first + range.offset) {
      edge.recordOffsetAhead(log.batch);
    }
    boolean current = range.isCurrent(report.rangeEpoch());
    if (current && !report.returned()) {
      ranges.renewLease(report.range());
    }
    NewOutcomes outcomes = selectUnrecorded(report);
    if (!outcomes.isEmpty()) {
      record(report, outcomes);
    }
    if (report.returned() && current) {
      ranges.returnRange(report.range(), report.rangeEpoch());
    }
    Consumer<ApiError> respond =
        error -> {
          if (error == null) {
            respond(report, fromId, fromAddress, keepsLease(range, report));
          }
        };
    if (outcomes.isEmpty() && !report.returned()) {
      log.confirmWithHeartbeat(respond);
    } else {
      log.confirmLeadership(respond);
    }
  }

  private void record(RangeReport report, NewOutcomes outcomes) {
    List<Result> results = outcomes.results();
    unrecorded.startRecording(results);
    log.append(
        BatchEvent.recorded(
            log.ageMs(),
            new Recorded(report.range(), report.rangeEpoch(), results, outcomes.attempts())),
        () -> {
          unrecorded.endRecording(results);
          whenRecorded.run();
        });
  }

  // ---- outcomes

  private NewOutcomes selectUnrecorded(RangeReport report) {
    NewOutcomes outcomes = new NewOutcomes();
    for (ItemOutcome item : report.results()) {
      if (item.index() < 0
          || item.index() >= log.state.items()
          || log.state.hasResult(item.index())
          || unrecorded.isBeingRecorded(item.index())) {
        continue;
      }
      add(item, outcomes);
    }
    return outcomes;
  }

  private void add(ItemOutcome item, NewOutcomes outcomes) {
    if (isPartialStream(item)) {
      unrecorded.addPartialStream(item);
    } else if (item.errorType().isEmpty()) {
      unrecorded.removePartialStream(item.index());
      outcomes.results().add(succeeded(item));
    } else if (item.errorType().equals(ItemErrorTypes.NOT_EXECUTABLE)) {
      outcomes.results().add(failed(item));
    } else if (!log.state.hasFailed(item.run())) {
      outcomes.attempts().add(new Attempt(item.index(), item.run(), item.errorType()));
      if (log.state.attempts(item.index()) + 1 >= route.maxAttempts()) {
        outcomes.results().add(failed(item));
      }
    }
  }

  private boolean isPartialStream(ItemOutcome item) {
    return log.state.accepted.proxiedRoute() != null
        && item.errorType().equals(ItemErrorTypes.STREAM_TRUNCATED);
  }

  private static Result succeeded(ItemOutcome item) {
    String output = new String(item.output(), StandardCharsets.UTF_8);
    return new Result(item.index(), item.run(), item.worker(), item.finishReason(), null, output);
  }

  private static Result failed(ItemOutcome item) {
    return new Result(item.index(), item.run(), item.worker(), null, item.errorType(), null);
  }

  // ---- responses

  private boolean keepsLease(BatchRange range, RangeReport report) {
    return log.state.isOpen() && !report.returned() && range.isAssigned(report.rangeEpoch());
  }

  private void respond(RangeReport report, String fromId, String fromAddress, boolean keepsLease) {
    edge.send(
        fromAddress,
        fromId,
        new RangeReportResponse(
            log.batch,
            report.range(),
            report.rangeEpoch(),
            report.worker(),
            report.reportNumber(),
            keepsLease));
  }
}
