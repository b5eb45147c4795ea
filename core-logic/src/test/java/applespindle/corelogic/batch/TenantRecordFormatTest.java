package applespindle.corelogic.batch;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchEvent.ProxiedRoute;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.JsonFixtures;
import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The records of batches of tenants, as the first build that had tenants wrote them. */
final class TenantRecordFormatTest {
  private static final String FIXTURES = "/fixtures/json/tenant-batches.txt";

  private static BatchEvent accepted() {
    ProxiedRoute route =
        new ProxiedRoute("h0.example", "/batch-0/b5", "batch-0", 12, 3, 5000, "tenant-1");
    return BatchEvent.accepted(new Accepted("", "fields:7c", 10000, 3600000, List.of(), route));
  }

  private static BatchSubmission.Forwarded submission() {
    return new BatchSubmission.Forwarded(
        new BatchSubmission("client-5", "h0.example", "/batch-0/b5", "{}".getBytes(UTF_8)),
        "tenant-1",
        12);
  }

  @Test
  void theAcceptingEventReadsAsWritten() throws IOException {
    byte[] written = JsonFixtures.read(FIXTURES).get("accepted").getBytes(UTF_8);
    JsonFixtures.assertSame("accepted", BatchEventCodec.decode(written), accepted());
    assertThat(BatchEventCodec.encode(accepted())).isEqualTo(written);
  }

  @Test
  void theSubmissionReadsAsWritten() throws IOException {
    String hex = JsonFixtures.read(FIXTURES).get("submission");
    byte[] written = HexFormat.of().parseHex(hex);
    JsonFixtures.assertSame("submission", BatchSubmission.Forwarded.decode(written), submission());
    assertThat(submission().encode()).isEqualTo(written);
  }

  @Test
  void theNamesOfIdsAndGroupsStay() throws IOException {
    Map<String, String> written = JsonFixtures.read(FIXTURES);
    assertThat(BatchKeys.proxiedBatchId("tenant-1", "client-5")).isEqualTo(written.get("id"));
    assertThat(new String(Json.bytes(BatchCapacityGroup.of("batch-0", "tenant-1")), UTF_8))
        .isEqualTo(written.get("group"));
  }
}
