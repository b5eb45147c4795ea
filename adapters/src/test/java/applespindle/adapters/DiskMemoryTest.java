package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import java.io.IOException;
import java.lang.ref.WeakReference;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a burst of batches ending all storage processes: the events of all logs were held
 * in the heap, also when they were read back after a restart, and only the disk was bounded.
 */
final class DiskMemoryTest {
  private static final int RECORDS = 200;
  private static final int EVENT_BYTES = 100_000;
  private static final long RESIDENT_BYTES = 1_000_000;
  private static final LogSizes SIZES = new LogSizes(4_000_000, 0);
  private static final int MAX_COLLECTIONS = 50;

  @TempDir Path folder;

  /** What a node keeps of its log: all records. */
  private final List<LogRecord> state = new ArrayList<>();

  /** The arrays that the events came in. */
  private final List<WeakReference<byte[]>> arrays = new ArrayList<>();

  private static byte[] event(int number) {
    byte[] event = new byte[EVENT_BYTES];
    Arrays.fill(event, (byte) number);
    return event;
  }

  private DiskLog open() {
    state.clear();
    return DiskLog.open(
        folder, SIZES, DiskMemory.ofBytes(RESIDENT_BYTES), state::add, sentence -> {});
  }

  private void appendAll(DiskLog log) {
    for (int number = 0; number < RECORDS; number++) {
      byte[] event = event(number);
      arrays.add(new WeakReference<>(event));
      LogRecord record =
          new LogRecord(Kind.ENTRY, "batch/" + number, new Epoch(1, "edge"), 1, true, event);
      state.add(record);
      log.append(List.of(record));
      if (log.wantsCheckpoint(false)) {
        log.checkpoint(List.copyOf(state));
      }
    }
  }

  private long arraysInHeap() throws InterruptedException {
    long alive = Long.MAX_VALUE;
    for (int collection = 0; collection < MAX_COLLECTIONS; collection++) {
      System.gc();
      alive = arrays.stream().filter(array -> array.get() != null).count();
      if (alive * EVENT_BYTES <= RESIDENT_BYTES) {
        break;
      }
      Thread.sleep(20);
    }
    return alive;
  }

  private void assertAllReadable() {
    assertThat(state).hasSize(RECORDS);
    for (int number = 0; number < RECORDS; number++) {
      assertWithMessage("record %s", number)
          .that(Arrays.equals(state.get(number).payload(), event(number)))
          .isTrue();
    }
  }

  @Test
  void eventsOnDiskLeaveTheHeap() throws InterruptedException {
    try (DiskLog log = open()) {
      appendAll(log);
      assertWithMessage("events in the heap")
          .that(arraysInHeap() * EVENT_BYTES)
          .isAtMost(RESIDENT_BYTES);
      assertThat(log.residentPayloadBytes()).isAtMost(RESIDENT_BYTES);
      assertAllReadable();
    }
  }

  @Test
  void aStartHoldsNoMoreThanTheLimit() throws IOException {
    try (DiskLog log = open()) {
      appendAll(log);
    }
    try (DiskLog log = open()) {
      long inHeap = state.stream().filter(record -> record.content().isInHeap()).count();
      assertThat(inHeap * EVENT_BYTES).isAtMost(RESIDENT_BYTES);
      assertThat(log.residentPayloadBytes()).isAtMost(RESIDENT_BYTES);
      assertAllReadable();
    }
  }

  /** A checkpoint moves every event to another file and deletes the one before. */
  @Test
  void eventsStayReadableAcrossCheckpoints() {
    try (DiskLog log = open()) {
      appendAll(log);
      for (int checkpoint = 0; checkpoint < 3; checkpoint++) {
        log.checkpoint(List.copyOf(state));
        assertAllReadable();
      }
    }
  }

  /** A part is read without the rest, as for a chunk of a catch-up. */
  @Test
  void aPartOfAStoredEventIsRead() {
    try (DiskLog log = open()) {
      appendAll(log);
      assertThat(state.get(0).content().isInHeap()).isFalse();
      assertThat(state.get(0).content().slice(EVENT_BYTES - 3, 3)).isEqualTo(new byte[3]);
      assertThat(state.get(7).content().slice(10, 2)).isEqualTo(new byte[] {7, 7});
    }
  }
}
