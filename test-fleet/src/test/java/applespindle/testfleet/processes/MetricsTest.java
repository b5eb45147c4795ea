package applespindle.testfleet.processes;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class MetricsTest {
  @Test
  void sumsCountersOverTheirLabelsAndPassesOverTheRest() {
    String text =
        """
        # HELP applespindle_live_cancelled_total
        # TYPE applespindle_live_cancelled_total counter
        applespindle_live_cancelled_total 3.0
        applespindle_invariant_result_changed_total{key="a"} 1.0
        applespindle_invariant_result_changed_total{key="b"} 2.0
        invariant_bare_total 1.0E3
        applespindle_leads 4.0
        """;
    assertThat(Metrics.counters(text))
        .containsExactly(
            "live_cancelled", 3.0, "invariant_result_changed", 3.0, "invariant_bare", 1000.0);
  }
}
