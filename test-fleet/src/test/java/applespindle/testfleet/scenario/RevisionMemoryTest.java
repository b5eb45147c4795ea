package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.ConfigurationConstants;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** What a resend is told once more changes were accepted than are remembered. */
class RevisionMemoryTest {
  private static final int FORGOTTEN = 5;
  private static final long PATIENCE_MS = 3_000;
  private final SimulatedFleet fleet =
      SimulatedFleet.withPlatform(Deployment.SMALL, 1, 1, 800, 40, 0);
  private final Simulation simulation = fleet.simulation;

  private static String content(long number, String pool) {
    return Deployment.SMALL.configuration(number).replace("\"main\"", "\"" + pool + "\"");
  }

  private Response send(long number, long buildsOn, String pool) {
    AtomicReference<Response> answer = new AtomicReference<>();
    fleet.command(
        fleet.anyControlPlaneNode(),
        PATIENCE_MS,
        Operation.SET_CONFIGURATION,
        "bundle",
        fleet.signed(content(number, pool).getBytes(UTF_8), buildsOn),
        answer::set);
    long until = simulation.simulatedNowMs() + PATIENCE_MS;
    while (answer.get() == null && simulation.simulatedNowMs() < until) {
      simulation.runUntil(simulation.simulatedNowMs() + 1);
    }
    return answer.get();
  }

  /** Numbers rise by 2. */
  private void accept(int changes) {
    for (int change = 1; change <= changes; change++) {
      Response answer = send(2L * change, 2L * (change - 1), "main");
      assertWithMessage("change " + change).that(answer.status()).isEqualTo(200);
    }
  }

  @Test
  void whatIsForgottenGetsNoClearAnswerAndWhatIsRememberedADefiniteOne() {
    simulation.processes.values().forEach(SimulatedProcess::start);
    simulation.runUntil(8_000);
    accept(ConfigurationConstants.MAX_REMEMBERED_REVISIONS + FORGOTTEN);
    long newest = 2L * (ConfigurationConstants.MAX_REMEMBERED_REVISIONS + FORGOTTEN);
    for (int crash = 0; crash < 2; crash++) {
      assertThat(send(2, 0, "main").errorType()).isEqualTo("OutcomeUnknown");
      assertThat(send(2L * FORGOTTEN, 2L * FORGOTTEN - 2, "main").status()).isEqualTo(504);
      assertWithMessage("one that lost and was forgotten")
          .that(send(4, 2, "other").status())
          .isEqualTo(504);
      assertWithMessage("the oldest that is remembered")
          .that(send(2L * FORGOTTEN + 2, 2L * FORGOTTEN, "main").status())
          .isEqualTo(200);
      assertWithMessage("one that lost")
          .that(send(2L * FORGOTTEN + 2, 2L * FORGOTTEN, "other").errorType())
          .isEqualTo("VersionConflict");
      assertThat(send(newest, newest - 2, "main").status()).isEqualTo(200);
      assertWithMessage("on top of what is in force, with an old number")
          .that(send(3, newest, "main").errorType())
          .isEqualTo("BundleConflict");
      SimulatedProcess leader = fleet.target("owner:bundle");
      leader.kill(true);
      simulation.runUntil(simulation.simulatedNowMs() + 2_000);
      leader.start();
      simulation.runUntil(simulation.simulatedNowMs() + 2_000);
    }
  }
}
