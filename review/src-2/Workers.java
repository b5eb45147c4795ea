import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/**
 * Sound workers of one service. Each runs a request as a stream of events, an even pause apart, and
 * goes on after Last-Event-Id where that is given.
 */
final class Workers {
  static final int SLOTS = 24;

  /** What a request asks for: how many events, and the pause between them. */
  interface Plan {
    int events(String target);

    long pauseMs(String target);
  }

  /** The ids of the requests that a worker has begun to run. */
  final Set<String> ran = ConcurrentHashMap.newKeySet();

  private final Plan plan;
  private final Record record;

  Workers(Fleet fleet, String service, int count, Plan plan, Record record) throws IOException {
    this.plan = plan;
    this.record = record;
    List<String> entries = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      String id = "i-" + Long.toHexString(new Random().nextLong());
      String ip = fleet.net + (110 + number);
      ServerSocket server = new ServerSocket();
      server.bind(new InetSocketAddress(ip, fleet.firstPort + 10), 200);
      Semaphore slots = new Semaphore(SLOTS);
      Fleet.daemons().newThread(() -> accept(server, id, slots)).start();
      entries.add(
          String.format(
              "{\"id\":\"%s\",\"backend\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
                  + "\"revision\":\"v1\",\"capacity\":%d,\"state\":\"ready\","
                  + "\"warmup_left_ms\":0,\"stage\":\"dual\",\"models\":[{\"name\":\"m\","
                  + "\"revision\":1,\"adapters\":[]}]}",
              id, service, ip, fleet.firstPort + 10, "abc".charAt(number % 3), SLOTS));
    }
    fleet.instances =
        "{\"instances\":[" + String.join(",", entries) + "],\"next_token\":null}";
  }

  private void accept(ServerSocket server, String id, Semaphore slots) {
    try {
      while (true) {
        Socket caller = server.accept();
        caller.setTcpNoDelay(true);
        Fleet.daemons().newThread(() -> serve(caller, id, slots)).start();
      }
    } catch (IOException closed) {
      // The script is over.
    }
  }

  private void serve(Socket caller, String id, Semaphore slots) {
    try (caller) {
      InputStream in = new BufferedInputStream(caller.getInputStream(), 65_536);
      OutputStream out = caller.getOutputStream();
      while (true) {
        String first = Fleet.readLine(in);
        Map<String, String> headers = Fleet.readHeaders(in);
        in.skipNBytes(Long.parseLong(headers.getOrDefault("Content-Length", "0")));
        if (first.startsWith("GET ")) {
          write(out, "HTTP/1.1 200 OK\r\nApplespindle-Instance-Id: " + id
              + "\r\nContent-Length: 0\r\n\r\n");
        } else {
          run(out, id, slots, first.split(" ")[1], headers);
        }
      }
    } catch (EOFException idle) {
      // The caller closed a connection at rest.
    } catch (IOException | InterruptedException gone) {
      // The caller has gone: the worker drops the request.
    }
  }

  private void run(
      OutputStream out, String id, Semaphore slots, String target, Map<String, String> headers)
      throws IOException, InterruptedException {
    String request = headers.getOrDefault("Applespindle-Request-Id", "");
    String expected = headers.getOrDefault("Applespindle-Expect-Instance", id);
    if (!expected.equals(id) || !slots.tryAcquire()) {
      write(
          out,
          (expected.equals(id) ? "HTTP/1.1 503 Full" : "HTTP/1.1 421 Other")
              + "\r\nApplespindle-Request-Id: " + request
              + "\r\nApplespindle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    try {
      ran.add(request);
      record.line("RUN " + request + " at " + id);
      int after = Integer.parseInt(headers.getOrDefault("Last-Event-Id", "0"));
      for (int event = after + 1; event <= plan.events(target); event++) {
        Thread.sleep(plan.pauseMs(target));
        if (event == after + 1) {
          write(
              out,
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  + "Transfer-Encoding: chunked\r\nApplespindle-Request-Id: " + request
                  + "\r\nApplespindle-Response-Signature: s." + request
                  + "\r\nApplespindle-Server-Load: " + (SLOTS - slots.availablePermits())
                  + ",0," + SLOTS + "\r\n\r\n");
        }
        String text = "id: " + event + "\ndata: " + request + "." + event + "\n\n";
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
      }
      write(out, "0\r\n\r\n");
    } finally {
      slots.release();
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
