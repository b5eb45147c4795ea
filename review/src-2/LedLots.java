import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Case 4: many lots come at once, and stay open while their items are worked on. */
public final class LedLots {
  private static final int EDGES = 6;
  private static final int ITEMS = 4;
  private static final int ITEM_BYTES = 720_000;

  /** At the sheet's rate, 1.14 a second, before the burst. */
  private static final int LOTS_BEFORE = Integer.getInteger("before", 24);

  private static final long PAUSE_MS = 877;

  /** The burst: six times the rate of the sheet for three seconds. */
  private static final int LOTS_IN_BURST = 20;

  private static final long BURST_PAUSE_MS = 146;
  private static final long WATCH_MS = 35_000;
  private static final long READ_MS = 25_000;

  private final Record record;
  private final Fleet fleet;
  private final Queue<String> accepted = new ConcurrentLinkedQueue<>();
  private final List<Thread> clients = new ArrayList<>();
  private int sent;

  private LedLots(Record record) throws IOException {
    this.record = record;
    this.fleet = new Fleet(EDGES, record);
  }

  /** The first argument is the file of the record, the second tells whether there is trouble. */
  public static void main(String[] arguments) throws Exception {
    int exit = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      LedLots script = new LedLots(record);
      try (Fleet fleet = script.fleet) {
        exit = script.run(!arguments[1].equals("0"));
      }
    }
    System.exit(exit);
  }

  private int run(boolean trouble) throws Exception {
    Workers workers = new Workers(fleet, Sample.SERVICE, 8, plan(), record);
    fleet.start();
    List<String> routes =
        List.of(Sample.lotRoute(), Sample.liveRoute("live", Sample.LIVE_HOST, "/live/"));
    if (!fleet.begin(Sample.configuration(1, routes), 40_000)) {
      record.show("the fleet did not start");
      return 2;
    }
    Fleet.sleep(2_000);
    LiveClients live = new LiveClients(fleet, workers, record);
    live.start(2 * EDGES);
    send(LOTS_BEFORE, PAUSE_MS);
    if (trouble) {
      record.show("the burst begins");
      send(LOTS_IN_BURST, BURST_PAUSE_MS);
    }
    Fleet.sleep(WATCH_MS);
    for (Thread client : clients) {
      client.join();
    }
    int unread = read().size();
    live.stop();
    Fleet.sleep(500);
    return judge(live, unread);
  }

  /** An item generates for half a minute; a live request is short. */
  private static Workers.Plan plan() {
    return new Workers.Plan() {
      @Override
      public int events(String target) {
        return target.startsWith("/lots/") ? 300 : 2;
      }

      @Override
      public long pauseMs(String target) {
        return target.startsWith("/lots/") ? 100 : 20;
      }
    };
  }

  private void send(int lots, long pauseMs) {
    for (int number = 0; number < lots; number++) {
      int turn = sent++;
      Thread client = Fleet.daemons().newThread(() -> submit(turn));
      client.start();
      clients.add(client);
      Fleet.sleep(pauseMs);
    }
  }

  /** As a client does: a further try at another edge after a refusal, a silence or a cut. */
  private void submit(int turn) {
    List<Fleet.Node> edges = fleet.ofRole("data-plane");
    String lot = "lot-" + turn + "-" + System.nanoTime();
    byte[] body = Sample.lot(lot, ITEMS, ITEM_BYTES, 540, 300);
    for (int attempt = 0; attempt < 4; attempt++) {
      Fleet.Node to = edges.get((turn + attempt) % edges.size());
      Fleet.Answer answer =
          Fleet.call(
              fleet.clients(to),
              "POST",
              "/lots/x",
              Map.of("Host", Sample.LOT_HOST, "Applespindle-Request-Id", lot),
              body,
              4_000);
      record.line(
          "LOT " + lot + ", " + body.length + " bytes, to " + to.name + ": " + answer.status());
      if (answer.status() == 202) {
        accepted.add(lot);
        return;
      }
      Fleet.sleep(500);
    }
  }

  /** Reads each lot from its start, again after each failure; returns those that can't be read. */
  private TreeSet<String> read() {
    long endsAt = System.currentTimeMillis() + READ_MS;
    List<Fleet.Node> edges = fleet.ofRole("data-plane");
    Map<Integer, Integer> statuses = new TreeMap<>();
    TreeSet<String> left = new TreeSet<>(accepted);
    for (int turn = 0; !left.isEmpty() && System.currentTimeMillis() < endsAt; turn++) {
      String lot = left.pollFirst();
      Fleet.Node from = edges.get(turn % edges.size());
      Fleet.Answer answer =
          Fleet.call(
              fleet.clients(from),
              "GET",
              "/api/lots/" + lot + "?start_after=0",
              Map.of("Host", Sample.LOT_HOST),
              null,
              2_500);
      statuses.merge(answer.status(), 1, Integer::sum);
      record.line("READ " + lot + " at " + from.name + ": " + answer.status());
      if (answer.status() != 200) {
        left.add(lot);
        Fleet.sleep(100);
      }
    }
    record.show("reads of lots by status (0: no answer): " + statuses);
    return left;
  }

  private int judge(LiveClients live, int unread) {
    Map<String, Integer> ends = fleet.ownEnds("data-plane");
    long machines = ends.values().stream().filter(each -> each >= 3).count();
    boolean fault = machines >= Math.max(2, Math.ceil(fleet.nodes.size() / 10.0));
    boolean lost = live.lost.get() > 3;
    record.show(accepted.size() + " of " + sent + " lots accepted, " + unread
        + " of these not read in the time for it");
    record.show("live requests: served " + live.served + ", refused " + live.refused
        + ", not served " + live.unserved + ", of these run by a worker on a kept connection that"
        + " closed without an answer " + live.lost);
    record.show("processes that ended by themselves: edges " + ends + ", storage "
        + fleet.ownEnds("storage") + ", control plane " + fleet.ownEnds("control-plane"));
    record.show("Fault " + (fault ? "broken" : "held") + ", LOST " + (lost ? "broken" : "held"));
    return fault || lost ? 1 : 0;
  }
}
