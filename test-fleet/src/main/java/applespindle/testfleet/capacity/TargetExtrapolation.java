package applespindle.testfleet.capacity;

import applespindle.corelogic.constants.MembershipConstants;
import applespindle.testfleet.capacity.Measurements.Row;
import applespindle.testfleet.capacity.Measurements.Slope;
import applespindle.testfleet.capacity.Measurements.UnusableMeasurementsException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The costs of today's design at the size of the target, extrapolated from measured slopes; nothing
 * here is measured at that size.
 */
final class TargetExtrapolation {
  static final int NODES = 1_700;
  static final int WORKERS = 7_400;
  static final int TENANTS = 3_100;
  static final double CHANGES_A_SECOND = 39_000 / 86_400.0;
  static final double REQUESTS_A_SECOND = 86_000;
  static final double ITEMS_A_DAY = 390e6;
  static final double BATCHES_A_DAY = 9_700;
  static final int BATCH_ITEMS_MOST = 470_000;

  /** What leases, the change feed and other control traffic may cost a node. */
  static final double CONTROL_BYTES = 6_000;

  static final double CONTROL_PROCESSOR_MS = 13;
  static final double CONTROL_MEMORY = 128e6;

  /** An assumption: how long a batch stays open on the average, as the target doesn't say it. */
  static final double BATCH_OPEN_S = 3_600;

  /** An assumption: nodes that keep batches, of the 1,700. */
  static final int STORAGE_NODES = 100;

  private static final int REPLICAS = 3;

  /** Workers listed in the experiment on places. */
  private static final int WORKERS_OF_PLACES = 200;

  private static final int CONTROL_PLANE_NODES = 3;

  /** Above this a power law is taken through the sizes measured, below it a line. */
  private static final double SUPERLINEAR = 1.3;

  /** One figure at the target's size; allowed is NaN where the target names no bound. */
  record Term(
      String role,
      String what,
      String growsWith,
      double value,
      String unit,
      double allowed,
      String from) {
    boolean fits() {
      return Double.isNaN(allowed) || value <= allowed;
    }
  }

  private final Map<String, List<Row>> series;
  private final List<Term> terms = new ArrayList<>();

  private TargetExtrapolation(List<Row> rows) {
    series = Measurements.bySeries(rows);
  }

  static List<Term> terms(List<Row> rows) throws UnusableMeasurementsException {
    TargetExtrapolation target = new TargetExtrapolation(rows);
    target.edge();
    target.controlPlane();
    target.losses();
    target.storage();
    return target.terms;
  }

  private List<Row> series(String experiment, String role, String metric)
      throws UnusableMeasurementsException {
    List<Row> found = series.get(experiment + " | " + role + " | " + metric);
    if (found == null || found.size() < 3) {
      throw new UnusableMeasurementsException(
          "three sizes or more are wanted of " + experiment + ", " + role + ", " + metric);
    }
    return found;
  }

  private double at(String experiment, String role, String metric, double size)
      throws UnusableMeasurementsException {
    List<Row> found = series(experiment, role, metric);
    Slope slope = Measurements.slope(found);
    Row last = found.get(found.size() - 1);
    return slope.exponent() > SUPERLINEAR
        ? last.median() * Math.pow(size / last.size(), slope.exponent())
        : Math.max(0, slope.offset() + slope.slope() * size);
  }

  private double slope(String experiment, String role, String metric)
      throws UnusableMeasurementsException {
    return Measurements.slope(series(experiment, role, metric)).slope();
  }

  private void add(
      String role,
      String what,
      String growsWith,
      double value,
      String unit,
      double allowed,
      String from) {
    terms.add(new Term(role, what, growsWith, value, unit, allowed, from));
  }

  private void edge() throws UnusableMeasurementsException {
    edgeAtRest();
    edgeChanges();
    edgeLoadReads();
    edgeStart();
    edgeNodeLoss();
    edgeOpenBatches();
    edgeRequests();
    edgeWithoutControlPlane();
  }

  /** Leases and the change feed while nothing changes. */
  private void edgeAtRest() throws UnusableMeasurementsException {
    add(
        "edge",
        "leases and feed at rest, both ways",
        "nothing",
        at("nodes", "edge", "sent", NODES) + at("nodes", "edge", "received", NODES),
        "B/s",
        CONTROL_BYTES,
        "nodes");
    add(
        "edge",
        "leases and feed at rest, logic and codec",
        "nothing",
        at("nodes", "edge", "processor", NODES),
        "ms/s",
        CONTROL_PROCESSOR_MS,
        "nodes");
  }

  /** What an edge takes and sends for each change of the configuration. */
  private void edgeChanges() throws UnusableMeasurementsException {
    add(
        "edge",
        "places told for each change",
        "changes x workers",
        CONTROL_PLANE_NODES * positionBytes() * WORKERS * CHANGES_A_SECOND,
        "B/s",
        CONTROL_BYTES,
        "places");
    add(
        "edge",
        "whole bundle for each change, a rule for each tenant",
        "changes x rules",
        at("routes", "edge", "received for a change", TENANTS) * CHANGES_A_SECOND,
        "B/s",
        CONTROL_BYTES,
        "routes");
    add(
        "edge",
        "taking that bundle in",
        "changes x rules",
        at("routes", "edge", "processor for a change", TENANTS) * CHANGES_A_SECOND,
        "ms/s",
        CONTROL_PROCESSOR_MS,
        "routes");
  }

