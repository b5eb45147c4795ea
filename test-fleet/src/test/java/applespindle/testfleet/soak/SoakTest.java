package applespindle.testfleet.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.processes.RealTraffic.Batch;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The short form of the soak: two seeds with kills, pauses, cuts, a reset, lost answers and starved
 * edges.
 */
class SoakTest {
  private static final long LENGTH_MS = 9_000;

  @ParameterizedTest
  @ValueSource(longs = {10, 33})
  void survivesTheFaultsOfASeed(long seed, @TempDir Path folder)
      throws IOException, InterruptedException {
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    SoakPlan plan = SoakPlan.of(seed, LENGTH_MS);
    SoakRun.Outcome outcome = new SoakRun(Deployment.SMALL, folder, classPath).run(plan);
    assertWithMessage(outcome.toString()).that(outcome.violations()).isEmpty();
    assertThat(outcome.batches().stream().filter(Batch::finished).count()).isGreaterThan(0);
  }
}
