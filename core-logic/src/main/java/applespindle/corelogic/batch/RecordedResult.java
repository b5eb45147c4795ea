package applespindle.corelogic.batch;

import applespindle.corelogic.batch.BatchEvent.Result;

/**
 * A recorded result without its output, which is in the batch's log.
 *
 * @param index of the item in the batch
 * @param errorType name of the error type of a failed item; null if the output is complete
 * @param outputBytes the size of the output in UTF-8; 0 for a failed item
 * @param parts of the event that recorded it
 * @param position in that event
 */
record RecordedResult(
    int index,
    String run,
    String worker,
    String finishReason,
    String errorType,
    int outputBytes,
    EventParts parts,
    int position) {

  static RecordedResult of(Result result, EventParts parts, int position) {
    return new RecordedResult(
        result.index(),
        result.run(),
        result.worker(),
        result.finishReason(),
        result.errorType(),
        BatchEventCodec.outputBytes(result),
        parts,
        position);
  }

  boolean hasOutput() {
    return outputBytes > 0;
  }

  EventPart part() {
    return parts.part(position);
  }
}
