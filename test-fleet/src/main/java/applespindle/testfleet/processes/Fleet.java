package applespindle.testfleet.processes;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.controlplane.ControlPlane;
import applespindle.corelogic.common.Json;
import applespindle.dataplane.DataPlane;
import applespindle.operatortool.HttpCaller;
import applespindle.operatortool.HttpCaller.Result;
import applespindle.operatortool.Signing;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.deployment.EmulatedWorkers;
import applespindle.testfleet.history.History;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.IntStream;

/**
 * A fleet of real processes on loopback: three control planes, edges, storage nodes and emulated
 * workers.
 */
public final class Fleet implements AutoCloseable {
  private static final String HOST = "127.0.0.1";

  /**
   * Below the range of ephemeral ports, so that no outgoing connection takes a port before its
   * process listens on it.
   */
  private static final int FREE_PORTS_FROM = 20_000;

  private static final int FREE_PORTS = 10_000;
  private static final int ZONES = 3;
  private static final List<String> JVM =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

  /** Relays between the processes and their callers, if any. */
  public interface Wiring {
    /** The address that other processes get for one that listens at an address. */
    String peerAddress(String process, String listensAt) throws IOException;

    /** The address that clients get for a process that serves them at an address. */
    String clientAddress(String process, String servesAt) throws IOException;
  }

  private static final Wiring DIRECT =
      new Wiring() {
        @Override
        public String peerAddress(String process, String listensAt) {
          return listensAt;
        }

        @Override
        public String clientAddress(String process, String servesAt) {
          return servesAt;
        }
      };

  private record PeerAddress(String advertised, String listensAt) {}

  /** One process of the fleet and how it is started again. */
  public static final class Member {
    public final String name;
    public final String http;

    /** The address for clients: its http address, or that of a relay before it. */
    public final String clients;

    public final Path data;
    public final File log;
    private final List<String> command;
    private Process process;

    Member(String name, String http, String clients, Path data, List<String> command, File log) {
      this.name = name;
      this.http = http;
      this.clients = clients;
      this.data = data;
      this.command = command;
      this.log = log;
    }

    /**
     * Starts the process; it need not be ready when this returns.
     *
     * @throws IOException if the operating system can not start it
     */
    public void start() throws IOException {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
              .start();
    }

    /** Kills the process at once and waits for its end. */
    public void kill() {
      process.destroyForcibly();
      waitFor();
    }

    /** Sends SIGTERM, as the platform does, and returns the exit status. */
    public int stopPolitely() {
      process.destroy();
      return waitFor();
    }

    /** Stops the process from running, without its notice. */
    public void freeze() throws IOException {
      signal("-STOP");
    }

    /** Lets a frozen process run on. */
    public void wake() throws IOException {
      signal("-CONT");
    }

    /** Sends nothing to a process that has ended, whose id may belong to another now. */
    private void signal(String signal) throws IOException {
      if (!alive()) {
        return;
      }
      try {
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }

    private int waitFor() {
      try {
        return process.waitFor(60, TimeUnit.SECONDS) ? process.exitValue() : -1;
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return -1;
      }
    }

    /** The process id of the present or last run. */
    public long pid() {
      return process.pid();
    }

    /** Whether the process was started and has not ended. */
    public boolean alive() {
      return process != null && process.isAlive();
    }
  }

  private static final int COMMAND_TRIES = 20;
  public final Deployment deployment;

  /** Workers in the pool "spare"; show which configuration is in force. */
  Set<String> spares = Set.of();

  public final History history = new History();
  public final EmulatedWorkers workers;
  public final Map<String, Member> members = new LinkedHashMap<>();
  public final Signing.Keys keys = Signing.generate();
  public final HttpCaller caller = new HttpCaller(Duration.ofSeconds(10));
  private final Path folder;
  private final String classPath;

  /** Heap of each process that is started from now on. */
  public int heapMegabytes = 192;

  /** How many edges the fleet has when it starts. */
  public int edges;

  public int storages = ZONES;

  /** The wiring of the fleet when it starts. */
  public Wiring wiring = DIRECT;

  private final List<String> controlPlanePeers = new ArrayList<>();
  private final Set<Integer> taken = new HashSet<>();
  private int nextPort;

  /**
   * Prepares a fleet; {@link #start} starts it.
   *
   * @param firstPort the first of consecutive ports; 0 for any free ports
   */
  public Fleet(Deployment deployment, Path folder, String classPath, int firstPort)
      throws IOException {
    this.deployment = deployment;
    this.edges = deployment.edges;
    this.folder = Files.createDirectories(folder);
    this.classPath = classPath;
    this.nextPort = firstPort;
    this.workers = new EmulatedWorkers(deployment.pace, history);
  }

