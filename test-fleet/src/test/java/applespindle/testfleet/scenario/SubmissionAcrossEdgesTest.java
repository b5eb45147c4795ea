package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchReference;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.ItemBody;
import applespindle.corelogic.batch.ProxiedBatch;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.memory.MemoryHolder;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Batches that are handed in at a small edge and led by a larger one, while something goes on. */
class SubmissionAcrossEdgesTest {
  private static final int LARGE_EDGES = 6;
  private static final int LARGE_BODY_BYTES = 430_000;
  private static final int BURST_BATCHES = 20;
  private static final long BURST_BODY_BYTES = 2_800_000;
  private static final long BURST_INTERVAL_MS = 300;

  /** A quarter of the heap of an edge by deploy/system.toml, as for the bodies of requests. */
  private static final long MAX_LED_BYTES = 32 << 20;

  private static final long GRACE_MS = 8_000;
  private static final long SETTLED_MS = 6_000;

  /** The headers of all batches of a burst, and events that are too small to have one. */
  private static final long MAX_HEADER_BYTES = 100_000;

  private final Simulation simulation = new Simulation(1, Map.of(), Deployment.AUTHORITY.pace);

  SubmissionAcrossEdgesTest() {
    simulation.workerList = (reader, token, whenRead, whenFaulty) -> {};
    List<String> seeds = List.of("core-0", "core-1", "core-2");
    List<SimulatedProcess> others = new ArrayList<>();
    for (int index = 0; index < 3; index++) {
      others.add(simulation.add("core-" + index, "zone-" + index, "core", seeds, true));
      others.add(simulation.add("storage-" + index, "zone-" + index, "storage", seeds, true));
    }
    for (int index = 0; index < LARGE_EDGES; index++) {
      others.add(simulation.add("large-" + index, "zone-" + index % 3, "edge", seeds, false));
    }
    SimulatedProcess small = simulation.add("small", "zone-0", "edge", seeds, false);
    others.forEach(process -> simulation.atMs(10, () -> startWith(process, 1.0)));
    simulation.atMs(20, () -> startWith(small, 0.1));
    simulation.runUntil(SETTLED_MS);
    configure(1);
  }

  private void startWith(SimulatedProcess process, double cores) {
    simulation.settings =
        new NodeSettings(
                1, true, true, false, 0, 0, 3_000, 3_000, GRACE_MS, 2_000, 120_000, 0.1, 64 << 20,
                1_000)
            .withProcessorCores(cores);
    process.start();
  }

  private SimulatedProcess process(String name) {
    return simulation.processes.get(name);
  }

  private void configure(long number) {
    String routes =
        """
        , "routes": [{"name": "b", "host": "h.example", "pathPrefix": "/b/", "type": "BATCH",
          "timeoutMs": 2000, "targetMs": 500, "gapTargetMs": 0, "attempts": 3, "rank": 5,
          "sticky": false, "resumable": false, "split": [{"pool": "main", "weight": 1}],
          "completionTargetMs": 20000, "retentionMs": 60000, "waitingTokensMost": 0}]}
        """;
    String rules = Deployment.AUTHORITY.configuration(number).strip();
    String content = rules.substring(0, rules.length() - 1) + routes;
    SimulatedResponse answer = new SimulatedResponse();
    simulation.call(
        process("core-0"),
        (Consumer<Response> then) ->
            ((ControlPlaneNode) process("core-0").node())
                .command(
                    Operation.SET_CONFIGURATION,
                    "bundle",
                    new SignedConfiguration(0, content.getBytes(UTF_8), null, null, number - 1),
                    then),
        answer);
    simulation.runUntil(simulation.simulatedNowMs() + 3_000);
    assertWithMessage("" + answer.response).that(answer.response.status()).isEqualTo(200);
  }

  private SimulatedResponse submit(String edge, String id, int bodyBytes) {
    byte[] body = new byte[bodyBytes];
    new Random(7).nextBytes(body);
    ProxiedBatch batch =
        new ProxiedBatch(
            id,
            "h.example",
            "/b/" + id,
            List.of(new ProxiedBatch.Item(id + "-1", "/b/1", List.of(), body, 10)));
    SimulatedResponse answer = new SimulatedResponse();
    simulation.call(
        process(edge),
        (Consumer<Response> then) ->
            ((EdgeNode) process(edge).node())
                .submitProxiedBatch(BatchSubmission.of(batch), "", then),
        answer);
    return answer;
  }

  @Test
  void aBatchSubmittedAtASmallEdgeIsAccepted() {
    SimulatedResponse answer = submit("small", "c1", 1_000);
    simulation.runUntil(simulation.simulatedNowMs() + 1_000);

    assertThat(answer.response.status()).isEqualTo(201);
  }

