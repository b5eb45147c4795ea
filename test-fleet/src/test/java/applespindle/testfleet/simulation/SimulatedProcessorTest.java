package applespindle.testfleet.simulation;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.common.Json;
import applespindle.testfleet.deployment.Deployment;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SimulatedProcessorTest {
  private static final double SHARE = 0.1;

  /** What one event without any document takes at that share. */
  private static final long EVENT_US = SimulatedProcessor.EVENT_NS / 100;

  private final Simulation simulation = new Simulation(1, Map.of(), Deployment.SMALL.pace);
  private final ArrayDeque<Runnable> whileFrozen = new ArrayDeque<>();
  private boolean frozen;
  private final SimulatedProcessor processor =
      new SimulatedProcessor(simulation, this::unlessFrozen);
  private final List<String> seen = new ArrayList<>();

  private void unlessFrozen(Runnable task) {
    if (frozen) {
      whileFrozen.add(task);
    } else {
      task.run();
    }
  }

  private void see(String what) {
    seen.add(what + " " + simulation.nowUs());
  }

  /** A document that is large, of about so many bytes. */
  private static void writeDocument(int bytes) {
    Json.bytes("x".repeat(bytes - 2));
  }

  private long usedBy(Runnable event) {
    long before = processor.totalNs();
    processor.run(event);
    simulation.runUntil(simulation.simulatedNowMs() + 10_000);
    return processor.totalNs() - before;
  }

  @BeforeEach
  void beginAfterTheStart() {
    simulation.runUntil(1);
  }

  @Test
  void withoutAShareNothingTakesTime() {
    processor.run(
        () -> {
          writeDocument(100_000);
          processor.output(() -> see("output"));
          see("event");
        });
    processor.run(() -> see("next"));
    assertThat(seen).containsExactly("output 1000", "event 1000", "next 1000").inOrder();
    assertThat(processor.totalNs()).isEqualTo(0);
  }

  @Test
  void eventsRunOneAfterTheOtherAndTheirOutputLeavesWhenTheyAreDone() {
    processor.share(SHARE);
    for (String name : List.of("one", "two")) {
      processor.run(
          () -> {
            processor.output(() -> see("output of " + name));
            see(name);
          });
    }
    simulation.runUntil(100);
    assertThat(seen)
        .containsExactly(
            "one 1000",
            "output of one " + (1_000 + EVENT_US),
            "two " + (1_000 + EVENT_US),
            "output of two " + (1_000 + 2 * EVENT_US))
        .inOrder();
  }

  @Test
  void documentsAndFramesAreCharged() {
    processor.share(SHARE);
    assertThat(usedBy(() -> writeDocument(1_000)))
        .isEqualTo(SimulatedProcessor.EVENT_NS + 1_000 * SimulatedProcessor.WARM_NS_PER_BYTE);
    assertThat(usedBy(() -> Json.tree("[1,2,3]".getBytes(java.nio.charset.StandardCharsets.UTF_8))))
        .isEqualTo(SimulatedProcessor.EVENT_NS + 7 * SimulatedProcessor.WARM_NS_PER_BYTE);
    assertThat(usedBy(() -> processor.frame(5_000)))
        .isEqualTo(SimulatedProcessor.EVENT_NS + 5_000 * SimulatedProcessor.FRAME_NS_PER_BYTE);
  }

  @Test
  void largeDocumentsGetCheaperUntilTheCodeIsWarm() {
    processor.share(SHARE);
    int bytes = 100_000;
    long cold = SimulatedProcessor.EVENT_NS + bytes * SimulatedProcessor.COLD_NS_PER_BYTE;
    long warm = SimulatedProcessor.EVENT_NS + bytes * SimulatedProcessor.WARM_NS_PER_BYTE;
    List<Long> used = new ArrayList<>();
    for (int pass = 0; pass <= SimulatedProcessor.COLD_PASSES; pass++) {
      used.add(usedBy(() -> writeDocument(bytes)));
    }
    assertThat(used.get(0)).isEqualTo(cold + SimulatedProcessor.FIRST_PASS_NS);
    assertThat(used.get(SimulatedProcessor.FIRST_PASSES)).isEqualTo(cold);
    assertThat(used.get(SimulatedProcessor.COLD_PASSES)).isEqualTo(warm);
  }

  @Test
  void aNewIncarnationStartsColdAndWithoutQueuedWork() {
    processor.share(SHARE);
    long first = usedBy(() -> writeDocument(100_000));
    processor.run(() -> processor.output(() -> see("lost output")));
    processor.run(() -> see("lost event"));
    processor.restart();
    long firstAgain = usedBy(() -> writeDocument(100_000));
    assertThat(firstAgain).isEqualTo(first);
    assertThat(seen).isEmpty();
  }

  @Test
  void aFrozenProcessPutsNothingOut() {
    processor.share(SHARE);
    processor.run(() -> processor.output(() -> see("output")));
    frozen = true;
    simulation.runUntil(100);
    assertThat(seen).isEmpty();
    frozen = false;
    whileFrozen.poll().run();
    assertThat(seen).containsExactly("output 100000");
  }
}
