package applespindle.testfleet.capacity;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.operatortool.HttpCaller.Result;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.processes.Fleet;
import applespindle.testfleet.processes.Fleet.Member;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * One scale run on real time: a small fleet of real processes, and hundreds of lightweight edges in
 * a few processes beside it, each a {@link LightweightEdgeHost}.
 */
final class ProcessScale implements AutoCloseable {
  /** A change that is not in force everywhere by then counts as one that took this long. */
  private static final long GIVEN_UP_MS = 60_000;

  private static final long JOIN_MS = 180_000;
  private static final int ZONES = 12;
  private static final int RACK_NODES = 20;
  private static final int CUT_REGION = 1;
  private static final int ZONE = 3;

  /**
   * Below the range that outgoing connections take their ports from; each run has its own, as
   * sockets linger.
   */
  private static final int PORTS_FROM = 10_000;

  private static final int PORTS_OF_A_RUN = 2_200;
  private static final int RUNS_OF_PORTS = 10;
  private static final int PORTS_OF_FLEET = 100;

  /** One change; the delay of its acknowledgement is at most {@link #GIVEN_UP_MS}. */
  private record Sent(long number, long sentAtNanos, long acknowledgedMs) {}

  private final Measurements measured;
  private final int nodes;
  private final long phaseMs;
  private final int changesAMinute;
  private final int cutMost;
  private final Fleet fleet;
  private final List<LightweightEdgeProcess> hosts = new ArrayList<>();
  private final FleetLayout layout;
  private long configurationNumber = 1;

  ProcessScale(
      Measurements measured,
      int nodes,
      long phaseMs,
      int changesAMinute,
      int hostCount,
      int processHeapMegabytes,
      int cutMost,
      Path folder,
      String classPath,
      int run)
      throws IOException {
    this.measured = measured;
    this.nodes = nodes;
    this.phaseMs = phaseMs;
    this.changesAMinute = changesAMinute;
    this.cutMost = cutMost;
    int firstPort = PORTS_FROM + run % RUNS_OF_PORTS * PORTS_OF_A_RUN;
    fleet = new Fleet(Deployment.SMALL, folder, classPath, firstPort);
    fleet.heapMegabytes = processHeapMegabytes;
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    fleet.start();
    fleet.open(JOIN_MS);
    layout = new FleetLayout(nodes, firstPort + PORTS_OF_FLEET, ZONES, fleet.controlPlanePeers());
    int each = (nodes + hostCount - 1) / hostCount;
    for (int first = 0; first < nodes; first += each) {
      int count = Math.min(each, nodes - first);
      hosts.add(LightweightEdgeProcess.start(layout, first, count, classPath, folder));
    }
  }

  /** Memory of a run: the processes of lightweight edges and the nine real ones. */
  static int totalMegabytes(int nodes, int hostCount, int processHeapMegabytes) {
    int each = (nodes + hostCount - 1) / hostCount;
    return hostCount * (LightweightEdgeProcess.heapMegabytes(nodes, each) + 60)
        + 9 * (processHeapMegabytes + 60);
  }

  void run() {
    join();
    pause(5_000);
    rest();
    changes("changes");
    lose("machines", node -> node % 100 == 0);
    List<Integer> rack =
        IntStream.range(0, nodes)
            .filter(node -> layout.zone(node) == ZONE)
            .limit(RACK_NODES)
            .boxed()
            .toList();
    lose("rack", rack::contains);
    lose("zone", node -> layout.zone(node) == ZONE);
    if (nodes <= cutMost) {
      cutRegion();
    }
  }

  private void join() {
    long begunAt = System.nanoTime();
    execute("start");
    long joined = waitReady(nodes, JOIN_MS);
    double joinedMs = joined < nodes ? JOIN_MS : (System.nanoTime() - begunAt) / 1e6;
    add("join", "edge", "all ready after", "ms", joinedMs);
    add("join", "edge", "not ready by then", "nodes", nodes - joined);
  }

