package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Checkpoints of a log of many changes: interrupted at each step, refused by the disk, bounded in
 * size.
 */
class DiskCheckpointTest {
  private static final int CHANGE_BYTES = 500;
  private static final LogSizes SIZES = new LogSizes(4_000, 0);
  private static final int STEPS_OF_A_CHECKPOINT = 24;
  private static final int SEEDS = 40;

  private static LogRecord change(long sequence) {
    return new LogRecord(
        Kind.ENTRY, "bundle", new Epoch(1, "node"), sequence, true, new byte[CHANGE_BYTES]);
  }

  private static final class Opened {
    final DiskLog log;
    final List<Long> sequences = new ArrayList<>();

    Opened(VolatileLogFolder folder) throws IOException {
      log =
          DiskLog.open(
              folder,
              SIZES,
              DiskMemory.ample(),
              record -> sequences.add(record.sequence()),
              sentence -> {});
    }

    long last() {
      return sequences.isEmpty() ? 0 : sequences.get(sequences.size() - 1);
    }
  }

  private static long bytesOf(VolatileLogFolder folder) {
    return folder.names().stream().mapToLong(folder::size).sum();
  }

  @Test
  void whatIsKeptDoesNotGrowWithTheNumberOfChanges() throws IOException {
    VolatileLogFolder folder = new VolatileLogFolder(new Random(1));
    DiskLog log = new Opened(folder).log;
    long most = 0;
    for (long sequence = 1; sequence <= 2_000; sequence++) {
      log.append(List.of(change(sequence)));
      if (log.wantsCheckpoint(false)) {
        log.checkpoint(List.of(change(sequence)));
      }
      most = Math.max(most, bytesOf(folder));
    }
    assertThat(most).isLessThan(2 * SIZES.segmentBytes());
    folder.losePower();
    Opened again = new Opened(folder);
    assertThat(again.last()).isEqualTo(2_000);
    assertThat((long) again.sequences.size()).isLessThan(2 + SIZES.segmentBytes() / CHANGE_BYTES);
  }

  @Test
  void aCheckpointInterruptedAtAnyStepLosesNothing() throws IOException {
    int interrupted = 0;
    for (int step = 0; step < STEPS_OF_A_CHECKPOINT; step++) {
      for (int seed = 0; seed < SEEDS; seed++) {
        VolatileLogFolder folder = new VolatileLogFolder(new Random(seed));
        DiskLog log = new Opened(folder).log;
        for (long sequence = 1; sequence <= 20; sequence++) {
          log.append(List.of(change(sequence)));
        }
        log.checkpoint(List.of(change(20)));
        log.append(List.of(change(21)));
        folder.stepsLeft = step;
        try {
          log.checkpoint(List.of(change(21)));
        } catch (VolatileLogFolder.PowerLost now) {
          interrupted++;
        }
        folder.losePower();
        Opened again = new Opened(folder);
        String which = "step " + step + ", seed " + seed;
        assertWithMessage(which).that(folder.asides).isEqualTo(0);
        assertWithMessage(which).that(again.last()).isEqualTo(21);
        again.log.append(List.of(change(22)));
        again.log.checkpoint(List.of(change(22)));
        folder.losePower();
        assertWithMessage(which).that(new Opened(folder).last()).isEqualTo(22);
      }
    }
    assertThat(interrupted).isAtLeast(10 * SEEDS);
  }

  @Test
  void aDiskThatFailsASnapshotKeepsEverythingAndWritesTheNext() throws IOException {
    for (int refusals = 1; refusals <= 3; refusals++) {
      VolatileLogFolder folder = new VolatileLogFolder(new Random(refusals));
      DiskLog log = new Opened(folder).log;
      long sequence = 0;
      for (int checkpoint = 0; checkpoint < refusals; checkpoint++) {
        for (int change = 0; change < 10; change++) {
          log.append(List.of(change(++sequence)));
        }
        folder.refusals = 1;
        log.checkpoint(List.of(change(sequence)));
        assertThat(folder.refusals).isEqualTo(0);
      }
      assertThat(bytesOf(folder)).isAtLeast(sequence * CHANGE_BYTES);
      log.append(List.of(change(++sequence)));
      log.checkpoint(List.of(change(sequence)));
      assertThat(bytesOf(folder)).isLessThan(4L * CHANGE_BYTES);
      folder.losePower();
      assertThat(new Opened(folder).last()).isEqualTo(sequence);
    }
  }
}
