package applespindle.corelogic.environment;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.protocol.Envelope;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The ports of one process: everything outside the logic that it depends on. Every call and every
 * callback is on the logic thread.
 */
public interface Environment {
  /**
   * Monotonic milliseconds; they do not jump with the wall clock and go on while the process is
   * frozen.
   */
  long nowMs();

  /**
   * Milliseconds since 1970 by this machine's wall clock, which may be off by seconds and may jump.
   * Only the median of many machines' clocks is good for more than a log.
   */
  long wallClockMs();

  /** Runs a task once after a delay in milliseconds. */
  ScheduledTask schedule(long millis, Runnable task);

  /**
   * Sends a message to a peer address; it may be lost, duplicated or delayed. A message to this
   * process's own address is delivered as well.
   */
  void send(String peerAddress, Envelope envelope);

  /**
   * Appends records; runs the callback once these and all earlier ones are synced, never if the
   * sync fails.
   */
  void write(List<LogRecord> records, Runnable whenSynced);

  /**
   * False while the disk is so far behind with its writes that a replica must not answer requests
   * which need further ones.
   */
  boolean acceptsWrites();

  /** The memory that the work of this process may hold. */
  MemoryAccount memory();

  /**
   * Starts a run of a prompt at a worker. The listener gets any number of texts, and then exactly
   * one end or failure.
   */
  WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener);

  /** Polls a worker's load; exactly one of the callbacks runs. */
  void readLoad(String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty);

  /**
   * Sends a proxied request to a worker, in the worker's own format. The listener gets exactly one
   * end or failure, unless the exchange is cancelled before.
   */
  default WorkerCallHandle exchange(WorkerExchange exchange, ExchangeListener listener) {
    throw new UnsupportedOperationException("no workers of opaque requests here");
  }

  /**
   * Reads a page of the external list of workers.
   *
   * @param pageToken from the page before; empty for the first page
   */
  default void listWorkers(
      String pageToken, Consumer<WorkerListPage> whenRead, Consumer<ApiError> whenFaulty) {
    throw new UnsupportedOperationException("no outside list of workers here");
  }

  /**
   * Makes a call to the platform on behalf of all nodes; the callback runs exactly once. The call
   * may arrive late, also after its result was reported as unknown.
   */
  default void callPlatform(PlatformCall call, Consumer<PlatformCallResult> then) {
    throw new UnsupportedOperationException("no duties at a platform here");
  }

  /**
   * Microseconds of processor time that the calling thread has used so far; 0 where that is not
   * measured.
   */
  default long processorMicros() {
    return 0;
  }

  /**
   * Encodes and decodes a message without sending it, so that this code is loaded and compiled
   * before the first message that matters.
   */
  default void warmUp(Envelope envelope) {}

  /** An invariant of the node was violated; a test ends here. */
  default void invariantViolated(Invariant invariant, String detail) {}

  /** The source of all randomness of the logic. */
  RandomGenerator random();

  /**
   * Writes a line to the log of events.
   *
   * @param part the part of the system that logs; operators search for it
   */
  void log(String part, String sentence);

  /** A timer that was set. */
  interface ScheduledTask {
    /** Cancels the task; no effect once it has run. */
    void cancel();
  }

  /** A request that was sent to a worker and has not ended. */
  interface WorkerCallHandle {
    /** Closes the connection; no callback comes after this. */
    void cancel();
  }

  /**
   * A run of a prompt at a worker.
   *
   * @param body the prompt as JSON
   * @param expiryMs how long the worker may work on it
   */
  record WorkerCall(String workerAddress, byte[] body, long expiryMs) {}

  /**
   * The load that a worker itself reports.
   *
   * @param leaving whether the worker is draining
   */
  record WorkerLoad(int running, int queued, int capacity, boolean leaving) {}

  /**
   * One attempt of a proxied request at one worker.
   *
   * @param workerId names the expected incarnation of the worker; a different one at the same
   *     address must reject the request
   * @param expiryMs how long the worker may work on it
   * @param resumeAfter id of the event after which the worker is to resume a stream; empty to start
   *     from the beginning
   * @param tenant the tenant that the worker is told: null where there are no tenants, so that the
   *     client's headers pass unchanged; empty if the request has none, which only happens on
   *     public routes. Unless it is null, neither the client's key nor its own statement of a
   *     tenant reaches the worker
   */
  record WorkerExchange(
      String address,
      String workerId,
      ProxiedRequest request,
      int rank,
      long expiryMs,
      String resumeAfter,
      String tenant) {
    /** An exchange where there are no tenants. */
    public WorkerExchange(
        String address,
        String workerId,
        ProxiedRequest request,
        int rank,
        long expiryMs,
        String resumeAfter) {
      this(address, workerId, request, rank, expiryMs, resumeAfter, null);
    }
  }

  /** Gets the response to one {@link WorkerExchange}. */
  interface ExchangeListener {
    /**
     * The final status and the headers of the worker's own response, whatever the status. Not
     * called for a response by which the worker states that it has not run the request.
     */
    void head(ProxiedRequest.ResponseHead head);

    /** The next part of the body. */
    void chunk(ProxiedRequest.ResponseChunk chunk);

    /** The response is complete. */
    void end();

    /** The load that the worker reports in a response, whatever the status. */
    void load(WorkerLoad load);

    /**
     * The exchange has ended without a complete response.
     *
     * @param mayHaveRun false only if the worker stated that it has not run the request ({@link
     *     ApiError.WorkerRejected}) or nothing of the request was sent
     */
    void fail(ApiError error, boolean mayHaveRun);
  }

  /**
   * A worker on the external list.
   *
   * @param slots how many requests it runs at once
   * @param leaving whether it is draining
   * @param warmUpMs for how much longer it is warming up, and slow
   */
  record ListedWorker(
      String id,
      String address,
      String pool,
      String zone,
      int slots,
      boolean leaving,
      long warmUpMs) {}

  /**
   * A page of the external list of workers.
   *
   * @param nextToken requests the next page; empty on the last one
   */
  record WorkerListPage(List<ListedWorker> workers, String nextToken) {}

  /** Gets the output of one {@link WorkerCall}. */
  interface WorkerCallListener {
    /** The next piece of output. */
    void text(String text);

    /** The final event and the end mark were both received: the output is complete. */
    void end(String finishReason);

    /**
     * The run has ended without complete output.
     *
     * @param mayHaveRun false only if the worker cannot have started the run: the connection
     *     failed, or the worker rejected the prompt
     */
    void fail(ApiError error, boolean mayHaveRun);
  }
}
