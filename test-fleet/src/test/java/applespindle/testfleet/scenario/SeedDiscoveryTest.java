package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.Environment.ListedWorker;
import applespindle.corelogic.environment.Environment.WorkerListPage;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.protocol.Operation;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.SimulatedWorkers;
import applespindle.testfleet.simulation.Simulation;
import applespindle.testfleet.simulation.Simulation.Caller;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** A fleet whose processes are told three seeds and their bounds, and nothing of the others. */
class SeedDiscoveryTest {
  private static final int CALLS_PER_S = 40;
  private final Simulation simulation = new Simulation(1, Map.of(), Deployment.AUTHORITY.pace);
  private final List<ListedWorker> listed = new ArrayList<>();
  private int pageSize = 50;
  private int calls;
  private boolean listDown;
  private final List<Integer> missingPages = new ArrayList<>();

  SeedDiscoveryTest() {
    simulation.workerList =
        (reader, token, whenRead, whenFaulty) -> {
          calls++;
          int from = token.isEmpty() ? 0 : Integer.parseInt(token);
          boolean faulty = listDown || missingPages.contains(from);
          int to = Math.min(listed.size(), from + pageSize);
          WorkerListPage page =
              new WorkerListPage(
                  List.copyOf(listed.subList(from, to)),
                  to < listed.size() ? Integer.toString(to) : "");
          simulation.afterMs(
              5,
              () -> {
                if (faulty) {
                  whenFaulty.accept(new ApiError.Overloaded("list"));
                } else {
                  whenRead.accept(page);
                }
              });
        };
  }

  private static NodeSettings bounds(int losses) {
    return new NodeSettings(
        losses,
        true,
        true,
        false,
        CALLS_PER_S,
        800,
        3_000,
        3_000,
        8_000,
        2_000,
        120_000,
        0.1,
        64 << 20,
        1_000);
  }

  /**
   * Voters and others in three zones, edges and storage beside them; started within the given time.
   */
  private void start(
      int losses,
      int voters,
      int others,
      int edges,
      int storage,
      long spreadMs,
      List<String> seeds) {
    simulation.settings = bounds(losses);
    List<SimulatedProcess> all = new ArrayList<>();
    for (int index = 0; index < voters; index++) {
      all.add(simulation.add("core-" + index, "zone-" + index % 3, "core", seeds, true));
    }
    for (int index = 0; index < others; index++) {
      all.add(simulation.add("door-" + index, "zone-" + index % 3, "core", seeds, false));
    }
    for (int index = 0; index < storage; index++) {
      all.add(simulation.add("storage-" + index, "zone-" + index % 3, "storage", seeds, true));
    }
    for (int index = 0; index < edges; index++) {
      all.add(simulation.add("edge-" + index, "zone-" + index % 3, "edge", seeds, false));
    }
    all.forEach(process -> simulation.atMs(simulation.random.nextLong(spreadMs), process::start));
  }

  private ControlPlaneNode core(String name) {
    return (ControlPlaneNode) simulation.processes.get(name).node();
  }

  private JsonNode roster(String name) {
    return core(name).status().path("roster");
  }

  private Set<String> rosterNames(String name) {
    Set<String> names = new TreeSet<>();
    roster(name).path("members").forEach(member -> names.add(member.path("name").asText()));
    return names;
  }

  private Response[] send(String core, long buildsOn, String content) {
    Response[] answer = new Response[1];
    simulation.call(
        simulation.processes.get(core),
        (Consumer<Response> then) ->
            core(core)
                .command(
                    Operation.SET_CONFIGURATION,
                    "bundle",
                    new SignedConfiguration(0, content.getBytes(UTF_8), null, null, buildsOn),
                    then),
        new Caller<>() {
          @Override
          public void answered(Response response) {
            answer[0] = response;
          }

          @Override
          public void broken(boolean neverReached) {}
        });
    return answer;
  }

  private Response sendAndWait(String core, long buildsOn, String content) {
    Response[] answer = send(core, buildsOn, content);
    simulation.runUntil(simulation.simulatedNowMs() + 3_000);
    return answer[0];
  }

  private static String bundle(long number) {
    return bundle(number, "main");
  }

  private static String bundle(long number, String pool) {
    return Deployment.AUTHORITY.configuration(number).replace("\"main\"", "\"" + pool + "\"");
  }