  /** Nothing but a polite stop goes on, and the edge has its whole grace left. */
  @Test
  void aStoppingEdgeAnswersABatchThatItPassedOn() {
    process("small").link.megabits(21);
    for (int index = 0; index < LARGE_EDGES; index++) {
      process("large-" + index).link.megabits(70);
    }
    process("small").stopGracefully(GRACE_MS, () -> {});
    simulation.runUntil(simulation.simulatedNowMs() + 2_290);
    SimulatedResponse answer = submit("small", "c1", LARGE_BODY_BYTES);
    simulation.runUntil(simulation.simulatedNowMs() + GRACE_MS);

    assertWithMessage("the connection ended without an answer").that(answer.broken).isFalse();
    assertThat(answer.response).isNotNull();
  }

  /** The core, the replicas and the small edge hear each other all the time. */
  @Test
  void anEdgeCutOffFromAllPreferredLeadersLeadsABatchItself() {
    for (int index = 0; index < LARGE_EDGES; index++) {
      simulation.cutLink("small", "large-" + index);
    }
    SimulatedResponse answer = submit("small", "c1", 1_000);
    simulation.runUntil(simulation.simulatedNowMs() + 8_000);

    assertWithMessage("" + answer.response).that(answer.response.status()).isEqualTo(201);
  }

  /** What a leader said of its work counts no longer once it is silent. */
  @Test
  void aBatchWhoseLeaderDiesWhileRunningIsLedByAnother() {
    List<SimulatedProcess> core = List.of(process("core-0"), process("core-1"));
    core.forEach(SimulatedProcess::freeze);
    SimulatedResponse answer = submit("small", "c1", 100_000);
    simulation.runUntil(simulation.simulatedNowMs() + 1_000);
    for (int index = 0; index < LARGE_EDGES; index++) {
      if (bodiesReceived("large-" + index) > 0) {
        process("large-" + index).kill(true);
      }
    }
    core.forEach(SimulatedProcess::wake);
    simulation.runUntil(simulation.simulatedNowMs() + 7_000);

    assertWithMessage("" + answer.response).that(answer.response.status()).isEqualTo(201);
  }

  /**
   * Guards against an edge that ends for want of memory: it held the logs and items of all batches
   * that it leads, and took further ones however many these were.
   */
  @Test
  void aLeaderHoldsNoMoreOfItsBatchesThanItHasRoomFor() {
    killAllLargeEdgesButTheFirst(1);
    List<SimulatedResponse> answers = submitBurst("large-0");
    simulation.runUntil(simulation.simulatedNowMs() + GRACE_MS);

    answers.forEach(answer -> assertThat(answer.response).isNotNull());
    assertWithMessage("accepted batches").that(accepted(answers)).isEqualTo(BURST_BATCHES);
    assertThat(process("large-0").node().status().path("leads").size()).isEqualTo(BURST_BATCHES);
    assertHeldBytes("large-0");
    assertAllIsGivenBack("large-0");
  }

  /**
   * Guards against edges that end one after the other as they take over the batches of the last.
   */
  @Test
  void anEdgeThatTakesOverAllBatchesHoldsNoMoreOfThemThanItHasRoomFor() {
    killAllLargeEdgesButTheFirst(2);
    List<SimulatedResponse> answers = submitBurst("large-0");
    simulation.runUntil(simulation.simulatedNowMs() + GRACE_MS);
    assertThat(accepted(answers)).isEqualTo(BURST_BATCHES);
    process("small").kill(true);
    process("large-0").kill(true);
    long until = simulation.simulatedNowMs() + 2 * GRACE_MS;
    while (simulation.simulatedNowMs() < until) {
      simulation.runUntil(simulation.simulatedNowMs() + BURST_INTERVAL_MS);
      assertHeldBytes("large-1");
    }

    assertThat(process("large-1").node().status().path("leads").size()).isEqualTo(BURST_BATCHES);
    assertAllIsGivenBack("large-1");
  }

  /** Guards against an edge that ends as another one that stops hands all its batches over. */
  @Test
  void anEdgeThatAllBatchesAreTransferredToHoldsNoMoreOfThemThanItHasRoomFor() {
    killAllLargeEdgesButTheFirst(2);
    process("small").kill(true);
    List<SimulatedResponse> answers = submitBurst("large-0");
    simulation.runUntil(simulation.simulatedNowMs() + GRACE_MS);
    assertThat(accepted(answers)).isEqualTo(BURST_BATCHES);
    process("large-0").stopGracefully(GRACE_MS, () -> {});
    long until = simulation.simulatedNowMs() + 2 * GRACE_MS;
    while (simulation.simulatedNowMs() < until) {
      simulation.runUntil(simulation.simulatedNowMs() + BURST_INTERVAL_MS);
      assertHeldBytes("large-1");
    }

    assertThat(process("large-1").node().status().path("leads").size()).isEqualTo(BURST_BATCHES);
    assertAllIsGivenBack("large-1");
  }

