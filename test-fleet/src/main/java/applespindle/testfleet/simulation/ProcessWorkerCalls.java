package applespindle.testfleet.simulation;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The calls of one simulated process to workers, which end with the process. */
final class ProcessWorkerCalls {
  private final Simulation simulation;
  private final SimulatedProcess process;

  /** Calls of the present incarnation only. */
  private final Set<SimulatedWorkers.Run> runs = new LinkedHashSet<>();

  /** Proxied requests of the present incarnation that have not ended. */
  private final Set<ProxyWorkers.Run> proxiedRuns = new LinkedHashSet<>();

  ProcessWorkerCalls(Simulation simulation, SimulatedProcess process) {
    this.simulation = simulation;
    this.process = process;
  }

  /** The process died: its calls are dropped. */
  void dropAll() {
    List.copyOf(runs).forEach(SimulatedWorkers.Run::dropped);
    runs.clear();
    List.copyOf(proxiedRuns).forEach(ProxyWorkers.Run::dropped);
    proxiedRuns.clear();
  }

  /** The connections of the process were reset: its proxied requests fail. */
  void resetConnections() {
    List.copyOf(proxiedRuns).forEach(ProxyWorkers.Run::reset);
    proxiedRuns.clear();
  }

  WorkerCallHandle call(WorkerCall call, WorkerCallListener listener) {
    int incarnation = process.incarnation();
    SimulatedWorkers.Run run =
        simulation.workers.run(
            call,
            new WorkerCallListener() {
              @Override
              public void text(String text) {
                process.enter(incarnation, () -> listener.text(text));
              }

              @Override
              public void end(String finishReason) {
                process.enter(incarnation, () -> listener.end(finishReason));
              }

              @Override
              public void fail(ApiError error, boolean mayHaveRun) {
                process.enter(incarnation, () -> listener.fail(error, mayHaveRun));
              }
            },
            () -> !process.runs(incarnation));
    runs.add(run);
    return () -> {
      runs.remove(run);
      run.dropped();
    };
  }

  WorkerCallHandle exchange(WorkerExchange exchange, ExchangeListener listener) {
    int incarnation = process.incarnation();
    var relay = new ExchangeRelay(incarnation, listener);
    relay.run =
        simulation.platform.workers.run(
            process.name, process.zone, exchange, relay, () -> !process.runs(incarnation));
    proxiedRuns.add(relay.run);
    return () -> {
      relay.run.cancelled = true;
      proxiedRuns.remove(relay.run);
      relay.run.dropped();
    };
  }

  /** Passes what happens to a proxied request on to its caller, unless that has cancelled it. */
  private final class ExchangeRelay implements ExchangeListener {
    private final int incarnation;
    private final ExchangeListener listener;

    /** Set before anything happens to the request. */
    private ProxyWorkers.Run run;

    ExchangeRelay(int incarnation, ExchangeListener listener) {
      this.incarnation = incarnation;
      this.listener = listener;
    }

    @Override
    public void head(ProxiedRequest.ResponseHead head) {
      relay(() -> listener.head(head));
    }

    @Override
    public void chunk(ProxiedRequest.ResponseChunk chunk) {
      relay(() -> listener.chunk(chunk));
    }

    @Override
    public void end() {
      proxiedRuns.remove(run);
      relay(listener::end);
    }

    @Override
    public void load(WorkerLoad load) {
      relay(() -> listener.load(load));
    }

    @Override
    public void fail(ApiError error, boolean mayHaveRun) {
      proxiedRuns.remove(run);
      relay(() -> listener.fail(error, mayHaveRun));
    }

    private void relay(Runnable notification) {
      process.enter(
          incarnation,
          () -> {
            if (!run.cancelled) {
              notification.run();
            }
          });
    }
  }
}
