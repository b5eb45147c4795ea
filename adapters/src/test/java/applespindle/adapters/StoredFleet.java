package applespindle.adapters;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.storage.StorageNode;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Three control-plane nodes, four storage nodes and one edge in one thread on simulated time, with
 * real logs in data folders. Its one worker answers each prompt and each proxied request at once,
 * unless its text says otherwise.
 */
final class StoredFleet implements AutoCloseable {
  /** In a prompt or a proxied body: the worker never answers. */
  static final String HOLD = "hold";

  /**
   * In a prompt: the worker's response is truncated; in a proxied body: it answers with status 500.
   */
  static final String TRUNCATED = "cut";

  static final String WORKER = "worker-1";
  static final String WORKER_ADDRESS = "10.0.4.1:8000";
  private static final String HOST_OF_CORE = "10.0.1.";
  private static final String HOST_OF_STORAGE = "10.0.2.";
  private static final String HOST_OF_EDGE = "10.0.3.";
  private static final int CONTROL_PLANES = 3;
  private static final int STORAGES = 4;
  private static final int ZONES = 3;
  private static final long NETWORK_MS = 1;

  private record Task(long at, long order, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private final Path folder;
  private final Map<String, String> operatorKeys;
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final Map<String, Member> byAddress = new LinkedHashMap<>();
  private final Map<String, Member> byName = new LinkedHashMap<>();
  private long now;
  private long order;

  /** Whether the worker keeps back what is to be held. */
  boolean holding = true;

  /** Starts all nodes; folder holds a data folder for each node that has a disk, or nothing yet. */
  StoredFleet(Path folder, Map<String, String> operatorKeys, String edgeId, long startsAt) {
    this.folder = folder;
    this.operatorKeys = operatorKeys;
    this.now = startsAt;
    for (int number = 1; number <= CONTROL_PLANES; number++) {
      add("core", number, HOST_OF_CORE, "");
    }
    for (int number = 1; number <= STORAGES; number++) {
      add("storage", number, HOST_OF_STORAGE, "");
    }
    add("edge", 1, HOST_OF_EDGE, edgeId);
    byName.values().forEach(member -> member.node.start());
  }

  private void add(String role, int number, String host, String diskless) {
    String name = role + "-" + number;
    String address = host + number + ":7000";
    String zone = "zone-" + ((number - 1) % ZONES + 1);
    Member member = new Member(name, role, zone, address, diskless);
    byAddress.put(address, member);
    byName.put(name, member);
  }

  ControlPlaneNode core(String name) {
    return (ControlPlaneNode) byName.get(name).node;
  }

  StorageNode storage(String name) {
    return (StorageNode) byName.get(name).node;
  }

  EdgeNode edge() {
    return (EdgeNode) byName.get("edge-1").node;
  }

  /** Writes a node's checkpoint, after which its log goes on in a new segment. */
  void checkpoint(String name) {
    Member member = byName.get(name);
    member.log.checkpoint(member.node.checkpoint());
  }

  void runFor(long millis) {
    long until = now + millis;
    while (!tasks.isEmpty() && tasks.peek().at() <= until) {
      Task task = tasks.poll();
      now = task.at();
      task.action().run();
    }
    now = until;
  }

  void runUntil(String what, BooleanSupplier condition) {
    for (int tenths = 0; tenths < 600; tenths++) {
      if (condition.getAsBoolean()) {
        return;
      }
      runFor(100);
    }
    throw new IllegalStateException("waited too long for " + what);
  }

  /** Runs until a question to a node is answered. */
  <T> T answerTo(Consumer<Consumer<T>> question) {
    List<T> answers = new ArrayList<>();
    question.accept(answers::add);
    runUntil("an answer", () -> !answers.isEmpty());
    return answers.get(0);
  }

  private void schedule(long millis, Runnable action) {
    tasks.add(new Task(now + Math.max(0, millis), order++, action));
  }

  @Override
  public void close() {
    byName.values().stream()
        .filter(member -> member.log != null)
        .forEach(member -> member.log.close());
  }

  /** One node with what surrounds it. */
  private final class Member implements Environment {
    private final MemoryAccount memory =
        MemoryAccount.ofHeap(Runtime.getRuntime().maxMemory(), Runnable::run);
    private final PeerCodec codec = new PeerCodec();
    private final RandomGenerator random;
    private final DiskLog log;
    private final Node node;

    /** A node with an id of its own has no disk. */
    Member(String name, String role, String zone, String address, String diskless) {
      this.random = new SplittableRandom(name.hashCode());
      List<LogRecord> records = new ArrayList<>();
      this.log =
          diskless.isEmpty()
              ? DiskLog.open(
                  folder.resolve(name),
                  records::add,
                  message -> {
                    throw new IllegalStateException(name + ": " + message);
                  })
              : null;
      NodeIdentity identity =
          new NodeIdentity(
              log == null ? diskless : log.id(),
              log == null ? 1 : log.incarnation(),
              name,
              zone,
              role,
              address,
              address.replace(":7000", ":7001"),
              seeds());
      this.node = nodeOf(role, identity);
      records.forEach(node::recover);
    }

    private Node nodeOf(String role, NodeIdentity identity) {
      return switch (role) {
        case "core" -> new ControlPlaneNode(this, identity, operatorKeys, List.of());
        case "storage" -> new StorageNode(this, identity, NodeSettings.DEFAULT);
        default -> new EdgeNode(this, identity, NodeSettings.DEFAULT);
      };
    }

    private List<String> seeds() {
      return List.of(HOST_OF_CORE + "1:7000", HOST_OF_CORE + "2:7000", HOST_OF_CORE + "3:7000");
    }

    @Override
    public long nowMs() {
      return now;
    }

    @Override
    public long wallClockMs() {
      return now;
    }

    @Override
    public ScheduledTask schedule(long millis, Runnable task) {
      boolean[] cancelled = new boolean[1];
      StoredFleet.this.schedule(
          millis,
          () -> {
            if (!cancelled[0]) {
              task.run();
            }
          });
      return () -> cancelled[0] = true;
    }

    @Override
    public void send(String peerAddress, Envelope envelope) {
      byte[] frame = codec.encode(envelope);
      schedule(NETWORK_MS, () -> deliver(peerAddress, frame));
    }

    private void deliver(String peerAddress, byte[] frame) {
      Member target = byAddress.get(peerAddress);
      if (target == null) {
        return;
      }
      try {
        target.node.receive(target.codec.decode(frame));
      } catch (UnreadableFrameException broken) {
        throw new IllegalStateException(broken);
      }
    }

    @Override
    public void write(List<LogRecord> records, Runnable whenSynced) {
      if (log != null) {
        log.append(records);
      }
      schedule(NETWORK_MS, whenSynced);
    }

    @Override
    public MemoryAccount memory() {
      return memory;
    }

    @Override
    public boolean acceptsWrites() {
      return true;
    }

    @Override
    public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
      JsonNode body = Json.tree(call.body());
      String prompt = body.path("prompt").asText();
      schedule(NETWORK_MS, () -> answer(prompt, listener));
      return () -> {};
    }

    private void answer(String prompt, WorkerCallListener listener) {
      if (holding && prompt.contains(HOLD)) {
        return;
      }
      listener.text("answer to ");
      if (prompt.contains(TRUNCATED)) {
        listener.fail(new ApiError.WorkerStreamTruncated(WORKER), true);
        return;
      }
      listener.text(prompt);
      listener.end("stop");
    }

    @Override
    public void readLoad(
        String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
      schedule(NETWORK_MS, () -> whenRead.accept(new WorkerLoad(0, 0, 32, false)));
    }

    @Override
    public WorkerCallHandle exchange(WorkerExchange exchange, ExchangeListener listener) {
      String body = new String(exchange.request().body(), StandardCharsets.UTF_8);
      schedule(NETWORK_MS, () -> answer(body, listener));
      return () -> {};
    }

    private void answer(String body, ExchangeListener listener) {
      if (holding && body.contains(HOLD)) {
        return;
      }
      var type = new ProxiedRequest.Header("Content-Type", "text/event-stream");
      listener.head(
          new ProxiedRequest.ResponseHead(body.contains(TRUNCATED) ? 500 : 200, List.of(type)));
      String event = "id: 1\ndata: answer to " + body + "\n\n";
      listener.chunk(new ProxiedRequest.ResponseChunk("1", event.getBytes(StandardCharsets.UTF_8)));
      listener.end();
    }

    @Override
    public RandomGenerator random() {
      return random;
    }

    @Override
    public void log(String part, String message) {}
  }
}
