package applespindle.testfleet.simulation;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.ListedWorker;
import applespindle.corelogic.environment.Environment.WorkerListPage;
import applespindle.testfleet.history.History.Kind;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The list of workers that the simulated platform keeps: it lags, is read in pages, limits the rate
 * of calls and can be faulty.
 */
public final class WorkerListing {
  /** The fault of the list, if any. */
  public enum Condition {
    WELL,
    DOWN,
    REFUSES,
    EMPTY,
    CUT,
    STALE,
    SLOW
  }

  private static final int PAGE = 4;
  private static final double WIRE_MS = 1;
  private static final long DOWN_MS = 1_000;
  private static final long STALE_MS = 4_000;
  private static final double SLOW_MS = 1_500;

  private final Simulation simulation;
  final long lagMs;
  final double callsPerS;
  private Condition condition = Condition.WELL;
  private final Map<String, ListedWorker> present = new LinkedHashMap<>();

  /** By time, the complete list that is shown from then on; never empty. */
  private final TreeMap<Long, List<ListedWorker>> shown = new TreeMap<>();

  private final LinkedList<String> freed = new LinkedList<>();
  private int addresses;
  private double availableCalls;
  private long availableAtMs;
  public int calls;
  public int refusedCalls;

  WorkerListing(Simulation simulation, long lagMs, double callsPerS) {
    this.simulation = simulation;
    this.lagMs = lagMs;
    this.callsPerS = callsPerS;
    this.availableCalls = callsPerS;
    shown.put(0L, List.of());
  }

  /** Changes the condition of the list. */
  public void become(Condition next) {
    boolean faulty = next != Condition.WELL;
    if (faulty != (condition != Condition.WELL)) {
      simulation.history.add(
          simulation.simulatedNowMs(),
          Kind.LIST_TROUBLE,
          "",
          faulty ? "began" : "ended",
          next.toString(),
          0);
    }
    condition = next;
  }

  String freeAddress() {
    return freed.isEmpty() ? "10.128.0." + ++addresses + ":8080" : freed.poll();
  }

  /** Reuses the address of an ended worker for the next one that joins. */
  void free(String address) {
    freed.add(address);
  }

  void put(ProxyWorkers.Worker worker, String state, long listedOnMs) {
    simulation.afterMs(
        listedOnMs,
        () -> {
          if (state.equals("gone")) {
            present.remove(worker.id);
          } else {
            present.put(
                worker.id,
                new ListedWorker(
                    worker.id,
                    worker.address,
                    worker.pool,
                    worker.zone,
                    worker.slots,
                    state.equals("leaving"),
                    0));
          }
          long shownAt = simulation.simulatedNowMs() + lagMs;
          shown.put(shownAt, List.copyOf(present.values()));
          simulation.afterMs(
              lagMs,
              () ->
                  simulation.history.add(
                      simulation.simulatedNowMs(),
                      Kind.WORKER_LISTED,
                      worker.id,
                      worker.pool,
                      state,
                      0));
        });
  }

  void read(String pageToken, Consumer<WorkerListPage> whenRead, Consumer<ApiError> whenFaulty) {
    calls++;
    simulation.afterMs(
        condition == Condition.SLOW ? SLOW_MS : WIRE_MS,
        () -> {
          switch (condition) {
            case DOWN ->
                simulation.afterMs(
                    DOWN_MS, () -> whenFaulty.accept(new ApiError.WorkerTimeout("list")));
            case REFUSES -> answer(() -> whenFaulty.accept(new ApiError.Overloaded("list")));
            case CUT -> answer(() -> whenFaulty.accept(new ApiError.WorkerStreamTruncated("list")));
            case EMPTY -> answer(() -> whenRead.accept(new WorkerListPage(List.of(), "")));
            default -> {
              if (takesCall()) {
                WorkerListPage page = page(pageToken);
                answer(() -> whenRead.accept(page));
              } else {
                refusedCalls++;
                answer(() -> whenFaulty.accept(new ApiError.Overloaded("list")));
              }
            }
          }
        });
  }

  private void answer(Runnable answer) {
    simulation.afterMs(WIRE_MS, answer);
  }

  private boolean takesCall() {
    long now = simulation.simulatedNowMs();
    availableCalls = Math.min(callsPerS, availableCalls + (now - availableAtMs) * callsPerS / 1000);
    availableAtMs = now;
    if (availableCalls < 1) {
      return false;
    }
    availableCalls--;
    return true;
  }

  /**
   * Each page is of the list as it is shown at that moment, so a worker may be missed or seen twice
   * between pages.
   */
  private WorkerListPage page(String pageToken) {
    long at = simulation.simulatedNowMs() - (condition == Condition.STALE ? STALE_MS : 0);
    List<ListedWorker> all = shown.floorEntry(Math.max(0, at)).getValue();
    int from =
        pageToken.isEmpty() ? 0 : Math.min(all.size(), Integer.parseInt(pageToken.substring(2)));
    int to = Math.min(all.size(), from + PAGE);
    return new WorkerListPage(
        new ArrayList<>(all.subList(from, to)), to < all.size() ? "p-" + to : "");
  }
}
