package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DiskLogTest {
  @TempDir Path folder;

  private static LogRecord record(long sequence) {
    return new LogRecord(
        Kind.ENTRY,
        "key",
        new Epoch(1, "node"),
        sequence,
        false,
        new byte[] {(byte) sequence, 2, 3});
  }

  private record Opened(DiskLog log, List<Long> sequences, List<String> said) {}

  private Opened open() {
    List<Long> sequences = new ArrayList<>();
    List<String> said = new ArrayList<>();
    return new Opened(
        DiskLog.open(folder, record -> sequences.add(record.sequence()), said::add),
        sequences,
        said);
  }

  private Path newest(String prefix) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith(prefix))
          .sorted()
          .reduce((one, other) -> other)
          .orElseThrow();
    }
  }

  private void writeTwo() {
    try (DiskLog log = open().log()) {
      log.append(List.of(record(1), record(2)));
    }
  }

  @Test
  void restartsWithItsIdentityAndAHigherIncarnation() {
    DiskLog first = open().log();
    first.append(List.of(record(1), record(2)));
    first.close();
    Opened second = open();
    assertThat(second.sequences()).containsExactly(1L, 2L).inOrder();
    assertThat(second.log().id()).isEqualTo(first.id());
    assertThat(second.log().incarnation()).isEqualTo(first.incarnation() + 1);
    second.log().close();
  }

  @Test
  void truncatesATornTailAfterTheLastValidRecord() throws IOException {
    writeTwo();
    Path segment = newest("segment-");
    byte[] bytes = Files.readAllBytes(segment);
    Files.write(segment, java.util.Arrays.copyOf(bytes, bytes.length - 3));
    try (DiskLog log = open().log()) {
      log.append(List.of(record(9)));
    }
    Opened third = open();
    assertThat(third.sequences()).containsExactly(1L, 9L).inOrder();
    assertThat(third.said()).isEmpty();
    third.log().close();
  }

  @Test
  void startsAsANewNodeAfterCorruptionInsideTheLog() throws IOException {
    writeTwo();
    Path damaged = newest("segment-");
    String idBefore;
    try (DiskLog log = open().log()) {
      idBefore = log.id();
      log.append(List.of(record(3)));
    }
    byte[] bytes = Files.readAllBytes(damaged);
    bytes[bytes.length - 1] ^= 1;
    Files.write(damaged, bytes);
    Opened after = open();
    assertThat(after.sequences()).isEmpty();
    assertThat(after.log().id()).isNotEqualTo(idBefore);
    assertThat(after.said()).hasSize(1);
    assertThat(Files.isDirectory(folder.resolve("corrupt-1"))).isTrue();
    after.log().close();
  }

  @Test
  void aSnapshotReplacesTheSegmentsBeforeIt() throws IOException {
    try (DiskLog log = open().log()) {
      log.append(List.of(record(1), record(2)));
      log.checkpoint(List.of(record(2)));
      log.append(List.of(record(3)));
    }
    Opened after = open();
    assertThat(after.sequences()).containsExactly(2L, 3L).inOrder();
    after.log().close();
    try (Stream<Path> files = Files.list(folder)) {
      assertThat(
              files.filter(file -> file.getFileName().toString().startsWith("checkpoint-")).count())
          .isEqualTo(1);
    }
  }

  @Test
  void aFolderInUseIsRefused() {
    try (DiskLog log = open().log()) {
      DiskException fault = assertThrows(DiskException.class, this::open);
      assertThat(fault.kind).isEqualTo(DiskException.Kind.IN_USE);
      assertThat(log.incarnation()).isEqualTo(1);
    }
  }

  @Test
  void anUnfinishedCheckpointIsNotUsed() throws IOException {
    writeTwo();
    Files.writeString(
        folder.resolve("new-checkpoint-000000000009.log"), "half", StandardOpenOption.CREATE);
    Opened after = open();
    assertThat(after.sequences()).containsExactly(1L, 2L).inOrder();
    after.log().close();
  }
}
