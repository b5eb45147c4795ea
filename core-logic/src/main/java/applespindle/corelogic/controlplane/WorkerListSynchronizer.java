package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.WorkerListConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ListedWorker;
import applespindle.corelogic.environment.Environment.WorkerListPage;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.WorkerList;
import applespindle.corelogic.metadata.WorkerRegistration;
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
final class WorkerListSynchronizer {
  /** Appends the key's whole new value. */
  interface PutValue {
    void put(LedKey state, Object value, Consumer<ApiError> then);
  }

  private static final String PART = "workers";

  private final Environment surroundings;
  private NodeSettings bounds;
  private final Predicate<LedKey> stillOwned;
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

  WorkerListSynchronizer(
      Environment surroundings,
      NodeSettings bounds,
      Predicate<LedKey> stillOwned,
      PutValue put,
      Runnable handOver) {
    this.surroundings = surroundings;
    this.bounds = bounds;
    this.stillOwned = stillOwned;
    this.put = put;
    this.handOver = handOver;
  }

  void begin(LedKey state) {
    goodAt = surroundings.now();
    emptyReads = 0;
    quickReads = WorkerListConstants.FAST_POLLS;
    lacking = Set.of();
    read(state);
  }

  private void read(LedKey state) {
    if (!stillOwned.test(state)) {
      return;
    }
    long number = ++reading;
    readPage(state, number, "", new ArrayList<>(), 1);
    surroundings.after(WorkerListConstants.READ_TIMEOUT_MS, () -> failed(state, number));
  }

  private void readPage(
      LedKey state, long number, String token, List<ListedWorker> before, int pages) {
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
      LedKey state, long number, WorkerListPage page, List<ListedWorker> before, int pages) {
    before.addAll(page.workers());
    String next = page.nextToken();
    if (next == null || next.isEmpty()) {
      reading++;
      whole(state, before, pages);
    } else if (pages >= WorkerListConstants.MAX_PAGES) {
      failed(state, number);
    } else {
      readPage(state, number, next, before, pages + 1);
    }
  }

  private void failed(LedKey state, long number) {
    if (number != reading || !stillOwned.test(state)) {
      return;
    }
    reading++;
    if (surroundings.now() - goodAt >= WorkerListConstants.LEADERSHIP_TRANSFER_DELAY_MS) {
      goodAt = surroundings.now();
      surroundings.log(PART, "The outside list can not be read from here.");
      handOver.run();
      if (!stillOwned.test(state)) {
        return;
      }
    }
    surroundings.after(pause(WorkerListConstants.RETRY_DELAY_MS), () -> read(state));
  }

  void boundsChanged(NodeSettings newer) {
    bounds = bounds.taking(newer);
  }

  /** Never above half of the calls that all nodes together may make. */
  private long pause(long wanted) {
    return Math.max(wanted, (long) (2_000 / bounds.listCallsPerS()));
  }

  private void whole(LedKey state, List<ListedWorker> listed, int pages) {
    goodAt = surroundings.now();
    List<WorkerRegistration> known =
        state.value.isNull()
            ? List.of()
            : JSON.convertValue(state.value, WorkerList.class).workers();
    emptyReads = listed.isEmpty() ? emptyReads + 1 : 0;
    boolean doubted = emptyReads == 1 && !known.isEmpty();
    if (!doubted) {
      List<WorkerRegistration> next = next(known, listed, pages);
      if (!next.equals(known)) {
        quickReads = WorkerListConstants.FAST_POLLS;
        put.put(state, new WorkerList(next), fault -> {});
        surroundings.log(PART, "Outside list of " + next.size() + " workers taken.");
      } else if (quickReads > 0) {
        quickReads--;
      }
    }
    boolean quick = doubted || quickReads > 0 || !lacking.isEmpty();
    surroundings.after(
        pause(
            quick
                ? WorkerListConstants.FAST_POLL_INTERVAL_MS
                : WorkerListConstants.POLL_INTERVAL_MS),
        () -> read(state));
  }

  /** A leaving worker stays so while it is listed: what comes back is a new one under a new id. */
  private List<WorkerRegistration> next(
      List<WorkerRegistration> known, List<ListedWorker> listed, int pages) {
    Map<String, WorkerRegistration> before = new TreeMap<>();
    known.forEach(worker -> before.put(worker.id(), worker));
    Map<String, WorkerRegistration> next = new TreeMap<>();
    for (ListedWorker each : listed) {
      WorkerRegistration present = before.get(each.id());
      boolean leaving =
          each.leaving() || present != null && present.state().equals(WorkerRegistration.LEAVING);
      next.put(
          each.id(),
          new WorkerRegistration(
              each.id(),
              each.address(),
              each.pool(),
              leaving ? WorkerRegistration.LEAVING : WorkerRegistration.READY,
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
