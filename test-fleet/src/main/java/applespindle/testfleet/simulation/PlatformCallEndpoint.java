package applespindle.testfleet.simulation;

import applespindle.corelogic.duty.ClosedWindow;
import applespindle.corelogic.duty.DesiredCount;
import applespindle.corelogic.duty.DutyInputs;
import applespindle.corelogic.environment.DutySettings;
import applespindle.corelogic.environment.PlatformCall;
import applespindle.corelogic.environment.PlatformCall.ScaleOrder;
import applespindle.corelogic.environment.PlatformCall.UsageReport;
import applespindle.corelogic.environment.PlatformCallResult;
import applespindle.testfleet.history.History.Kind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The simulated platform's side of the duties: it takes calls, refuses those with a fencing token
 * lower than one it has seen for the same subject, and can be slow, down, or lose its answers. It
 * also gives the nodes what they are to report and to order.
 */
public final class PlatformCallEndpoint {
  /** The fault of the endpoint, if any. */
  public enum Condition {
    WELL,
    /** Calls do not arrive. */
    DOWN,
    /** Calls arrive and are answered, each a second later. */
    SLOW,
    /** Calls are taken, and their answers are lost. */
    LOSES_ANSWERS,
    /** Calls arrive after their callers have given up. */
    LATE,
    /** Too many calls, whatever their number. */
    THROTTLES
  }

  public static final long LEASE_MS = 3_000;
  public static final long WINDOW_MS = 5_000;
  public static final long DELAY_MS = 10_000;
  private static final double CALLS_PER_S = 50;

  /** How long after its end a window's count is closed. */
  private static final long CLOSED_AFTER_MS = 2_000;

  /** The number of workers wanted changes so often, and has so many values. */
  private static final long DEMAND_CHANGE_MS = 10_000;

  private static final int DEMAND_VALUES = 3;
  private static final int LEAST_WORKERS = 4;

  private static final double WIRE_MS = 1;
  private static final int WIRE_JITTER_MS = 20;
  private static final double SLOW_MS = 1_000;
  private static final double LATE_MS = 4_000;
  private static final double GIVEN_UP_MS = 2_500;
  private static final int STATUS_OK = 200;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_TOO_MANY = 429;

  private final Simulation simulation;
  private Condition condition = Condition.WELL;

  /** Whether the nodes report and order by what the edges report, not by made-up inputs. */
  public boolean inputsOfEdges;

  /** Processes whose calls do not arrive. */
  private final Set<String> cutOff = new TreeSet<>();

  /** By subject. */
  private final Map<String, Long> highestFence = new HashMap<>();

  /** Calls that arrived, whatever their answers. */
  public long calls;

  PlatformCallEndpoint(Simulation simulation) {
    this.simulation = simulation;
  }

  /** The duties that the simulated platform asks for. */
  static DutySettings settings() {
    return new DutySettings(true, true, true, LEASE_MS, WINDOW_MS, DELAY_MS, CALLS_PER_S);
  }

  /** Changes the condition of the endpoint. */
  public void become(Condition next) {
    recordTrouble(condition != Condition.WELL, next != Condition.WELL);
    condition = next;
  }

  /** Cuts a process off from the endpoint; the others reach it. */
  public void cutOff(String process) {
    recordTrouble(!cutOff.isEmpty(), true);
    cutOff.add(process);
  }

  /** All processes reach the endpoint again. */
  public void heal() {
    recordTrouble(!cutOff.isEmpty(), false);
    cutOff.clear();
  }

  private void recordTrouble(boolean before, boolean after) {
    if (before != after) {
      simulation.history.add(
          simulation.simulatedNowMs(),
          Kind.DUTY_TROUBLE,
          "",
          after ? "began" : "ended",
          condition.toString(),
          0);
    }
  }

  // ---- calls

  /** Makes a call of a process; it goes on if the process dies meanwhile. */
  void call(SimulatedProcess caller, PlatformCall call, Consumer<PlatformCallResult> then) {
    Condition present = cutOff.contains(caller.name) ? Condition.DOWN : condition;
    double wireMs = WIRE_MS + simulation.random.nextInt(WIRE_JITTER_MS);
    double givenUpMs = GIVEN_UP_MS;
    switch (present) {
      case DOWN -> answer(givenUpMs, PlatformCallResult.UNKNOWN, then);
      case LATE -> {
        simulation.afterMs(LATE_MS, () -> receive(call));
        answer(givenUpMs, PlatformCallResult.UNKNOWN, then);
      }
      case LOSES_ANSWERS -> {
        simulation.afterMs(wireMs, () -> receive(call));
        answer(givenUpMs, PlatformCallResult.UNKNOWN, then);
      }
      default -> {
        double oneWayMs = present == Condition.SLOW ? SLOW_MS + wireMs : wireMs;
        simulation.afterMs(
            oneWayMs,
            () -> {
              int status = present == Condition.THROTTLES ? throttle(call) : receive(call);
              answer(oneWayMs, result(status), then);
            });
      }
    }
  }

  private void answer(
      double afterMs, PlatformCallResult result, Consumer<PlatformCallResult> then) {
    simulation.afterMs(afterMs, () -> then.accept(result));
  }

  private static PlatformCallResult result(int status) {
    return switch (status) {
      case STATUS_OK -> PlatformCallResult.ACCEPTED;
      case STATUS_CONFLICT -> PlatformCallResult.FENCED;
      default -> PlatformCallResult.THROTTLED;
    };
  }

  private int throttle(PlatformCall call) {
    record(call, STATUS_TOO_MANY);
    return STATUS_TOO_MANY;
  }

  private int receive(PlatformCall call) {
    long highest = highestFence.merge(subject(call), call.fence(), Math::max);
    int status = call.fence() < highest ? STATUS_CONFLICT : STATUS_OK;
    record(call, status);
    return status;
  }

  private void record(PlatformCall call, int status) {
    calls++;
    simulation.history.add(
        simulation.simulatedNowMs(),
        call instanceof UsageReport ? Kind.USAGE_REPORTED : Kind.SCALE_ORDERED,
        subject(call),
        call.holder() + " " + call.fence(),
        content(call),
        status);
  }

  /** All windows are one subject; each pool in a zone is another. */
  private static String subject(PlatformCall call) {
    return call instanceof ScaleOrder order ? order.pool() + " " + order.zone() : "usage";
  }

  private static String content(PlatformCall call) {
    return call instanceof UsageReport report
        ? report.windowId() + " " + report.counters()
        : "" + ((ScaleOrder) call).desiredCount();
  }

  // ---- what is to be reported and ordered

  /**
   * The inputs of a process. Each process counts something else, and counts again whenever it is
   * asked, so that a window that is not counted once shows. Null: the process's own.
   */
  DutyInputs inputs(SimulatedProcess process) {
    if (inputsOfEdges) {
      return null;
    }
    long[] counts = new long[1];
    return new DutyInputs(
        (afterWindowId, now) -> {
          long next = Math.max(afterWindowId + 1, firstWindow());
          return simulation.simulatedNowMs() < (next + 1) * WINDOW_MS + CLOSED_AFTER_MS
              ? Optional.empty()
              : Optional.of(
                  new ClosedWindow(
                      next, new TreeMap<>(Map.of("tenant", next, process.name, ++counts[0]))));
        },
        () -> List.of(new DesiredCount("alpha", "zone-0", demand())));
  }

  /** Windows from the start of the run on are known. */
  private static long firstWindow() {
    return 1;
  }

  private int demand() {
    return LEAST_WORKERS + (int) (simulation.simulatedNowMs() / DEMAND_CHANGE_MS % DEMAND_VALUES);
  }
}