  // ---- founding

  @Test
  void votersOfAllZonesBootstrapTheControlPlaneAndEveryNodeFindsIt() {
    start(1, 3, 6, 9, 3, 1_500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(5_000);
    assertThat(rosterNames("core-0")).containsExactly("core-0", "core-1", "core-2");
    simulation
        .processes
        .values()
        .forEach(
            process ->
                assertWithMessage(process.name)
                    .that(process.node().status().at("/roster/number").asLong())
                    .isAtLeast(1));
  }

  @Test
  void twoLossesAreBorneByFiveMembersOverAllZones() {
    start(2, 9, 3, 9, 6, 1_500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(5_000);
    assertThat(rosterNames("core-8")).hasSize(5);
    Set<String> zones = new TreeSet<>();
    roster("core-8").path("members").forEach(member -> zones.add(member.path("zone").asText()));
    assertThat(zones).hasSize(3);
  }

  @Test
  void seedsWithoutDisksCoordinateAndAreNoMembers() {
    start(1, 3, 6, 3, 3, 1_500, List.of("door-0", "door-1", "door-2"));
    simulation.runUntil(5_000);
    assertThat(rosterNames("door-5")).containsExactly("core-0", "core-1", "core-2");
  }

  @Test
  void aSlowVoterIsWaitedFor() {
    start(1, 2, 1, 3, 3, 500, List.of("core-0", "core-1", "core-2"));
    SimulatedProcess late =
        simulation.add("core-2", "zone-2", "core", List.of("core-0", "core-1", "core-2"), true);
    simulation.atMs(6_000, late::start);
    simulation.runUntil(5_500);
    assertThat(roster("core-0").path("number").asLong()).isEqualTo(0);
    simulation.runUntil(9_000);
    assertThat(rosterNames("core-1")).containsExactly("core-0", "core-1", "core-2");
  }

  @Test
  void aMemberThatDiesBeforeItAcceptsIsNotDoneWithout() {
    start(1, 4, 0, 0, 0, 300, List.of("core-0", "core-1", "core-2"));
    simulation.atMs(1_200, () -> simulation.processes.get("core-1").kill(true));
    simulation.atMs(4_000, () -> simulation.processes.get("core-1").start());
    simulation.runUntil(8_000);
    Set<String> first = rosterNames("core-0");
    assertThat(first).hasSize(3);
    List.of("core-1", "core-2", "core-3")
        .forEach(name -> assertThat(rosterNames(name)).isEqualTo(first));
  }

  @Test
  void afterAPowerLossOfAllTheControlPlaneRecoversAndSeedsWithoutDisksFindIt() {
    start(1, 3, 3, 3, 3, 500, List.of("door-0", "door-1", "door-2"));
    simulation.runUntil(6_000);
    simulation.processes.values().forEach(process -> process.kill(true));
    simulation
        .processes
        .values()
        .forEach(process -> simulation.afterMs(simulation.random.nextInt(1_000), process::start));
    simulation.runUntil(12_000);
    simulation
        .processes
        .values()
        .forEach(
            process ->
                assertWithMessage(process.name)
                    .that(process.node().status().at("/roster/number").asLong())
                    .isAtLeast(1));
  }

  // ---- how fast a node is back

  private long readyWithin(String process, long mostMs) {
    long from = simulation.simulatedNowMs();
    while (!simulation.processes.get(process).node().notReadyReason().isEmpty()) {
      assertWithMessage(process + ": " + simulation.processes.get(process).node().notReadyReason())
          .that(simulation.simulatedNowMs() - from)
          .isAtMost(mostMs);
      simulation.runUntil(simulation.simulatedNowMs() + 1);
    }
    return simulation.simulatedNowMs() - from;
  }

  @Test
  void anEdgeThatStartsAgainIsReadyAtOnce() {
    start(1, 3, 3, 9, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(6_000);
    sendAndWait("core-0", 0, bundle(1));
    SimulatedProcess edge = simulation.processes.get("edge-4");
    edge.kill(false);
    simulation.runUntil(simulation.simulatedNowMs() + 700);
    edge.start();
    readyWithin("edge-4", 30);
    assertThat(edge.node().status().path("bundle").asLong()).isEqualTo(1);
  }

  private static final class Heard implements ProxiedResponseListener {
    private Response refused;

    @Override
    public void head(ProxiedRequest.ResponseHead head) {}

    @Override
    public void chunk(ProxiedRequest.ResponseChunk chunk) {}

    @Override
    public void end() {}

    @Override
    public void rejected(Response response) {
      refused = response;
    }

    @Override
    public void truncated(ApiError error) {}
  }

  private Heard passAtStart(SimulatedProcess edge) {
    edge.kill(false);
    simulation.runUntil(simulation.simulatedNowMs() + 700);
    edge.start();
    Heard heard = new Heard();
    ((EdgeNode) edge.node())
        .proxy(
            new ProxiedRequest(
                "r",
                "POST",
                "/none/1",
                "none.example",
                List.of(),
                new byte[0],
                2_000,
                "m",
                1,
                1,
                List.of(),
                ""),
            heard);
    assertThat(heard.refused).isNull();
    return heard;
  }

  @Test
  void aRequestToAStartingEdgeWaitsForItsFirstUpdate() {
    start(1, 3, 3, 9, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(6_000);
    sendAndWait("core-0", 0, bundle(1));
    Heard heard = passAtStart(simulation.processes.get("edge-4"));
    readyWithin("edge-4", 30);
    assertWithMessage("only the bundle tells that no route fits")
        .that(heard.refused.errorType())
        .isEqualTo("NoMatchingRule");
  }

  @Test
  void withoutTheControlPlaneItIsRejectedAfterTheTimeout() {
    start(1, 3, 3, 9, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(6_000);
    sendAndWait("core-0", 0, bundle(1));
    simulation.processes.values().stream()
        .filter(process -> process.role.equals("core"))
        .forEach(process -> process.kill(false));
    Heard heard = passAtStart(simulation.processes.get("edge-4"));
    simulation.runUntil(simulation.simulatedNowMs() + 550);
    assertThat(heard.refused.status()).isEqualTo(503);
    assertThat(heard.refused.retryAfterMs()).isIn(Range.closed(1L, 500L));
  }

  private void allAreBack(boolean powerLoss) {
    start(1, 3, 3, 9, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(6_000);
    Response[] answer = send("core-0", 0, bundle(1));
    while (answer[0] == null) {
      simulation.runUntil(simulation.simulatedNowMs() + 1);
    }
    assertThat(answer[0].status()).isEqualTo(200);
    simulation.processes.values().forEach(process -> process.kill(powerLoss));
    simulation.runUntil(simulation.simulatedNowMs() + 700);
    simulation.processes.values().stream()
        .filter(process -> !process.role.equals("core"))
        .forEach(SimulatedProcess::start);
    simulation.runUntil(simulation.simulatedNowMs() + 300);
    simulation.processes.values().stream()
        .filter(process -> process.role.equals("core"))
        .forEach(SimulatedProcess::start);
    for (int index = 0; index < 9; index++) {
      readyWithin("edge-" + index, 250);
      assertThat(simulation.processes.get("edge-" + index).node().status().path("bundle").asLong())
          .isEqualTo(1);
    }
  }

  @Test
  void afterAKillOfAllProcessesEdgesAreReadySoonAfterTheControlPlane() {
    allAreBack(false);
  }

  @Test
  void afterAPowerLossOfAllEdgesAreReadySoonAfterTheControlPlane() {
    allAreBack(true);
  }

  // ---- bundles

  @Test
  void aChangeBuildsOnTheNumberInForce() {
    start(1, 3, 6, 9, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(6_000);
    assertThat(sendAndWait("door-4", 0, bundle(3)).status()).isEqualTo(200);
    assertThat(sendAndWait("core-1", 3, bundle(7)).status()).isEqualTo(200);
    assertThat(sendAndWait("core-2", 3, bundle(9)).errorType()).isEqualTo("VersionConflict");
    assertThat(sendAndWait("core-2", 7, bundle(7, "other")).errorType())
        .isEqualTo("BundleConflict");
    assertThat(sendAndWait("core-2", 7, "{\"number\": 8").errorType()).isEqualTo("InvalidBundle");
    assertWithMessage("taken earlier, another in force now")
        .that(sendAndWait("door-0", 0, bundle(3)).status())
        .isEqualTo(200);
    assertThat(core("core-0").status().path("bundle").asLong()).isEqualTo(7);
  }

  @Test
  void ofTwoChangesAtOnceOnOneBaseOneWins() {
    start(1, 3, 6, 9, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(6_000);
    Response[] one = send("door-0", 0, bundle(1));
    Response[] other = send("core-2", 0, bundle(2));
    simulation.runUntil(9_000);
    assertThat(List.of(one[0].status(), other[0].status())).containsExactly(200, 409);
  }

  @Test
  void acknowledgementsDoNotWaitForEdgesThatAreDownFrozenOrCutOff() {
    start(1, 3, 6, 9, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(6_000);
    for (int index = 0; index < 7; index++) {
      SimulatedProcess edge = simulation.processes.get("edge-" + index);
      if (index < 3) {
        edge.kill(false);
      } else if (index < 5) {
        edge.freeze();
      } else {
        simulation.isolate(edge.name);
      }
    }
    simulation.runUntil(9_000);
    Response[] answer = send("core-1", 0, bundle(1));
    simulation.runUntil(10_500);
    assertThat(answer[0]).isNotNull();
    assertThat(answer[0].status()).isEqualTo(200);
    assertThat(simulation.processes.get("edge-8").node().status().path("bundle").asLong())
        .isEqualTo(1);
  }

  @Test
  void aControlPlaneWithoutAMajorityAcknowledgesNothing() {
    start(1, 3, 0, 3, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(6_000);
    simulation.isolate("core-0");
    Response[] answer = send("core-0", 0, bundle(1));
    simulation.runUntil(16_000);
    assertThat(answer[0].isSuccess()).isFalse();
  }

  // ---- the outside list of workers

  private static ListedWorker worker(int number, boolean leaving) {
    return new ListedWorker(
        "i-" + number,
        SimulatedWorkers.address("i-" + number),
        "main",
        "zone-" + number % 3,
        24,
        leaving,
        0);
  }

  private List<String> workersAt(String process) {
    List<String> rows = new ArrayList<>();
    simulation
        .processes
        .get(process)
        .node()
        .status()
        .path("workers")
        .forEach(row -> rows.add(row.path("id").asText() + " " + row.path("state").asText()));
    return rows;
  }

  private void listOf(int workers) {
    for (int number = 1; number <= workers; number++) {
      simulation.workers.add("i-" + number);
      listed.add(worker(number, false));
    }
  }

  @Test
  void theWorkerListIsFollowedBeforeAnyConfiguration() {
    listOf(8);
    start(1, 3, 3, 3, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(5_000);
    assertThat(workersAt("edge-0")).hasSize(8);
    listed.set(0, worker(1, true));
    listed.remove(7);
    simulation.runUntil(6_200);
    assertThat(workersAt("edge-1")).hasSize(7);
    assertThat(workersAt("edge-1")).contains("i-1 leaving");
    listed.set(0, worker(1, false));
    simulation.runUntil(8_000);
    assertWithMessage("a leaving one does not come back")
        .that(workersAt("edge-1"))
        .contains("i-1 leaving");
  }

  @Test
  void fewCallsAreSentWithoutFaults() {
    listOf(8);
    start(1, 3, 3, 3, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(10_000);
    calls = 0;
    simulation.runUntil(20_000);
    assertThat(calls).isAtMost(15);
  }

  @Test
  void anIncompleteReadChangesNothing() {
    pageSize = 3;
    listOf(8);
    start(1, 3, 3, 3, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(5_000);
    assertThat(workersAt("edge-0")).hasSize(8);
    missingPages.add(6);
    listed.remove(0);
    simulation.runUntil(8_000);
    assertThat(workersAt("edge-0")).hasSize(8);
    missingPages.clear();
    simulation.runUntil(10_000);
    assertThat(workersAt("edge-0")).hasSize(7);
  }

  @Test
  void anEmptyListIsBelievedOnlyTwice() {
    listOf(8);
    start(1, 3, 3, 3, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(6_000);
    List<ListedWorker> before = List.copyOf(listed);
    listed.clear();
    int callsBefore = calls;
    while (calls == callsBefore) {
      simulation.runUntil(simulation.simulatedNowMs() + 1);
    }
    listed.addAll(before);
    simulation.runUntil(simulation.simulatedNowMs() + 200);
    assertThat(workersAt("edge-0")).hasSize(8);
    listed.clear();
    simulation.runUntil(simulation.simulatedNowMs() + 2_000);
    assertThat(workersAt("edge-0")).isEmpty();
  }

  private String owner() {
    return simulation.processes.values().stream()
        .filter(process -> process.role.equals("core") && process.alive())
        .filter(process -> process.node().status().path("owned").has("workers"))
        .findFirst()
        .get()
        .name;
  }

  @Test
  void edgesLearnOfALeavingWorkerInTimeWhateverFailsAtTheSynchronizer() {
    listOf(8);
    start(1, 3, 3, 3, 3, 500, List.of("core-0", "core-1", "core-2"));
    simulation.runUntil(6_000);
    leaves(1, () -> simulation.processes.get(owner()).kill(false));
    simulation.processes.values().stream()
        .filter(process -> !process.alive())
        .forEach(SimulatedProcess::start);
    simulation.runUntil(simulation.simulatedNowMs() + 3_000);
    leaves(2, () -> simulation.processes.get(owner()).freeze());
    simulation.processes.values().forEach(SimulatedProcess::wake);
    simulation.runUntil(simulation.simulatedNowMs() + 3_000);
    leaves(3, () -> simulation.isolate(owner()));
    simulation.healLinks();
    simulation.runUntil(simulation.simulatedNowMs() + 3_000);
    String cutOff = owner();
    Simulation.WorkerListSource list = simulation.workerList;
    simulation.workerList =
        (reader, token, whenRead, whenFaulty) -> {
          if (!reader.name.equals(cutOff)) {
            list.read(reader, token, whenRead, whenFaulty);
          }
        };
    leaves(4, () -> {});
    assertThat(owner()).isNotEqualTo(cutOff);
  }

  /**
   * The list shows a worker as leaving just when something happens; every edge has it before the
   * time is over.
   */
  private void leaves(int number, Runnable trouble) {
    trouble.run();
    listed.set(number - 1, worker(number, true));
    simulation.runUntil(simulation.simulatedNowMs() + 2_800);
    for (int edge = 0; edge < 3; edge++) {
      assertWithMessage("worker " + number + " at edge " + edge)
          .that(workersAt("edge-" + edge))
          .contains("i-" + number + " leaving");
    }
  }

  // ---- machines that lose their disks, are replaced, are emptied

  private static final List<String> SEEDS = List.of("core-0", "core-1", "core-2");

  private void loseDisk(String name, long downMs) {
    SimulatedProcess process = simulation.processes.get(name);
    process.kill(true);
    process.loseDisk();
    simulation.afterMs(downMs, process::start);
  }

  private void run(long millis) {
    simulation.runUntil(simulation.simulatedNowMs() + millis);
  }

  private String idOf(String name) {
    return simulation.processes.get(name).node().identity().id();
  }

  private JsonNode core() {
    return simulation.processes.values().stream()
        .filter(process -> process.role.equals("core") && process.alive())
        .filter(process -> process.node().notReadyReason().isEmpty())
        .findFirst()
        .get()
        .node()
        .status();
  }

  private void assertShardsAt(String... names) {
    Set<String> wanted = new TreeSet<>();
    List.of(names).forEach(name -> wanted.add(idOf(name)));
    JsonNode shards = core().path("shards");
    assertThat(shards).hasSize(16);
    shards.forEach(
        shard -> {
          Set<String> ids = new TreeSet<>();
          shard.path("replicas").forEach(replica -> ids.add(replica.path("id").asText()));
          assertThat(ids).isEqualTo(wanted);
          assertThat(shard.path("next")).isEmpty();
        });
  }

  @Test
  void oneCoreMemberAfterTheOtherLosesItsDisk() {
    start(1, 3, 3, 3, 3, 500, SEEDS);
    simulation.runUntil(12_000);
    assertThat(sendAndWait("door-0", 0, bundle(1)).status()).isEqualTo(200);
    for (String name : SEEDS) {
      loseDisk(name, 2_000);
      run(2_000 + 4_000);
      Set<String> ids = new TreeSet<>();
      core().at("/roster/members").forEach(member -> ids.add(member.path("id").asText()));
      assertWithMessage(name).that(ids).contains(idOf(name));
      assertThat(core().at("/roster/next")).isEmpty();
    }
    assertThat(sendAndWait("door-1", 1, bundle(2)).status()).isEqualTo(200);
    simulation.checkNothingVanished();
  }

  @Test
  void aStorageNodeThatLostItsDiskIsInAllSetsAgainWithinThreeSeconds() {
    start(1, 3, 3, 3, 3, 500, SEEDS);
    simulation.runUntil(12_000);
    assertShardsAt("storage-0", "storage-1", "storage-2");
    loseDisk("storage-1", 1_000);
    run(1_000 + 3_000);
    assertShardsAt("storage-0", "storage-1", "storage-2");
    loseDisk("storage-2", 200);
    run(200 + 3_000);
    assertShardsAt("storage-0", "storage-1", "storage-2");
  }

  @Test
  void aStorageNodeAtAnotherAddressReplacesTheLostOne() {
    start(1, 3, 3, 3, 3, 500, SEEDS);
    simulation.runUntil(12_000);
    SimulatedProcess lost = simulation.processes.get("storage-1");
    lost.kill(true);
    lost.destroyed = true;
    simulation.add("storage-9", "zone-1", "storage", SEEDS, true).start();
    run(4_000);
    assertShardsAt("storage-0", "storage-9", "storage-2");
  }

  @Test
  void aControlPlaneMemberAtAnotherAddressReplacesTheLostOne() {
    start(1, 3, 3, 3, 3, 500, SEEDS);
    simulation.runUntil(12_000);
    simulation.processes.get("core-1").kill(true);
    simulation.add("core-9", "zone-1", "core", SEEDS, true).start();
    run(4_500);
    assertThat(rosterNames("core-0")).containsExactly("core-0", "core-2", "core-9");
  }

  @Test
  void whereTwoLossesAreBorneEveryShardHasFiveReplicas() {
    start(2, 6, 3, 3, 6, 500, SEEDS);
    simulation.runUntil(8_000);
    core().path("shards").forEach(shard -> assertThat(shard.path("replicas")).hasSize(5));
    loseDisk("storage-1", 1_000);
    loseDisk("core-1", 1_000);
    run(1_000 + 4_000);
    core()
        .path("shards")
        .forEach(
            shard -> {
              assertThat(shard.path("replicas")).hasSize(5);
              assertThat(shard.path("next")).isEmpty();
            });
    assertThat(rosterNames("core-0")).hasSize(5);
  }

  private Response ask(String core, Consumer<Consumer<Response>> question) {
    Response[] answer = new Response[1];
    simulation.call(
        simulation.processes.get(core),
        question,
        new Caller<>() {
          @Override
          public void answered(Response response) {
            answer[0] = response;
          }

          @Override
          public void broken(boolean neverReached) {}
        });
    run(1_500);
    return answer[0];
  }

  @Test
  void aStorageNodeIsDrainedAndThenRemoved() {
    start(1, 3, 3, 3, 3, 500, SEEDS);
    simulation.runUntil(12_000);
    assertThat(
            ask("door-0", then -> core("door-0").drainStorageNode("storage-7", 5_000, then))
                .errorType())
        .isEqualTo("NoSuchStorage");
    assertThat(
            ask("door-0", then -> core("door-0").drainStorageNode("storage-1", 5_000, then))
                .errorType())
        .isEqualTo("TooFewCopies");
    simulation.add("storage-3", "zone-1", "storage", SEEDS, true).start();
    run(3_000);
    assertThat(
            ask("door-0", then -> core("door-0").isStorageNodeDrained("storage-1", then))
                .body()
                .path("complete")
                .asBoolean())
        .isFalse();
    for (String door : List.of("door-1", "core-2")) {
      assertThat(ask(door, then -> core(door).drainStorageNode("storage-1", 5_000, then)).status())
          .isEqualTo(200);
    }
    run(3_000);
    assertThat(
            ask("door-2", then -> core("door-2").isStorageNodeDrained("storage-1", then))
                .body()
                .path("complete")
                .asBoolean())
        .isTrue();
    assertShardsAt("storage-0", "storage-2", "storage-3");
    simulation.processes.get("storage-1").kill(true);
    loseDisk("storage-0", 500);
    run(4_000);
    assertShardsAt("storage-0", "storage-2", "storage-3");
  }
}
