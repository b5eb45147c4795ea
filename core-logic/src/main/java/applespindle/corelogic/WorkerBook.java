package applespindle.corelogic;

import applespindle.corelogic.Records.Worker;
import applespindle.corelogic.Surroundings.WorkerLoad;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/** This edge's view of each listed worker: its mark, its last load report, and what this edge has running there. */
final class WorkerBook {
  static final class Known {
    Worker worker;
    WorkerLoad load = new WorkerLoad(0, 0, 0, false);
    long loadAt = Long.MIN_VALUE / 2;
    /** This edge's runs there now. */
    int live;
    int batch;
    /** This edge's runs begun less those ended since the last report: what the report can not know yet. */
    int sinceReport;
    /** Highest live running of late; falls slowly, so that batch work does not refill what live will want again. */
    double livePeak;
    long livePeakAt;
    int faultsInRow;
    int refusalsInRow;
    long restsUntil = Long.MIN_VALUE / 2;
    boolean polling;

    boolean leaving() {
      return worker.state().equals(Worker.LEAVING) || load.leaving();
    }

    int running() {
      return Math.max(live + batch, load.running() + load.queued() + sinceReport);
    }

    /** Runs there that are not this edge's batch items. */
    int liveRunning() {
      return running() - batch;
    }

    int free() {
      return load.capacity() - running();
    }
  }

  private final Surroundings surroundings;
  private final Runnable whenChanged;
  private final Map<String, Known> known = new TreeMap<>();

  WorkerBook(Surroundings surroundings, Runnable whenChanged) {
    this.surroundings = surroundings;
    this.whenChanged = whenChanged;
  }

  void follow(Map<String, Worker> workers) {
    known.keySet().retainAll(workers.keySet());
    workers.forEach((id, worker) -> {
      Known present = known.get(id);
      if (present == null || !present.worker.address().equals(worker.address())) {
        present = new Known();
        known.put(id, present);
      }
      present.worker = worker;
      poll(present);
    });
  }

  Collection<Known> all() {
    return known.values();
  }

  Known get(String id) {
    return known.get(id);
  }

  private boolean listed(Known worker) {
    return known.get(worker.worker.id()) == worker;
  }

  private void poll(Known worker) {
    if (!worker.polling) {
      worker.polling = true;
      pollOnce(worker);
    }
  }

  private void pollOnce(Known worker) {
    if (!listed(worker)) {
      return;
    }
    long jitter = surroundings.random().nextLong(Constants.LOAD_POLL_MS / 5) - Constants.LOAD_POLL_MS / 10;
    surroundings.readLoad(worker.worker.address(), load -> {
      worker.load = load;
      worker.loadAt = surroundings.now();
      worker.sinceReport = 0;
      notePeak(worker);
      surroundings.after(Constants.LOAD_POLL_MS + jitter, () -> pollOnce(worker));
      whenChanged.run();
    }, fault -> surroundings.after(Constants.LOAD_POLL_MS + jitter, () -> pollOnce(worker)));
  }

  private void notePeak(Known worker) {
    long now = surroundings.now();
    double fallen = worker.livePeak - (now - worker.livePeakAt) / (double) Constants.LIVE_PEAK_FALL_MS;
    worker.livePeak = Math.max(worker.liveRunning(), fallen);
    worker.livePeakAt = now;
  }

  /** Listed, heard of lately, not leaving, not at rest after a fault. */
  boolean usable(Known worker) {
    long now = surroundings.now();
    return listed(worker) && !worker.leaving() && now - worker.loadAt < Constants.LOAD_STALE_MS
        && now >= worker.restsUntil;
  }

  /** Neither its load nor a run there has been heard of for so long that what runs there is taken for lost. */
  boolean lost(Known worker, long lastTextAt) {
    long now = surroundings.now();
    return now - worker.loadAt > Constants.LOAD_STALE_MS && now - lastTextAt > Constants.LOAD_STALE_MS;
  }

  /** Usable now, or as soon as a rest ends that ends before the expiry. */
  boolean comesBackBy(Known worker, long expiresAt) {
    return listed(worker) && !worker.leaving() && surroundings.now() - worker.loadAt < Constants.LOAD_STALE_MS
        && worker.restsUntil < expiresAt;
  }

  /** How long until the worker may be usable as far as is known: its rest, or the time its silence needs to show. */
  long restMs(Known worker) {
    long now = surroundings.now();
    boolean silent = now - worker.loadAt >= Constants.LOAD_STALE_MS || worker.leaving();
    return Math.max(worker.restsUntil - now, silent ? Constants.LOAD_STALE_MS : 0);
  }

  void began(Known worker, boolean batch) {
    worker.sinceReport++;
    if (batch) {
      worker.batch++;
    } else {
      worker.live++;
    }
  }

  void ended(Known worker, boolean batch) {
    worker.sinceReport--;
    if (batch) {
      worker.batch--;
    } else {
      worker.live--;
    }
  }

  void faulted(Known worker) {
    long rest = Math.min(Constants.WORKER_REST_MOST_MS, Constants.WORKER_REST_MS << Math.min(worker.faultsInRow, 10));
    worker.faultsInRow++;
    worker.restsUntil = surroundings.now() + rest;
  }

  /** It said that it is full: left alone until its next report can tell more, longer if it keeps saying so. */
  void refused(Known worker) {
    long rest = Math.min(Constants.WORKER_REST_MOST_MS, Constants.LOAD_POLL_MS << Math.min(worker.refusalsInRow, 10));
    worker.refusalsInRow++;
    worker.restsUntil = surroundings.now() + rest;
  }

  /** A refusal for want of room, which says nothing against the request. */
  static boolean saysFull(Fault fault) {
    return fault instanceof Fault.WorkerRefused refused && (refused.status() == 429 || refused.status() == 503);
  }

  void served(Known worker) {
    worker.faultsInRow = 0;
    worker.refusalsInRow = 0;
  }

  void describe(ArrayNode rows) {
    for (Known each : known.values()) {
      rows.addObject().put("id", each.worker.id()).put("state", each.worker.state()).put("usable", usable(each))
          .put("running", each.load.running()).put("capacity", each.load.capacity()).put("leaving", each.leaving())
          .put("ownLive", each.live).put("ownBatch", each.batch);
    }
  }
}