  /** The leader says where a large body is, and the edge of the client reads it from a replica. */
  @Test
  void aLargeBodyIsReadAtAnEdgeThatDoesNotLeadItsBatch() {
    SimulatedResponse answer = submit("large-0", "c1", (int) BURST_BODY_BYTES);
    simulation.runUntil(simulation.simulatedNowMs() + GRACE_MS);
    assertThat(answer.response.status()).isEqualTo(201);
    SimulatedResponse item = new SimulatedResponse();
    BatchReference batch = new BatchReference("c1", "h.example", "");
    simulation.call(
        process("small"),
        (Consumer<Response> then) ->
            ((EdgeNode) process("small").node()).readProxiedItem(batch, "c1-1", then),
        item);
    simulation.runUntil(simulation.simulatedNowMs() + GRACE_MS);

    assertWithMessage("" + item.response.status()).that(item.response.status()).isEqualTo(200);
    byte[] expected = new byte[(int) BURST_BODY_BYTES];
    new Random(7).nextBytes(expected);
    assertThat(ItemBody.of(item.response).copy()).isEqualTo(expected);
    assertThat(process("small").node().status().path("sectionBytesRead").asLong())
        .isAtLeast(BURST_BODY_BYTES);
  }

  private void killAllLargeEdgesButTheFirst(int living) {
    for (int index = living; index < LARGE_EDGES; index++) {
      process("large-" + index).kill(true);
    }
    simulation.runUntil(simulation.simulatedNowMs() + SETTLED_MS);
  }

  private List<SimulatedResponse> submitBurst(String edge) {
    List<SimulatedResponse> answers = new ArrayList<>();
    for (int number = 0; number < BURST_BATCHES; number++) {
      answers.add(submit(edge, "burst-" + number, (int) BURST_BODY_BYTES));
      simulation.runUntil(simulation.simulatedNowMs() + BURST_INTERVAL_MS);
      assertHeldBytes(edge);
    }
    return answers;
  }

  private static long accepted(List<SimulatedResponse> answers) {
    return answers.stream()
        .filter(answer -> answer.response != null && answer.response.status() == 201)
        .count();
  }

  /** The logs are counted entry by entry, so that they show what the edge's own account misses. */
  private void assertHeldBytes(String edge) {
    JsonNode status = process(edge).node().status();
    long heldBytes =
        status.path("ledLogBytes").asLong()
            + status.path("submissionBytes").asLong()
            + status.path("heldItemBytes").asLong();
    assertWithMessage("bytes of batches at " + edge).that(heldBytes).isAtMost(MAX_LED_BYTES);
    assertAccountAgrees(edge, status.path("ledLogBytes").asLong());
  }

  /** Guards against an account of memory that misses what is really held. */
  private void assertAccountAgrees(String edge, long ledLogBytes) {
    MemoryAccount memory = process(edge).memory();
    long accountedBytes =
        memory.open(MemoryHolder.UNCOMMITTED_EVENTS).heldBytes()
            + memory.open(MemoryHolder.LED_EVENTS).heldBytes();
    assertWithMessage("bytes of logs at " + edge + " that the account misses")
        .that(ledLogBytes - accountedBytes)
        .isAtMost(MAX_HEADER_BYTES);
    assertThat(memory.heldBytes()).isAtMost(memory.limitBytes());
  }

  private void assertAllIsGivenBack(String edge) {
    MemoryAccount memory = process(edge).memory();
    for (MemoryHolder holder : List.of(MemoryHolder.SUBMISSIONS, MemoryHolder.UNCOMMITTED_EVENTS)) {
      assertWithMessage(holder + " at " + edge).that(memory.open(holder).heldBytes()).isEqualTo(0);
    }
  }

  private long bodiesReceived(String edge) {
    return process(edge).receivedBytes().entrySet().stream()
            .filter(each -> each.getKey().startsWith("Ask"))
            .mapToLong(Map.Entry::getValue)
            .sum()
        / 100_000;
  }

  /** The first leader lives and works on the batch; only the core is slow to answer. */
  @Test
  void aBodyCrossesToOneLeaderWhileThatOneLives() {
    List<SimulatedProcess> core = List.of(process("core-0"), process("core-1"));
    core.forEach(SimulatedProcess::freeze);
    SimulatedResponse answer = submit("small", "c1", 100_000);
    simulation.afterMs(3_000, () -> core.forEach(SimulatedProcess::wake));
    simulation.runUntil(simulation.simulatedNowMs() + 9_000);
    long bodiesReceived = 0;
    for (int index = 0; index < LARGE_EDGES; index++) {
      bodiesReceived += bodiesReceived("large-" + index);
    }

    assertWithMessage("" + answer.response).that(answer.response.status()).isEqualTo(201);
    assertThat(bodiesReceived).isEqualTo(1);
  }
}
