package applespindle.testfleet.checker;

import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;
import applespindle.testfleet.history.ProxiedOutput;
import applespindle.testfleet.history.ProxiedOutput.Part;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/** The events of proxied requests, batches and changes of routes, indexed for the rules. */
final class ProxyTraffic {
  /** Statuses that guarantee that nothing ran. */
  static final Set<Long> NOT_RUN = Set.of(408L, 421L, 429L, 503L);

  /** Statuses that guarantee that a change is not in force. */
  private static final Set<Long> DEFINITE_REFUSALS = Set.of(400L, 409L, 412L, 413L, 422L);

  /** One run at a worker; began is null while it waits there. */
  record Run(
      String worker,
      String request,
      String asked,
      String edge,
      long arrivedMs,
      Seen began,
      Seen ended) {}

  /** One change, as its operator sent it; routes by name. */
  record Change(
      String id,
      long number,
      boolean valid,
      String buildsOn,
      long sentMs,
      Map<String, Route> routes,
      Map<String, String> tenantOfKey) {
    /**
     * Whether a request with this key may run on the route by this change; null: no key is needed.
     */
    boolean admits(Route route, String apiKey) {
      return apiKey == null
          || tenantOfKey.isEmpty()
          || route.isPublic()
          || tenantOfKey.containsKey(apiKey);
    }
  }

  /** A route as a change describes it. */
  record Route(
      String host,
      String prefix,
      String type,
      int attempts,
      long tokensMost,
      Set<String> pools,
      boolean isPublic) {
    static Route parse(String text) {
      String[] words = text.split(" ");
      return new Route(
          words[0],
          words[1],
          words[2],
          Integer.parseInt(words[3]),
          Long.parseLong(words[4]),
          words.length > 5 ? Set.of(words[5].split(",")) : Set.of(),
          words.length > 6 && words[6].equals("public"));
    }
  }

  /** One batch as its client and the workers observed it. */
  static final class Batch {
    final String id;
    String host;
    String path;

    /** The tenant that submits it; null where there are no tenants. */
    String owner;

    long firstSentMs;
    long acceptedMs = -1;
    long endAskedMs = Long.MAX_VALUE / 2;
    long endedMs = Long.MAX_VALUE / 2;
    boolean refusedAtEveryTry = true;
    int openTries;
    final Map<String, Seen> items = new LinkedHashMap<>();
    final TreeMap<Long, Seen> results = new TreeMap<>();

    Batch(String id) {
      this.id = id;
    }

    int tokens(String item) {
      return Integer.parseInt(items.get(item).text().split(" ", 2)[0]);
    }

    /** Whether the waiting tokens of both count against one limit. */
    boolean sharesLimitWith(Batch other) {
      return path != null
          && other.path != null
          && routeKey().equals(other.routeKey())
          && Objects.equals(owner, other.owner);
    }

    /** Batches with the same key share a route. */
    String routeKey() {
      return host + " " + path.substring(0, path.lastIndexOf('/') + 1);
    }

    String asked(String item) {
      return items.get(item).text().split(" ", 2)[1];
    }
  }

  final List<Seen> seen;
  final HealthyMachines machines;
  final Map<String, Long> bounds = new HashMap<>();
  final Map<String, Seen> requests = new HashMap<>();
  final Map<String, Seen> answers = new HashMap<>();
  final Map<String, List<Run>> runsOf = new HashMap<>();
  final Map<String, Run> runs = new HashMap<>();

  /** By request, the key that it carries; only where there are tenants. */
  final Map<String, String> keyOfRequest = new HashMap<>();

  /** By run, what its worker was told of the tenant. */
  final Map<String, Seen> tenantOfRun = new HashMap<>();

  final Map<String, String> poolOfWorker = new HashMap<>();
  final Map<String, Change> changes = new LinkedHashMap<>();

  /** By number, when a change was first acknowledged. */
  final TreeMap<Long, Long> acknowledgedMs = new TreeMap<>();

  final Set<String> acknowledged = new HashSet<>();
  final Set<String> refusedChanges = new HashSet<>();
  final Map<String, Batch> batches = new LinkedHashMap<>();
  final Map<String, String> batchOfItem = new HashMap<>();

  ProxyTraffic(List<Seen> seen) {
    this.seen = seen;
    of(Kind.BOUND).forEach(each -> bounds.put(each.subject(), each.number()));
    machines = new HealthyMachines(seen, bound("contactMs", 3_000), bound("losses", 1));
    index();
  }

  long bound(String name, long defaultValue) {
    return bounds.getOrDefault(name, defaultValue);
  }

  List<Seen> of(Kind kind) {
    return seen.stream().filter(each -> each.kind() == kind).toList();
  }

  private void index() {
    Map<String, Seen> ends = new HashMap<>();
    Map<String, Seen> begins = new HashMap<>();
    of(Kind.RUN_ENDED).forEach(each -> ends.put(each.text(), each));
    of(Kind.RUN_BEGAN).forEach(each -> begins.putIfAbsent(each.text(), each));
    for (Seen each : seen) {
      switch (each.kind()) {
        case REQUEST_SENT -> requests.put(each.subject(), each);
        case REQUEST_ANSWERED -> answers.put(each.subject(), each);
        case WORKER_BORN -> poolOfWorker.put(each.subject(), each.detail());
        case RUN_ARRIVED -> indexRun(each, begins, ends);
        case REQUEST_KEY -> keyOfRequest.put(each.subject(), each.text());
        case RUN_TENANT -> tenantOfRun.put(each.text(), each);
        case CHANGE_KEY ->
            changes.get(each.subject()).tenantOfKey().put(each.text(), each.detail());
        case CHANGE_SENT -> indexChange(each);
        case CHANGE_ROUTE ->
            changes.get(each.subject()).routes().put(each.detail(), Route.parse(each.text()));
        case CHANGE_ANSWERED -> indexChangeAnswer(each);
        default -> indexBatch(each);
      }
    }
  }