  private void rest() {
    Map<String, double[]> before = meters();
    pause(phaseMs);
    rates("rest", before);
    long heapBytes =
        execute("heap").stream().mapToLong(answer -> answer.path("heap").asLong()).sum();
    add("rest", "edge", "heap", "B", heapBytes / (double) nodes);
    add("rest", "core", "memory", "MB", largestResidentMegabytes("core"));
    add("rest", "real edge", "memory", "MB", largestResidentMegabytes("edge"));
  }

  private long largestResidentMegabytes(String role) {
    return fleet.ofRole(role).stream().mapToLong(ProcessScale::residentMegabytes).max().orElse(0);
  }

  private void add(String experiment, String role, String metric, String unit, double value) {
    measured.add(experiment, role, metric, unit, "nodes", nodes, value);
    System.out.printf(
        "%-10s %5d %-10s %-44s %12s %s%n",
        experiment, nodes, role, metric, Measurements.number(value), unit);
  }

  private List<JsonNode> execute(String command) {
    return hosts.stream().map(host -> host.execute(command)).toList();
  }

  private long ready() {
    return execute("ready").stream().mapToLong(answer -> answer.path("ready").asLong()).sum();
  }

  private long waitReady(long wanted, long mostMs) {
    long endsAt = System.nanoTime() + mostMs * 1_000_000L;
    long ready = ready();
    while (ready < wanted && System.nanoTime() < endsAt) {
      pause(200);
      ready = ready();
    }
    return ready;
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  // ---- meters

  private static long processorNanos(Member member) {
    return ProcessHandle.of(member.pid())
        .flatMap(handle -> handle.info().totalCpuDuration())
        .map(Duration::toNanos)
        .orElse(0L);
  }

  private static long residentMegabytes(Member member) {
    try {
      return Files.readAllLines(Path.of("/proc/" + member.pid() + "/status")).stream()
          .filter(line -> line.startsWith("VmRSS"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) >> 10)
          .findFirst()
          .orElse(0);
    } catch (IOException gone) {
      return 0;
    }
  }

  /**
   * By role: processor nanoseconds and bytes carried, each as a sum; the last figure is the time.
   */
  private Map<String, double[]> meters() {
    Map<String, double[]> figures = new LinkedHashMap<>();
    List<JsonNode> answers = execute("meter");
    figures.put(
        "edge",
        new double[] {
          answers.stream().mapToDouble(answer -> answer.path("processorNanos").asDouble()).sum(),
          answers.stream()
              .mapToDouble(
                  answer -> answer.path("sent").asDouble() + answer.path("received").asDouble())
              .sum(),
          System.nanoTime()
        });
    for (String role : List.of("core", "edge", "storage")) {
      figures.put(
          "real " + role,
          new double[] {
            fleet.ofRole(role).stream().mapToDouble(ProcessScale::processorNanos).sum(),
            0,
            System.nanoTime()
          });
    }
    return figures;
  }

  private void rates(String experiment, Map<String, double[]> before) {
    Map<String, double[]> after = meters();
    after.forEach(
        (role, figures) -> {
          double seconds = (figures[2] - before.get(role)[2]) / 1e9;
          int count = role.equals("edge") ? nodes : fleet.ofRole(role.substring(5)).size();
          boolean oneEach = role.equals("real core") || role.equals("real storage");
          String shown = oneEach ? role.substring("real ".length()) : role;
          add(
              experiment,
              shown,
              "processor",
              "ms/s",
              (figures[0] - before.get(role)[0]) / 1e6 / seconds / count);
          if (role.equals("edge")) {
            add(
                experiment,
                shown,
                "sent and received",
                "B/s",
                (figures[1] - before.get(role)[1]) / seconds / count);
          }
        });
  }

  // ---- changes and faults

  /** Sends one change as an operator does, again until it is acknowledged or given up. */
  private Sent send() {
    configurationNumber++;
    String configuration = new String(SyntheticConfiguration.of(configurationNumber, 10, 0), UTF_8);
    long begunAt = System.nanoTime();
    List<Member> controlPlanes = fleet.ofRole("core");
    for (int attempt = 0; (System.nanoTime() - begunAt) / 1_000_000 < GIVEN_UP_MS; attempt++) {
      Result result =
          fleet.sendConfiguration(
              controlPlanes.get(attempt % controlPlanes.size()).http, configuration);
      if (result.good()) {
        return new Sent(configurationNumber, begunAt, (System.nanoTime() - begunAt) / 1_000_000);
      }
      pause(100);
    }
    return new Sent(configurationNumber, begunAt, GIVEN_UP_MS);
  }

  /**
   * Sends changes at the rate of the target for a phase, each at its time or once the one before is
   * acknowledged.
   */
  private void changes(String experiment) {
    int count = (int) Math.max(1, changesAMinute * phaseMs / 60_000);
    Map<String, double[]> before = meters();
    long begunAt = System.nanoTime();
    List<Sent> sent = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      pause(Math.max(0, index * phaseMs / count - (System.nanoTime() - begunAt) / 1_000_000));
      sent.add(send());
    }
    pause(Math.max(0, phaseMs - (System.nanoTime() - begunAt) / 1_000_000));
    rates(experiment, before);
    addDelays(experiment, sent);
  }

