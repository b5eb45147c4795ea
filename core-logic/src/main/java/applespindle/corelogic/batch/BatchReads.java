package applespindle.corelogic.batch;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads of one batch at its leader, and the long polls that wait here for the next result.
 *
 * <p>Invariant: a read is answered from the state only after a majority has confirmed the
 * leadership. A waiting read was confirmed when it came, and the state holds only what is committed
 * in this leader's epoch, so it may be answered later without a further confirmation.
 */
final class BatchReads {
  /** A read of results from a position that has none yet. Equal to itself only. */
  private static final class WaitingRead {
    private final long from;
    private final Consumer<Response> then;

    WaitingRead(long from, Consumer<Response> then) {
      this.from = from;
      this.then = then;
    }
  }

  private final Environment environment;
  private final BatchLog log;
  private final BatchResponses responses;
  private final Runnable readListener;
  private final List<WaitingRead> waitingReads = new ArrayList<>();

  /**
   * @param readListener runs at the arrival of each read
   */
  BatchReads(Environment environment, BatchLog log, BatchResponses responses, Runnable whenAsked) {
    this.environment = environment;
    this.log = log;
    this.responses = responses;
    this.readListener = whenAsked;
  }

  void readSummary(Consumer<Response> then) {
    confirmAccepted(then, () -> then.accept(Response.of(200, responses.summary())));
  }

  void readPromptResults(long after, int limit, Consumer<Response> then) {
    confirmAccepted(
        then, () -> responses.promptResultsPage(after, limit, page -> respond(page, then)));
  }

  /** Held until there is a result at that position, no more can come, or holdMs have passed. */
  void readProxiedResults(long from, long holdMs, Consumer<Response> then) {
    confirmAccepted(
        then,
        () -> {
          if (isAnswerable(from) || holdMs <= 0) {
            respondWithProxiedResults(from, then);
          } else {
            holdRead(new WaitingRead(from, then), holdMs);
          }
        });
  }

  void readProxiedItem(String itemId, boolean raw, Consumer<Response> then) {
    confirmAccepted(
        then,
        () -> {
          int item = log.state.itemOfId(itemId);
          if (item < 0) {
            then.accept(Response.of(new ApiError.NoSuchBatch(log.batch)));
          } else if (raw && isLarge(item)) {
            then.accept(ItemBody.response(log.location(item)));
          } else if (raw) {
            responses.rawProxiedItem(item, body -> respondRaw(body, then));
          } else {
            responses.proxiedItem(item, body -> respond(body, then));
          }
        });
  }

  /** Responds with an error if the leadership is lost or the batch is unknown; else responds. */
  private void confirmAccepted(Consumer<Response> then, Runnable respond) {
    readListener.run();
    log.confirmLeadership(
        error -> {
          if (error != null) {
            then.accept(Response.of(error));
          } else if (log.state.accepted == null) {
            then.accept(Response.of(new ApiError.NoSuchBatch(log.batch)));
          } else {
            respond.run();
          }
        });
  }

  private boolean isAnswerable(long from) {
    return from < log.state.results.size() || !log.state.isOpen();
  }

  private void respondWithProxiedResults(long from, Consumer<Response> then) {
    responses.proxiedResultsPage(from, page -> respond(page, then));
  }

  /** Whether the item is large, or what it would take to read it. */
  private boolean isLarge(int item) {
    int bytes = Math.max(log.state.itemPart(item).section().bytes(), log.state.itemBytes(item));
    return bytes >= ReplicationConstants.MIN_DETACHED_ENTRY_BYTES;
  }

  private void respondRaw(byte[] body, Consumer<Response> then) {
    then.accept(
        body == null ? Response.of(new ApiError.NoQuorum(log.batch)) : ItemBody.response(body));
  }

  /** Responds with the body; null stands for contents that no replica sent, or not in time. */
  private void respond(ObjectNode body, Consumer<Response> then) {
    then.accept(
        body == null ? Response.of(new ApiError.NoQuorum(log.batch)) : Response.of(200, body));
  }

  private void holdRead(WaitingRead read, long holdMs) {
    waitingReads.add(read);
    environment.schedule(
        holdMs,
        () -> {
          if (waitingReads.remove(read)) {
            readProxiedResults(read.from, 0, read.then);
          }
        });
  }

  /** Answers the waiting reads that have a result by now, or can get none any more. */
  void answerWaiting() {
    for (WaitingRead read : List.copyOf(waitingReads)) {
      if (isAnswerable(read.from)) {
        waitingReads.remove(read);
        respondWithProxiedResults(read.from, read.then);
      }
    }
  }

  /** Answers all waiting reads with the error. */
  void failWaiting(ApiError error) {
    List<WaitingRead> reads = List.copyOf(waitingReads);
    waitingReads.clear();
    reads.forEach(read -> read.then.accept(Response.of(error)));
  }
}
