import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Case 6: one operator changes a configuration of many routes, one change after the other. */
public final class LargeConfigurations {
  private static final int EDGES = 3;
  private static final int ROUTES = Integer.getInteger("routes", 8_000);

  /** As many as the largest site file of the pages adds. */
  private static final int ROUTES_WITHOUT_TROUBLE = 510;

  private static final long CHANGES_MS = 60_000;
  private static final long READ_BACK_MS = 10_000;

  private final Record record;
  private final Fleet fleet;
  private long acknowledged;
  private int node;

  private LargeConfigurations(Record record) throws Exception {
    this.record = record;
    this.fleet = new Fleet(EDGES, record);
  }

  /** The first argument is the file of the record, the second tells whether there is trouble. */
  public static void main(String[] arguments) throws Exception {
    int exit = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      LargeConfigurations script = new LargeConfigurations(record);
      try (Fleet fleet = script.fleet) {
        exit = script.run(!arguments[1].equals("0"));
      }
    }
    System.exit(exit);
  }

  private int run(boolean trouble) throws Exception {
    new Workers(fleet, Sample.SERVICE, 4, null, record);
    fleet.start();
    if (!fleet.begin(configuration(1, 8), 40_000)) {
      record.show("the fleet did not start");
      return 2;
    }
    acknowledged = 1;
    Fleet.sleep(2_000);
    int routes = trouble ? ROUTES : ROUTES_WITHOUT_TROUBLE;
    long endsAt = System.currentTimeMillis() + CHANGES_MS;
    for (long revision = 2; System.currentTimeMillis() < endsAt; revision++) {
      change(configuration(revision, routes), revision, endsAt);
      Fleet.sleep(1_000);
    }
    return judge(readBack());
  }

  private static String configuration(long revision, int routes) {
    List<String> all = new ArrayList<>();
    all.add(Sample.lotRoute());
    for (int number = 0; number < routes; number++) {
      all.add(
          Sample.liveRoute(
              "r-" + number, "h" + number % 40 + ".example", "/p" + number + "x" + revision + "/"));
    }
    return Sample.configuration(revision, all);
  }

  private Fleet.Node nextNode() {
    List<Fleet.Node> all = fleet.ofRole("control-plane");
    return all.get(node++ % all.size());
  }

  /** Sent unchanged to one node after the other, with a growing pause, until it is taken. */
  private void change(String configuration, long revision, long endsAt) {
    long pauseMs = 100;
    while (System.currentTimeMillis() < endsAt) {
      Fleet.Node to = nextNode();
      long begunAt = System.currentTimeMillis();
      Fleet.Answer answer = fleet.put(to, acknowledged, configuration, 8_000);
      record.line(
          "PUT revision " + revision + ", " + configuration.length() + " bytes, to " + to.name
              + ": " + answer.status() + " after " + (System.currentTimeMillis() - begunAt)
              + " ms " + answer.headers().getOrDefault("error", ""));
      if (answer.status() == 200) {
        acknowledged = revision;
        return;
      }
      Fleet.sleep(pauseMs);
      pauseMs = Math.min(2_000, pauseMs * 2);
    }
  }

  /** Asks again and again, for longer than contact_ms; null if it does not come. */
  private Long readBack() {
    long endsAt = System.currentTimeMillis() + READ_BACK_MS;
    Long read = null;
    while (System.currentTimeMillis() < endsAt) {
      Fleet.Node from = nextNode();
      Fleet.Answer answer =
          Fleet.call(fleet.operators(from), "GET", "/api/config", Map.of(), null, 4_000);
      record.line("GET from " + from.name + ": " + answer.status() + ", "
          + answer.body().length + " bytes");
      if (answer.status() == 200 && answer.complete()) {
        String text = answer.text();
        read = Long.parseLong(text.substring(text.indexOf(':') + 1, text.indexOf(',')));
      }
      Fleet.sleep(500);
    }
    return read;
  }

  private int judge(Long read) {
    Map<String, Integer> ends = fleet.ownEnds("control-plane");
    long machines = ends.values().stream().filter(each -> each >= 3).count();
    boolean fault = machines * 2 >= ends.size();
    boolean config = read == null || read < acknowledged;
    record.show("acknowledged up to revision " + acknowledged + ", read back " + read);
    record.show("processes that ended by themselves: control plane " + ends + ", edges "
        + fleet.ownEnds("data-plane") + ", storage " + fleet.ownEnds("storage"));
    record.show(
        "Fault " + (fault ? "broken" : "held") + ", CONFIG " + (config ? "broken" : "held"));
    return fault || config ? 1 : 0;
  }
}
