package applespindle.testfleet.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;

/** The connection from a simulated worker back to the caller of one run. */
final class RunConnection {
  private final Simulation simulation;
  private final ExchangeListener listener;
  private final double latencyMs;
  private final boolean reportsLoad;
  private boolean broken;

  RunConnection(
      Simulation simulation, ExchangeListener listener, double latencyMs, boolean reportsLoad) {
    this.simulation = simulation;
    this.listener = listener;
    this.latencyMs = latencyMs;
    this.reportsLoad = reportsLoad;
  }

  double latencyMs() {
    return latencyMs;
  }

  void head(WorkerLoad load, ResponseHead head) {
    send(
        () -> {
          reportLoad(load);
          listener.head(head);
        });
  }

  /** Sends an event of a stream. */
  void event(int lastToken, String data) {
    chunk(Integer.toString(lastToken), "id: " + lastToken + "\ndata: " + data + "\n\n");
  }

  /** Sends a part of a body; the event id is empty outside of streams. */
  void chunk(String eventId, String text) {
    send(() -> listener.chunk(new ResponseChunk(eventId, text.getBytes(UTF_8))));
  }

  void end() {
    send(listener::end);
  }

  /** Sends a rejection: the worker did not begin the run. */
  void reject(WorkerLoad load, int status) {
    send(
        () -> {
          reportLoad(load);
          listener.fail(new ApiError.WorkerRejected(status), false);
        });
  }

  /** Nothing listens at the address. */
  void refuse(String workerId) {
    send(() -> listener.fail(new ApiError.WorkerUnreachable(workerId), false));
  }

  /** Nothing answers at the address; the caller finds out by its own timeout. */
  void timeOut(long timeoutMs, String workerId) {
    simulation.afterMs(
        timeoutMs, () -> listener.fail(new ApiError.WorkerUnreachable(workerId), false));
  }

  /** The worker breaks the connection after the run may have begun. */
  void fail(ApiError error) {
    send(() -> listener.fail(error, true));
  }

  /** The network breaks the connection: nothing that follows reaches the caller. */
  void reset(String workerId) {
    fail(new ApiError.WorkerStreamTruncated(workerId));
    broken = true;
  }

  private void reportLoad(WorkerLoad load) {
    if (reportsLoad) {
      listener.load(load);
    }
  }

  private void send(Runnable delivery) {
    if (!broken) {
      simulation.afterMs(latencyMs, delivery);
    }
  }
}
