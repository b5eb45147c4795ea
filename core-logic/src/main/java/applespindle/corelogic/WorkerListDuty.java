package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import applespindle.corelogic.Records.ListedWorkers;
import applespindle.corelogic.Records.Worker;
import applespindle.corelogic.Surroundings.ListedWorker;
import applespindle.corelogic.Surroundings.WorkerPage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The duty of whoever owns the key of the outside list of workers: reads it, and writes one value
 * for all that changed in one read. A read that is not whole changes nothing; an owner that lost
 * the key writes nothing, as its epoch is refused.
 */
final class WorkerListDuty {
  /** Appends the key's whole new value. */
  interface PutValue {
    void put(CoreKeyState state, Object value, Consumer<Fault> then);
  }

  private static final String PART = "workers";

  private final Surroundings surroundings;
  private Bounds bounds;
  private final Predicate<CoreKeyState> stillOwned;
  private final PutValue put;
  private final Runnable handOver;

  /**
   * Rises with each read that begins or is given up: what answers under an older number is not
   * heard.
   */
  private long reading;

  private long goodAt;
  private int emptyReads;
  private int quickReads;

  /**
   * Workers that the last whole read of several pages lacked: pages may shift between two calls.
   */
  private Set<String> lacking = Set.of();

  WorkerListDuty(
      Surroundings surroundings,
      Bounds bounds,
      Predicate<CoreKeyState> stillOwned,
      PutValue put,
      Runnable handOver) {
    this.surroundings = surroundings;
    this.bounds = bounds;
    this.stillOwned = stillOwned;
    this.put = put;
    this.handOver = handOver;
  }

  void begin(CoreKeyState state) {
    goodAt = surroundings.now();
    emptyReads = 0;
    quickReads = Constants.LIST_QUICK_READS;
    lacking = Set.of();
    read(state);
  }

  private void read(CoreKeyState state) {
    if (!stillOwned.test(state)) {
      return;
    }
    long number = ++reading;
    readPage(state, number, "", new ArrayList<>(), 1);
    surroundings.after(Constants.LIST_READ_MS, () -> failed(state, number));
  }

  private void readPage(
      CoreKeyState state, long number, String token, List<ListedWorker> before, int pages) {
    surroundings.listWorkers(
        token,
        page -> {
          if (number == reading && stillOwned.test(state)) {
            took(state, number, page, before, pages);
          }
        },
        fault -> failed(state, number));
  }

  private void took(
      CoreKeyState state, long number, WorkerPage page, List<ListedWorker> before, int pages) {
    before.addAll(page.workers());
    String next = page.nextToken();
    if (next == null || next.isEmpty()) {
      reading++;
      whole(state, before, pages);
    } else if (pages >= Constants.LIST_PAGES_MOST) {
      failed(state, number);
    } else {
      readPage(state, number, next, before, pages + 1);
    }
  }

  private void failed(CoreKeyState state, long number) {
    if (number != reading || !stillOwned.test(state)) {
      return;
    }
    reading++;
    if (surroundings.now() - goodAt >= Constants.LIST_HAND_OVER_MS) {
      goodAt = surroundings.now();
      surroundings.log(PART, "The outside list can not be read from here.");
      handOver.run();
      if (!stillOwned.test(state)) {
        return;
      }
    }
    surroundings.after(pause(Constants.LIST_FAULT_MS), () -> read(state));
  }

  void boundsChanged(Bounds newer) {
    bounds = bounds.taking(newer);
  }

  /** Never above half of the calls that all nodes together may make. */
  private long pause(long wanted) {
    return Math.max(wanted, (long) (2_000 / bounds.listCallsPerS()));
  }

  private void whole(CoreKeyState state, List<ListedWorker> listed, int pages) {
    goodAt = surroundings.now();
    List<Worker> known =
        state.value.isNull()
            ? List.of()
            : JSON.convertValue(state.value, ListedWorkers.class).workers();
    emptyReads = listed.isEmpty() ? emptyReads + 1 : 0;
    boolean doubted = emptyReads == 1 && !known.isEmpty();
    if (!doubted) {
      List<Worker> next = next(known, listed, pages);
      if (!next.equals(known)) {
        quickReads = Constants.LIST_QUICK_READS;
        put.put(state, new ListedWorkers(next), fault -> {});
        surroundings.log(PART, "Outside list of " + next.size() + " workers taken.");
      } else if (quickReads > 0) {
        quickReads--;
      }
    }
    boolean quick = doubted || quickReads > 0 || !lacking.isEmpty();
    surroundings.after(
        pause(quick ? Constants.LIST_QUICK_MS : Constants.LIST_CALM_MS), () -> read(state));
  }

  /** A leaving worker stays so while it is listed: what comes back is a new one under a new id. */
  private List<Worker> next(List<Worker> known, List<ListedWorker> listed, int pages) {
    Map<String, Worker> before = new TreeMap<>();
    known.forEach(worker -> before.put(worker.id(), worker));
    Map<String, Worker> next = new TreeMap<>();
    for (ListedWorker each : listed) {
      Worker present = before.get(each.id());
      boolean leaving = each.leaving() || present != null && present.state().equals(Worker.LEAVING);
      next.put(
          each.id(),
          new Worker(
              each.id(),
              each.address(),
              each.pool(),
              leaving ? Worker.LEAVING : Worker.READY,
              each.zone(),
              each.slots()));
    }
    Set<String> nowLacking = new TreeSet<>(before.keySet());
    nowLacking.removeAll(next.keySet());
    if (pages > 1) {
      nowLacking.stream()
          .filter(id -> !lacking.contains(id))
          .forEach(id -> next.put(id, before.get(id)));
    }
    lacking = pages > 1 ? nowLacking : Set.of();
    return List.copyOf(next.values());
  }
}
