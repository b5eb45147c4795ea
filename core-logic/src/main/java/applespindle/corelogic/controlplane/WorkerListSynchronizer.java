package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.WorkerListConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ListedWorker;
import applespindle.corelogic.environment.Environment.WorkerListPage;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.WorkerListSource;
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
    void put(LedKey ledKey, Object value, Consumer<ApiError> then);
  }

  private static final String PART = "workers";

  private final Environment environment;
  private NodeSettings settings;
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
      Environment environment,
      NodeSettings settings,
      Predicate<LedKey> stillOwned,
      PutValue put,
      Runnable handOver) {
    this.environment = environment;
    this.settings = settings;
    this.stillOwned = stillOwned;
    this.put = put;
    this.handOver = handOver;
  }

  void begin(LedKey ledKey) {
    goodAt = environment.nowMs();
    emptyReads = 0;
    quickReads = WorkerListConstants.FAST_POLLS;
    lacking = Set.of();
    read(ledKey);
  }

  private void read(LedKey ledKey) {
    if (!stillOwned.test(ledKey)) {
      return;
    }
    long number = ++reading;
    readPage(ledKey, number, "", new ArrayList<>(), 1);
    environment.schedule(WorkerListConstants.READ_TIMEOUT_MS, () -> failed(ledKey, number));
  }

  private void readPage(
      LedKey ledKey, long number, String token, List<ListedWorker> before, int pages) {
    environment.listWorkers(
        token,
        page -> {
          if (number == reading && stillOwned.test(ledKey)) {
            took(ledKey, number, page, before, pages);
          }
        },
        error -> failed(ledKey, number));
  }

  private void took(
      LedKey ledKey, long number, WorkerListPage page, List<ListedWorker> before, int pages) {
    before.addAll(page.workers());
    String next = page.nextToken();
    if (next == null || next.isEmpty()) {
      reading++;
      whole(ledKey, before, pages);
    } else if (pages >= WorkerListConstants.MAX_PAGES) {
      failed(ledKey, number);
    } else {
      readPage(ledKey, number, next, before, pages + 1);
    }
  }

  private void failed(LedKey ledKey, long number) {
    if (number != reading || !stillOwned.test(ledKey)) {
      return;
    }
    reading++;
    if (environment.nowMs() - goodAt >= WorkerListConstants.LEADERSHIP_TRANSFER_DELAY_MS) {
      goodAt = environment.nowMs();
      environment.log(PART, "The outside list can not be read from here.");
      handOver.run();
      if (!stillOwned.test(ledKey)) {
        return;
      }
    }
    environment.schedule(pause(WorkerListConstants.RETRY_DELAY_MS), () -> read(ledKey));
  }

  void settingsChanged(NodeSettings newer) {
    settings = settings.withReloadable(newer);
  }

  /** Never above half of the calls that all nodes together may make. */
  private long pause(long wanted) {
    return Math.max(wanted, (long) (2_000 / settings.listCallsPerS()));
  }

  private void whole(LedKey ledKey, List<ListedWorker> listed, int pages) {
    goodAt = environment.nowMs();
    List<WorkerRegistration> known =
        ledKey.value.isNull()
            ? List.of()
            : JSON.convertValue(ledKey.value, WorkerListSource.class).workers();
    emptyReads = listed.isEmpty() ? emptyReads + 1 : 0;
    boolean doubted = emptyReads == 1 && !known.isEmpty();
    if (!doubted) {
      List<WorkerRegistration> next = next(known, listed, pages);
      if (!next.equals(known)) {
        quickReads = WorkerListConstants.FAST_POLLS;
        put.put(ledKey, new WorkerListSource(next), error -> {});
        environment.log(PART, "Outside list of " + next.size() + " workers taken.");
      } else if (quickReads > 0) {
        quickReads--;
      }
    }
    boolean quick = doubted || quickReads > 0 || !lacking.isEmpty();
    environment.schedule(
        pause(
            quick
                ? WorkerListConstants.FAST_POLL_INTERVAL_MS
                : WorkerListConstants.POLL_INTERVAL_MS),
        () -> read(ledKey));
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