  /**
   * Indexes a run.
   *
   * @param begins by run
   * @param ends by run
   */
  private void indexRun(Seen arrived, Map<String, Seen> begins, Map<String, Seen> ends) {
    String[] words = arrived.detail().split(" ");
    String requestId = words[0];
    String edge = words[1];
    String runId = words[2];
    Run run =
        new Run(
            arrived.subject(),
            requestId,
            arrived.text(),
            edge,
            arrived.atMs(),
            begins.get(runId),
            ends.get(runId));
    runs.put(runId, run);
    runsOf.computeIfAbsent(requestId, unseen -> new ArrayList<>()).add(run);
  }

  private void indexChange(Seen sent) {
    Change change =
        new Change(
            sent.subject(),
            sent.number(),
            sent.detail().equals("valid"),
            sent.text(),
            sent.atMs(),
            new HashMap<>(),
            new HashMap<>());
    changes.putIfAbsent(change.id(), change);
  }

  private void indexChangeAnswer(Seen answer) {
    if (answer.number() == 200) {
      acknowledged.add(answer.subject());
      acknowledgedMs.putIfAbsent(changes.get(answer.subject()).number(), answer.atMs());
    } else if (DEFINITE_REFUSALS.contains(answer.number())) {
      refusedChanges.add(answer.subject());
    }
  }

  private void indexBatch(Seen each) {
    Batch batch =
        each.kind().name().startsWith("OPAQUE_")
            ? batches.computeIfAbsent(each.subject(), Batch::new)
            : null;
    switch (each.kind()) {
      case OPAQUE_SENT -> {
        if (batch.host == null) {
          batch.host = each.text().split(" ")[0];
          batch.path = each.text().split(" ")[1];
          batch.firstSentMs = each.atMs();
        }
        batch.openTries++;
      }
      case OPAQUE_OWNER -> batch.owner = each.text();
      case OPAQUE_ITEM -> {
        batch.items.put(each.detail(), each);
        batchOfItem.put(each.detail(), batch.id);
      }
      case OPAQUE_ANSWERED -> {
        batch.openTries--;
        batch.refusedAtEveryTry &= NOT_RUN.contains(each.number());
        if (each.number() == 201 && batch.acceptedMs < 0) {
          batch.acceptedMs = each.atMs();
        }
      }
      case OPAQUE_END_ASKED -> batch.endAskedMs = Math.min(batch.endAskedMs, each.atMs());
      case OPAQUE_END_ANSWERED -> {
        if (each.number() == 200) {
          batch.endedMs = Math.min(batch.endedMs, each.atMs());
        }
      }
      default -> {}
    }
  }

  /** Whether a change may be in force from the time it was sent: it is valid and not refused. */
  boolean mayBeInForce(Change change) {
    return change.valid()
        && (acknowledged.contains(change.id()) || !refusedChanges.contains(change.id()));
  }

  boolean everAllowed(String asked, String pool, long atMs) {
    return changes.values().stream()
        .filter(change -> change.sentMs() <= atMs)
        .map(change -> routeOf(change, host(asked), path(asked)))
        .anyMatch(route -> route != null && route.pools().contains(pool));
  }

  long acknowledgedBefore(long timeMs) {
    return acknowledgedMs.entrySet().stream()
        .filter(entry -> entry.getValue() < timeMs)
        .mapToLong(Map.Entry::getKey)
        .max()
        .orElse(0);
  }

  boolean acknowledgedSince(long atMs) {
    return !acknowledgedMs.isEmpty() && acknowledgedBefore(atMs) > 0;
  }

  /**
   * Checks that the parts of an output follow each other, each from a run of this request that
   * resumed where the part before ended. Gives null if so, else what is wrong.
   */
  String joined(List<String> texts, String request, String asked, long resumeAfter) {
    long last = resumeAfter;
    String present = "";
    Set<String> left = new HashSet<>();
    for (String text : texts) {
      Part part = Part.parse(text);
      Run run = part == null ? null : runs.get(part.run());
      if (run == null
          || run.began() == null
          || !run.request().equals(request)
          || !part.asked().equals(ProxiedOutput.sum(asked))) {
        return "another's piece " + text;
      }
      if (part.first() != last + 1 || part.last() < part.first()) {
        return "after " + last + " comes " + text;
      }
      if (!part.run().equals(present)) {
        if (!left.add(part.run()) || run.began().number() != last) {
          return "joined after " + last + " with a run that went on behind " + run.began().number();
        }
        present = part.run();
      }
      last = part.last();
    }
    return null;
  }

  static Route routeOf(Change change, String host, String path) {
    return change.routes().values().stream()
        .filter(route -> route.host().equalsIgnoreCase(host) && path.startsWith(route.prefix()))
        .max(Comparator.comparingInt(route -> route.prefix().length()))
        .orElse(null);
  }

  static String host(String asked) {
    return asked.split(" ")[1];
  }

  static String path(String asked) {
    return asked.split(" ")[2].split("[?]")[0];
  }

  static boolean repeatable(Seen request) {
    return request.detail().startsWith("repeatable ") || request.detail().startsWith("resumable ");
  }

  static String edgeOf(Seen request) {
    return request.detail().split(" ")[1];
  }
}
