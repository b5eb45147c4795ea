package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.ConfigurationValidator;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Logs that version 0.1.0 wrote before its types were renamed are read record by record. The
 * fixtures are never written anew.
 */
class StoredDataFixturesTest {
  static final Path FIXTURES = Path.of("src", "test", "resources", "fixtures", "stored-data");

  private static final List<String> FIRST_SEGMENT =
      List.of(
          "promise key=batch/b-1 epoch=7/0123456789ab sequence=0 whole=false payload=none",
          "entry key=batch/b-1 epoch=7/0123456789ab sequence=1 whole=true payload=hex:0001ff",
          "committed key=batch/b-1 epoch=0/ sequence=1 whole=false payload=none",
          "once key=once/call-1 epoch=0/token-1 sequence=0 whole=false payload=none",
          "roster key=core epoch=0/ sequence=3 whole=true payload={\"number\":3}",
          "set key=shard/17 epoch=0/ sequence=4294967296 whole=true payload=none");

  /** Where the last record of the second segment begins. */
  private static final long LAST_RECORD_AT = 255;

  private static final long SECOND_SEGMENT_BYTES = 310;
  private static final String SINGLE_LOG_ID = "7ec1995257c9";

  @TempDir Path scratch;

  /** A log as it opens on a copy of a fixture. */
  private record Opened(DiskLog log, List<LogRecord> records, List<String> said) {
    List<String> lines() {
      return records.stream().map(StoredRecordText::of).toList();
    }
  }

  private static Opened open(Path folder) {
    List<LogRecord> records = new ArrayList<>();
    List<String> said = new ArrayList<>();
    return new Opened(DiskLog.open(folder, records::add, said::add), records, said);
  }

  private Path copy(String name) throws IOException {
    return StoredDataGenerator.copy(FIXTURES.resolve(name), scratch.resolve(name));
  }

  private static List<String> bothSegments() {
    return Stream.concat(FIRST_SEGMENT.stream(), FIRST_SEGMENT.stream().skip(1)).toList();
  }

  private static List<String> expected(String name) throws IOException {
    return Files.readAllLines(FIXTURES.resolve(name + ".expected.txt"));
  }

  private static Path secondSegment(Path folder) {
    return folder.resolve("segment-000000000002.log");
  }

  @Test
  void readsEveryKindOfRecord() throws IOException {
    Opened opened = open(copy("every-kind"));
    opened.log().close();
    assertThat(opened.lines()).containsExactlyElementsIn(bothSegments()).inOrder();
    assertThat(opened.lines()).isEqualTo(expected("every-kind"));
    assertThat(opened.said()).isEmpty();
    assertThat(opened.log().id()).isEqualTo(SINGLE_LOG_ID);
    assertThat(opened.log().incarnation()).isEqualTo(3);
  }

  @Test
  void readsEachFieldOfAnEntry() throws IOException {
    Opened opened = open(copy("every-kind"));
    opened.log().close();
    LogRecord entry = opened.records().get(1);
    assertThat(entry.kind()).isEqualTo(Kind.ENTRY);
    assertThat(entry.key()).isEqualTo("batch/b-1");
    assertThat(entry.epoch()).isEqualTo(new Epoch(7, "0123456789ab"));
    assertThat(entry.sequence()).isEqualTo(1);
    assertThat(entry.snapshot()).isTrue();
    assertThat(entry.payload()).isEqualTo(new byte[] {0, 1, -1});
  }

  @Test
  void writesTheSameBytesForTheSameRecords() throws IOException {
    Path folder = scratch.resolve("new");
    try (DiskLog log = open(folder).log()) {
      log.append(StoredDataGenerator.oneOfEachKind());
    }
    String first = "segment-000000000001.log";
    assertThat(Files.readAllBytes(folder.resolve(first)))
        .isEqualTo(Files.readAllBytes(FIXTURES.resolve("every-kind").resolve(first)));
  }

