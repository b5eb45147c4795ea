package applespindle.corelogic.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.duty.ClosedWindow;
import applespindle.corelogic.environment.DutySettings;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.node.NodeIdentity;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/** Edges that count, and one holder at a time that collects, over an unreliable network. */
final class UsageCollectionFixture {
  static final long WINDOW_MS = 5_000;
  static final long DELAY_MS = 10_000;
  private static final DutySettings DUTIES =
      new DutySettings(true, false, true, 3_000, WINDOW_MS, DELAY_MS, 50);
  private static final long TRUE_TIME_AHEAD_MS = 1_700_000_000_000L;
  private static final long TICK_MS = 50;
  private static final int CONTROL_PLANE_RETRIES = 3;
  private static final long ATTEMPT_TIMEOUT_MS = 600;

  /** Shared time; one more view of it, with a clock of its own, is made for each node. */
  private final Timeline time = new Timeline();

  private final SplittableRandom random;
  private final List<Edge> edges = new ArrayList<>();
  private final SortedMap<Long, SortedMap<String, Long>> truth = new TreeMap<>();
  private final SortedMap<Long, SortedMap<String, Long>> closed = new TreeMap<>();
  private final Set<String> live = new TreeSet<>();
  private Node holderNode;
  private UsageCollector holder;
  private long fence;
  private long closedThrough;
  private long latestClosingMs;
  private boolean metered = true;
  private double lossPart;
  private double repeatPart;
  private long extraDelayMs = 1;

  UsageCollectionFixture(long seed, int edgeCount) {
    random = new SplittableRandom(seed);
    for (int index = 0; index < edgeCount; index++) {
      Edge edge = new Edge("edge-" + index);
      edges.add(edge);
      live.add(edge.id);
    }
    takeOver();
  }

  private static final class Timeline extends FakeEnvironment {
    Timeline() {
      super(1_002_300);
    }
  }

  private final class KnownEdges implements UsageCollector.Edges {
    @Override
    public Set<String> live() {
      return live;
    }

    @Override
    public int expected() {
      return edges.size();
    }
  }

  /** One machine's view of the time. */
  private final class Node extends FakeEnvironment {
    private long stepMs;

    Node() {
      super(0);
    }

    @Override
    public long nowMs() {
      return time.nowMs();
    }

    @Override
    public long wallClockMs() {
      return time.nowMs() + TRUE_TIME_AHEAD_MS + stepMs;
    }
  }

  private final class Edge {
    private final String id;
    private final Node node = new Node();
    private final UsageRecorder recorder = new UsageRecorder();
    private final UsageReporter reporter;
    private boolean running = true;
    private boolean accepting = true;
    private boolean cutOff;
    private long begunSinceReport;

    Edge(String id) {
      this.id = id;
      NodeIdentity identity = new NodeIdentity(id, 1, id, "zone", "edge", id, id, List.of());
      reporter = new UsageReporter(node, identity, WINDOW_MS, recorder, this::send);
    }

    private void begin(String tenant) {
      recorder.record(tenant, node.nowMs());
      begunSinceReport++;
      long window = Math.floorDiv(node.nowMs() + TRUE_TIME_AHEAD_MS, WINDOW_MS);
      truth.computeIfAbsent(window, ignored -> new TreeMap<>()).merge(tenant, 1L, Long::sum);
    }

    private void send(UsageReport report, Consumer<Response> callback) {
      new Sending(this, report, callback).attempt(CONTROL_PLANE_RETRIES);
    }
  }

  /** One request of an edge, with its retries. */
  private final class Sending {
    private final Edge edge;
    private final UsageReport report;
    private final Consumer<Response> callback;
    private boolean ended;

    Sending(Edge edge, UsageReport report, Consumer<Response> callback) {
      this.edge = edge;
      this.report = report;
      this.callback = callback;
    }

    private void attempt(int left) {
      if (ended) {
        return;
      }
      if (left == 0) {
        end(Response.of(new ApiError.NoQuorum("usage")));
        return;
      }
      int copies = random.nextDouble() < repeatPart ? 2 : 1;
      for (int copy = 0; copy < copies; copy++) {
        deliver(this::arrive);
      }
      time.schedule(ATTEMPT_TIMEOUT_MS, () -> attempt(left - 1));
    }

    private void deliver(Runnable arrival) {
      if (!edge.cutOff && random.nextDouble() >= lossPart) {
        time.schedule(1 + random.nextLong(extraDelayMs), arrival);
      }
    }

