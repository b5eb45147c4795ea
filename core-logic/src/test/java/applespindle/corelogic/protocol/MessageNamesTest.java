package applespindle.corelogic.protocol;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

class MessageNamesTest {
  @Test
  void everyKindOfMessageHasItsName() {
    assertThat(MessageNames.kinds())
        .containsExactlyElementsIn(Arrays.asList(Message.class.getPermittedSubclasses()));
  }

  @Test
  void namesAreThoseThatMetricsAlwaysHad() {
    assertThat(MessageNames.of(new Message.QuorumDiscoveryRequest())).isEqualTo("WhereIsCore");
    assertThat(MessageNames.of(new Message.BatchEnded("b"))).isEqualTo("BatchEnded");
  }
}
