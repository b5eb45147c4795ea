package applespindle.testfleet.simulation;

import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.Payload;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * The disk of one simulated process. Synced records survive everything but the loss of the disk
 * itself; records that were written but not synced may be lost when the process dies.
 */
final class SimulatedDisk {
  private static final long LEAST_SYNC_US = 400;
  private static final long SYNC_SPREAD_US = 3_000;

  private final EventQueue events;
  private final SplittableRandom random;

  /** Null until a process starts on the disk. */
  private String id;

  /** Starts of the process since the disk was empty; the incarnation of its node. */
  private long starts;

  /** In the order in which they were written. */
  private final List<LogRecord> synced = new ArrayList<>();

  /** Written after all synced records, in order; empty while the process is down. */
  private final List<LogRecord> unsynced = new ArrayList<>();

  private long stalledUntilUs;

  /** Strictly rising, so that records are synced in the order of their writes. */
  private long lastSyncUs;

  /** Since the start of the simulation, over all incarnations of the process. */
  private long writtenBytes;

  SimulatedDisk(EventQueue events, SplittableRandom random) {
    this.events = events;
    this.random = random;
  }

  String id() {
    return id;
  }

  List<LogRecord> synced() {
    return synced;
  }

  /** Payload written so far. */
  long writtenBytes() {
    return writtenBytes;
  }

  /** A process starts; an empty disk takes the given id. Returns the incarnation of the node. */
  long startProcess(String idIfEmpty) {
    id = id == null ? idIfEmpty : id;
    return ++starts;
  }

  /** The process dies; a random part of the unsynced records may have reached the disk. */
  void processDied(boolean keepsPart) {
    if (keepsPart && !unsynced.isEmpty()) {
      synced.addAll(unsynced.subList(0, random.nextInt(unsynced.size() + 1)));
    }
    unsynced.clear();
  }

  /** The disk is replaced by an empty one. */
  void replace() {
    id = null;
    starts = 0;
    synced.clear();
    stalledUntilUs = 0;
    lastSyncUs = 0;
  }

  void stallUntil(long untilUs) {
    stalledUntilUs = untilUs;
  }

  /**
   * Writes records and syncs them after a random time.
   *
   * @param writerAlive whether the incarnation that wrote them still runs
   * @param whenSynced called once they are synced, if the writer is still alive
   */
  void write(List<LogRecord> records, BooleanSupplier writerAlive, Runnable whenSynced) {
    unsynced.addAll(records);
    records.forEach(record -> writtenBytes += record.payloadBytes());
    long earliestUs = Math.max(events.nowUs(), stalledUntilUs);
    long syncUs = earliestUs + LEAST_SYNC_US + random.nextLong(SYNC_SPREAD_US);
    lastSyncUs = Math.max(syncUs, lastSyncUs + 1);
    sync(lastSyncUs, List.copyOf(records), writerAlive, whenSynced);
  }

  /** From now on the node reads the payload from this disk, as it does on a real one. */
  private static void releaseFromHeap(Payload payload) {
    byte[] stored = payload.bytes();
    payload.storeAt((offset, length) -> Arrays.copyOfRange(stored, offset, offset + length));
    payload.releaseFromHeap();
  }

  private void sync(
      long atUs, List<LogRecord> records, BooleanSupplier writerAlive, Runnable whenSynced) {
    events.at(
        atUs,
        () -> {
          if (!writerAlive.getAsBoolean()) {
            return;
          }
          if (events.nowUs() < stalledUntilUs) {
            sync(stalledUntilUs + 1, records, writerAlive, whenSynced);
            return;
          }
          synced.addAll(records);
          unsynced.subList(0, records.size()).clear();
          records.forEach(record -> releaseFromHeap(record.content()));
          whenSynced.run();
        });
  }
}
