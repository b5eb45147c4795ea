import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.stream.Stream;

/**
 * The programs of the deploy file as separate processes, each machine at a loopback address of its
 * own, with a stand-in for the platform: it serves the list of workers, and starts a process that
 * has ended again after a second, with the settings of that moment.
 */
final class Fleet implements AutoCloseable {
  private static final long RESTART_DELAY_MS = 1_000;

  /** One process on a machine of its own. */
  static final class Node {
    final String name;
    final String role;
    final String ip;
    final String zone;
    final Path settings;
    final Path data;
    final File log;
    volatile Process process;

    /** How often the process ended though nobody had stopped it. */
    volatile int ownEnds;
    Node(String name, String role, String ip, String zone, Path folder) {
      this.name = name;
      this.role = role;
      this.ip = ip;
      this.zone = zone;
      this.settings = folder.resolve(name + ".toml");
      this.data = folder.resolve("data-" + name);
      this.log = folder.resolve(name + ".log").toFile();
    }
  }

  /** An answer; status 0 where there was no whole head. */
  record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  final String net;
  final int firstPort;
  final Map<String, Node> nodes = new LinkedHashMap<>();
  volatile String instances = "{\"instances\":[],\"next_token\":null}";
  private final Path root = Path.of("").toAbsolutePath();
  private final Path folder;
  private final Record record;
  private final Map<String, List<String>> commands = new HashMap<>();
  private final HttpServer platform;
  private volatile boolean closing;

  Fleet(int edges, Record record) throws IOException {
    this.record = record;
    this.folder = Files.createTempDirectory("review-2-");
    Random random = new Random();
    int port = 12_000 + random.nextInt(17_000);
    while (!isFree(port, 20)) {
      port = 12_000 + random.nextInt(17_000);
    }
    firstPort = port;
    net = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
    readDeployFile();
    addNodes("control-plane", 3, 10);
    addNodes("storage", 3, 20);
    addNodes("data-plane", edges, 30);
    platform = HttpServer.create(new InetSocketAddress(net + "100", firstPort + 9), 50);
    platform.setExecutor(Executors.newCachedThreadPool(daemons()));
    platform.createContext(
        "/",
        call -> {
          byte[] list = instances.getBytes(StandardCharsets.UTF_8);
          call.getResponseHeaders().set("Content-Type", "application/json");
          call.sendResponseHeaders(200, list.length);
          call.getResponseBody().write(list);
          call.close();
        });
    platform.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  static ThreadFactory daemons() {
    return task -> {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      return thread;
    };
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  private static boolean isFree(int from, int count) {
    for (int port = from; port < from + count; port++) {
      try (ServerSocket probe = new ServerSocket(port)) {
        probe.setReuseAddress(true);
      } catch (IOException inUse) {
        return false;
      }
    }
    return true;
  }

  /** The run lines of the deploy file, as they stand there. */
  private void readDeployFile() throws IOException {
    String role = "";
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("[roles.")) {
        role = line.substring(7, line.indexOf(']'));
      } else if (line.startsWith("run = ")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        commands.put(role, List.of(run.split(" ")));
      }
    }
  }

  private void addNodes(String role, int count, int firstIp) throws IOException {
    for (int number = 1; number <= count; number++) {
      String zone = String.valueOf("abc".charAt((number - 1) % 3));
      Node node =
          new Node(role + "-" + number, role, net + (firstIp + number), zone, folder);
      Files.createDirectories(node.data);
      nodes.put(node.name, node);
    }
  }

  List<Node> ofRole(String role) {
    return nodes.values().stream().filter(node -> node.role.equals(role)).toList();
  }

  InetSocketAddress operators(Node node) {
    return new InetSocketAddress(node.ip, firstPort + 8);
  }

  InetSocketAddress clients(Node node) {
    return new InetSocketAddress(node.ip, firstPort + 6);
  }

  // ---- settings and processes

