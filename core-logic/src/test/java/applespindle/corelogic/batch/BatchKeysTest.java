package applespindle.corelogic.batch;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import org.junit.jupiter.api.Test;

/** Ids of batches and names of capacity groups distinguish tenants, and stay as they were. */
class BatchKeysTest {
  @Test
  void withoutATenantTheIdIsThatOfEarlierVersions() {
    assertThat(BatchKeys.proxiedBatchId(null, "client-5"))
        .isEqualTo("o-" + BatchKeys.digest("client-5".getBytes(UTF_8)).substring(0, 32));
  }

  @Test
  void idsOfTwoTenantsNeverMeet() {
    assertThat(BatchKeys.proxiedBatchId("a", "b5")).isEqualTo(BatchKeys.proxiedBatchId("a", "b5"));
    assertThat(BatchKeys.proxiedBatchId("a", "b5"))
        .isNotEqualTo(BatchKeys.proxiedBatchId("b", "b5"));
    assertThat(BatchKeys.proxiedBatchId("a", "bc"))
        .isNotEqualTo(BatchKeys.proxiedBatchId("ab", "c"));
  }

  @Test
  void noClientIdReachesABatchOfATenantWithoutIts() {
    assertThat(BatchKeys.proxiedBatchId(null, "1:ab5"))
        .isNotEqualTo(BatchKeys.proxiedBatchId("a", "b5"));
  }

  @Test
  void anIdWithATenantIsThatOfAProxiedBatch() {
    assertThat(BatchKeys.isProxied(BatchKeys.keyOf(BatchKeys.proxiedBatchId("a", "b5")))).isTrue();
    assertThat(BatchKeys.isProxied(BatchKeys.keyOf(BatchKeys.batchId("a", "b5")))).isFalse();
  }

  @Test
  void aCapacityGroupIsARouteAndATenant() {
    assertThat(BatchCapacityGroup.of("notices", null)).isEqualTo("notices");
    assertThat(BatchCapacityGroup.of("notices", "a"))
        .isNotEqualTo(BatchCapacityGroup.of("notices", "b"));
    assertThat(BatchCapacityGroup.of("bnotices", "a"))
        .isNotEqualTo(BatchCapacityGroup.of("notices", "ab"));
    assertThat(BatchCapacityGroup.of(BatchCapacityGroup.of("notices", "a"), null))
        .isNotEqualTo(BatchCapacityGroup.of("notices", "a"));
  }
}
