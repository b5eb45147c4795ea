package applespindle.corelogic.batch;

import applespindle.corelogic.batch.BatchEvent.Recorded;
import applespindle.corelogic.batch.BatchEvent.Result;
import applespindle.corelogic.protocol.Message;
import java.util.ArrayList;
import java.util.List;

/**
 * Ends the items of a batch that can no longer be run: the batch is older than its expiry, or its
 * route was removed. Each item without a result gets an expired one, so that the batch finishes.
 */
final class BatchExpiry {
  /** The range of results that no range's report carried. */
  private static final int NO_RANGE = -1;

  private static final long NO_RANGE_EPOCH = 0;

  private final BatchLeader.Context edge;
  private final BatchLog log;
  private final BatchRoute route;
  private final UnrecordedOutcomes unrecorded;
  private final Runnable whenRecorded;

  /**
   * @param whenRecorded runs after expired results were committed
   */
  BatchExpiry(
      BatchLeader.Context edge,
      BatchLog log,
      BatchRoute route,
      UnrecordedOutcomes unrecorded,
      Runnable whenRecorded) {
    this.edge = edge;
    this.log = log;
    this.route = route;
    this.unrecorded = unrecorded;
    this.whenRecorded = whenRecorded;
  }

  /** Records expired results if the batch, which must be open, can no longer be run. */
  void expireItemsIfDue() {
    if (log.ageMs() > log.state.accepted.expiresInMs() || route.isRemoved()) {
      expireItems();
    }
  }

  private void expireItems() {
    List<Result> results = new ArrayList<>();
    for (int index = 0; index < log.state.items(); index++) {
      if (!log.state.hasResult(index) && unrecorded.startRecording(index)) {
        results.add(new Result(index, "", "", null, ItemErrorTypes.EXPIRED, null));
      }
    }
    if (results.isEmpty()) {
      return;
    }
    log.append(
        BatchEvent.recorded(
            log.ageMs(), new Recorded(NO_RANGE, NO_RANGE_EPOCH, results, List.of())),
        () -> {
          unrecorded.endRecording(results);
          edge.broadcastToEdges(new Message.BatchEnded(log.batch));
          whenRecorded.run();
        });
  }
}