  private void writeSettings(Node node, boolean bootstrap) throws IOException {
    boolean storage = node.role.equals("storage");
    boolean control = node.role.equals("control-plane");
    StringBuilder text = new StringBuilder();
    line(text, "node_name = \"%s\"", node.name);
    line(text, "role = \"%s\"", node.role);
    line(text, "machine_class = \"%s\"", storage ? "storage" : "edge");
    line(text, "serves = [\"%s\"]", storage ? "storage" : control ? "controller" : "edge");
    line(text, "ip = \"%s\"", node.ip);
    line(text, "zone = \"%s\"", node.zone);
    line(text, "region = \"r\"");
    line(text, "internal_ports = [%d,%d]", firstPort, firstPort + 5);
    List<String> seeds =
        ofRole("control-plane").stream()
            .map(each -> "\"" + each.ip + ":" + (firstPort + 8) + "\"")
            .toList();
    line(text, "seed_nodes = [%s]", String.join(",", seeds));
    line(text, "bootstrap = %s", bootstrap);
    line(text, "quorum_member = %s", storage || control);
    if (storage || control) {
      line(text, "data_dir = \"%s\"", node.data);
    }
    line(text, "discovery = \"platform\"");
    line(text, "ingress = \"vip\"");
    line(text, "heartbeat_ms = 1200");
    line(
        text,
        "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\","
            + "\"engine\"]");
    line(text, "[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"");
    line(text, "[bind_addresses]");
    line(text, "data_plane = \"%s:%d\"", node.ip, firstPort + 6);
    line(text, "readiness = \"%s:%d\"", node.ip, firstPort + 7);
    line(text, "control_plane = \"%s:%d\"", node.ip, firstPort + 8);
    line(text, "[limits]");
    line(text, "cpu_share = %s", storage ? "0.75" : "0.615");
    line(text, "cpu_cores = 2");
    line(text, "memory_mb = %d", storage ? 470 : 430);
    line(text, "file_descriptors = %d", storage ? 8200 : 4100);
    line(text, "link_mbps = %s", storage ? "600.0" : "1000.0");
    if (storage || control) {
      line(text, "disk_mb = %d", storage ? 500 : 64);
    }
    line(text, "[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0");
    line(
        text,
        "[bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n"
            + "sync_s = 4.8\ndrain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\n"
            + "config_apply_ms = 2000\ndowngrade_ms = 250\nstretch_max_ms = 5000\n"
            + "recovery_s = 12\npass_timeout_ms = 120\ncompletion_s = 10\n"
            + "status_interval_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\n"
            + "quota_overshoot = 0.1");
    line(text, "[platform_api]");
    line(text, "address = \"%s100:%d\"", net, firstPort + 9);
    line(text, "rate_per_s = 40.0\nduties = []\nlag_ms = 800");
    Files.writeString(node.settings, text);
  }

  private static void line(StringBuilder text, String format, Object... values) {
    text.append(values.length == 0 ? format : String.format(format, values)).append('\n');
  }

  /** Starts nothing any more once the fleet is being closed. */
  private synchronized void start(Node node, boolean bootstrap) throws IOException {
    if (closing) {
      return;
    }
    writeSettings(node, bootstrap);
    ProcessBuilder builder =
        new ProcessBuilder(commands.get(node.role))
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(node.log));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("APPLESPINDLE_SETTINGS", node.settings.toString());
    node.process = builder.start();
  }

  /** Starts all machines at once, and from then on each process that ends. */
  void start() throws IOException {
    for (Node node : nodes.values()) {
      start(node, true);
    }
    daemons().newThread(this::restartEnded).start();
  }

  private void restartEnded() {
    Map<Node, Long> endedAt = new HashMap<>();
    while (!closing) {
      for (Node node : nodes.values()) {
        if (closing || node.process.isAlive()) {
          continue;
        }
        long now = System.currentTimeMillis();
        if (endedAt.putIfAbsent(node, now) == null) {
          node.ownEnds++;
          record.line(
              "END " + node.name + " ended by itself, exit " + node.process.exitValue()
                  + ", last words: " + lastWords(node));
        } else if (now - endedAt.get(node) >= RESTART_DELAY_MS) {
          endedAt.remove(node);
          try {
            start(node, false);
          } catch (IOException broken) {
            record.line("the platform can't start " + node.name + ": " + broken);
          }
        }
      }
      sleep(50);
    }
  }

  private static String lastWords(Node node) {
    try {
      List<String> lines = Files.readAllLines(node.log.toPath());
      return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    } catch (IOException unreadable) {
      return "";
    }
  }