  @ParameterizedTest
  @CsvSource({"torn-tail, 305", "corrupt-tail, 310"})
  void keepsTheRecordsBeforeACorruptTail(String name, long storedBytes) throws IOException {
    Path folder = copy(name);
    assertThat(Files.size(secondSegment(folder))).isEqualTo(storedBytes);
    Opened opened = open(folder);
    List<String> kept = bothSegments().subList(0, bothSegments().size() - 1);
    assertThat(opened.lines()).containsExactlyElementsIn(kept).inOrder();
    assertThat(opened.lines()).isEqualTo(expected(name));
    assertThat(opened.said()).isEmpty();
    assertThat(opened.log().id()).isEqualTo(SINGLE_LOG_ID);
    assertThat(Files.size(secondSegment(folder))).isEqualTo(LAST_RECORD_AT);
    List<LogRecord> more = StoredDataGenerator.oneOfEachKind().subList(0, 1);
    opened.log().append(more);
    opened.log().close();

    Opened again = open(folder);
    again.log().close();
    List<String> keptAndMore = new ArrayList<>(kept);
    keptAndMore.add(FIRST_SEGMENT.get(0));
    assertThat(again.lines()).containsExactlyElementsIn(keptAndMore).inOrder();
  }

  @Test
  void truncatesNothingOfACompleteTail() throws IOException {
    Path folder = copy("every-kind");
    open(folder).log().close();
    assertThat(Files.size(secondSegment(folder))).isEqualTo(SECOND_SEGMENT_BYTES);
  }

  @Test
  void setsAFolderWithACorruptOlderSegmentAside() throws IOException {
    Path folder = copy("corrupt-older-segment");
    Opened opened = open(folder);
    opened.log().close();
    assertThat(opened.records()).isEmpty();
    assertThat(opened.said()).hasSize(1);
    assertThat(opened.log().id()).isNotEqualTo(SINGLE_LOG_ID);
    assertThat(opened.log().incarnation()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({
    "core-1, 9b117a0dcf8d",
    "core-2, b03eddab22c0",
    "core-3, be02532d37a7",
    "storage-1, ab4d7d7c74c1",
    "storage-2, 1eab6c3a5246",
    "storage-3, cbdfe95dc531",
    "storage-4, 7921d46072b2"
  })
  void readsEachRecordOfANode(String name, String id) throws IOException {
    Opened opened = open(copy("fleet/" + name));
    opened.log().close();
    assertThat(opened.lines()).isEqualTo(expected("fleet/" + name));
    assertThat(opened.said()).isEmpty();
    assertThat(opened.log().id()).isEqualTo(id);
    assertThat(opened.log().incarnation()).isEqualTo(2);
  }

  @ParameterizedTest
  @CsvSource({"1", "2"})
  void readsASignedConfiguration(long number) throws IOException {
    Opened opened = open(copy("fleet/core-2"));
    opened.log().close();
    JsonNode stored =
        opened.records().stream()
            .filter(record -> record.kind() == Kind.ENTRY && record.key().equals("bundle"))
            .filter(record -> record.payload().length > 0)
            .map(record -> Json.tree(record.payload()))
            .filter(value -> value.path("number").asLong() == number)
            .findFirst()
            .orElseThrow();
    byte[] bytes = stored.get("bytes").binaryValue();
    assertThat(new String(bytes, UTF_8)).isEqualTo(StoredDataGenerator.configuration(number));
    String keyId = stored.get("keyId").asText();
    assertThat(keyId).isEqualTo(StoredDataGenerator.KEY_ID);
    Map<String, String> keys = Map.of(keyId, operatorKey());
    byte[] signature = stored.get("signature").binaryValue();
    assertThat(ConfigurationValidator.validate(bytes, keyId, signature, keys).error()).isNull();
    RoutingConfiguration configuration =
        ConfigurationValidator.validate(bytes, keyId, signature, keys).configuration();
    assertThat(configuration.number()).isEqualTo(number);
    assertThat(configuration.pools()).containsKey("main");
    assertThat(configuration.rules().get(0).action().expiryMs()).isEqualTo(10_000);
    assertThat(configuration.routes().get(0).maxQueuedTokens()).isEqualTo(30_000);
  }

  static String operatorKey() throws IOException {
    return Files.readString(FIXTURES.resolve("fleet").resolve("operator-public-key.txt"));
  }
}
