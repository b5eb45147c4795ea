package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Two and three ends in a row, at every step of a start, an append and a checkpoint: losses of
 * power, after which each name and each write that was not synced lasts by itself, and kills.
 */
class DiskLossSweepTest {
  private static final LogSizes SIZES = new LogSizes(600, 0);
  private static final int APPENDS_EACH_LIFE = 7;
  private static final int CHECKPOINT_EVERY = 3;
  private static final int RECORD_BYTES = 100;
  private static final int SEEDS = 3;
  private static final int THIRD_STRIDE = 11;

  /** One folder over several lives; what was answered for must be there in each. */
  private static final class Lives {
    final VolatileLogFolder folder;
    final Random random;
    final String which;
    long answered;
    long incarnation;
    String id = "";

    Lives(long seed, String which) {
      this.random = new Random(seed);
      this.folder = new VolatileLogFolder(random);
      this.which = which;
    }

    /** Lives until the given step or to the end of its work; false if it ended by itself. */
    boolean live(int steps, boolean kill) throws IOException {
      folder.stepsLeft = steps;
      try {
        run();
        return false;
      } catch (VolatileLogFolder.PowerLost now) {
        if (kill) {
          folder.stepsLeft = -1;
        } else {
          folder.losePower();
        }
        return true;
      }
    }

    private void run() throws IOException {
      List<Long> known = new ArrayList<>();
      DiskLog log = open(record -> known.add(record.sequence()));
      assertWithMessage(which).that(folder.asides).isEqualTo(0);
      assertWithMessage(which).that(known).isInStrictOrder();
      long last = known.isEmpty() ? 0 : known.get(known.size() - 1);
      assertWithMessage(which).that(last).isAtLeast(answered);
      assertWithMessage(which + " has no gap")
          .that(known.isEmpty() ? 0 : last - known.get(0) + 1)
          .isEqualTo(known.size());
      assertWithMessage(which).that(log.incarnation()).isGreaterThan(incarnation);
      assertWithMessage(which).that(log.id()).isEqualTo(id.isEmpty() ? log.id() : id);
      incarnation = log.incarnation();
      id = log.id();
      answered = last;
      for (int appends = 1; appends <= APPENDS_EACH_LIFE; appends++) {
        log.append(List.of(record(last + 1), record(last + 2)));
        last += 2;
        answered = last;
        if (appends % CHECKPOINT_EVERY == 0) {
          log.checkpoint(List.of(record(last)));
        }
      }
    }

    DiskLog open(Consumer<LogRecord> replay) throws IOException {
      return DiskLog.open(folder, SIZES, DiskMemory.ample(), replay, message -> {});
    }
  }

  private static LogRecord record(long sequence) {
    return new LogRecord(
        Kind.ENTRY, "key", new Epoch(1, "node"), sequence, false, new byte[RECORD_BYTES]);
  }

  private static int stepsOfALife() throws IOException {
    Lives lives = new Lives(0, "whole");
    lives.live(-1, false);
    return lives.folder.steps;
  }

  @Test
  void keepsWhatWasAnsweredForOverTwoEndsAtEveryPairOfSteps() throws IOException {
    int steps = stepsOfALife();
    for (int seed = 0; seed < SEEDS; seed++) {
      for (int first = 0; first <= steps; first++) {
        for (int second = 0; second <= steps; second++) {
          Random kills = new Random(seed);
          Lives lives =
              new Lives(
                  seed * 1_000_003L + first * 1_009L + second,
                  "seed " + seed + ", " + first + ", " + second);
          lives.live(first, seed > 0 && kills.nextBoolean());
          lives.live(second, seed > 0 && kills.nextBoolean());
          lives.live(-1, false);
        }
      }
    }
  }

  @Test
  void keepsWhatWasAnsweredForOverThreeEnds() throws IOException {
    int steps = stepsOfALife();
    for (int first = 0; first <= steps; first++) {
      for (int second = 0; second <= steps; second++) {
        for (int third = (first + second) % THIRD_STRIDE; third <= steps; third += THIRD_STRIDE) {
          long seed = first * 1_000_003L + second * 1_009L + third;
          Lives lives = new Lives(seed, first + ", " + second + ", " + third);
          lives.live(first, seed % 5 == 0);
          lives.live(second, seed % 7 == 0);
          lives.live(third, false);
          lives.live(-1, false);
        }
      }
    }
  }

  @Test
  void aFolderThatIsSetAsideIsNeverReadInPart() throws IOException {
    for (int seed = 0; seed < 200; seed++) {
      for (int step = 0; step < 30; step++) {
        Lives lives = new Lives(seed, "seed " + seed + ", step " + step);
        for (int life = 0; life < 3; life++) {
          DiskLog log = lives.open(record -> {});
          lives.id = log.id();
          log.append(List.of(record(2 * life + 1), record(2 * life + 2)));
        }
        lives.folder.corrupt("segment-000000000001.log", 30);
        lives.folder.stepsLeft = step;
        try {
          lives.open(record -> {});
        } catch (VolatileLogFolder.PowerLost now) {
          lives.folder.losePower();
        }
        lives.folder.stepsLeft = -1;
        List<Long> known = new ArrayList<>();
        DiskLog log = lives.open(record -> known.add(record.sequence()));
        assertWithMessage(lives.which).that(known).isEmpty();
        assertWithMessage(lives.which).that(log.id()).isNotEqualTo(lives.id);
      }
    }
  }

  @Test
  void aSegmentWhoseNameCanNotBeSyncedIsNotUsed() throws IOException {
    Lives lives = new Lives(1, "refused");
    DiskLog log = lives.open(record -> {});
    log.append(List.of(record(1), record(2)));
    lives.folder.syncRefusals = 1;
    log.checkpoint(List.of(record(2)));
    log.append(List.of(record(3)));
    lives.folder.losePower();
    List<Long> known = new ArrayList<>();
    log = lives.open(record -> known.add(record.sequence()));
    assertThat(known).containsExactly(1L, 2L, 3L).inOrder();
    log.checkpoint(List.of(record(3)));
    log.append(List.of(record(4)));
    List<Long> later = new ArrayList<>();
    lives.open(record -> later.add(record.sequence()));
    assertThat(later).containsExactly(3L, 4L).inOrder();
  }

  @Test
  void aStartGoesOnWhenTheFolderRefusesToSyncForAWhile() throws IOException {
    for (int refusals = 1; refusals <= 3; refusals++) {
      Lives lives = new Lives(1, "refused");
      lives.folder.syncRefusals = refusals;
      DiskLog log = lives.open(record -> {});
      log.append(List.of(record(1)));
      lives.folder.losePower();
      List<Long> known = new ArrayList<>();
      lives.open(record -> known.add(record.sequence()));
      assertThat(known).containsExactly(1L);
    }
  }

  @Test
  void theIdentityOfAnEarlierVersionIsAdopted() throws IOException {
    Lives lives = new Lives(1, "former");
    try (LogFolder.DiskFile former = lives.folder.create("identity.json")) {
      byte[] bytes = "{\"id\":\"abc\",\"incarnation\":4}".getBytes(UTF_8);
      former.write(ByteBuffer.wrap(bytes), 0);
      former.force();
    }
    lives.folder.sync();
    DiskLog log = lives.open(record -> {});
    assertThat(log.id()).isEqualTo("abc");
    assertThat(log.incarnation()).isEqualTo(5);
    lives.folder.losePower();
    log = lives.open(record -> {});
    assertThat(log.id()).isEqualTo("abc");
    assertThat(log.incarnation()).isEqualTo(6);
  }
}