  /** How often processes of a role ended by themselves, by name. */
  Map<String, Integer> ownEnds(String role) {
    Map<String, Integer> ends = new TreeMap<>();
    ofRole(role).forEach(node -> ends.put(node.name, node.ownEnds));
    return ends;
  }

  /** Sends the first configuration until it is taken, and waits until all edges are ready. */
  boolean begin(String configuration, long limitMs) {
    long endsAt = System.currentTimeMillis() + limitMs;
    Node operator = ofRole("control-plane").get(0);
    while (put(operator, 0, configuration, 3_000).status() != 200) {
      if (System.currentTimeMillis() > endsAt) {
        return false;
      }
      sleep(200);
    }
    for (Node edge : ofRole("data-plane")) {
      InetSocketAddress readiness = new InetSocketAddress(edge.ip, firstPort + 7);
      while (call(readiness, "GET", "/api/readiness", Map.of(), null, 1_000).status() != 200) {
        if (System.currentTimeMillis() > endsAt) {
          return false;
        }
        sleep(100);
      }
    }
    return true;
  }

  Answer put(Node controlPlane, long base, String configuration, int silenceMs) {
    return call(
        operators(controlPlane),
        "PUT",
        "/api/config",
        Map.of("If-Match", Long.toString(base), "Content-Type", "application/json"),
        configuration.getBytes(StandardCharsets.UTF_8),
        silenceMs);
  }

  @Override
  public synchronized void close() {
    if (closing) {
      return;
    }
    closing = true;
    for (Node node : nodes.values()) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
    for (Node node : nodes.values()) {
      try {
        if (node.process != null) {
          node.process.waitFor();
        }
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    platform.stop(0);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException kept) {
      // A temporary folder.
    }
  }

  // ---- HTTP/1.1

  /** One request on a connection of its own. */
  static Answer call(
      InetSocketAddress to,
      String method,
      String target,
      Map<String, String> headers,
      byte[] body,
      int silenceMs) {
    try (Socket socket = new Socket()) {
      socket.connect(to, 1_000);
      socket.setSoTimeout(silenceMs);
      send(socket.getOutputStream(), to, method, target, headers, body, false);
      return read(new BufferedInputStream(socket.getInputStream(), 65_536));
    } catch (IOException broken) {
      return new Answer(0, Map.of("error", String.valueOf(broken)), new byte[0], false);
    }
  }

  static void send(
      OutputStream out,
      InetSocketAddress to,
      String method,
      String target,
      Map<String, String> headers,
      byte[] body,
      boolean keep)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
    if (!headers.containsKey("Host")) {
      head.append("Host: ").append(to.getHostString()).append("\r\n");
    }
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append(keep ? "" : "Connection: close\r\n");
    head.append(body == null ? "" : "Content-Length: " + body.length + "\r\n").append("\r\n");
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    if (body != null) {
      out.write(body);
    }
    out.flush();
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int each = in.read(); each != '\n'; each = in.read()) {
      if (each < 0) {
        throw new EOFException("the connection ended");
      }
      if (each != '\r') {
        bytes.write(each);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
    }
    return headers;
  }

  /** Fails if there is no whole head. */
  static Answer read(InputStream in) throws IOException {
    int status = Integer.parseInt(readLine(in).substring(9, 12));
    Map<String, String> headers = readHeaders(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      boolean whole = readBody(in, headers, body);
      return new Answer(status, headers, body.toByteArray(), whole);
    } catch (IOException cut) {
      return new Answer(status, headers, body.toByteArray(), false);
    }
  }

  private static boolean readBody(
      InputStream in, Map<String, String> headers, ByteArrayOutputStream body) throws IOException {
    if (headers.containsKey("Content-Length")) {
      return copy(in, Integer.parseInt(headers.get("Content-Length")), body);
    }
    if (!"chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
      body.write(in.readAllBytes());
      return true;
    }
    while (true) {
      int size = Integer.parseInt(readLine(in).strip(), 16);
      if (size == 0) {
        readLine(in);
        return true;
      }
      if (!copy(in, size, body)) {
        return false;
      }
      readLine(in);
    }
  }

  private static boolean copy(InputStream in, int size, ByteArrayOutputStream to)
      throws IOException {
    byte[] read = in.readNBytes(size);
    to.write(read);
    return read.length == size;
  }
}