  /** Reads of the load of every worker. */
  private void edgeLoadReads() throws UnusableMeasurementsException {
    add(
        "edge",
        "reads of workers' load",
        "nodes x workers over the fleet",
        at("load-reads", "edge", "reads of load", WORKERS),
        "1/s",
        Double.NaN,
        "load-reads");
    add(
        "edge",
        "reads of workers' load, logic alone",
        "workers (see exponent)",
        at("load-reads", "edge", "processor", WORKERS),
        "ms/s",
        CONTROL_PROCESSOR_MS,
        "load-reads");
  }

  /** What an edge that starts takes in, and what it holds then. */
  private void edgeStart() throws UnusableMeasurementsException {
    double heap =
        at("join-members", "edge", "heap", NODES)
            + at("join-workers", "edge", "heap", WORKERS)
            + at("join-routes", "edge", "heap", TENANTS);
    add(
        "edge",
        "tables and views",
        "nodes + workers + rules",
        heap,
        "B",
        CONTROL_MEMORY,
        "join-members, -workers, -routes");
    add(
        "edge",
        "checkpoint at a start",
        "nodes + workers + rules",
        at("join-members", "edge", "received to take all in", NODES)
            + at("join-workers", "edge", "received to take all in", WORKERS)
            + at("join-routes", "edge", "received to take all in", TENANTS),
        "B",
        Double.NaN,
        "join-members, -workers, -routes");
    add(
        "edge",
        "taking the workers in at a start",
        "workers squared",
        at("join-workers", "edge", "processor to take all in", WORKERS),
        "ms",
        Double.NaN,
        "join-workers");
  }

  /** What the start or the loss of another node costs. */
  private void edgeNodeLoss() throws UnusableMeasurementsException {
    add(
        "edge",
        "choosing every worker's feeder anew, at each coming or going of a node",
        "nodes x workers",
        at("feeders", "edge", "processor for a worker", NODES) * WORKERS / 1e3,
        "ms",
        Double.NaN,
        "feeders");
  }

  /** Offers of the batches that are open. */
  private void edgeOpenBatches() throws UnusableMeasurementsException {
    double open = BATCHES_A_DAY * BATCH_OPEN_S / 86_400;
    add(
        "edge",
        "offers of open batches, messages",
        "open batches (x nodes over the fleet)",
        open * forOneBatch("messages sent"),
        "1/s",
        Double.NaN,
        "batch-edges");
    add(
        "edge",
        "offers of open batches, bytes taken",
        "open batches (x nodes over the fleet)",
        open * forOneBatch("received"),
        "B/s",
        CONTROL_BYTES,
        "batch-edges");
  }

  /** Live requests. */
  private void edgeRequests() throws UnusableMeasurementsException {
    add(
        "edge",
        "rules tried for a request, a rule for each tenant",
        "tenants",
        at("tenants", "edge", "processor for a request", TENANTS) * REQUESTS_A_SECOND / NODES / 1e3,
        "ms/s",
        Double.NaN,
        "tenants");
  }

  /** Edges that ask each other because no control plane node can be reached. */
  private void edgeWithoutControlPlane() throws UnusableMeasurementsException {
    add(
        "edge",
        "asking each other while the core is silent",
        "nodes x (nodes + workers)",
        at("core-silent", "edge", "sent", NODES),
        "B/s",
        CONTROL_BYTES,
        "core-silent");
  }

  /** Bytes that one edge sends to one control plane node for the position of one worker. */
  private double positionBytes() throws UnusableMeasurementsException {
    return series("places", "edge", "sent to one core node for a change").get(0).median()
        / WORKERS_OF_PLACES;
  }

  /** At the largest fleet measured, where the leaders' own heartbeats are the smaller part. */
  private double forOneBatch(String metric) throws UnusableMeasurementsException {
    List<Row> found = series("batch-edges", "edge", metric);
    return (found.get(found.size() - 1).median() - at("nodes", "edge", metric, NODES))
        / BatchExperiments.OPEN_BATCHES;
  }

  private void controlPlane() throws UnusableMeasurementsException {
    controlPlaneAtRest();
    controlPlanePositions();
    controlPlaneChanges();
  }

