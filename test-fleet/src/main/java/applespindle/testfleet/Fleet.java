package applespindle.testfleet;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.controlplane.ControlPlane;
import applespindle.corelogic.common.Json;
import applespindle.dataplane.DataPlane;
import applespindle.operatortool.HttpCaller;
import applespindle.operatortool.HttpCaller.Result;
import applespindle.operatortool.Signing;
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
 * A whole fleet of real processes on loopback: three control planes, edges, three storage nodes,
 * stand-in workers.
 */
public final class Fleet implements AutoCloseable {
  private static final String HOST = "127.0.0.1";

  /**
   * Below the range that outgoing connections take their ports from, so that none of these takes
   * one meanwhile.
   */
  private static final int FREE_PORTS_FROM = 20_000;

  private static final int FREE_PORTS = 10_000;
  private static final int ZONES = 3;
  private static final List<String> JVM =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

  /** What stands between the processes and those who call them. */
  public interface Wiring {
    /** The address that other processes are told for one that listens at an address. */
    String peerAddress(String process, String listensAt) throws IOException;

    /** The address that clients are told for a process that serves them at an address. */
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

  private record PeerAddress(String told, String listensAt) {}

  /** One process of the fleet and how it is started again. */
  public static final class Member {
    public final String name;
    public final String http;

    /** Where clients reach it: its http address, unless something stands in between. */
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

    public void start() throws IOException {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
              .start();
    }

    public void kill() {
      process.destroyForcibly();
      waitFor();
    }

    /** SIGTERM, as the platform does it; returns its exit status. */
    public int stopPolitely() {
      process.destroy();
      return waitFor();
    }

    public void freeze() throws IOException {
      signal("-STOP");
    }

    public void wake() throws IOException {
      signal("-CONT");
    }

    /** A process that has ended gets none: its id may be another's by now. */
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

    public long pid() {
      return process.pid();
    }

    public boolean alive() {
      return process != null && process.isAlive();
    }
  }

  private static final int COMMAND_TRIES = 20;
  public final Deployment deployment;

  /** Workers listed in the pool "spare", so that a bundle's effect shows at the workers. */
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

  /** Size of the fleet that is started next. */
  public int edges;

  public int storages = ZONES;

  /** What the fleet that is started next has between its processes. */
  public Wiring wiring = DIRECT;

  private final List<String> corePeers = new ArrayList<>();
  private final Set<Integer> taken = new HashSet<>();
  private int nextPort;

  /** firstPort 0 takes whatever ports are free. */
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

  public void start() throws IOException {
    for (int index = 0; index < deployment.workers; index++) {
      workers.add("w" + (index + 1), address());
    }
    workers.start();
    List<PeerAddress> cores = new ArrayList<>();
    for (int index = 0; index < ZONES; index++) {
      PeerAddress core = peerAddress("core-" + (index + 1));
      cores.add(core);
      corePeers.add(core.told());
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
          cores.get(zone),
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
            peer.told(),
            "--listen",
            peer.listensAt()));
    command.addAll(List.of(more));
    Path data = folder.resolve(name);
    if (disk) {
      command.addAll(List.of("--data", data.toString()));
    }
    command.add("--seeds");
    command.addAll(corePeers);
    File log = folder.resolve(name + ".log").toFile();
    String clients = wiring.clientAddress(name, http);
    members.put(name, new Member(name, http, clients, data, command, log));
  }

  public List<Member> ofRole(String role) {
    return members.values().stream().filter(member -> member.name.startsWith(role + "-")).toList();
  }

  /** Peer addresses of the control planes, for others that join this fleet. */
  public List<String> corePeers() {
    return List.copyOf(corePeers);
  }

  public Member member(String name) {
    return members.get(name);
  }

  /**
   * Lists the workers and sends the first bundle as soon as the core takes them, then waits until
   * all are ready.
   */
  public void open(long mostMs) {
    String core = ofRole("core").get(0).http;
    awaitTrue("the core", mostMs, () -> allAlive() && caller.get(core, "/ready").good());
    awaitTrue(
        "the worker list", mostMs, () -> caller.put(core, "/v1/workers", workerList()).good());
    awaitTrue("the bundle", mostMs, () -> sendBundle(core, deployment.configuration(1)).good());
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
   * Sends a bundle as its operator does: again with the same bytes until something certain is said.
   */
  void rollOut(long number, String bundle) {
    history.add(
        EmulatedWorkers.nowMs(), History.Kind.BUNDLE_SENT, Long.toString(number), "", "", number);
    Deployment.pools(bundle)
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
        History.Kind.BUNDLE_ANSWERED, Long.toString(number), core -> sendBundle(core, bundle));
  }

  void markLeaving(String worker) {
    untilCertain(
        History.Kind.LEAVING_ANSWERED,
        worker,
        core -> caller.post(core, "/v1/workers/" + worker + "/leaving", new byte[0], Map.of()));
  }

  private void untilCertain(History.Kind kind, String subject, Function<String, Result> command) {
    for (int attempt = 0; attempt < COMMAND_TRIES; attempt++) {
      List<Member> cores = ofRole("core");
      Result result = command.apply(cores.get(attempt % cores.size()).http);
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

  public Result sendBundle(String core, String bundle) {
    byte[] bytes = bundle.getBytes(UTF_8);
    return caller.post(
        core,
        "/v1/bundles",
        bytes,
        Map.of(
            "Applespindle-Key-Id",
            "operator",
            "Applespindle-Signature",
            Signing.sign(bytes, keys.privateKey())));
  }

  /** A batch of letters that share a long prefix, as the brief's do. */
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

  public Result submit(Member edge, String key, byte[] batch) {
    return caller.post(
        edge.http,
        "/v1/batches",
        batch,
        Map.of("Idempotency-Key", key, "Applespindle-Sender", "fleet"));
  }

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
