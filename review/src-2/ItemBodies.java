import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 5: clients ask for the bodies of items that are still being worked on. */
public final class ItemBodies {
  private static final int EDGES = 3;
  private static final int ITEM_BYTES = 2_900_000;
  private static final int READERS = Integer.getInteger("readers", 48);
  private static final long TROUBLE_MS = 65_000;

  private final Record record;
  private final Fleet fleet;
  private final List<String> lots = new ArrayList<>();
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger wrong = new AtomicInteger();
  private final Map<Integer, Integer> statuses = new TreeMap<>();
  private volatile boolean over;

  private ItemBodies(Record record) throws Exception {
    this.record = record;
    this.fleet = new Fleet(EDGES, record);
  }

  /** The first argument is the file of the record, the second tells whether there is trouble. */
  public static void main(String[] arguments) throws Exception {
    int exit = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      ItemBodies script = new ItemBodies(record);
      try (Fleet fleet = script.fleet) {
        exit = script.run(!arguments[1].equals("0"));
      }
    }
    System.exit(exit);
  }

  private int run(boolean trouble) throws Exception {
    Workers workers = new Workers(fleet, Sample.SERVICE, 4, plan(), record);
    fleet.start();
    List<String> routes =
        List.of(Sample.lotRoute(), Sample.liveRoute("live", Sample.LIVE_HOST, "/live/"));
    if (!fleet.begin(Sample.configuration(1, routes), 40_000)) {
      record.show("the fleet did not start");
      return 2;
    }
    Fleet.sleep(2_000);
    List<Fleet.Node> edges = fleet.ofRole("data-plane");
    for (int number = 0; number < EDGES; number++) {
      if (!submit(edges.get(number), "lot-" + number + "-" + System.nanoTime())) {
        record.show("a lot was not accepted");
        return 2;
      }
    }
    LiveClients live = new LiveClients(fleet, workers, record);
    live.start(2 * EDGES);
    Fleet.sleep(3_000);
    int readers = trouble ? READERS : 1;
    record.show(readers + " readers of item bodies begin");
    for (int number = 0; number < readers; number++) {
      int each = number;
      Fleet.daemons().newThread(() -> read(edges, each)).start();
    }
    Fleet.sleep(TROUBLE_MS);
    over = true;
    Fleet.sleep(3_000);
    live.stop();
    Fleet.sleep(500);
    return judge(live);
  }

  /** An item of a lot generates for as long as the script runs; a live request is short. */
  private static Workers.Plan plan() {
    return new Workers.Plan() {
      @Override
      public int events(String target) {
        return target.startsWith("/lots/") ? 900 : 2;
      }

      @Override
      public long pauseMs(String target) {
        return target.startsWith("/lots/") ? 100 : 20;
      }
    };
  }

  private boolean submit(Fleet.Node edge, String lot) {
    byte[] body = Sample.lot(lot, 1, ITEM_BYTES, 540, 900);
    for (int attempt = 0; attempt < 4; attempt++) {
      Fleet.Answer answer =
          Fleet.call(
              fleet.clients(edge),
              "POST",
              "/lots/x",
              Map.of("Host", Sample.LOT_HOST, "Applespindle-Request-Id", lot),
              body,
              4_000);
      record.line("LOT " + lot + " of " + body.length + " bytes: " + answer.status());
      if (answer.status() == 202) {
        lots.add(lot);
        return true;
      }
      Fleet.sleep(500);
    }
    return false;
  }

  /** About twice per second, each time on a new connection; after a failure at another edge. */
  private void read(List<Fleet.Node> edges, int number) {
    Random random = new Random(number);
    int edge = number;
    while (!over) {
      String lot = lots.get(random.nextInt(lots.size()));
      Fleet.Node to = edges.get(edge % edges.size());
      Fleet.Answer answer =
          Fleet.call(
              fleet.clients(to),
              "GET",
              "/api/items/" + lot + "?id=" + Sample.itemId(lot, 0),
              Map.of("Host", Sample.LOT_HOST),
              null,
              2_500);
      note(answer, lot, to.name);
      if (answer.status() != 200) {
        edge++;
      }
      Fleet.sleep(400 + random.nextInt(200));
    }
  }

  private synchronized void note(Fleet.Answer answer, String lot, String edge) {
    statuses.merge(answer.status(), 1, Integer::sum);
    record.line(
        "BODY of " + lot + " at " + edge + ": " + answer.status() + ", "
            + answer.body().length + " bytes" + (answer.complete() ? "" : ", not complete"));
    if (answer.status() == 200 && answer.complete()) {
      boolean same = Arrays.equals(answer.body(), Sample.itemBody(Sample.itemId(lot, 0), ITEM_BYTES));
      (same ? whole : wrong).incrementAndGet();
    }
  }

  private int judge(LiveClients live) {
    Map<String, Integer> ends = fleet.ownEnds("data-plane");
    long machines = ends.values().stream().filter(each -> each >= 3).count();
    boolean fault = machines >= Math.max(2, Math.ceil(fleet.nodes.size() / 10.0));
    boolean lost = live.lost.get() > 3;
    record.show("reads of bodies by status (0: no answer) " + statuses + ", whole " + whole
        + ", wrong " + wrong);
    record.show("live requests: served " + live.served + ", refused " + live.refused
        + ", not served " + live.unserved + ", of these run by a worker on a kept connection that"
        + " closed without an answer " + live.lost);
    record.show("processes that ended by themselves: edges " + ends + ", storage "
        + fleet.ownEnds("storage") + ", control plane " + fleet.ownEnds("control-plane"));
    record.show("Fault " + (fault ? "broken" : "held") + ", LOST " + (lost ? "broken" : "held"));
    return fault || lost || wrong.get() > 0 ? 1 : 0;
  }
}