    private void arrive() {
      if (holder == null) {
        return;
      }
      UsageReportResponse response = holder.handle(report, closedThrough);
      deliver(() -> end(Response.of(200, response)));
    }

    private void end(Response response) {
      if (!ended && edge.running) {
        ended = true;
        edge.begunSinceReport = response.isSuccess() ? 0 : edge.begunSinceReport;
        callback.accept(response);
      }
    }
  }

  // ---- what happens

  void network(double losses, double repeats, long delayMs) {
    lossPart = losses;
    repeatPart = repeats;
    extraDelayMs = delayMs;
  }

  void stepClock(int edge, long millis) {
    edges.get(edge).node.stepMs += millis;
  }

  void stepHolderClock(long millis) {
    holderNode.stepMs += millis;
  }

  void setMetered(boolean isMetered) {
    metered = isMetered;
  }

  void kill(int index) {
    Edge edge = edges.get(index);
    edge.running = false;
    time.schedule(2_000, () -> live.remove(edge.id));
  }

  void stop(int index) {
    Edge edge = edges.get(index);
    edge.accepting = false;
    edge.reporter.flush(
        () -> {
          edge.running = false;
          live.remove(edge.id);
        });
  }

  void cutOff(int index) {
    edges.get(index).cutOff = true;
  }

  /** The holder dies; another one takes over after a while, during which the load goes on. */
  void changeHolder(long pauseMs) {
    holder = null;
    runLoad(pauseMs);
    takeOver();
  }

  private void takeOver() {
    holderNode = new Node();
    holder = newCollector();
    holder.begin(++fence);
  }

  UsageCollector newCollector() {
    return new UsageCollector(
        holderNode, "holder-" + fence, DUTIES, () -> metered, new KnownEdges());
  }

  void runLoad(long millis) {
    run(millis, true);
  }

  void runIdle(long millis) {
    run(millis, false);
  }

  private void run(long millis, boolean load) {
    for (long until = time.nowMs() + millis; time.nowMs() < until; time.run(TICK_MS)) {
      for (Edge edge : edges) {
        if (edge.running) {
          tick(edge, load);
        }
      }
      if (holder != null) {
        closeWindows();
      }
    }
  }

  private void tick(Edge edge, boolean load) {
    if (load && edge.accepting && random.nextInt(4) == 0) {
      edge.begin("tenant-" + random.nextInt(5));
    }
    edge.reporter.tick();
  }

  private void closeWindows() {
    Optional<ClosedWindow> next = holder.nextClosedWindow(closedThrough, time.nowMs());
    next.ifPresent(
        window -> {
          closedThrough = window.windowId();
          closed.put(closedThrough, window.counters());
          long endMs = (closedThrough + 1) * WINDOW_MS;
          latestClosingMs = Math.max(latestClosingMs, time.nowMs() + TRUE_TIME_AHEAD_MS - endMs);
        });
  }

  // ---- what was seen

  /** The windows that were closed; those before and after the load are left out. */
  SortedMap<Long, SortedMap<String, Long>> closed() {
    SortedMap<Long, SortedMap<String, Long>> known = new TreeMap<>(closed);
    if (!truth.isEmpty()) {
      known.headMap(truth.firstKey()).values().forEach(counts -> assertThat(counts).isEmpty());
      known.headMap(truth.firstKey()).clear();
      known.tailMap(truth.lastKey() + 1).values().forEach(counts -> assertThat(counts).isEmpty());
      known.tailMap(truth.lastKey() + 1).clear();
    }
    return known;
  }

  SortedMap<Long, SortedMap<String, Long>> truth() {
    return truth;
  }

  long total(Map<Long, SortedMap<String, Long>> windows) {
    return windows.values().stream()
        .flatMap(counts -> counts.values().stream())
        .mapToLong(Long::longValue)
        .sum();
  }

  long latestClosingMs() {
    return latestClosingMs;
  }

  long begunByKilledEdgesSinceLastReport() {
    return edges.stream()
        .filter(edge -> !edge.running)
        .mapToLong(edge -> edge.begunSinceReport)
        .sum();
  }

  /** Every window's total is right within a part of the truth. */
  void assertClosedWithin(double part) {
    assertThat(closed().keySet()).isEqualTo(truth.keySet());
    truth.forEach(
        (window, counts) -> {
          double expected = counts.values().stream().mapToLong(Long::longValue).sum();
          double reported = closed.get(window).values().stream().mapToLong(Long::longValue).sum();
          assertWithMessage("window %s", window)
              .that(reported)
              .isWithin(Math.max(1, part * expected))
              .of(expected);
        });
  }
}