  private String address() throws IOException {
    if (nextPort > 0) {
      return HOST + ":" + nextPort++;
    }
    while (true) {
      int port = FREE_PORTS_FROM + ThreadLocalRandom.current().nextInt(FREE_PORTS);
      if (!taken.add(port)) {
        continue;
      }
      try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
        return HOST + ":" + free.getLocalPort();
      } catch (BindException inUse) {
        // The next one may be free.
      }
    }
  }

  /**
   * Starts the workers and all processes; returns once they are started, not when they are ready.
   */
  public void start() throws IOException {
    for (int index = 0; index < deployment.workers; index++) {
      workers.add("w" + (index + 1), address());
    }
    workers.start();
    List<PeerAddress> controlPlanes = new ArrayList<>();
    for (int index = 0; index < ZONES; index++) {
      PeerAddress controlPlane = peerAddress("core-" + (index + 1));
      controlPlanes.add(controlPlane);
      controlPlanePeers.add(controlPlane.advertised());
    }
    ObjectNode startup = JSON.createObjectNode();
    startup.putObject("operatorKeys").put("operator", keys.publicKey());
    Path file = folder.resolve("startup.json");
    Files.write(file, Json.bytes(startup));
    Files.writeString(folder.resolve("operator.key"), keys.privateKey());
    for (int zone = 0; zone < ZONES; zone++) {
      add(
          "core-" + (zone + 1),
          zone,
          ControlPlane.class,
          controlPlanes.get(zone),
          true,
          "--startup",
          file.toString());
    }
    for (int index = 0; index < storages; index++) {
      addDataPlane("storage", index, true);
    }
    for (int index = 0; index < edges; index++) {
      addDataPlane("edge", index, false);
    }
    for (Member member : members.values()) {
      member.start();
    }
  }

  private PeerAddress peerAddress(String name) throws IOException {
    String listensAt = address();
    return new PeerAddress(wiring.peerAddress(name, listensAt), listensAt);
  }

  private void addDataPlane(String role, int index, boolean disk) throws IOException {
    String name = role + "-" + (index + 1);
    add(name, index % ZONES, DataPlane.class, peerAddress(name), disk, "--role", role);
  }

  private void add(
      String name, int zone, Class<?> program, PeerAddress peer, boolean disk, String... more)
      throws IOException {
    String http = address();
    List<String> command =
        new ArrayList<>(List.of(ProcessHandle.current().info().command().orElse("java")));
    command.addAll(JVM);
    command.add("-Xmx" + heapMegabytes + "m");
    command.addAll(
        List.of(
            "-cp",
            classPath,
            program.getName(),
            "--name",
            name,
            "--zone",
            "zone-" + (zone + 1),
            "--http",
            http,
            "--peer",
            peer.advertised(),
            "--listen",
            peer.listensAt()));
    command.addAll(List.of(more));
    Path data = folder.resolve(name);
    if (disk) {
      command.addAll(List.of("--data", data.toString()));
    }
    command.add("--seeds");
    command.addAll(controlPlanePeers);
    File log = folder.resolve(name + ".log").toFile();
    String clients = wiring.clientAddress(name, http);
    members.put(name, new Member(name, http, clients, data, command, log));
  }

  /** The processes of a role, in the order of their start. */
  public List<Member> ofRole(String role) {
    return members.values().stream().filter(member -> member.name.startsWith(role + "-")).toList();
  }

  /** Peer addresses of the control planes, for other processes that join this fleet. */
  public List<String> controlPlanePeers() {
    return List.copyOf(controlPlanePeers);
  }

  /** The process of this name, or null. */
  public Member member(String name) {
    return members.get(name);
  }

  /**
   * Lists the workers and sends the first configuration as soon as the control plane accepts them,
   * then waits until all processes are ready.
   */
  public void open(long mostMs) {
    String controlPlane = ofRole("core").get(0).http;
    awaitTrue("the core", mostMs, () -> allAlive() && caller.get(controlPlane, "/ready").good());
    awaitTrue(
        "the worker list",
        mostMs,
        () -> caller.put(controlPlane, "/v1/workers", workerList()).good());
    awaitTrue(
        "the bundle",
        mostMs,
        () -> sendConfiguration(controlPlane, deployment.configuration(1)).good());
    awaitTrue(
        "all nodes",
        mostMs,
        () ->
            members.values().stream().allMatch(member -> caller.get(member.http, "/ready").good()));
  }

