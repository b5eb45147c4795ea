package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of a sound worker. It answers each request with a stream of events. */
final class Worker implements AutoCloseable {
  private static final int SLOTS = 24;
  private static final int EVENTS = 12;
  private static final long EVENT_MS = 10;

  /** Told of everything that reaches a worker. */
  interface Listener {
    void ran(Worker worker, String id, byte[] body);
  }

  final String id;
  final String zone;
  final String address;
  private final ServerSocket server;
  private final Listener listener;
  private final AtomicInteger running = new AtomicInteger();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "worker");
            thread.setDaemon(true);
            return thread;
          });

  Worker(String id, String zone, String ip, Listener listener) throws IOException {
    this.id = id;
    this.zone = zone;
    this.listener = listener;
    server = new ServerSocket(0, 500, InetAddress.getByName(ip));
    address = ip + ":" + server.getLocalPort();
    threads.execute(this::accept);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        threads.execute(() -> serve(socket));
      }
    } catch (IOException closed) {
      // The stand-in has ended.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (serveOne(in, out)) {
        out.flush();
      }
    } catch (IOException | InterruptedException gone) {
      // The caller has closed the connection.
    }
  }

  private boolean serveOne(InputStream in, OutputStream out)
      throws IOException, InterruptedException {
    String first = Http.line(in);
    if (first == null) {
      return false;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = Http.line(in); line != null && !line.isEmpty(); line = Http.line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    String[] parts = first.split(" ");
    if (parts[0].equals("GET")) {
      get(parts[1], out);
      return true;
    }
    String request = headers.getOrDefault("applespindle-request-id", "");
    String expected = headers.get("applespindle-expect-instance");
    if (expected != null && !expected.equals(id)) {
      plain(out, "421 Misdirected Request", request, "Applespindle-Not-Executed: 1\r\n", "");
      return true;
    }
    running.incrementAndGet();
    try {
      listener.ran(this, request, body);
      return run(request, headers, out);
    } finally {
      running.decrementAndGet();
    }
  }

  private void get(String target, OutputStream out) throws IOException {
    if (target.startsWith("/api/report")) {
      String report =
          "{\"stage\":\"dual\",\"models\":[{\"name\":\"m\",\"revision\":1,\"adapters\":[]}],"
              + "\"utilization\":false,\"sequence\":0,\"queued\":0,\"active\":"
              + running.get()
              + ",\"kv_used\":0,\"kv_total\":400000,\"open_handles\":0}";
      plain(out, "200 OK", "", "Content-Type: application/json\r\n", report);
    } else {
      plain(out, "200 OK", "", "Applespindle-Instance-Id: " + id + "\r\n" + load(), "");
    }
  }

  private String load() {
    return "Applespindle-Server-Load: " + running.get() + ",0," + SLOTS + "\r\n";
  }

  private static void plain(OutputStream out, String status, String request, String more, String body)
      throws IOException {
    String named = request.isEmpty() ? "" : "Applespindle-Request-Id: " + request + "\r\n";
    out.write(
        ("HTTP/1.1 "
                + status
                + "\r\n"
                + named
                + more
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body)
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** The data of an event; the same at every worker. */
  private static String data(String request, int event) {
    return "t" + event + "-" + request;
  }

  private void head(String request, OutputStream out) throws IOException {
    out.write(
        ("HTTP/1.1 200 OK\r\nApplespindle-Request-Id: "
                + request
                + "\r\nApplespindle-Response-Signature: "
                + id
                + ".1.1."
                + request
                + "\r\nApplespindle-Weight-Versions: 1\r\n"
                + load()
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    out.write(
        (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void end(OutputStream out) throws IOException {
    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Runs one request; false ends the connection. */
  private boolean run(String request, Map<String, String> headers, OutputStream out)
      throws IOException, InterruptedException {
    int from = Integer.parseInt(headers.getOrDefault("last-event-id", "0"));
    head(request, out);
    for (int event = from + 1; event <= EVENTS; event++) {
      Thread.sleep(EVENT_MS);
      chunk(out, "id: " + event + "\ndata: " + data(request, event) + "\n\n");
    }
    end(out);
    return true;
  }

  String entry() {
    return "{\"backend\":\"pool\",\"address\":\""
        + address
        + "\",\"zone\":\""
        + zone
        + "\",\"revision\":\"v1\",\"capacity\":"
        + SLOTS
        + ",\"state\":\"ready\",\"warmup_left_ms\":0,\"stage\":\"dual\",\"models\":[{\"name\":\"m\",\"revision\":1,"
        + "\"adapters\":[]}],\"id\":\""
        + id
        + "\"}";
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }
}
