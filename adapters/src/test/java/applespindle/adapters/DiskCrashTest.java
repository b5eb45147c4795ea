package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Kills a process that writes a log, at random counts of answered appends, again and again over one
 * folder. A few rounds in CI; -Dapplespindle.crashRounds=300 for the long run. What a power loss
 * takes beyond that is the simulator's matter.
 */
class DiskCrashTest {
  private static final int ROUNDS = Integer.getInteger("applespindle.crashRounds", 4);
  private static final int ANSWERS_MOST = 400;
  private static final int CHECKPOINT_EVERY = 37;

  /** The process that is killed: says each sequence once its append is answered. */
  static final class Writer {
    public static void main(String[] arguments) {
      List<Long> known = new ArrayList<>();
      DiskLog log =
          DiskLog.open(
              Path.of(arguments[0]), record -> known.add(record.sequence()), System.err::println);
      long last = known.isEmpty() ? 0 : known.get(known.size() - 1);
      Random random = new Random(Long.parseLong(arguments[1]));
      for (int appends = 1; ; appends++) {
        List<LogRecord> records = new ArrayList<>();
        for (int count = 1 + random.nextInt(5); count > 0; count--) {
          records.add(record(++last, random.nextInt(4_000)));
        }
        log.append(records);
        System.out.println(last);
        System.out.flush();
        if (appends % CHECKPOINT_EVERY == 0) {
          log.checkpoint(List.of(record(last, 10)));
        }
      }
    }

    private static LogRecord record(long sequence, int bytes) {
      return new LogRecord(
          Kind.ENTRY, "key", new Epoch(1, "node"), sequence, false, new byte[bytes]);
    }
  }

  @Test
  void keepsEveryAnsweredAppendOverKills(@TempDir Path folder, @TempDir Path aside)
      throws IOException, InterruptedException {
    Path errors = aside.resolve("errors");
    Random random = new Random(20261202);
    long answered = 0;
    for (int round = 0; round < ROUNDS; round++) {
      Process writer =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty(
                      "surefire.test.class.path", System.getProperty("java.class.path")),
                  Writer.class.getName(),
                  folder.toString(),
                  Integer.toString(round))
              .redirectError(errors.toFile())
              .start();
      try (BufferedReader output =
          new BufferedReader(new InputStreamReader(writer.getInputStream(), UTF_8))) {
        for (int left = 1 + random.nextInt(ANSWERS_MOST); left > 0; left--) {
          String line = output.readLine();
          assertWithMessage(Files.readString(errors)).that(line).isNotNull();
          answered = Long.parseLong(line);
        }
        writer.toHandle().destroyForcibly();
        for (String line = output.readLine(); line != null; line = output.readLine()) {
          answered =
              line.matches("[0-9]+") ? Math.max(answered, completeLine(line, answered)) : answered;
        }
      }
      writer.waitFor();
      List<Long> sequences = new ArrayList<>();
      List<String> said = new ArrayList<>();
      DiskLog.open(folder, record -> sequences.add(record.sequence()), said::add).close();
      assertWithMessage("round " + round + ": " + said).that(sequences).isInStrictOrder();
      assertThat(sequences.get(sequences.size() - 1)).isAtLeast(answered);
      assertThat(sequences.get(sequences.size() - 1) - sequences.get(0))
          .isEqualTo((long) sequences.size() - 1);
    }
  }

  /**
   * The last line may have been truncated in the pipe; a truncated number is shorter than the ones
   * before it.
   */
  private static long completeLine(String line, long before) {
    return line.length() < Long.toString(before).length() ? before : Long.parseLong(line);
  }
}
