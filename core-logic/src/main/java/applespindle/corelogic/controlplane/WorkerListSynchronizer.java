package applespindle.corelogic.controlplane;

import applespindle.corelogic.constants.WorkerListConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ListedWorker;
import applespindle.corelogic.environment.Environment.WorkerListPage;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.WorkerList;
import applespindle.corelogic.metadata.WorkerRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Polls the external list of workers while this node leads the worker list's key, and writes one
 * value for all that changed between two polls.
 *
 * <p>State owned: the worker list's key while this node leads it, the poll in progress, and what
 * the last polls found. A poll reads the pages of the list one after the other; it ends complete,
 * failed or timed out, and schedules the next. After failures for {@link
 * WorkerListConstants#LEADERSHIP_TRANSFER_DELAY_MS} the leadership is transferred to another node.
 *
 * <p>Invariants: at most one poll is in progress; an incomplete poll changes nothing; a single
 * empty poll removes no worker; a leader that has lost the key writes nothing, since its epoch is
 * rejected.
 */
final class WorkerListSynchronizer implements KeyManager {
  private static final String PART = "workers";

  /** Divided by the permitted calls per second, twice the shortest interval of all nodes, in ms. */
  private static final long MIN_INTERVAL_FACTOR_MS = 2_000;

  private final Environment environment;
  private final LedKeys keys;

  /** Whether this process polls an external list at all; as set at the start. */
  private final boolean enabled;

  private NodeSettings settings;

  /**
   * Rises when a poll begins and when it ends: a response that belongs to a lower number is
   * ignored.
   */
  private long pollNumber;

  /** When the last poll was complete, in milliseconds of this node's clock. */
  private long lastCompleteAtMs;

  /** The number of empty polls in a row. */
  private int emptyPolls;

  /** The number of further polls that follow at the short interval. */
  private int fastPollsLeft;

  /**
   * Known workers that the last complete poll of several pages did not list: pages may shift
   * between two calls, so a worker is removed only if two such polls in a row miss it.
   */
  private Set<String> missedOnce = Set.of();

  WorkerListSynchronizer(ControlPlaneContext context) {
    this.environment = context.environment();
    this.keys = context.keys();
    this.settings = context.settings();
    this.enabled = settings.listCallsPerS() > 0;
  }

  /** Adopts the settings that can change while the process runs. */
  void settingsChanged(NodeSettings newer) {
    settings = settings.withReloadable(newer);
  }

  /** Some node has to poll the list, also before the key has a first value. */
  @Override
  public void tick() {
    if (enabled && keys.get(MetadataKeys.WORKER_LIST) == null) {
      keys.electIfVacant(MetadataKeys.WORKER_LIST);
    }
  }

  /** Begins to poll. */
  void leadershipTaken(LedKey ledKey) {
    if (!enabled) {
      return;
    }
    lastCompleteAtMs = environment.nowMs();
    emptyPolls = 0;
    fastPollsLeft = WorkerListConstants.FAST_POLLS;
    missedOnce = Set.of();
    poll(ledKey);
  }

  private boolean isStillLed(LedKey ledKey) {
    return keys.get(MetadataKeys.WORKER_LIST) == ledKey;
  }

  // ---- one poll

  private void poll(LedKey ledKey) {
    if (!isStillLed(ledKey)) {
      return;
    }
    long number = ++pollNumber;
    readPage(ledKey, number, "", new ArrayList<>(), 1);
    environment.schedule(WorkerListConstants.READ_TIMEOUT_MS, () -> pollFailed(ledKey, number));
  }

  private void readPage(
      LedKey ledKey, long number, String token, List<ListedWorker> listed, int pages) {
    environment.listWorkers(
        token,
        page -> {
          if (number == pollNumber && isStillLed(ledKey)) {
            addPage(ledKey, number, page, listed, pages);
          }
        },
        error -> pollFailed(ledKey, number));
  }

  private void addPage(
      LedKey ledKey, long number, WorkerListPage page, List<ListedWorker> listed, int pages) {
    listed.addAll(page.workers());
    String next = page.nextToken();
    if (next == null || next.isEmpty()) {
      pollNumber++;
      pollCompleted(ledKey, listed, pages);
    } else if (pages >= WorkerListConstants.MAX_PAGES) {
      pollFailed(ledKey, number);
    } else {
      readPage(ledKey, number, next, listed, pages + 1);
    }
  }

  private void pollFailed(LedKey ledKey, long number) {
    if (number != pollNumber || !isStillLed(ledKey)) {
      return;
    }
    pollNumber++;
    long sinceCompleteMs = environment.nowMs() - lastCompleteAtMs;
    if (sinceCompleteMs >= WorkerListConstants.LEADERSHIP_TRANSFER_DELAY_MS) {
      lastCompleteAtMs = environment.nowMs();
      environment.log(PART, "The outside list can not be read from here.");
      keys.transfer(MetadataKeys.WORKER_LIST);
      if (!isStillLed(ledKey)) {
        return;
      }
    }
    schedulePoll(ledKey, WorkerListConstants.RETRY_DELAY_MS);
  }

  private void pollCompleted(LedKey ledKey, List<ListedWorker> listed, int pages) {
    lastCompleteAtMs = environment.nowMs();
    List<WorkerRegistration> known =
        ledKey.hasValue() ? ledKey.as(WorkerList.class).workers() : List.of();
    emptyPolls = listed.isEmpty() ? emptyPolls + 1 : 0;
    boolean doubtful = emptyPolls == 1 && !known.isEmpty();
    if (!doubtful) {
      update(ledKey, known, next(known, listed, pages));
    }
    boolean fast = doubtful || fastPollsLeft > 0 || !missedOnce.isEmpty();
    schedulePoll(
        ledKey,
        fast ? WorkerListConstants.FAST_POLL_INTERVAL_MS : WorkerListConstants.POLL_INTERVAL_MS);
  }

  private void update(
      LedKey ledKey, List<WorkerRegistration> known, List<WorkerRegistration> next) {
    if (!next.equals(known)) {
      fastPollsLeft = WorkerListConstants.FAST_POLLS;
      keys.put(ledKey, new WorkerList(next), error -> {});
      environment.log(PART, "Outside list of " + next.size() + " workers taken.");
    } else if (fastPollsLeft > 0) {
      fastPollsLeft--;
    }
  }

  /**
   * Schedules the next poll after this many milliseconds, or later if the calls would otherwise
   * exceed half of those that all nodes together may make.
   */
  private void schedulePoll(LedKey ledKey, long intervalMs) {
    long shortestMs = (long) (MIN_INTERVAL_FACTOR_MS / settings.listCallsPerS());
    environment.schedule(Math.max(intervalMs, shortestMs), () -> poll(ledKey));
  }

  // ---- the next list

  private List<WorkerRegistration> next(
      List<WorkerRegistration> known, List<ListedWorker> listed, int pages) {
    Map<String, WorkerRegistration> knownById = new TreeMap<>();
    known.forEach(worker -> knownById.put(worker.id(), worker));
    Map<String, WorkerRegistration> nextById = new TreeMap<>();
    for (ListedWorker worker : listed) {
      nextById.put(worker.id(), registration(worker, knownById.get(worker.id())));
    }
    keepMissedOnce(knownById, nextById, pages);
    return List.copyOf(nextById.values());
  }

  /** A leaving worker stays leaving while it is listed: one that returns has a new id. */
  private static WorkerRegistration registration(ListedWorker listed, WorkerRegistration known) {
    boolean leaving =
        listed.leaving() || known != null && known.state().equals(WorkerRegistration.LEAVING);
    return new WorkerRegistration(
        listed.id(),
        listed.address(),
        listed.pool(),
        leaving ? WorkerRegistration.LEAVING : WorkerRegistration.READY,
        listed.zone(),
        listed.slots());
  }

  private void keepMissedOnce(
      Map<String, WorkerRegistration> knownById,
      Map<String, WorkerRegistration> nextById,
      int pages) {
    if (pages <= 1) {
      missedOnce = Set.of();
      return;
    }
    Set<String> missed = new TreeSet<>(knownById.keySet());
    missed.removeAll(nextById.keySet());
    missed.stream()
        .filter(id -> !missedOnce.contains(id))
        .forEach(id -> nextById.put(id, knownById.get(id)));
    missedOnce = missed;
  }
}