  private void addDelays(String experiment, List<Sent> sent) {
    List<Long> delays = new ArrayList<>();
    long unknown = 0;
    for (Sent change : sent) {
      for (JsonNode answer : execute("known " + change.number())) {
        for (JsonNode knownAt : answer.path("known")) {
          if (knownAt.asLong() < 0) {
            unknown++;
          } else {
            delays.add((knownAt.asLong() - change.sentAtNanos()) / 1_000_000);
          }
        }
      }
    }
    List<Long> acknowledged = sent.stream().map(Sent::acknowledgedMs).toList();
    long medianAcknowledged = SimulatedScale.percentile(acknowledged, 50);
    long slowestAcknowledged = SimulatedScale.percentile(acknowledged, 100);
    add(experiment, "edge", "known after, median", "ms", SimulatedScale.percentile(delays, 50));
    add(experiment, "edge", "known after, 99th", "ms", SimulatedScale.percentile(delays, 99));
    add(experiment, "edge", "known after, slowest", "ms", SimulatedScale.percentile(delays, 100));
    add(experiment, "edge", "never known by then", "changes x nodes", unknown);
    add(experiment, "core", "acknowledged after, median", "ms", medianAcknowledged);
    add(experiment, "core", "acknowledged after, slowest", "ms", slowestAcknowledged);
  }

  private void lose(String experiment, IntPredicate lost) {
    String names =
        IntStream.range(0, nodes)
            .filter(lost)
            .mapToObj(Integer::toString)
            .collect(Collectors.joining(" "));
    execute("kill " + names);
    changes(experiment);
    execute("start " + names);
    long begunAt = System.nanoTime();
    long ready = waitReady(nodes, GIVEN_UP_MS);
    add(
        experiment,
        "edge",
        "ready again after, slowest",
        "ms",
        ready < nodes ? GIVEN_UP_MS : (System.nanoTime() - begunAt) / 1e6);
    pause(3_000);
  }

  private void cutRegion() {
    execute("cut " + CUT_REGION);
    pause(1_500);
    changes("region-cut");
    execute("cut -1");
    long begunAt = System.nanoTime();
    long ready = waitReady(nodes, GIVEN_UP_MS);
    add(
        "region-cut",
        "edge",
        "all ready after it healed",
        "ms",
        ready < nodes ? GIVEN_UP_MS : (System.nanoTime() - begunAt) / 1e6);
  }

  @Override
  public void close() {
    hosts.forEach(LightweightEdgeProcess::close);
    fleet.close();
  }
}