  private boolean allAlive() {
    members.values().stream()
        .filter(member -> !member.alive())
        .findFirst()
        .ifPresent(
            member -> {
              throw new IllegalStateException(member.name + " ended at once, see " + member.log);
            });
    return true;
  }

  private byte[] workerList() {
    ObjectNode list = JSON.createObjectNode();
    ArrayNode rows = list.putArray("workers");
    workers
        .all()
        .forEach(
            worker -> {
              String pool = spares.contains(worker.id) ? "spare" : "main";
              history.add(
                  EmulatedWorkers.nowMs(), History.Kind.WORKER_POOL, worker.id, pool, "", 0);
              rows.addObject()
                  .put("id", worker.id)
                  .put("address", worker.address)
                  .put("pool", pool);
            });
    return Json.bytes(list);
  }

  /**
   * Sends a configuration as an operator does: repeats the same bytes until the response is
   * definite.
   */
  void rollOut(long number, String configuration) {
    history.add(
        EmulatedWorkers.nowMs(), History.Kind.BUNDLE_SENT, Long.toString(number), "", "", number);
    Deployment.pools(configuration)
        .forEach(
            (trafficClass, pool) ->
                history.add(
                    EmulatedWorkers.nowMs(),
                    History.Kind.BUNDLE_WAY,
                    Long.toString(number),
                    trafficClass,
                    pool,
                    number));
    untilCertain(
        History.Kind.BUNDLE_ANSWERED,
        Long.toString(number),
        controlPlane -> sendConfiguration(controlPlane, configuration));
  }

  void markLeaving(String worker) {
    untilCertain(
        History.Kind.LEAVING_ANSWERED,
        worker,
        controlPlane ->
            caller.post(controlPlane, "/v1/workers/" + worker + "/leaving", new byte[0], Map.of()));
  }

  private void untilCertain(History.Kind kind, String subject, Function<String, Result> command) {
    for (int attempt = 0; attempt < COMMAND_TRIES; attempt++) {
      List<Member> controlPlanes = ofRole("core");
      Result result = command.apply(controlPlanes.get(attempt % controlPlanes.size()).http);
      history.add(
          EmulatedWorkers.nowMs(),
          kind,
          subject,
          result.body().path("type").asText(""),
          "",
          result.status());
      if (result.good() || result.status() == 409) {
        return;
      }
    }
  }

  /**
   * Signs a configuration with the operator's key and sends it.
   *
   * @param controlPlane HTTP address of a control plane
   */
  public Result sendConfiguration(String controlPlane, String configuration) {
    byte[] bytes = configuration.getBytes(UTF_8);
    return caller.post(
        controlPlane,
        "/v1/bundles",
        bytes,
        Map.of(
            "Applespindle-Key-Id",
            "operator",
            "Applespindle-Signature",
            Signing.sign(bytes, keys.privateKey())));
  }

  /** A batch of letters that share a long prefix. */
  public static byte[] letters(String name, int items, int tokens, long dueMs) {
    ObjectNode batch = JSON.createObjectNode().put("due_in_ms", dueMs);
    ArrayNode rows = batch.putArray("items");
    String shared =
        "Write an invitation letter in the usual form of the office, with greeting, place and hour. "
            .repeat(4);
    IntStream.range(0, items)
        .forEach(
            index ->
                rows.addObject()
                    .put("id", name + "-" + index)
                    .put("prompt", shared + "Guest " + name + " " + index)
                    .put("max_tokens", tokens));
    return Json.bytes(batch);
  }

  /**
   * Submits a batch at an edge.
   *
   * @param key the idempotency key
   */
  public Result submit(Member edge, String key, byte[] batch) {
    return caller.post(
        edge.http,
        "/v1/batches",
        batch,
        Map.of("Idempotency-Key", key, "Applespindle-Sender", "fleet"));
  }

  /**
   * Waits until the condition holds.
   *
   * @param mostMs the limit in milliseconds
   * @throws IllegalStateException with what was awaited, if it did not hold in time
   */
  public static void awaitTrue(String what, long mostMs, BooleanSupplier condition) {
    long endsAt = System.nanoTime() + mostMs * 1_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endsAt) {
        throw new IllegalStateException("waited too long for " + what);
      }
      try {
        TimeUnit.MILLISECONDS.sleep(50);
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    }
  }

  @Override
  public void close() {
    members.values().stream()
        .filter(Member::alive)
        .forEach(member -> member.process.destroyForcibly());
    members.values().stream().filter(Member::alive).forEach(Member::waitFor);
  }
}
