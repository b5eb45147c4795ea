package applespindle.testfleet.scenario;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.environment.Environment.WorkerListPage;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * One roster 1 and no other, whatever the first seed and the voters forget, and in whatever order
 * they start.
 */
class QuorumBootstrapTest {
  private static final Set<String> FIRST_THREE = Set.of("core-0", "core-1", "core-2");
  private static final List<String> SEEDS_WITHOUT_DISKS = List.of("door-0", "door-1", "door-2");
  private static final int VOTERS = 6;

  private Simulation simulation;

  /** Six voters and three processes without a vote, all started within 0.3 s in any order. */
  private void start(long seed, int losses, List<String> seeds) {
    simulation = new Simulation(seed, Map.of(), Deployment.AUTHORITY.pace);
    simulation.settings =
        new NodeSettings(
            losses, true, true, false, 40, 800, 3_000, 3_000, 8_000, 2_000, 120_000, 0.1, 64 << 20,
            1_000);
    simulation.workerList =
        (reader, token, whenRead, whenFaulty) ->
            simulation.afterMs(5, () -> whenRead.accept(new WorkerListPage(List.of(), "")));
    List<SimulatedProcess> all = new ArrayList<>();
    for (int index = 0; index < VOTERS; index++) {
      all.add(simulation.add("core-" + index, "zone-" + index % 3, "core", seeds, true));
    }
    for (int index = 0; index < 3; index++) {
      all.add(simulation.add("door-" + index, "zone-" + index % 3, "core", seeds, false));
    }
    all.forEach(process -> simulation.atMs(simulation.random.nextLong(300), process::start));
  }

  private Set<String> rosterNames(String name) {
    Set<String> names = new TreeSet<>();
    simulation
        .processes
        .get(name)
        .node()
        .status()
        .at("/roster/members")
        .forEach(member -> names.add(member.path("name").asText()));
    return names;
  }

  /** They lose power, some their disks, and start again where only they reach each other. */
  private void restartApart(List<String> names, boolean wiped) {
    for (String name : names) {
      SimulatedProcess process = simulation.processes.get(name);
      process.kill(true);
      if (wiped && name.startsWith("core")) {
        process.loseDisk();
      }
      simulation.processes.keySet().stream()
          .filter(other -> !names.contains(other))
          .forEach(other -> simulation.cutLink(name, other));
      process.start();
    }
  }

  private void noneKnowsAnotherRoster(List<String> names) {
    names.forEach(
        name -> assertWithMessage(name).that(rosterNames(name)).isAnyOf(Set.of(), FIRST_THREE));
  }

  /** The first seed has no disk, forgot that it proposed, and is told once more to found. */
  @Test
  void aFirstSeedWithoutADiskFoundsNothingWithVotersThatWereThere() {
    start(1, 1, SEEDS_WITHOUT_DISKS);
    simulation.bootstrapStays = true;
    simulation.runUntil(6_000);
    assertThat(rosterNames("core-4")).isEqualTo(FIRST_THREE);
    List<String> apart = List.of("door-0", "core-3", "core-4", "core-5");
    restartApart(apart, false);
    simulation.runUntil(26_000);
    noneKnowsAnotherRoster(apart);
  }

  @Test
  void aFirstSeedWithoutADiskFoundsNothingWithVotersThatLostTheirs() {
    start(1, 1, SEEDS_WITHOUT_DISKS);
    simulation.runUntil(6_000);
    List<String> voters = List.of("core-3", "core-4", "core-5");
    List<String> apart = new ArrayList<>(voters);
    apart.add("door-0");
    simulation.bootstrapStays = false;
    restartApart(voters, true);
    simulation.bootstrapStays = true;
    restartApart(List.of("door-0"), false);
    simulation.healLinks();
    apart.forEach(
        name ->
            simulation.processes.keySet().stream()
                .filter(other -> !apart.contains(other))
                .forEach(other -> simulation.cutLink(name, other)));
    simulation.runUntil(26_000);
    noneKnowsAnotherRoster(apart);
    simulation.healLinks();
    simulation.runUntil(30_000);
    apart.forEach(name -> assertWithMessage(name).that(rosterNames(name)).isEqualTo(FIRST_THREE));
  }

  @Test
  void aFirstSeedThatVotesIsAlwaysAMember() {
    for (int losses = 1; losses <= 2; losses++) {
      start(1, losses, List.of("core-5", "core-3", "core-4"));
      simulation.runUntil(6_000);
      assertThat(rosterNames("core-0")).hasSize(2 * losses + 1);
      assertThat(rosterNames("core-0")).contains("core-5");
    }
  }

  /** At each moment of founding the first seed loses power; it is back half a second later. */
  @Test
  void oneRosterComesOfAFirstSeedThatDiesWhileItFounds() {
    for (long killAtMs = 300; killAtMs <= 2_500; killAtMs += 50) {
      start(killAtMs, 1, List.of("core-5", "core-3", "core-4"));
      SimulatedProcess first = simulation.processes.get("core-5");
      simulation.atMs(killAtMs, () -> first.kill(true));
      simulation.atMs(killAtMs + 500, first::start);
      simulation.runUntil(12_000);
      Set<String> members = rosterNames("core-5");
      assertWithMessage("killed at " + killAtMs).that(members).hasSize(3);
      for (int index = 0; index < VOTERS; index++) {
        assertWithMessage("killed at " + killAtMs)
            .that(rosterNames("core-" + index))
            .isEqualTo(members);
      }
    }
  }

  /** Any start order within 0.3 s, with later seeds that are stale, cut off or down. */
  @Test
  void everyNodeFindsTheControlPlaneWhateverTheSeedsOfALaterStart() {
    for (int seed = 1; seed <= 5; seed++) {
      start(seed, 1, SEEDS_WITHOUT_DISKS);
      simulation.runUntil(5_000);
      simulation.processes.get("door-1").kill(true);
      simulation.isolate("door-2");
      SimulatedProcess voter = simulation.processes.get("core-4");
      voter.kill(true);
      voter.start();
      simulation.processes.get("door-0").kill(true);
      simulation.runUntil(8_000);
      for (int index = 0; index < VOTERS; index++) {
        assertWithMessage("seed " + seed + " core-" + index)
            .that(rosterNames("core-" + index))
            .isEqualTo(FIRST_THREE);
      }
    }
  }
}
