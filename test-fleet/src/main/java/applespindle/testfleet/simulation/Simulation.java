package applespindle.testfleet.simulation;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.WorkerListPage;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.testfleet.deployment.EmulatedWorkers;
import applespindle.testfleet.history.History;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A fleet in one thread on simulated time: the nodes run the real logic, while network, disks,
 * clocks and workers are simulated from one seed. A seed always gives the same history. After every
 * step the invariants of the logs are checked on the key that the step changed.
 */
public final class Simulation {
  private static final long CONNECT_TIMEOUT_MS = 1_000;

  /** How long a call of a client takes to a process, and its response back. */
  private static final double CLIENT_LATENCY_MS = 0.3;

  /** The list of workers, as a process reads it. */
  public interface WorkerListSource {
    /** Reads a page of the list; exactly one of the two listeners is called. */
    void read(
        SimulatedProcess reader,
        String pageToken,
        Consumer<WorkerListPage> whenRead,
        Consumer<ApiError> whenFaulty);
  }

  /** What a client sees of one call: a response, or a broken connection. */
  public interface Caller<T> {
    /** The call was answered. */
    void answered(T answer);

    /** The connection broke, or could not be opened if the call never reached the process. */
    void broken(boolean neverReached);
  }

  /** The settings of all processes that start from now on. */
  public NodeSettings settings = NodeSettings.DEFAULT;

  /** Processes first started before this bootstrap the control plane. */
  long bootstrapUntilMs = 10_000;

  /** Whether a later start before bootstrapUntilMs bootstraps too, as its settings stayed. */
  public boolean bootstrapStays;

  public WorkerListSource workerList =
      (reader, token, whenRead, whenFaulty) -> whenFaulty.accept(new ApiError.Overloaded("list"));

  /** Null if no process is to die at a step of a protocol. */
  public CrashPoint crashPoint;

  /** The platform with its proxied workers and the list of them; null if there is none. */
  public SimulatedPlatform platform;

  public boolean logging;

  /** The only source of randomness: the order of its draws is part of the history. */
  public final SplittableRandom random;

  /** By name, in the order in which they were added. */
  public final Map<String, SimulatedProcess> processes = new LinkedHashMap<>();

  public final SimulatedWorkers workers;
  public final History history = new History();
  public final SubmissionStages submissions = new SubmissionStages(this);
  final EventQueue events = new EventQueue();
  public final SimulatedNetwork network = new SimulatedNetwork(this);
  final ReplicationInvariants invariants = new ReplicationInvariants();
  final Map<String, String> operatorKeys;

  /**
   * A simulation without processes at time 0.
   *
   * @param seed of all random draws: the same seed gives the same run
   * @param operatorKeys public keys of operators by key id
   */
  public Simulation(long seed, Map<String, String> operatorKeys, EmulatedWorkers.Pace pace) {
    this.random = new SplittableRandom(seed);
    this.operatorKeys = operatorKeys;
    this.workers = new SimulatedWorkers(this, pace);
  }

  /** Adds a process, which is not started yet. */
  public SimulatedProcess add(
      String name, String zone, String role, List<String> seeds, boolean hasDisk) {
    SimulatedProcess process = new SimulatedProcess(this, name, zone, role, seeds, hasDisk);
    processes.put(name, process);
    return process;
  }

  // ---- time

  /** Simulated time in milliseconds. */
  public long simulatedNowMs() {
    return events.nowMs();
  }

  /** Milliseconds since 1970, when the simulation begins, by a clock that is never off. */
  public long trueTimeMs() {
    return simulatedNowMs();
  }

  /** Simulated time in microseconds. */
  public long nowUs() {
    return events.nowUs();
  }

  /** The number of events that were processed. */
  public long steps() {
    return events.steps();
  }

  void at(long atUs, Runnable task) {
    events.at(atUs, task);
  }

  /** Runs a task at a simulated time in milliseconds. */
  public void atMs(long atMs, Runnable task) {
    at(atMs * EventQueue.US_PER_MS, task);
  }

  /** Runs a task after a simulated delay in milliseconds. */
  public void afterMs(double millis, Runnable task) {
    at(nowUs() + (long) (millis * EventQueue.US_PER_MS), task);
  }

  /** Processes events until this simulated time in milliseconds. */
  public void runUntil(long untilMs) {
    events.runUntil(untilMs);
  }

  // ---- network

  /** The number of messages between processes. */
  public long messages() {
    return network.messages();
  }

  /** Cuts the link between two processes, both ways. */
  public void cutLink(String one, String other) {
    network.cutOneWay(one, other);
    network.cutOneWay(other, one);
  }

  /** Nothing that one sends reaches the other; the other way stays open. */
  public void cutOneWay(String from, String to) {
    network.cutOneWay(from, to);
  }

  /**
   * What is sent from one to the other arrives only once the links are healed, as over a stalled
   * connection.
   */
  public void stallLink(String from, String to) {
    network.stall(from, to);
  }

  /** Ends all faults of links; held messages are delivered. */
  public void healLinks() {
    network.heal();
  }

  /** Cuts all links of a process. */
  public void isolate(String name) {
    processes.keySet().stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> cutLink(name, other));
  }

  // ---- faults and clients

  /** Notes in the history that a fault of a process began or ended. */
  void recordFault(SimulatedProcess process, boolean began, String what) {
    history.add(
        simulatedNowMs(),
        History.Kind.TROUBLE,
        process.name,
        (began ? "began " : "ended ") + what,
        process.role,
        0);
  }

  /** Runs a request in a process on behalf of a client. */
  public <T> void call(SimulatedProcess process, Consumer<Consumer<T>> request, Caller<T> caller) {
    afterMs(CLIENT_LATENCY_MS, () -> callNow(process, request, caller));
  }

  private <T> void callNow(
      SimulatedProcess process, Consumer<Consumer<T>> request, Caller<T> caller) {
    if (!process.alive()) {
      caller.broken(true);
      return;
    }
    boolean[] done = new boolean[1];
    Runnable whenBroken =
        () -> {
          if (!done[0]) {
            done[0] = true;
            caller.broken(false);
          }
        };
    Consumer<T> whenReceived =
        answer -> {
          process.removeWaitingCaller(whenBroken);
          if (!done[0]) {
            done[0] = true;
            caller.answered(answer);
          }
        };
    Consumer<T> respond =
        answer ->
            process.processor.output(
                () -> afterMs(CLIENT_LATENCY_MS, () -> whenReceived.accept(answer)));
    process.addWaitingCaller(whenBroken);
    process.enter(process.incarnation(), () -> request.accept(respond));
  }

  /** Checks at the end of a run, with the fleet healed, that every committed entry still exists. */
  public void checkNothingVanished() {
    invariants.checkNothingVanished(processes.values());
  }

  /** Parses JSON that is known to be well-formed. */
  public static JsonNode tree(byte[] bytes) {
    try {
      return JSON.readTree(bytes);
    } catch (IOException fault) {
      throw new IllegalStateException(fault);
    }
  }

  long connectTimeoutMs() {
    return CONNECT_TIMEOUT_MS;
  }
}
