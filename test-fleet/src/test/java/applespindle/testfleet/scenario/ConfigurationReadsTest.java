package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** What a read of the configuration answers stays answered. */
class ConfigurationReadsTest {
  private static final long PATIENCE_MS = 3_000;
  private static final byte[] NOTHING = {'{', '}'};
  private final SimulatedFleet fleet =
      SimulatedFleet.withPlatform(Deployment.SMALL, 1, 1, 800, 40, 0);
  private final Simulation simulation = fleet.simulation;

  private AtomicReference<Response> send(SimulatedProcess core, long number, long buildsOn) {
    AtomicReference<Response> answer = new AtomicReference<>();
    byte[] bytes = Deployment.SMALL.configuration(number).getBytes(UTF_8);
    fleet.command(
        core,
        PATIENCE_MS,
        Operation.SET_CONFIGURATION,
        "bundle",
        fleet.signed(bytes, buildsOn),
        answer::set);
    return answer;
  }

  private AtomicReference<Response> read(SimulatedProcess core) {
    AtomicReference<Response> answer = new AtomicReference<>();
    fleet.command(core, PATIENCE_MS, Operation.READ_KEY, "bundle", NOTHING, answer::set);
    return answer;
  }

  private static long number(AtomicReference<Response> answer) {
    Response response = answer.get();
    return response != null && response.isSuccess() ? response.body().path("number").asLong() : 0;
  }

  private void run(double millis) {
    simulation.runUntil(simulation.simulatedNowMs() + (long) millis);
  }

  /** Sends until it is acknowledged or another is in force; that one's number. */
  private long settle(long number, long buildsOn) {
    for (int tries = 0; tries < 10; tries++) {
      AtomicReference<Response> answer = send(fleet.anyControlPlaneNode(), number, buildsOn);
      run(PATIENCE_MS);
      if (answer.get() != null && answer.get().isSuccess()) {
        return number;
      }
    }
    throw new AssertionError(number + " was never acknowledged");
  }

  /**
   * An order is appended while a read is being confirmed, and its leader is cut off before the
   * append arrives anywhere: the read must not have answered it, as the next leader never hears of
   * it.
   */
  @Test
  void aReadNeverAnswersWhatMayYetVanish() {
    simulation.processes.values().forEach(SimulatedProcess::start);
    run(8_000);
    long inForce = settle(1, 0);
    int cutBeforeCommit = 0;
    for (int step = 0; step < 40; step++) {
      double orderAfterMs = 1.2 + 0.1 * (step % 8);
      double cutAfterMs = orderAfterMs + 1.0 + 0.2 * Math.floorDiv(step, 8);
      SimulatedProcess leader = fleet.target("owner:bundle");
      long sent = inForce + 2;
      AtomicReference<Response> early = read(leader);
      AtomicReference<Response> order = new AtomicReference<>();
      long base = inForce;
      byte[] bytes = Deployment.SMALL.configuration(sent).getBytes(UTF_8);
      simulation.afterMs(
          orderAfterMs,
          () ->
              fleet.command(
                  leader,
                  PATIENCE_MS,
                  Operation.SET_CONFIGURATION,
                  "bundle",
                  fleet.signed(bytes, base),
                  order::set));
      simulation.afterMs(cutAfterMs, () -> simulation.isolate(leader.name));
      run(6_000);
      SimulatedProcess other =
          simulation.processes.values().stream()
              .filter(process -> process.role.equals("core") && process != leader)
              .findFirst()
              .get();
      AtomicReference<Response> late = read(other);
      run(PATIENCE_MS);
      assertThat(number(late)).isGreaterThan(0);
      assertWithMessage("order after " + orderAfterMs + " ms, cut after " + cutAfterMs + " ms")
          .that(number(late))
          .isAtLeast(number(early));
      cutBeforeCommit += number(late) == inForce ? 1 : 0;
      simulation.healLinks();
      run(4_000);
      inForce = settle(number(late) + 4, number(late));
    }
    assertThat(cutBeforeCommit).isAtLeast(5);
  }
}
