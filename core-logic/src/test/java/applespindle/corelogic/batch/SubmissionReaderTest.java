package applespindle.corelogic.batch;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A submission is passed on as it came and becomes the accepting event at its leader. */
class SubmissionReaderTest {
  private final SubmissionReader submissionReader = new SubmissionReader(BatchFormat.OWN);

  private static ProxiedBatch batch(String body) {
    var item =
        new ProxiedBatch.Item("e1", "/p/1", List.of(new Header("A", "b")), body.getBytes(UTF_8), 7);
    return new ProxiedBatch("c1", "h.example", "/p/c1", List.of(item));
  }

  private static byte[] sent(ProxiedBatch batch, long configurationNumber) {
    return new BatchSubmission.Forwarded(BatchSubmission.of(batch), configurationNumber).encode();
  }

  @Test
  void aSubmissionIsDecodedAsItWasEncoded() {
    BatchSubmission.Forwarded sent = BatchSubmission.Forwarded.decode(sent(batch("x"), 9));

    assertThat(sent.configurationNumber()).isEqualTo(9);
    assertThat(sent.submission().id()).isEqualTo("c1");
    assertThat(sent.submission().host()).isEqualTo("h.example");
    assertThat(sent.submission().path()).isEqualTo("/p/c1");
    assertThat(sent.submission().body()).isEqualTo(Json.bytes(batch("x")));
  }

  @Test
  void aTenantIsPassedOnAndStoredWithTheBatch() {
    BatchSubmission submission = BatchSubmission.of(batch("x"));
    byte[] sent = new BatchSubmission.Forwarded(submission, "guest-desk", 9).encode();

    assertThat(BatchSubmission.Forwarded.decode(sent).tenant()).isEqualTo("guest-desk");
    assertThat(BatchSubmission.Forwarded.decode(sent).submission().id()).isEqualTo("c1");
    assertThat(BatchSubmission.Forwarded.decode(sent).submission().body())
        .isEqualTo(submission.body());
  }

  @Test
  void aSubmissionWithoutATenantIsEncodedAsBeforeThereWereTenants() {
    assertThat(sent(batch("x"), 9)[0]).isEqualTo(1);
    assertThat(BatchSubmission.Forwarded.decode(sent(batch("x"), 9)).tenant()).isNull();
  }

  @Test
  void thePreviousVersionSentTheEventItself() {
    byte[] body = Json.bytes(new Accepted("", "digest", 10, 20, List.of(), null));

    assertThat(submissionReader.read(body, null, RouteTable.EMPTY).accepted().digest())
        .isEqualTo("digest");
  }

  @Test
  void withoutAConfigurationNothingIsAccepted() {
    SubmissionReader.ReadResult taken =
        submissionReader.read(sent(batch("x"), 3), null, RouteTable.EMPTY);

    assertThat(taken.error()).isInstanceOf(ApiError.NotReady.class);
  }

  @Test
  void digestsOfOneSchemeDistinguishContents() {
    assertThat(SubmissionReader.haveDifferentContents("fields:1", "fields:1")).isFalse();
    assertThat(SubmissionReader.haveDifferentContents("fields:1", "fields:2")).isTrue();
    assertThat(SubmissionReader.haveDifferentContents("1", "2")).isTrue();
    assertThat(SubmissionReader.haveDifferentContents("1", "fields:2")).isFalse();
  }
}
