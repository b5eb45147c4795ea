package applespindle.corelogic.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** The sample batch that warms up the code of a new process is valid. */
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
