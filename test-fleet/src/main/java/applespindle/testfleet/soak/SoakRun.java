package applespindle.testfleet.soak;

import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.processes.Fleet;
import applespindle.testfleet.processes.RealTraffic;
import applespindle.testfleet.processes.RealTraffic.Batch;
import applespindle.testfleet.soak.NetworkFaults.Traffic;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/** Runs one fleet under the faults of one seed, from its start to the check of its history. */
final class SoakRun {
  private static final long OPEN_MS = 120_000;

  /** From the end of the traffic until every batch must be finished. */
  private static final long SETTLE_MS = 90_000;

  /** Traffic goes on for this long after the last fault, so that recovery is checked too. */
  private static final long TRAFFIC_AFTER_MS = 4_000;

  /** Shorter than most pauses, so that a batch is at another edge when a paused edge resumes. */
  private static final long PATIENCE_MS = 2_500;

  private static final double CHECKS_PER_SECOND = 10;
  private static final double NOTES_PER_SECOND = 1;
  private static final double ONCE_PER_SECOND = 3;

  /** Every so-many-th batch is given up once refused; no item of such a batch may run. */
  private static final int GIVEN_UP_EVERY = 2;

  private static final long BATCH_EVERY_MS = 500;
  private static final int HEAP_MEGABYTES = 96;

  /** The result of one seed. */
  record Outcome(
      SoakPlan plan,
      List<Batch> batches,
      String acceptance,
      String traffic,
      Map<Traffic, Long> relayed,
      long invariantsSeen,
      List<String> violations) {
    boolean sound() {
      return violations.isEmpty();
    }

    @Override
    public String toString() {
      long accepted = batches.stream().filter(Batch::accepted).count();
      long finished = batches.stream().filter(Batch::finished).count();
      long refused = batches.stream().filter(Batch::refused).count();
      return "seed "
          + plan.seed()
          + (sound() ? " sound" : " BROKEN")
          + "; "
          + plan
          + "; batches "
          + batches.size()
          + ", accepted "
          + accepted
          + ", refused "
          + refused
          + ", finished "
          + finished
          + "; accepted after "
          + acceptance
          + "; "
          + traffic
          + "; relayed pieces "
          + relayed
          + "; invariant counters seen "
          + invariantsSeen
          + "; violations "
          + violations;
    }
  }

  private final Deployment deployment;
  private final Path folder;
  private final String classPath;

  SoakRun(Deployment deployment, Path folder, String classPath) {
    this.deployment = deployment;
    this.folder = folder;
    this.classPath = classPath;
  }

  /** Runs a plan; writes the history to the folder, where the logs of the processes are too. */
  Outcome run(SoakPlan plan) throws IOException, InterruptedException {
    NetworkFaults links = new NetworkFaults();
    InvariantCounters invariants = new InvariantCounters();
    try (Relays relays = new Relays(links);
        Fleet fleet = new Fleet(deployment, folder, classPath, 0)) {
      Thread closing = new Thread(fleet::close);
      Runtime.getRuntime().addShutdownHook(closing);
      fleet.wiring = relays;
      fleet.edges = plan.edges();
      fleet.storages = plan.storages();
      fleet.heapMegabytes = HEAP_MEGABYTES;
      fleet.start();
      fleet.open(OPEN_MS);
      RealTraffic traffic = new RealTraffic(fleet, traffic(plan));
      soak(fleet, links, invariants, plan, traffic);
      List<String> violations = new SoakVerifier(fleet, invariants).verify(traffic.batchesSeen());
      Files.writeString(folder.resolve("history.jsonl"), fleet.history.toLines());
      Runtime.getRuntime().removeShutdownHook(closing);
      return new Outcome(
          plan,
          traffic.batchesSeen(),
          acceptance(traffic),
          traffic.summary(),
          links.met(),
          invariants.seen(),
          violations);
    }
  }

  private static RealTraffic.Plan traffic(SoakPlan plan) {
    return new RealTraffic.Plan(
        plan.seed(),
        CHECKS_PER_SECOND,
        NOTES_PER_SECOND,
        ONCE_PER_SECOND,
        BATCH_EVERY_MS,
        plan.endsMs() + TRAFFIC_AFTER_MS,
        PATIENCE_MS,
        Integer.MAX_VALUE,
        GIVEN_UP_EVERY,
        SETTLE_MS);
  }

  private static void soak(
      Fleet fleet,
      NetworkFaults links,
      InvariantCounters invariants,
      SoakPlan plan,
      RealTraffic traffic)
      throws InterruptedException {
    AtomicReference<Exception> failure = new AtomicReference<>();
    Thread injection =
        new Thread(
            () -> {
              try {
                new SoakFaultInjector(fleet, links, invariants).run(plan);
              } catch (IOException | InterruptedException | RuntimeException failed) {
                failure.set(failed);
              }
            },
            "troubles");
    injection.start();
    traffic.run();
    injection.join();
    if (failure.get() != null) {
      throw new IllegalStateException("the troubles were not made as planned", failure.get());
    }
  }

  private static String acceptance(RealTraffic traffic) {
    return "p50 "
        + traffic.acceptedWithinMs(50)
        + " ms, p99 "
        + traffic.acceptedWithinMs(99)
        + " ms, max "
        + traffic.acceptedWithinMs(100)
        + " ms";
  }
}
