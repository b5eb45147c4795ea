package applespindle.corelogic.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** The made-up batch that a new process warms its code up with is a sound one. */
class SampleBatchTest {
  @Test
  void theSampleIsReadWithoutError() {
    BatchFormat.ParsedBatch read =
        BatchFormat.OWN.parse(BatchFormat.OWN.sample("id", "h.example", "/p/id", 60));

    assertThat(read.error()).isNull();
    assertThat(read.batch().items()).hasSize(60);
    assertThat(read.batch().path()).isEqualTo("/p/id");
  }
}
