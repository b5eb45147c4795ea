package applespindle.corelogic.environment;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.protocol.Envelope;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The ports of one process: all that the logic sees of the world. Every call and callback is on the
 * logic thread.
 */
public interface Environment {
  /**
   * Monotonic milliseconds; they do not jump with the wall clock and go on while the process is
   * frozen.
   */
  long nowMs();

  ScheduledTask schedule(long millis, Runnable task);

  /** Sends to a peer address; may be lost, repeated or late. The own address is delivered too. */
  void send(String peerAddress, Envelope envelope);

  /**
   * Appends records; runs the callback once these and all earlier ones are synced, never if the
   * sync fails.
   */
  void write(List<LogRecord> records, Runnable whenSynced);

  /**
   * False while the disk is so far behind that a replica must stay silent rather than promise more.
   */
  boolean acceptsWrites();

  /**
   * Starts a run at a worker. The listener hears zero or more texts and then exactly one end or
   * fault.
   */
  WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener);

  void readLoad(String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty);

  /**
   * Hands an opaque request to a worker, in the worker's own format. The listener hears one end or
   * one fault.
   */
  default WorkerCallHandle exchange(WorkerExchange exchange, ExchangeListener listener) {
    throw new UnsupportedOperationException("no workers of opaque requests here");
  }

  /**
   * Reads a page of the list of workers that is kept outside; an empty token asks for the first
   * page.
   */
  default void listWorkers(
      String pageToken, Consumer<WorkerListPage> whenRead, Consumer<ApiError> whenFaulty) {
    throw new UnsupportedOperationException("no outside list of workers here");
  }

  /**
   * Microseconds of processor time that the calling thread has used so far; 0 where that is not
   * measured.
   */
  default long processorMicros() {
    return 0;
  }

  /**
   * Runs the code that a message takes on its way to a peer and from one, without sending it; for
   * code that has not run yet.
   */
  default void warmUp(Envelope envelope) {}

  /** An invariant of the node was violated; a test ends here. */
  default void invariantViolated(Invariant invariant, String detail) {}

  RandomGenerator random();

  void log(String part, String sentence);

  /** A timer that was set. */
  interface ScheduledTask {
    void cancel();
  }

  /** A request that is under way at a worker. */
  interface WorkerCallHandle {
    /** Closes the connection; no callback comes after this. */
    void cancel();
  }

  /** A prompt for a worker, as JSON, with how long the worker may work on it. */
  record WorkerCall(String workerAddress, byte[] body, long expiryMs) {}

  /** A worker's own account of its load. */
  record WorkerLoad(int running, int queued, int capacity, boolean leaving) {}

  /**
   * One try of an opaque request at one worker. workerId is the life that is meant: another one at
   * the same address must turn it away. expiryMs: how long the worker may still work on it.
   * resumeAfter: go on behind this event; or empty.
   */
  record WorkerExchange(
      String address,
      String workerId,
      ProxiedRequest request,
      int rank,
      long expiryMs,
      String resumeAfter) {}

  /** Hears how one try of an opaque request goes on. */
  interface ExchangeListener {
    /**
     * Final status and headers of the worker's own response, whatever the status, unless it says
     * that it has not run.
     */
    void head(ProxiedRequest.ResponseHead head);

    void chunk(ProxiedRequest.ResponseChunk chunk);

    /** The body is whole. */
    void end();

    /** What the worker says of its load, with any response. */
    void load(WorkerLoad load);

    /**
     * mayHaveRun is false only if the worker said so (WorkerRejected) or nothing of the request was
     * ever sent.
     */
    void fail(ApiError error, boolean mayHaveRun);
  }

  /**
   * A worker as listed outside; slots: how many requests it works on at once; warmUpMs: how much
   * longer it is slow.
   */
  record ListedWorker(
      String id,
      String address,
      String pool,
      String zone,
      int slots,
      boolean leaving,
      long warmUpMs) {}

  /** nextToken is empty on the last page. */
  record WorkerListPage(List<ListedWorker> workers, String nextToken) {}

  /** Hears how a prompt at a worker goes on. */
  interface WorkerCallListener {
    void text(String text);

    /** The terminal event and the end mark were both seen: the output is whole. */
    void end(String finishReason);

    /** mayHaveRun is false only when the worker can not have begun: no connection, or a refusal. */
    void fail(ApiError error, boolean mayHaveRun);
  }
}
