package applespindle.testfleet.capacity;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.adapters.PeerCodec;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import io.activej.eventloop.Eventloop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Many {@link LightweightEdge lightweight edges} in one process, on one thread. Takes one command a
 * line and answers each by one line of JSON.
 *
 * <p>Only {@link ProcessScale} starts this program: for {@code scale --processes}, whose runs
 * docs/CAPACITY.md reports and shows how to repeat. What a real edge costs can't be read from it: a
 * lightweight one has no HTTP and shares its process. Figures for a node come from the experiments
 * and from the real processes beside it.
 */
public final class LightweightEdgeHost {
  /** Nodes come up this far apart, so that their heartbeats do not fall together. */
  private static final long START_APART_MS = 3;

  private final Eventloop loop = Eventloop.builder().withThreadName("edges").build();
  private final PeerCodec codec = new PeerCodec();
  private final List<LightweightEdge> edges = new ArrayList<>();
  private final NetworkCut networkCut = new NetworkCut();

  /** In nanoseconds of the machine's steady clock, which all processes share. */
  private final ConfigurationArrivals<Integer> arrivals = new ConfigurationArrivals<>();

  private LightweightEdgeHost(FleetLayout layout, int first, int count) throws IOException {
    for (int index = first; index < first + count; index++) {
      edges.add(new LightweightEdge(index, loop, codec, layout, networkCut, arrivals));
    }
  }

  /** Arguments: NODES FIRST_PORT ZONES FIRST COUNT SEED... */
  public static void main(String[] arguments) throws IOException {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    int[] numbers = Arrays.stream(arguments).limit(5).mapToInt(Integer::parseInt).toArray();
    var layout =
        new FleetLayout(
            numbers[0], numbers[1], numbers[2], List.of(arguments).subList(5, arguments.length));
    LightweightEdgeHost host = new LightweightEdgeHost(layout, numbers[3], numbers[4]);
    host.loop.keepAlive(true);
    Thread thread = new Thread(host.loop, "edges");
    thread.start();
    try (BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        String command = line;
        host.loop.execute(
            () -> {
              System.out.println(host.execute(command.split(" ")));
              System.out.flush();
            });
      }
    }
    System.exit(0);
  }

  private List<LightweightEdge> selected(String[] words) {
    List<Integer> indexes =
        IntStream.range(1, words.length).mapToObj(word -> Integer.parseInt(words[word])).toList();
    return edges.stream()
        .filter(edge -> words.length == 1 || indexes.contains(edge.index))
        .toList();
  }

  private ObjectNode execute(String[] words) {
    ObjectNode answer = JSON.createObjectNode();
    switch (words[0]) {
      case "start" -> {
        long afterMs = 0;
        for (LightweightEdge edge : selected(words)) {
          afterMs += START_APART_MS;
          loop.delay(afterMs, edge::start);
        }
      }
      case "kill" -> selected(words).forEach(LightweightEdge::kill);
      case "cut" -> networkCut.cut(Integer.parseInt(words[1]));
      case "ready" ->
          answer.put(
              "ready",
              edges.stream()
                  .filter(edge -> edge.up && edge.node.notReadyReason().isEmpty())
                  .count());
      case "known" -> {
        ArrayNode rows = answer.putArray("known");
        Map<Integer, Long> known = arrivals.of(Long.parseLong(words[1]));
        edges.stream()
            .filter(edge -> edge.up)
            .forEach(edge -> rows.add(known.getOrDefault(edge.index, -1L)));
      }
      case "meter" ->
          answer
              .put(
                  "processorNanos",
                  ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                      .getProcessCpuTime())
              .put("sent", edges.stream().mapToLong(edge -> edge.peers.sent).sum())
              .put("received", edges.stream().mapToLong(edge -> edge.peers.received).sum());
      case "heap" -> {
        System.gc();
        answer.put("heap", ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
      }
      default -> answer.put("fault", "no such command: " + words[0]);
    }
    return answer;
  }
}
