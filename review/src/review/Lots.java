package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Clients that hand lots in and read them, each call on a new connection, as the pages say. */
final class Lots {
  /** Items of a lot, as on the sheet. */
  static final int ITEMS = 40;

  private static final int TOKENS = 1_000;
  private static final long CLIENT_LIMIT_S = 4;
  private static final int READ_LIMIT_MS = 2_500;

  private final Record record;
  private final Fleet fleet;
  private final int itemBytes;
  private final Map<String, String> answers = new ConcurrentHashMap<>();
  private final ExecutorService clients =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "client");
            thread.setDaemon(true);
            return thread;
          });
  private int sent;

  /**
   * @param itemBytes the size of the body of an item; a lot must stay within max_body_bytes
   */
  Lots(Record record, Fleet fleet, int itemBytes) {
    this.record = record;
    this.fleet = fleet;
    this.itemBytes = itemBytes;
  }

  int sent() {
    return sent;
  }

  private byte[] lot(String name) {
    Random random = new Random(name.hashCode());
    StringBuilder text = new StringBuilder().append("{\"requests\":[");
    for (int item = 0; item < ITEMS; item++) {
      byte[] body = new byte[itemBytes];
      random.nextBytes(body);
      text.append(item == 0 ? "" : ",")
          .append("{\"id\":\"")
          .append(name)
          .append('x')
          .append(item)
          .append("\",\"path\":\"/lots/3/91c4\",\"headers\":{")
          .append("\"Applespindle-Model-Name\":\"m\",\"Applespindle-Token-Usage\":\"900,100\",")
          .append("\"Applespindle-Prompt-Prefix\":\"9c2e41:400,5d07b8:500\"},\"body\":\"")
          .append(Base64.getEncoder().encodeToString(body))
          .append("\",\"token_count\":")
          .append(TOKENS)
          .append('}');
    }
    return text.append("]}").toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Hands lots in at this rate; returns when the last one was begun. */
  void handIn(int count, double perSecond) throws InterruptedException {
    for (int each = 0; each < count; each++) {
      long begunAt = System.nanoTime();
      handIn(sent++);
      long tookMs = (System.nanoTime() - begunAt) / 1_000_000;
      Thread.sleep(Math.max(0, Math.round(1_000 / perSecond) - tookMs));
    }
  }

  /** One client hands a lot in, at another node after a failure: one further try. */
  private void handIn(int number) {
    String name = String.format("lot%03d", number);
    answers.put(name, "none");
    clients.execute(
        () -> {
          byte[] body = lot(name);
          long endsAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(CLIENT_LIMIT_S);
          for (int attempt = 0; attempt < 2 && System.nanoTime() < endsAt; attempt++) {
            String answer = send(name, body, number + attempt, endsAt);
            answers.put(name, answer);
            record.add("POST " + name + " of " + body.length + " bytes: " + answer);
            if (answer.equals("202")) {
              return;
            }
          }
        });
  }

  private String send(String name, byte[] body, int at, long endsAt) {
    int leftMs = (int) Math.max(100, (endsAt - System.nanoTime()) / 1_000_000);
    try {
      Map<String, String> headers =
          Map.of("Applespindle-Request-Id", name, "Content-Type", "application/json");
      return Integer.toString(
          Http.call(edge(at), "POST", "/lots/7c41", Config.HOST, headers, body, leftMs).status);
    } catch (IOException fault) {
      return fault.toString();
    }
  }

  private InetSocketAddress edge(int number) {
    List<Fleet.Program> edges = fleet.of("data-plane");
    return fleet.address(edges.get(Math.floorMod(number, edges.size())), Fleet.CLIENT);
  }

  /** The lots that were answered 202, once all clients are done. */
  List<String> accepted() throws InterruptedException {
    clients.shutdown();
    clients.awaitTermination(CLIENT_LIMIT_S + 2, TimeUnit.SECONDS);
    List<String> accepted = new ArrayList<>();
    answers.forEach(
        (lot, answer) -> {
          if (answer.equals("202")) {
            accepted.add(lot);
          }
        });
    accepted.sort(null);
    return accepted;
  }

  /**
   * Reads lots from the start, again at other nodes after each failure, until this time of the
   * record; returns those that never came.
   */
  List<String> readUntil(List<String> lots, double endsAtS) throws InterruptedException {
    List<String> left = new ArrayList<>(lots);
    for (int round = 0; round < 3 || record.seconds() < endsAtS; round++) {
      int turn = round;
      Map<String, String> got = new ConcurrentHashMap<>();
      List<Thread> readers = new ArrayList<>();
      for (String lot : left) {
        Thread reader = new Thread(() -> got.put(lot, read(lot, lot.hashCode() + turn)));
        reader.start();
        readers.add(reader);
      }
      for (Thread reader : readers) {
        reader.join();
      }
      Map<String, Integer> counts = new TreeMap<>();
      got.values().forEach(answer -> counts.merge(answer, 1, Integer::sum));
      record.add("GET of " + left.size() + " lots: " + counts);
      left.removeIf(lot -> got.get(lot).equals("200"));
      if (left.isEmpty()) {
        break;
      }
      Thread.sleep(500);
    }
    return left;
  }

  /** The first page of a lot's results. */
  private String read(String lot, int at) {
    try {
      Http.Answer answer =
          Http.call(
              edge(at),
              "GET",
              "/api/lots/" + lot + "?start_after=0",
              Config.HOST,
              Map.of(),
              new byte[0],
              READ_LIMIT_MS);
      return Integer.toString(answer.status);
    } catch (IOException fault) {
      return fault.getClass().getSimpleName();
    }
  }
}