  /** Heartbeats of keys and the change feed while nothing changes. */
  private void controlPlaneAtRest() throws UnusableMeasurementsException {
    add(
        "core",
        "beats of owned keys and feed, messages sent",
        "nodes + workers",
        at("nodes", "core", "messages sent", NODES)
            + slope("workers", "core", "messages sent") * WORKERS,
        "1/s",
        Double.NaN,
        "nodes, workers");
    add(
        "core",
        "beats of owned keys and feed, bytes sent",
        "nodes + workers",
        at("nodes", "core", "sent", NODES) + slope("workers", "core", "sent") * WORKERS,
        "B/s",
        Double.NaN,
        "nodes, workers");
    add(
        "core",
        "the same, logic and codec, for the nodes",
        "nodes",
        at("nodes", "core", "processor", NODES),
        "ms/s",
        Double.NaN,
        "nodes");
    add(
        "core",
        "the same, logic and codec, for the workers",
        "workers",
        at("workers", "core", "processor", WORKERS),
        "ms/s",
        Double.NaN,
        "workers");
  }

  /** The positions that every edge reports. */
  private void controlPlanePositions() throws UnusableMeasurementsException {
    add(
        "core",
        "places taken for each change",
        "changes x nodes x workers",
        positionBytes() * NODES * WORKERS * CHANGES_A_SECOND,
        "B/s",
        Double.NaN,
        "places");
    add(
        "core",
        "places kept",
        "nodes x workers",
        at("places", "core", "heap for a pair of node and worker", 160) * NODES * WORKERS,
        "B",
        Double.NaN,
        "places");
  }

  /** Changes of the configuration. */
  private void controlPlaneChanges() throws UnusableMeasurementsException {
    add(
        "core",
        "work for one change with two workers a node",
        "nodes x (nodes + workers)",
        at("change", "core", "processor for a change", NODES),
        "ms",
        Double.NaN,
        "change");
    add(
        "core",
        "bundles sent, a rule for each tenant",
        "changes x rules x nodes",
        at("routes", "edge", "received for a change", TENANTS)
            * CHANGES_A_SECOND
            * NODES
            / CONTROL_PLANE_NODES,
        "B/s",
        Double.NaN,
        "routes");
    add(
        "core",
        "bundles on disk",
        "changes x rules",
        at("routes", "core", "disk for a change", TENANTS) * CHANGES_A_SECOND,
        "B/s",
        Double.NaN,
        "routes");
  }

  private void losses() {
    double zoneNodes = NODES / 12.0;
    add(
        "core",
        "striking a lost zone's nodes from the list of edges, one by one",
        "nodes lost",
        zoneNodes * MembershipConstants.EDGE_LIST_CHANGE_INTERVAL_MS,
        "ms",
        Double.NaN,
        "the constant's pace");
  }

  private void storage() throws UnusableMeasurementsException {
    double item = series("batch-items", "storage", "disk for an item").get(2).median();
    add(
        "storage",
        "batch records on disk, each of " + STORAGE_NODES + " nodes",
        "items",
        item * ITEMS_A_DAY * REPLICAS / STORAGE_NODES / 86_400,
        "B/s",
        Double.NaN,
        "batch-items");
    double kept = series("batch-items", "storage", "heap for an item").get(2).median();
    add(
        "storage",
        "batch records in the heap, kept a day, each of " + STORAGE_NODES + " nodes",
        "items",
        kept * ITEMS_A_DAY * REPLICAS / STORAGE_NODES,
        "B",
        Double.NaN,
        "batch-items");
    add(
        "storage",
        "largest frame for a batch of 470,000",
        "items",
        at("batch-items", "storage", "largest frame taken", BATCH_ITEMS_MOST),
        "B",
        64 << 20,
        "batch-items");
    List<Row> items = series("batch-items", "edge", "processor for an item (all edges)");
    double item10000 = items.get(items.size() - 1).median();
    add(
        "edge",
        "leader and feeders, logic and codec, on the average of 1,700 nodes",
        "items",
        item10000 * ITEMS_A_DAY / 86_400 / NODES / 1e3,
        "ms/s",
        Double.NaN,
        "batch-items");
  }

  static String table(List<Term> terms) {
    StringBuilder text =
        new StringBuilder(
            "| role | what | grows with | at the target | allowed | from |\n"
                + "|---|---|---|---|---|---|\n");
    for (Term term : terms) {
      text.append("| ")
          .append(
              String.join(
                  " | ",
                  term.role(),
                  term.what(),
                  term.growsWith(),
                  shown(term.value(), term.unit()),
                  shownBound(term),
                  term.from()))
          .append(" |\n");
    }
    return text.toString();
  }

  private static String shownBound(Term term) {
    if (Double.isNaN(term.allowed())) {
      return "";
    }
    return shown(term.allowed(), term.unit()) + (term.fits() ? "" : ", **not met**");
  }

  private static String shown(double value, String unit) {
    if (unit.equals("1/s")) {
      return String.format(Locale.ROOT, "%,.0f a second", value);
    }
    String[] prefixes = {"", "k", "M", "G", "T"};
    int prefix = 0;
    double scaled = value;
    while (scaled >= 1000 && prefix < prefixes.length - 1 && !unit.startsWith("ms")) {
      scaled /= 1000;
      prefix++;
    }
    return String.format(Locale.ROOT, scaled >= 100 ? "%,.0f" : "%.2g", scaled)
        + " "
        + prefixes[prefix]
        + unit;
  }
}
