import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that keep their connections and send short streaming requests on them, one after the
 * other.
 */
final class LiveClients {
  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  final AtomicInteger unserved = new AtomicInteger();

  /** On a kept connection, run by a worker, and the connection closed without an answer. */
  final AtomicInteger lost = new AtomicInteger();

  private final Fleet fleet;
  private final Workers workers;
  private final Record record;
  private final AtomicInteger sequence = new AtomicInteger();
  private volatile boolean over;

  LiveClients(Fleet fleet, Workers workers, Record record) {
    this.fleet = fleet;
    this.workers = workers;
    this.record = record;
  }

  void start(int count) {
    List<Fleet.Node> edges = fleet.ofRole("data-plane");
    for (int number = 0; number < count; number++) {
      int first = number;
      Fleet.daemons().newThread(() -> run(edges, first)).start();
    }
  }

  void stop() {
    over = true;
  }

  /** A client whose connection ended opens the next one at another edge. */
  private void run(List<Fleet.Node> edges, int first) {
    for (int turn = first; !over; turn++) {
      Fleet.Node edge = edges.get(turn % edges.size());
      InetSocketAddress to = fleet.clients(edge);
      try (Socket socket = new Socket()) {
        socket.connect(to, 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(5_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean open = true;
        for (int use = 0; open && !over; use++) {
          open = request(socket, in, to, edge.name, use > 0);
          Fleet.sleep(150);
        }
      } catch (IOException noConnection) {
        unserved.incrementAndGet();
        Fleet.sleep(200);
      }
    }
  }

  private boolean request(
      Socket socket, InputStream in, InetSocketAddress to, String edge, boolean kept) {
    String id = "live-" + sequence.incrementAndGet();
    record.line("SEND " + id + " to " + edge + (kept ? " on a kept connection" : ""));
    Fleet.Answer answer;
    try {
      Fleet.send(
          socket.getOutputStream(),
          to,
          "POST",
          "/live/x",
          Map.of(
              "Host", Sample.LIVE_HOST,
              "Applespindle-Request-Id", id,
              "Applespindle-Model-Name", "m",
              "Applespindle-Token-Usage", "100,10",
              "Applespindle-Prompt-Prefix", "a1:60," + id.hashCode() % 1_000_000 + ":40",
              "Applespindle-Deadline-Remaining", "4000"),
          "hello".getBytes(),
          true);
      answer = Fleet.read(in);
    } catch (IOException closed) {
      unserved.incrementAndGet();
      boolean ran = workers.ran.contains(id);
      if (kept && ran) {
        lost.incrementAndGet();
      }
      record.line("CLOSED " + id + " without an answer, " + (ran ? "run" : "not run"));
      return false;
    }
    record.line("ANSWER " + id + " " + answer.status() + (answer.complete() ? "" : " cut"));
    if (answer.status() == 200 && answer.complete()) {
      served.incrementAndGet();
    } else {
      (answer.complete() ? refused : unserved).incrementAndGet();
    }
    return answer.complete()
        && !"close".equalsIgnoreCase(answer.headers().getOrDefault("Connection", ""));
  }
}
