package applespindle.testfleet;

import applespindle.testfleet.Checker.Violation;
import applespindle.testfleet.History.Kind;
import applespindle.testfleet.SimulatedFleet.Sender;
import applespindle.testfleet.SimulatedWorkers.Condition;
import applespindle.testfleet.Simulation.Process;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A scenario from a small text file: a fleet, its traffic, timed faults, expectations. Lines are:
 * about, fleet, seeds, run (seconds), checks, notes, once (requests a second), batches (one every
 * so many seconds), at (second, verb, words), on (accepted, ended or bundle, the how-manieth or
 * which number, verb, words: the moment its sender is told), tries (of a submission), obedient
 * (refused senders of checks come back when told to), spare (workers of a second pool), beyond
 * (from, to: more is broken than the brief asks to survive, so how soon service is back is not
 * judged), outside (losses to bear at once: the fleet runs before a platform with opaque workers
 * and a list of them), opaque (type and requests a second, in pairs), opaque-batches (one every so
 * many seconds, items, bytes of an item's body, and the most items where batches differ),
 * edge-links (Mbit/s of each edge's link), edge-processor (share of a core that each edge has; what
 * an edge does takes no time without it), larger-edges (how many edges have another share of a
 * core, and another Mbit/s), list (lag in ms, calls a second), waiting-tokens (the most on the
 * batch route), watch-core (from, to: a trouble of the core, see ControlPlaneProbe), random (from,
 * to: one fault after the other, each mended before the next), losses (disks are lost too), expect
 * (what, number). Whatever the file says, the outside checker and the invariants always count.
 */
public final class Scenario {
  private static final long TRAFFIC_FROM_MS = 15_000;

  /** How long a worker that crashed stays on the outside list. */
  private static final long CRASHED_LISTED_MS = 4_000;

  private static final long SETTLE_MS = 60_000;

  /** Begins an expectation; the milliseconds follow, and its number is a percentage of batches. */
  private static final String ACCEPTED_WITHIN = "accepted-within-ms:";

  /** What opaque batches get after the traffic, and again to be read back. */
  private static final long COMPLETION_MS = 10_000;

  /** A line of a scenario that can not be read. */
  public static final class BrokenLine extends RuntimeException {
    BrokenLine(int line, String text) {
      super("line " + line + " can not be read: " + text);
    }
  }

  /** How a scenario ended: its faults, and what is needed to judge and count the run. */
  public record Outcome(
      List<String> faults, History history, long steps, long messages, SimulatedFleet fleet) {}

  private record Timed(long atMs, String[] words, int line, String text) {}

  private record Triggered(String event, long number, Timed action) {}

  private record Expected(String what, double number) {}

  private Deployment deployment = Deployment.AUTHORITY;
  private List<Long> seeds = List.of(1L);
  private long runMs = 50_000;
  private double checks = 20;
  private double notes = 2;
  private double once = 2;
  private double batchEverySeconds = 2.5;
  private List<String> spares = List.of();
  private int submitTries = SimulatedFleet.SUBMIT_TRIES;
  private boolean losses;
  private int outsideLosses;
  private final Map<String, Double> opaque = new LinkedHashMap<>();
  private double opaqueBatchEverySeconds;
  private int opaqueBatchItems = 12;
  private int opaqueItemBytes;
  private int opaqueBatchItemsMost;
  private double edgeLinkMbits;
  private double edgeProcessorShare;
  private int largerEdges;
  private double largerEdgeShare;
  private double largerEdgeMbits;
  private long listLagMs = 800;
  private double listCallsPerS = 40;
  private long waitingTokensMost;
  private boolean obedient;
  private long watchFromMs;
  private long watchToMs;
  private long randomFromMs;
  private long randomToMs;
  private final List<Timed> timed = new ArrayList<>();
  private final List<Triggered> triggered = new ArrayList<>();
  private final List<Expected> expected = new ArrayList<>();

  public static Scenario parse(String text) {
    Scenario scenario = new Scenario();
    int number = 0;
    for (String line : text.split("\n")) {
      number++;
      String bare = line.strip();
      if (!bare.isEmpty() && !bare.startsWith("#")) {
        try {
          scenario.take(bare, number);
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException fault) {
          throw new BrokenLine(number, bare);
        }
      }
    }
    return scenario;
  }

  private void take(String line, int number) {
    String[] words = line.split("\\s+");
    switch (words[0]) {
      case "about" -> {}
      case "fleet" -> deployment = Deployment.valueOf(words[1].toUpperCase());
      case "seeds" -> seeds = Arrays.stream(words).skip(1).map(Long::parseLong).toList();
      case "run" -> runMs = seconds(words[1]);
      case "checks" -> checks = Double.parseDouble(words[1]);
      case "notes" -> notes = Double.parseDouble(words[1]);
      case "once" -> once = Double.parseDouble(words[1]);
      case "batches" -> batchEverySeconds = Double.parseDouble(words[1]);
      case "at" ->
          timed.add(
              new Timed(
                  seconds(words[1]), Arrays.copyOfRange(words, 2, words.length), number, line));
      case "beyond" -> {
        timed.add(new Timed(seconds(words[1]), new String[] {"beyond-begins"}, number, line));
        timed.add(new Timed(seconds(words[2]), new String[] {"beyond-ends"}, number, line));
      }
      case "spare" -> spares = Arrays.stream(words).skip(1).toList();
      case "tries" -> submitTries = Integer.parseInt(words[1]);
      case "obedient" -> obedient = true;
      case "losses" -> losses = true;
      case "outside" -> outsideLosses = Integer.parseInt(words[1]);
      case "opaque" -> {
        for (int index = 1; index < words.length; index += 2) {
          opaque.put(words[index], Double.parseDouble(words[index + 1]));
        }
      }
      case "opaque-batches" -> {
        opaqueBatchEverySeconds = Double.parseDouble(words[1]);
        opaqueBatchItems = Integer.parseInt(words[2]);
        opaqueItemBytes = words.length > 3 ? Integer.parseInt(words[3]) : 0;
        opaqueBatchItemsMost = words.length > 4 ? Integer.parseInt(words[4]) : 0;
      }
      case "edge-links" -> edgeLinkMbits = Double.parseDouble(words[1]);
      case "edge-processor" -> edgeProcessorShare = Double.parseDouble(words[1]);
      case "larger-edges" -> {
        largerEdges = Integer.parseInt(words[1]);
        largerEdgeShare = Double.parseDouble(words[2]);
        largerEdgeMbits = Double.parseDouble(words[3]);
      }
      case "list" -> {
        listLagMs = Long.parseLong(words[1]);
        listCallsPerS = Double.parseDouble(words[2]);
      }
      case "waiting-tokens" -> waitingTokensMost = Long.parseLong(words[1]);
      case "watch-core" -> {
        watchFromMs = seconds(words[1]);
        watchToMs = seconds(words[2]);
      }
      case "random" -> {
        randomFromMs = seconds(words[1]);
        randomToMs = seconds(words[2]);
      }
      case "on" ->
          triggered.add(
              new Triggered(
                  words[1],
                  Long.parseLong(words[2]),
                  new Timed(0, Arrays.copyOfRange(words, 3, words.length), number, line)));
      case "expect" -> expected.add(new Expected(words[1], Double.parseDouble(words[2])));
      default -> throw new IllegalArgumentException(line);
    }
  }

  private static long seconds(String word) {
    return (long) (Double.parseDouble(word) * 1000);
  }

  public List<Long> seeds() {
    return seeds;
  }

  public Outcome run(long seed, boolean logging) {
    return run(seed, logging, fleet -> {});
  }

  /** prepare may set up more in the fleet before anything runs. */
  Outcome run(long seed, boolean logging, Consumer<SimulatedFleet> prepare) {
    SimulatedFleet fleet =
        outsideLosses == 0
            ? new SimulatedFleet(deployment, seed)
            : SimulatedFleet.withOutside(
                deployment, seed, outsideLosses, listLagMs, listCallsPerS, waitingTokensMost);
    Simulation simulation = fleet.simulation;
    prepare.accept(fleet);
    simulation.logging = logging;
    List<String> faults = new ArrayList<>();
    Process[] last = new Process[1];
    fleet.spares = spares;
    fleet.submitTries = submitTries;
    fleet.obedient = obedient;
    fleet.edgeLinks(edgeLinkMbits);
    fleet.edgeProcessors(edgeProcessorShare);
    fleet.largerEdges(largerEdges, largerEdgeShare, largerEdgeMbits);
    fleet.start();
    if (watchToMs > 0) {
      fleet.watch = new ControlPlaneProbe(fleet, watchFromMs, watchToMs);
    }
    if (outsideLosses > 0) {
      opaque.forEach(
          (type, perSecond) -> fleet.clients.live(type, perSecond, TRAFFIC_FROM_MS, runMs));
      fleet.clients.itemBytes = opaqueItemBytes;
      fleet.clients.batches(
          opaqueBatchEverySeconds, opaqueBatchItems, opaqueBatchItemsMost, TRAFFIC_FROM_MS, runMs);
    } else {
      fleet.live("check", checks, TRAFFIC_FROM_MS, runMs);
      fleet.live("note", notes, TRAFFIC_FROM_MS, runMs);
      fleet.live("once", once, TRAFFIC_FROM_MS, runMs);
      fleet.batches((long) (batchEverySeconds * 1000), TRAFFIC_FROM_MS, runMs);
    }
    timed.forEach(each -> simulation.atMs(each.atMs(), () -> last[0] = act(fleet, each, last[0])));
    fleet.whenTold =
        (event, number) ->
            triggered.stream()
                .filter(each -> each.event().equals(event) && each.number() == number)
                .forEach(each -> last[0] = act(fleet, each.action(), last[0]));
    if (randomToMs > 0) {
      simulation.atMs(randomFromMs, () -> randomFault(fleet, last, new long[] {1}));
    }
    try {
      simulation.runUntil(runMs);
      simulation.healLinks();
      simulation
          .processes
          .values()
          .forEach(
              process -> {
                process.wake();
                if (!process.alive() && !process.destroyed) {
                  process.start();
                }
              });
      if (fleet.clients != null) {
        simulation.runUntil(runMs + COMPLETION_MS);
        fleet.clients.close(simulation.simulatedNowMs() + COMPLETION_MS);
        while (!fleet.clients.closed()) {
          simulation.runUntil(simulation.simulatedNowMs() + 500);
        }
      }
      long endsBy = runMs + SETTLE_MS;
      while (simulation.simulatedNowMs() < endsBy
          && fleet.senders.stream().anyMatch(sender -> !sender.over)) {
        simulation.runUntil(simulation.simulatedNowMs() + 500);
      }
      simulation.runUntil(simulation.simulatedNowMs() + 2_000);
      simulation.checkNothingVanished();
    } catch (Simulation.InvariantBroken broken) {
      faults.add("invariant: " + broken.getMessage());
    } catch (BrokenLine broken) {
      throw broken;
    } catch (RuntimeException thrown) {
      faults.add(
          "invariant: a node threw "
              + thrown
              + " at "
              + Arrays.stream(thrown.getStackTrace()).limit(6).toList());
    }
    for (Violation violation : Checker.check(simulation.history)) {
      faults.add(violation.rule() + " at " + violation.atMs() + ": " + violation.what());
    }
    faults.addAll(fleet.earlyFaults);
    expected.forEach(each -> expect(fleet, each, faults));
    return new Outcome(
        faults, simulation.history, simulation.steps(), simulation.messages(), fleet);
  }

  private static final List<String> RANDOM_FAULTS =
      List.of(
          "kill leader / start last",
          "kill feeder / start last",
          "kill any-edge / start last",
          "kill any-core / start last",
          "kill any-storage / start last",
          "power-loss any-storage / start last",
          "power-loss any-core / start last",
          "freeze leader / wake last",
          "freeze feeder / wake last",
          "freeze any-core / wake last",
          "freeze any-storage / wake last",
          "isolate any-edge / heal",
          "isolate any-core / heal",
          "isolate any-storage / heal",
          "hold leader / heal",
          "stop any-edge / start last",
          "stop any-storage / start last",
          "stop any-core / start last",
          "stall-disk any-storage 3",
          "stall-disk any-core 3",
          "jump-clock any-edge 4",
          "jump-clock any-core 4",
          "worker w1 crashed / worker w1 well",
          "worker w2 dark / worker w2 well",
          "worker w3 vanished / worker w3 well",
          "worker w4 cuts / worker w4 well",
          "worker w5 garbage / worker w5 well",
          "worker w6 refuses / worker w6 well",
          "cut core-1 core-2 / heal",
          "cut core-2 core-3 / heal",
          "end-batch",
          "leaving w7",
          "bundle N",
          "kill machine-1 / start machine-1",
          "power-loss machine-2 / start machine-2",
          "freeze machine-3 / wake machine-3",
          "bundles-collide N",
          "cut-off / heal");

  /** Where there is a platform round the fleet. */
  private static final List<String> RANDOM_OUTSIDE =
      List.of(
          "kill leader / start last",
          "kill feeder / start last",
          "kill any-edge / start last",
          "kill any-core / start last",
          "kill any-storage / start last",
          "power-loss any-storage / start last",
          "power-loss-torn any-core / start last",
          "kill owner:workers / start last",
          "kill owner:bundle / start last",
          "freeze owner:workers / wake last",
          "freeze leader / wake last",
          "freeze feeder / wake last",
          "freeze any-core / wake last",
          "freeze any-storage / wake last",
          "isolate any-edge / heal",
          "isolate any-core / heal",
          "isolate any-storage / heal",
          "hold leader / heal",
          "stop any-edge / start last",
          "stop any-storage / start last",
          "stop any-core / start last",
          "stall-disk any-storage 3",
          "stall-disk any-core 3",
          "refuse-writes any-storage 3",
          "refuse-writes any-core 3",
          "jump-clock any-edge 4",
          "jump-clock any-core 4",
          "jump-clock any-storage -3",
          "reset any-edge",
          "reset any-core",
          "reset any-storage",
          "slow any-edge 3 / slow last 0",
          "slow any-core 3 / slow last 0",
          "slow any-storage 3 / slow last 0",
          "cut-one-way core-1 core-2 / heal",
          "cut-one-way core-3 edge-1 / heal",
          "cut-one-way edge-2 core-1 / heal",
          "cut-one-way edge-1 edge-3 / heal",
          "cut-one-way storage-1 edge-2 / heal",
          "cut core-2 core-3 / heal",
          "cut-off / heal",
          "kill machine-1 / start machine-1",
          "power-loss machine-2 / start machine-2",
          "freeze machine-3 / wake machine-3",
          "change",
          "change",
          "change-race",
          "change-race",
          "change-invalid",
          "probe-routes",
          "end-opaque",
          "end-opaque",
          "opaque-worker any dark / opaque-worker every well",
          "opaque-worker any vanished / opaque-worker every well",
          "opaque-worker any cuts / opaque-worker every well",
          "opaque-worker any garbage / opaque-worker every well",
          "opaque-worker any grey / opaque-worker every well",
          "opaque-worker any errs / opaque-worker every well",
          "opaque-worker any loses / opaque-worker every well",
          "opaque-worker any refuses / opaque-worker every well",
          "opaque-worker any slow / opaque-worker every well",
          "opaque-worker-leaves any / opaque-worker-joins alpha zone-1",
          "opaque-worker-leaves any / opaque-worker-joins beta zone-2",
          "opaque-worker-crashes any / opaque-worker-joins alpha zone-0",
          "opaque-worker-crashes any / opaque-worker-joins beta zone-1",
          "list-becomes down / list-becomes well",
          "list-becomes empty / list-becomes well",
          "list-becomes stale / list-becomes well",
          "list-becomes cut / list-becomes well",
          "list-becomes refuses / list-becomes well",
          "crowd-opaque resumable 200 3");

  private static final List<String> RANDOM_LOSSES =
      List.of(
          "lose-disk any-storage / start last",
          "lose-disk core-2 / start last",
          "lose-disk any-core / start last");

  /**
   * A second disk is not lost before the first loss can be repaired: that is what the fleet
   * promises to survive.
   */
  private static final long REPAIR_MS = 28_000;

  /** One fault, its mending 0.3 to 7 s later, then the next within 4 s. */
  private void randomFault(SimulatedFleet fleet, Process[] last, long[] bundleNumber) {
    Simulation simulation = fleet.simulation;
    if (simulation.simulatedNowMs() >= randomToMs) {
      return;
    }
    boolean loses = losses && simulation.random.nextInt(3) == 0;
    List<String> choice =
        loses ? RANDOM_LOSSES : outsideLosses > 0 ? RANDOM_OUTSIDE : RANDOM_FAULTS;
    String[] parts = choice.get(simulation.random.nextInt(choice.size())).split(" / ");
    String fault = parts[0].replace(" N", " " + (parts[0].endsWith(" N") ? ++bundleNumber[0] : 0));
    last[0] = act(fleet, new Timed(0, fault.split(" "), 0, fault), last[0]);
    long mendedAfter = parts.length > 1 ? 300 + simulation.random.nextInt(6_700) : 0;
    if (parts.length > 1) {
      simulation.afterMs(
          mendedAfter,
          () -> {
            boolean standsAlready = parts[1].startsWith("start") && last[0].alive();
            if (standsAlready) {
              last[0].kill(false);
            }
            last[0] = act(fleet, new Timed(0, parts[1].split(" "), 0, parts[1]), last[0]);
          });
    }
    simulation.afterMs(
        mendedAfter + 500 + simulation.random.nextInt(3_500) + (loses ? REPAIR_MS : 0),
        () -> randomFault(fleet, last, bundleNumber));
  }

  private Process act(SimulatedFleet fleet, Timed timed, Process last) {
    Simulation simulation = fleet.simulation;
    String[] words = timed.words();
    simulation.history.add(
        simulation.simulatedNowMs(), Kind.FAULT, String.join(" ", words), "", "", 0);
    List<String> group = words.length < 2 ? List.of() : group(simulation, words[1]);
    if (!group.isEmpty()) {
      Process[] latest = {last};
      group.stream()
          .filter(name -> !words[0].equals("start") || !simulation.processes.get(name).alive())
          .forEach(
              name -> {
                String[] one = words.clone();
                one[1] = name;
                latest[0] =
                    act(fleet, new Timed(timed.atMs(), one, timed.line(), timed.text()), latest[0]);
              });
      return latest[0];
    }
    Process target = target(fleet, words, last);
    switch (words[0]) {
      case "kill" -> target.kill(false);
      case "power-loss" -> target.kill(true);
      case "destroy" -> {
        target.kill(true);
        target.destroyed = true;
      }
      case "lose-disk" -> {
        target.kill(true);
        target.loseDisk();
      }
      case "start" -> target.start();
      case "freeze" -> target.freeze();
      case "wake" -> target.wake();
      case "stop" -> {
        Process stopped = target;
        int[] done = new int[1];
        stopped.toldToStop();
        simulation.call(
            stopped,
            (java.util.function.Consumer<Object> then) ->
                stopped
                    .node()
                    .stop(
                        () -> {
                          if (done[0]++ == 0) {
                            simulation.afterMs(1, () -> stopped.kill(false));
                          }
                        }),
            new Simulation.Caller<>() {
              @Override
              public void answered(Object answer) {}

              @Override
              public void broken(boolean neverReached) {}
            });
      }
      case "isolate" -> simulation.isolate(target.name);
      case "hold" ->
          simulation.processes.keySet().stream()
              .filter(name -> name.startsWith("edge") && !name.equals(target.name))
              .forEach(name -> simulation.holdLink(target.name, name));
      case "cut" -> simulation.cutLink(words[1], words[2]);
      case "leave" -> {
        List<String> kept =
            Arrays.stream(words)
                .skip(2)
                .map(name -> name.equals("last") ? last.name : name)
                .toList();
        simulation.processes.keySet().stream()
            .filter(name -> !name.equals(target.name) && !kept.contains(name))
            .forEach(name -> simulation.cutLink(target.name, name));
      }
      case "cut-off" ->
          simulation.processes.keySet().stream()
              .filter(
                  name ->
                      !name.startsWith("core")
                          && (words.length == 1 || Arrays.asList(words).contains(name)))
              .forEach(
                  name ->
                      List.of("core-1", "core-2", "core-3")
                          .forEach(core -> simulation.cutLink(name, core)));
      case "split" ->
          simulation.processes.keySet().stream()
              .filter(name -> !Arrays.asList(words).contains(name))
              .forEach(
                  name ->
                      Arrays.stream(words).skip(1).forEach(part -> simulation.cutLink(name, part)));
      case "cut-in" ->
          others(simulation, target, words[2])
              .forEach(name -> simulation.cutOneWay(name, target.name));
      case "cut-out" ->
          others(simulation, target, words[2])
              .forEach(name -> simulation.cutOneWay(target.name, name));
      case "cut-both" ->
          others(simulation, target, words[2])
              .forEach(name -> simulation.cutLink(target.name, name));
      case "flap" ->
          flap(
              simulation,
              target,
              seconds(words[2]),
              seconds(words[3]),
              simulation.simulatedNowMs() + seconds(words[4]));
      case "changes" ->
          changes(fleet, seconds(words[1]), simulation.simulatedNowMs() + seconds(words[2]));
      case "expect-member" -> {
        if (!fleet.memberNames().contains(words[1])) {
          fleet.earlyFaults.add("expected " + words[1] + " to be a core member: " + timed.text());
        }
      }
      case "expect-members-alive" -> {
        long alive =
            fleet.memberNames().stream()
                .filter(name -> simulation.processes.get(name).alive())
                .count();
        if (alive != Long.parseLong(words[1])) {
          fleet.earlyFaults.add("expected " + words[1] + " living core members, were " + alive);
        }
      }
      case "callers" ->
          fleet.callersAt = Arrays.stream(words).skip(1).map(simulation.processes::get).toList();
      case "heal" -> simulation.healLinks();
      case "add" -> fleet.add(words[1], words[2]);
      case "empty" -> fleet.markStorage(words[1], "emptying");
      case "retire" -> fleet.markStorage(words[1], "retired");
      case "stall-disk" -> target.stallDisk(seconds(words[2]));
      case "jump-clock" -> target.shiftClock(seconds(words[2]));
      case "worker" ->
          simulation.workers.all().values().stream()
              .filter(worker -> words[1].equals("every") || worker.id.equals(words[1]))
              .sorted(java.util.Comparator.comparing(worker -> worker.id))
              .forEach(worker -> worker.become(Condition.valueOf(words[2].toUpperCase())));
      case "worker-says-leaving" -> simulation.workers.get(words[1]).leaving = true;
      case "leaving" -> fleet.markLeaving(words[1]);
      case "bundle-way" ->
          fleet.sendBundle(
              Long.parseLong(words[1]),
              fleet.deployment.bundle(Long.parseLong(words[1]), words[2], words[3]),
              words.length > 4 ? words[4] : "core-1");
      case "bundle" ->
          fleet.sendBundle(
              Long.parseLong(words[1]),
              fleet.deployment.bundle(Long.parseLong(words[1])),
              words.length > 2 ? words[2] : "core-1");
      case "bundle-set" -> {
        String bundle = fleet.deployment.bundle(Long.parseLong(words[1]));
        for (int index = 2; index < words.length; index += 2) {
          String changed =
              bundle.replaceAll(
                  "\"" + words[index] + "\": [^,}]*",
                  "\"" + words[index] + "\": " + words[index + 1]);
          if (changed.equals(bundle)) {
            throw new BrokenLine(timed.line(), timed.text());
          }
          bundle = changed;
          if (words[index].equals("waitingItemsMost")) {
            simulation.history.add(
                simulation.simulatedNowMs(),
                Kind.CEILING,
                "",
                "",
                "",
                Long.parseLong(words[index + 1]));
          }
        }
        fleet.sendBundle(Long.parseLong(words[1]), bundle, "core-1");
      }
      case "bundles-collide" -> {
        String bundle = fleet.deployment.bundle(Long.parseLong(words[1]));
        fleet.sendBundle(Long.parseLong(words[1]), bundle, "core-1");
        fleet.sendBundle(
            Long.parseLong(words[1]),
            bundle.replace("\"queueMost\": 100", "\"queueMost\": 99"),
            "core-2");
      }
      case "end-batch" -> {
        for (int index = fleet.senders.size() - 1; index >= 0; index--) {
          Sender sender = fleet.senders.get(index);
          if (!sender.batch.isEmpty() && !sender.over && !sender.endAsked) {
            sender.end();
            break;
          }
        }
      }
      case "crowd-batch" -> {
        for (int index = 0; index < Integer.parseInt(words[1]); index++) {
          simulation.afterMs(
              simulation.random.nextInt(words.length > 2 ? Integer.parseInt(words[2]) : 300),
              fleet::submitOne);
        }
      }
      case "beyond-begins", "beyond-ends" -> {}
      case "change" -> fleet.operators.change();
      case "change-race" -> fleet.operators.race();
      case "change-invalid" -> fleet.operators.invalid();
      case "orders" -> fleet.operators.orders(Integer.parseInt(words[1]), Long.parseLong(words[2]));
      case "orders-again" -> fleet.operators.resend(Integer.parseInt(words[1]));
      case "lose-calls" -> fleet.operators.callsLostPercent = Integer.parseInt(words[1]);
      case "probe-routes" -> fleet.clients.probeRoutes();
      case "list-becomes" ->
          fleet.outside.list.become(WorkerListing.Condition.valueOf(words[1].toUpperCase()));
      case "opaque-worker" ->
          opaqueWorkers(fleet, words[1])
              .forEach(
                  worker -> worker.become(ProxyWorkers.Condition.valueOf(words[2].toUpperCase())));
      case "opaque-worker-leaves" -> opaqueWorkers(fleet, words[1]).forEach(fleet.outside::leave);
      case "opaque-worker-crashes" ->
          opaqueWorkers(fleet, words[1])
              .forEach(worker -> fleet.outside.crash(worker, CRASHED_LISTED_MS));
      case "opaque-worker-joins" -> fleet.outside.join(words[1], words[2]);
      case "end-opaque" -> fleet.clients.endOne();
      case "crowd-opaque" ->
          fleet.clients.live(
              words[1],
              Double.parseDouble(words[2]),
              simulation.simulatedNowMs(),
              simulation.simulatedNowMs() + seconds(words[3]));
      case "cut-one-way" -> simulation.cutOneWay(words[1], words[2]);
      case "reset" -> target.resetConnections();
      case "power-loss-torn" -> target.kill(true, true);
      case "slow" -> target.slowDown((long) (1000 * Double.parseDouble(words[2])));
      case "refuse-writes" -> target.refuseWrites(seconds(words[2]));
      case "stop-in-turn" ->
          stopInTurn(fleet, Arrays.stream(words).skip(2).toList(), seconds(words[1]));
      case "crowd-live" ->
          fleet.live(
              "check",
              Double.parseDouble(words[1]),
              simulation.simulatedNowMs(),
              simulation.simulatedNowMs() + seconds(words[2]));
      default -> throw new BrokenLine(timed.line(), timed.text());
    }
    return target == null || words[0].equals("leave") && last != null ? last : target;
  }

  /** All other processes of a role, or all of them. */
  private static List<String> others(Simulation simulation, Process target, String role) {
    return simulation.processes.values().stream()
        .filter(other -> other != target && (role.equals("all") || other.role.equals(role)))
        .map(other -> other.name)
        .toList();
  }

  /** A process is cut off and connected again, over and over. */
  private static void flap(
      Simulation simulation, Process target, long cutMs, long connectedMs, long untilMs) {
    if (simulation.simulatedNowMs() >= untilMs) {
      return;
    }
    simulation.isolate(target.name);
    simulation.afterMs(
        cutMs,
        () -> {
          simulation.healLinks();
          simulation.afterMs(
              connectedMs, () -> flap(simulation, target, cutMs, connectedMs, untilMs));
        });
  }

  /** Operators send one change after the other. */
  private static void changes(SimulatedFleet fleet, long everyMs, long untilMs) {
    if (fleet.simulation.simulatedNowMs() >= untilMs) {
      return;
    }
    fleet.operators.change();
    fleet.simulation.afterMs(everyMs, () -> changes(fleet, everyMs, untilMs));
  }

  /**
   * Each is told to stop, is started again a second after its end, and the next follows after the
   * pause.
   */
  private static void stopInTurn(SimulatedFleet fleet, List<String> names, long pauseMs) {
    if (names.isEmpty()) {
      return;
    }
    Process process = fleet.simulation.processes.get(names.get(0));
    process.stopPolitely(
        SimulatedPlatform.GRACE_MS,
        () ->
            fleet.simulation.afterMs(
                1_000,
                () -> {
                  process.start();
                  fleet.simulation.afterMs(
                      pauseMs, () -> stopInTurn(fleet, names.subList(1, names.size()), pauseMs));
                }));
  }

  /** By id, by pool, "any" or "every". */
  private static List<ProxyWorkers.Worker> opaqueWorkers(SimulatedFleet fleet, String word) {
    List<ProxyWorkers.Worker> present =
        fleet.outside.workers.present().stream().filter(worker -> !worker.leaving).toList();
    return word.equals("any")
        ? List.of(present.get(fleet.simulation.random.nextInt(present.size())))
        : present.stream()
            .filter(
                worker ->
                    word.equals("every") || worker.id.equals(word) || worker.pool.equals(word))
            .toList();
  }

  /**
   * Processes that fail together: all of a kind, those of one machine with a disk, or those of a
   * zone.
   */
  private static List<String> group(Simulation simulation, String word) {
    return simulation.processes.values().stream()
        .filter(
            process ->
                word.startsWith("all-")
                    ? process.name.startsWith(word.substring(4))
                    : word.startsWith("machine-")
                        ? List.of("core-" + word.substring(8), "edge-" + word.substring(8))
                            .contains(process.name)
                        : word.startsWith("zone-") && process.zone.equals(word))
        .map(process -> process.name)
        .toList();
  }

  private static Process target(SimulatedFleet fleet, String[] words, Process last) {
    return words.length < 2 ? null : words[1].equals("last") ? last : fleet.target(words[1]);
  }

  private void expect(SimulatedFleet fleet, Expected expected, List<String> faults) {
    switch (expected.what()) {
      case "slowest-batch-s" -> {
        long slowest =
            fleet.senders.stream()
                .filter(sender -> sender.acceptedAtMs >= 0 && !sender.endAsked)
                .mapToLong(
                    sender ->
                        sender.finishedAtMs < 0
                            ? Long.MAX_VALUE
                            : sender.finishedAtMs - sender.acceptedAtMs)
                .max()
                .orElse(0);
        if (slowest > expected.number() * 1000) {
          faults.add(
              "expected each batch within "
                  + expected.number()
                  + " s, slowest took "
                  + slowest
                  + " ms");
        }
      }
      case "accepted-least" ->
          atLeast(
              "accepted batches",
              fleet.senders.stream().filter(sender -> sender.acceptedAtMs >= 0).count(),
              expected.number(),
              faults);
      case "refused-least" ->
          atLeast(
              "refused batches",
              fleet.senders.stream().filter(sender -> sender.acceptedAtMs < 0).count(),
              expected.number(),
              faults);
      case "ended-least" ->
          atLeast(
              "ended batches",
              fleet.senders.stream().filter(sender -> sender.ended).count(),
              expected.number(),
              faults);
      case "removed-least" ->
          atLeast("removed batches", fleet.removedBatches(), expected.number(), faults);
      case "came-back-served-least" ->
          atLeast(
              "percent of senders served when they came back",
              fleet.cameBackPercent(),
              expected.number(),
              faults);
      case "changes-least" ->
          atLeast("acknowledged changes", fleet.operators.acknowledged, expected.number(), faults);
      case "changes-refused" ->
          exactly("refused changes", fleet.operators.refused, expected.number(), faults);
      case "first-change-ms" ->
          atMost("the first change, in ms", fleet.operators.firstYesMs, expected.number(), faults);
      case "slowest-change-ms" ->
          atMost(
              "the slowest later change, in ms",
              fleet.operators.slowestYesMs,
              expected.number(),
              faults);
      case "core-gap-ms" ->
          atMost(
              "the longest time without service of " + fleet.watch.longestGapKey + ", in ms",
              fleet.watch.longestGapMs,
              expected.number(),
              faults);
      case "core-terms" -> atMost("terms used", fleet.watch.terms, expected.number(), faults);
      case "core-answer-ms" ->
          atMost(
              "the slowest answer of the core, in ms",
              fleet.watch.slowestAnswerMs,
              expected.number(),
              faults);
      case "items-done-percent" ->
          atLeast(
              "percent of the items listed",
              100 * fleet.clients.itemsDone() / Math.max(1, fleet.clients.itemsTaken()),
              expected.number(),
              faults);
      case "closed-within-ms" ->
          atMost(
              "reading a batch whole at the end, in ms",
              fleet.clients.slowestCloseMs,
              expected.number(),
              faults);
      case "taken-least" ->
          atLeast(
              "taken batches",
              fleet.clients.batches.stream().filter(client -> client.accepted).count(),
              expected.number(),
              faults);
      case "list-calls-most" ->
          atMost("calls to the outside list", fleet.outside.list.calls, expected.number(), faults);
      default -> {
        if (expected.what().startsWith("served-percent:")) {
          int[] counts =
              fleet.clients.servedOf.getOrDefault(expected.what().substring(15), new int[2]);
          atLeast(
              "percent served of " + expected.what().substring(15),
              100L * counts[1] / Math.max(1, counts[0]),
              expected.number(),
              faults);
          return;
        }
        if (expected.what().startsWith(ACCEPTED_WITHIN)) {
          expectAcceptedWithin(
              fleet,
              Long.parseLong(expected.what().substring(ACCEPTED_WITHIN.length())),
              expected.number(),
              faults);
          return;
        }
        if (expected.what().startsWith("refused-within-ms:")) {
          String type = expected.what().substring(18);
          long most = fleet.refusedAfterMs.getOrDefault(type, -1L);
          if (most < 0 || most > expected.number()) {
            faults.add(
                "expected each "
                    + type
                    + " told within "
                    + expected.number()
                    + " ms, seen "
                    + most);
          }
          return;
        }
        expectOfFleet(fleet, expected, faults);
      }
    }
  }

  /** As the client sees it, from its first try; a batch that is never accepted is late too. */
  private static void expectAcceptedWithin(
      SimulatedFleet fleet, long millis, double percent, List<String> faults) {
    long within =
        fleet.clients.batches.stream().filter(batch -> batch.acceptanceMs() <= millis).count();
    long all = fleet.clients.batches.size();
    if (100 * within < percent * all) {
      faults.add(
          "expected %.0f percent of batches accepted within %d ms, were %d of %d%n%s"
              .formatted(percent, millis, within, all, fleet.simulation.submissions.report()));
    }
  }

  private static void expectOfFleet(SimulatedFleet fleet, Expected expected, List<String> faults) {
    switch (expected.what()) {
      case "cache-hits-least" ->
          atLeast("percent of cache hits", fleet.cacheHitPercent(), expected.number(), faults);
      case "checks-p99-ms" -> {
        long p99 = SimulatedFleet.percentile(fleet.checkLatencies, 99);
        if (p99 > expected.number()) {
          faults.add("expected checks' p99 within " + expected.number() + " ms, was " + p99);
        }
      }
      case "shard-changes-most" -> {
        long most = 0;
        for (JsonNode shard : fleet.coreStatus().path("shards")) {
          most += shard.path("number").asLong();
        }
        if (most > expected.number()) {
          faults.add(
              "expected set numbers to sum up to at most "
                  + (long) expected.number()
                  + ", were "
                  + most);
        }
      }
      case "reduced-shards" ->
          exactly(
              "shards with reduced redundancy",
              fleet.coreStatus().path("shardsWithReducedRedundancy").asLong(-1),
              expected.number(),
              faults);
      case "storage-refused" ->
          exactly("refused storage marks", fleet.storageRefusals, expected.number(), faults);
      case "live-share" -> {
        List<History.Seen> answers = fleet.simulation.history.of(Kind.LIVE_ANSWERED);
        double share =
            (double)
                    answers.stream()
                        .filter(
                            seen ->
                                seen.detail().equals("complete")
                                    || seen.detail().equals("AlreadyClaimed"))
                        .count()
                / Math.max(1, answers.size());
        if (share < expected.number()) {
          faults.add(
              "expected a share of " + expected.number() + " live requests served, was " + share);
        }
      }
      default -> {
        if (expected.what().startsWith("shards-on:")) {
          String name = expected.what().substring(10);
          long shards = -1;
          for (JsonNode each : fleet.coreStatus().path("storage")) {
            if (each.path("name").asText().equals(name) && each.path("live").asBoolean()) {
              shards = each.path("shards").asLong();
            }
          }
          exactly("shards on " + name, shards, expected.number(), faults);
          return;
        }
        if (expected.what().startsWith("core-member:")) {
          String name = expected.what().substring(12);
          long member = 0;
          for (JsonNode each : fleet.coreStatus().at("/roster/members")) {
            member += each.path("name").asText().equals(name) ? 1 : 0;
          }
          exactly("core members named " + name, member, expected.number(), faults);
          return;
        }
        faults.add("unknown expectation " + expected.what());
      }
    }
  }

  private static void exactly(String what, long seen, double wanted, List<String> faults) {
    if (seen != wanted) {
      faults.add("expected " + (long) wanted + " " + what + ", were " + seen);
    }
  }

  private static void atMost(String what, long seen, double wanted, List<String> faults) {
    if (seen > wanted) {
      faults.add("expected at most " + wanted + " for " + what + ", was " + seen);
    }
  }

  private static void atLeast(String what, long seen, double wanted, List<String> faults) {
    if (seen < wanted) {
      faults.add("expected at least " + wanted + " " + what + ", were " + seen);
    }
  }
}
