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
 * Power is lost at every kind of step, again and again over one folder; what was answered for must
 * be there.
 */
class DiskPowerLossTest {
  private static final int SEEDS = 300;
  private static final int LOSSES = 12;
  private static final int STEPS_MOST = 60;
  private static final LogSizes SIZES = new LogSizes(2_000, 0);

  private static LogRecord record(long sequence, int bytes) {
    return new LogRecord(Kind.ENTRY, "key", new Epoch(1, "node"), sequence, false, new byte[bytes]);
  }

  private static List<Long> replay(VolatileLogFolder folder, List<DiskLog> opened)
      throws IOException {
    List<Long> sequences = new ArrayList<>();
    opened.add(
        DiskLog.open(
            folder,
            SIZES,
            DiskMemory.ample(),
            record -> sequences.add(record.sequence()),
            message -> {}));
    return sequences;
  }

  @Test
  void keepsWhatWasAnsweredForOverLossesOfPower() throws IOException {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      VolatileLogFolder folder = new VolatileLogFolder(random);
      long answered = 0;
      long incarnation = 0;
      for (int loss = 0; loss < LOSSES; loss++) {
        // Half of the ends are kills: the next process finds all writes, also those that were never
        // synced.
        boolean kill = random.nextBoolean();
        folder.stepsLeft = 1 + random.nextInt(STEPS_MOST);
        try {
          List<DiskLog> opened = new ArrayList<>();
          List<Long> known = replay(folder, opened);
          String which = "seed " + seed + ", loss " + loss;
          assertWithMessage(which).that(folder.asides).isEqualTo(0);
          assertWithMessage(which).that(known).isInStrictOrder();
          long last = known.isEmpty() ? 0 : known.get(known.size() - 1);
          assertWithMessage(which).that(last).isAtLeast(answered);
          assertWithMessage(which).that(opened.get(0).incarnation()).isGreaterThan(incarnation);
          incarnation = opened.get(0).incarnation();
          // A process acts on what it has read, so from now on it counts as answered.
          answered = last;
          while (true) {
            last++;
            opened.get(0).append(List.of(record(last, random.nextInt(600))));
            answered = last;
            if (opened.get(0).wantsCheckpoint(random.nextInt(4) == 0)) {
              opened.get(0).checkpoint(List.of(record(last, 700)));
            }
          }
        } catch (VolatileLogFolder.PowerLost now) {
          if (kill) {
            folder.stepsLeft = -1;
          } else {
            folder.losePower();
          }
        }
      }
    }
  }

  @Test
  void retriesARefusedWriteUntilItIsAccepted() throws IOException {
    VolatileLogFolder folder = new VolatileLogFolder(new Random(1));
    List<DiskLog> opened = new ArrayList<>();
    replay(folder, opened);
    opened.get(0).append(List.of(record(1, 100)));
    folder.refusals = 2;
    opened.get(0).append(List.of(record(2, 100), record(3, 10)));
    assertThat(opened.get(0).refusing()).isFalse();
    folder.losePower();
    assertThat(replay(folder, opened)).containsExactly(1L, 2L, 3L).inOrder();
  }

  @Test
  void aStartWaitsForADiskThatRefusesWritesForAWhile() throws IOException {
    VolatileLogFolder folder = new VolatileLogFolder(new Random(1));
    folder.refusals = 2;
    List<DiskLog> opened = new ArrayList<>();
    assertThat(replay(folder, opened)).isEmpty();
    assertThat(opened.get(0).incarnation()).isEqualTo(1);
  }

  @Test
  void checkpointsDoNotOutweighWhatIsWritten() throws IOException {
    VolatileLogFolder folder = new VolatileLogFolder(new Random(1));
    List<DiskLog> opened = new ArrayList<>();
    replay(folder, opened);
    DiskLog log = opened.get(0);
    int checkpoints = 0;
    for (long sequence = 1; sequence <= 200; sequence++) {
      log.append(List.of(record(sequence, 1_000)));
      if (log.wantsCheckpoint(false)) {
        checkpoints++;
        List<LogRecord> all = new ArrayList<>();
        for (long each = 1; each <= sequence; each++) {
          all.add(record(each, 1_000));
        }
        log.checkpoint(all);
      }
    }
    assertThat(checkpoints).isAtMost(9);
    assertThat(checkpoints).isAtLeast(5);
  }

  @Test
  void sizesFollowTheDisk() {
    assertThat(LogSizes.of(0)).isEqualTo(new LogSizes(32L << 20, 96L << 20));
    assertThat(LogSizes.of(64L << 20)).isEqualTo(new LogSizes(2L << 20, 8L << 20));
    assertThat(LogSizes.of(1L << 40)).isEqualTo(LogSizes.of(0));
  }
}
