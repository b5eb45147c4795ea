package applespindle.corelogic.batch;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.log.DeflatedEvents;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Events of a batch's log: small ones are JSON, large ones deflated JSON, and both are read. */
class BatchEventCodecTest {
  private static BatchEvent accepted(int items) {
    List<JsonNode> rows =
        IntStream.range(0, items)
            .mapToObj(
                number ->
                    (JsonNode)
                        Json.JSON
                            .createObjectNode()
                            .put("id", "item-" + number)
                            .put("target", "/batches/of/one/route/" + number)
                            .put("tokens", number))
            .toList();
    return BatchEvent.accepted(new Accepted("", "digest", 10, 20, rows, null));
  }

  @Test
  void smallEventsStayPlain() {
    assertThat(BatchEventCodec.encode(accepted(3))).isEqualTo(Json.bytes(accepted(3)));
  }

  @Test
  void largeEventsAreDeflatedAndReadBack() {
    byte[] encoded = BatchEventCodec.encode(accepted(500));

    assertThat(encoded.length).isLessThan(Json.bytes(accepted(500)).length);
    assertThat(Json.bytes(BatchEventCodec.decode(encoded))).isEqualTo(Json.bytes(accepted(500)));
    assertThat(BatchEvent.kindOf(encoded)).isEqualTo(BatchEvent.ACCEPTED);
  }

  @Test
  void plainEventsOfThePreviousVersionAreRead() {
    byte[] plain = Json.bytes(accepted(500));

    assertThat(Json.bytes(BatchEventCodec.decode(plain))).isEqualTo(plain);
    assertThat(BatchEvent.kindOf(plain)).isEqualTo(BatchEvent.ACCEPTED);
  }

  @Test
  void onlyPlainEntriesAreWorthDeflatingForTransport() {
    LogEntry plain = new LogEntry(1, new Epoch(1, "n"), false, Json.bytes(accepted(500)));
    LogEntry deflated =
        new LogEntry(1, new Epoch(1, "n"), false, BatchEventCodec.encode(accepted(500)));

    assertThat(DeflatedEvents.mostlyDeflated(List.of(plain))).isFalse();
    assertThat(DeflatedEvents.mostlyDeflated(List.of(deflated))).isTrue();
    assertThat(DeflatedEvents.mostlyDeflated(List.of())).isFalse();
  }
}
