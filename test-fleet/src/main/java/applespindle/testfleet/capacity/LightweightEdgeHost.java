package applespindle.testfleet.capacity;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.adapters.PeerCodec;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Many hollow edges in one process: the real logic of an edge and real peer frames over TCP, one
 * thread for all, no HTTP, no disk and no workers that answer. Takes a command a line, answers each
 * by one line of JSON.
 */
public final class LightweightEdgeHost {
  /** Nodes come up this far apart, so that their beats do not fall on one instant. */
  private static final long START_APART_MS = 3;

  /**
   * The fleet as all hosts know it: node i lives at firstPort + i, in zone i mod zones; two zones
   * to a region.
   */
  record Layout(int nodes, int firstPort, int zones, List<String> seeds) {
    static final String HOST = "127.0.0.1";

    String address(int node) {
      return HOST + ":" + (firstPort + node);
    }

    int zone(int node) {
      return node % zones;
    }

    int region(int node) {
      return zone(node) / 2;
    }

    /** The region of whoever lives at the address; -1 for processes that are not hollow. */
    int regionOf(String address) {
      int node = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)) - firstPort;
      return address.startsWith(HOST) && node >= 0 && node < nodes ? region(node) : -1;
    }
  }

  private final class Hollow implements Environment {
    final int index;
    final LightweightPeerTransport peers;
    private final SplittableRandom random;
    Node node;
    boolean up;
    private int life;

    Hollow(int index) throws IOException {
      this.index = index;
      this.random = new SplittableRandom(index);
      this.peers = new LightweightPeerTransport(loop, codec, layout.address(index), this::received);
    }

    void start() {
      up = true;
      life++;
      node =
          new EdgeNode(
              this,
              new NodeIdentity(
                  String.format("%04x%04x%04x", index, life, random.nextInt(1 << 16)),
                  1,
                  "hollow-" + index,
                  "zone-" + layout.zone(index),
                  "edge",
                  layout.address(index),
                  layout.address(index),
                  layout.seeds));
      node.start();
    }

    void kill() {
      up = false;
      life++;
    }

    private boolean apart(String address) {
      return cutRegion >= 0
          && (layout.region(index) == cutRegion) != (layout.regionOf(address) == cutRegion);
    }

    private void received(Envelope envelope) {
      if (!up || apart(envelope.fromAddress())) {
        return;
      }
      node.receive(envelope);
      if (envelope.message() instanceof ChangeFeedUpdate update) {
        for (MetadataRecord metadataRecord : update.records()) {
          if (metadataRecord.key().equals("bundle")) {
            long number =
                numbers.computeIfAbsent(
                    Arrays.hashCode(metadataRecord.value()),
                    unseen ->
                        Json.read(metadataRecord.value(), SignedConfiguration.class).number());
            knownAt
                .computeIfAbsent(number, unseen -> new HashMap<>())
                .putIfAbsent(index, System.nanoTime());
          }
        }
      }
    }

    @Override
    public long nowMs() {
      return System.nanoTime() / 1_000_000L;
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      int inLife = life;
      ScheduledRunnable planned =
          loop.delay(
              millis,
              () -> {
                if (up && life == inLife) {
                  task.run();
                }
              });
      return planned::cancel;
    }

    @Override
    public void send(String peerAddress, Envelope envelope) {
      if (peerAddress.equals(layout.address(index))) {
        schedule(0, () -> node.receive(envelope));
      } else if (!apart(peerAddress)) {
        peers.send(peerAddress, envelope);
      }
    }

    @Override
    public void write(List<LogRecord> records, Runnable whenSynced) {
      throw new IllegalStateException("an edge keeps no records");
    }

    @Override
    public boolean acceptsWrites() {
      return false;
    }

    @Override
    public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
      throw new IllegalStateException("a hollow node serves nothing");
    }

    /** Never answered: reads of load are HTTP and counted by the slopes. */
    @Override
    public void readLoad(
        String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {}

    @Override
    public RandomGenerator random() {
      return random;
    }

    @Override
    public void log(String part, String sentence) {}
  }

  private final Eventloop loop = Eventloop.builder().withThreadName("hollow").build();
  private final PeerCodec codec = new PeerCodec();
  private final Layout layout;
  private final List<Hollow> hollows = new ArrayList<>();
  private final Map<Integer, Long> numbers = new HashMap<>();

  /** By bundle number and node, when its news was folded; on the machine's own steady clock. */
  private final Map<Long, Map<Integer, Long>> knownAt = new HashMap<>();

  private int cutRegion = -1;

  private LightweightEdgeHost(Layout layout, int first, int count) throws IOException {
    this.layout = layout;
    for (int index = first; index < first + count; index++) {
      hollows.add(new Hollow(index));
    }
  }

  /** NODES FIRST_PORT ZONES FIRST COUNT SEED... */
  public static void main(String[] arguments) throws IOException {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    int[] numbers = Arrays.stream(arguments).limit(5).mapToInt(Integer::parseInt).toArray();
    var layout =
        new Layout(
            numbers[0], numbers[1], numbers[2], List.of(arguments).subList(5, arguments.length));
    LightweightEdgeHost host = new LightweightEdgeHost(layout, numbers[3], numbers[4]);
    host.loop.keepAlive(true);
    Thread thread = new Thread(host.loop, "hollow");
    thread.start();
    try (BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        String command = line;
        host.loop.execute(
            () -> {
              System.out.println(host.obey(command.split(" ")));
              System.out.flush();
            });
      }
    }
    System.exit(0);
  }

  private List<Hollow> named(String[] words) {
    List<Integer> indexes =
        IntStream.range(1, words.length).mapToObj(word -> Integer.parseInt(words[word])).toList();
    return hollows.stream()
        .filter(hollow -> words.length == 1 || indexes.contains(hollow.index))
        .toList();
  }

  private ObjectNode obey(String[] words) {
    ObjectNode answer = JSON.createObjectNode();
    switch (words[0]) {
      case "start" -> {
        long afterMs = 0;
        for (Hollow hollow : named(words)) {
          afterMs += START_APART_MS;
          loop.delay(afterMs, hollow::start);
        }
      }
      case "kill" -> named(words).forEach(Hollow::kill);
      case "cut" -> cutRegion = Integer.parseInt(words[1]);
      case "ready" ->
          answer.put(
              "ready",
              hollows.stream()
                  .filter(hollow -> hollow.up && hollow.node.notReadyReason().isEmpty())
                  .count());
      case "known" -> {
        ArrayNode rows = answer.putArray("known");
        Map<Integer, Long> known = knownAt.getOrDefault(Long.parseLong(words[1]), Map.of());
        hollows.stream()
            .filter(hollow -> hollow.up)
            .forEach(hollow -> rows.add(known.getOrDefault(hollow.index, -1L)));
      }
      case "meter" ->
          answer
              .put(
                  "processorNanos",
                  ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                      .getProcessCpuTime())
              .put("sent", hollows.stream().mapToLong(hollow -> hollow.peers.sent).sum())
              .put("received", hollows.stream().mapToLong(hollow -> hollow.peers.received).sum());
      case "heap" -> {
        System.gc();
        answer.put("heap", ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
      }
      default -> answer.put("fault", "no such command: " + words[0]);
    }
    return answer;
  }
}
