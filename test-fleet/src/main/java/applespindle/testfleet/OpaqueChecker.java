package applespindle.testfleet;

import applespindle.testfleet.Checker.Rule;
import applespindle.testfleet.Checker.Violation;
import applespindle.testfleet.History.Kind;
import applespindle.testfleet.History.Seen;
import applespindle.testfleet.OpaqueOutput.Part;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The never-rules of opaque requests, opaque batches, the outside list and changes of routes, from
 * outside alone.
 */
final class OpaqueChecker {
  private static final Set<Long> PROMISES = Set.of(408L, 421L, 429L, 503L);
  private static final Set<Long> CLEAR_NO = Set.of(400L, 409L, 412L, 413L, 422L);
  private static final int ATTEMPTS_LEAST = 3;
  private static final long UNLIMITED = Long.MAX_VALUE / 1_000;

  /** How a run ended whose caller left. */
  static final int DROPPED = -1;

  /** One run at a worker; began is null while it waits there. */
  private record Run(
      String worker,
      String request,
      String asked,
      String edge,
      long arrivedMs,
      Seen began,
      Seen ended) {}

  /** One change, as its operator sent it; routes by name. */
  private record Change(
      String id,
      long number,
      boolean valid,
      String buildsOn,
      long sentMs,
      Map<String, Route> routes) {}

  private record Route(
      String host, String prefix, String type, int attempts, long tokensMost, Set<String> pools) {
    static Route parse(String text) {
      String[] words = text.split(" ");
      return new Route(
          words[0],
          words[1],
          words[2],
          Integer.parseInt(words[3]),
          Long.parseLong(words[4]),
          words.length > 5 ? Set.of(words[5].split(",")) : Set.of());
    }
  }

  /** One batch and what its client and the workers saw of it. */
  private static final class Batch {
    final String id;
    String host;
    String path;
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

    /** Batches of one place share a route. */
    String place() {
      return host + " " + path.substring(0, path.lastIndexOf('/') + 1);
    }

    String asked(String item) {
      return items.get(item).text().split(" ", 2)[1];
    }
  }

  private final List<Seen> seen;
  private final Touch touch;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, Long> bounds = new HashMap<>();
  private final Map<String, Seen> requests = new HashMap<>();
  private final Map<String, Seen> answers = new HashMap<>();
  private final Map<String, List<Run>> runsOf = new HashMap<>();
  private final Map<String, Run> runs = new HashMap<>();
  private final Map<String, String> poolOfWorker = new HashMap<>();
  private final Map<String, Change> changes = new LinkedHashMap<>();

  /** By number, when a change was first acknowledged. */
  private final TreeMap<Long, Long> acknowledgedMs = new TreeMap<>();

  private final Set<String> acknowledged = new HashSet<>();
  private final Set<String> refusedChanges = new HashSet<>();
  private final Map<String, Batch> batches = new LinkedHashMap<>();
  private final Map<String, String> batchOfItem = new HashMap<>();

  private OpaqueChecker(List<Seen> seen) {
    this.seen = seen;
    of(Kind.BOUND).forEach(each -> bounds.put(each.subject(), each.number()));
    touch = new Touch(seen, bound("contactMs", 3_000), bound("losses", 1));
  }

  static List<Violation> check(List<Seen> seen) {
    OpaqueChecker checker = new OpaqueChecker(seen);
    checker.learn();
    checker.asked();
    checker.answers();
    checker.leaving();
    checker.changes();
    checker.register();
    checker.effects();
    checker.cutInOrder();
    checker.batches();
    checker.waitingTokens();
    checker.service();
    return checker.violations;
  }

  private long bound(String name, long unlessTold) {
    return bounds.getOrDefault(name, unlessTold);
  }

  private List<Seen> of(Kind kind) {
    return seen.stream().filter(each -> each.kind() == kind).toList();
  }

  private void violated(Rule rule, long atMs, String what) {
    violations.add(new Violation(rule, atMs, what));
  }

  // ---- what was seen, put together

  private void learn() {
    Map<String, Seen> ends = new HashMap<>();
    Map<String, Seen> begins = new HashMap<>();
    of(Kind.RUN_ENDED).forEach(each -> ends.put(each.text(), each));
    of(Kind.RUN_BEGAN).forEach(each -> begins.putIfAbsent(each.text(), each));
    for (Seen each : seen) {
      switch (each.kind()) {
        case REQUEST_SENT -> requests.put(each.subject(), each);
        case REQUEST_ANSWERED -> answers.put(each.subject(), each);
        case WORKER_BORN -> poolOfWorker.put(each.subject(), each.detail());
        case RUN_ARRIVED -> {
          String[] words = each.detail().split(" ");
          Run run =
              new Run(
                  each.subject(),
                  words[0],
                  each.text(),
                  words[1],
                  each.atMs(),
                  begins.get(words[2]),
                  ends.get(words[2]));
          runs.put(words[2], run);
          runsOf.computeIfAbsent(words[0], unseen -> new ArrayList<>()).add(run);
        }
        case CHANGE_SENT ->
            changes.putIfAbsent(
                each.subject(),
                new Change(
                    each.subject(),
                    each.number(),
                    each.detail().equals("valid"),
                    each.text(),
                    each.atMs(),
                    new HashMap<>()));
        case CHANGE_ROUTE ->
            changes.get(each.subject()).routes().put(each.detail(), Route.parse(each.text()));
        case CHANGE_ANSWERED -> {
          if (each.number() == 200) {
            acknowledged.add(each.subject());
            acknowledgedMs.putIfAbsent(changes.get(each.subject()).number(), each.atMs());
          } else if (CLEAR_NO.contains(each.number())) {
            refusedChanges.add(each.subject());
          }
        }
        default -> learnBatch(each);
      }
    }
  }

  private void learnBatch(Seen each) {
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
      case OPAQUE_ITEM -> {
        batch.items.put(each.detail(), each);
        batchOfItem.put(each.detail(), batch.id);
      }
      case OPAQUE_ANSWERED -> {
        batch.openTries--;
        batch.refusedAtEveryTry &= PROMISES.contains(each.number());
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

  /** Neither refused nor beaten: may be in force from the time it was sent. */
  private boolean mayBeInForce(Change change) {
    return change.valid()
        && (acknowledged.contains(change.id()) || !refusedChanges.contains(change.id()));
  }

  private static Route routeOf(Change change, String host, String path) {
    return change.routes().values().stream()
        .filter(route -> route.host().equalsIgnoreCase(host) && path.startsWith(route.prefix()))
        .max(java.util.Comparator.comparingInt(route -> route.prefix().length()))
        .orElse(null);
  }

  private static String host(String asked) {
    return asked.split(" ")[1];
  }

  private static String path(String asked) {
    return asked.split(" ")[2].split("[?]")[0];
  }

  private static boolean repeatable(Seen request) {
    return request.detail().startsWith("repeatable ") || request.detail().startsWith("resumable ");
  }

  private static String edgeOf(Seen request) {
    return request.detail().split(" ")[1];
  }

  // ---- what workers were asked

  /**
   * Workers run what a client asked, unchanged, at a pool that some change sent before lets it go
   * to.
   */
  private void asked() {
    runs.values().forEach(this::askedUnchanged);
    runsOf.forEach(this::ranAsPromised);
  }

  private void askedUnchanged(Run run) {
    if (run.began() == null) {
      return;
    }
    Seen request = requests.get(run.request());
    String batch = batchOfItem.get(run.request());
    String wanted = null;
    long sentMs = Long.MAX_VALUE;
    if (request != null) {
      wanted = request.text();
      sentMs = request.atMs();
    } else if (batch != null) {
      wanted = batches.get(batch).asked(run.request());
      sentMs = batches.get(batch).firstSentMs;
    }
    if (wanted == null || !wanted.equals(run.asked()) || sentMs > run.arrivedMs()) {
      violated(
          Rule.UNASKED_RUN,
          run.arrivedMs(),
          run.request()
              + " at "
              + run.worker()
              + " asked "
              + run.asked()
              + " where its client asked "
              + wanted);
      return;
    }
    String pool = poolOfWorker.get(run.worker());
    if (!everAllowed(wanted, pool, run.began().atMs())) {
      violated(
          Rule.WRONG_POOL,
          run.began().atMs(),
          run.request() + " ran at " + run.worker() + " of " + pool);
    }
  }

  /**
   * A request that may not be repeated runs at most once, and not at all if its refusal promised
   * that.
   */
  private void ranAsPromised(String id, List<Run> ofRequest) {
    Seen request = requests.get(id);
    List<Run> begun = ofRequest.stream().filter(run -> run.began() != null).toList();
    if (request == null || repeatable(request) || begun.isEmpty()) {
      return;
    }
    if (begun.size() > 1) {
      violated(Rule.RAN_TWICE, begun.get(1).began().atMs(), id + " ran " + begun.size() + " times");
    }
    Seen answer = answers.get(id);
    if (answer != null && answer.detail().equals("refused") && PROMISES.contains(answer.number())) {
      violated(
          Rule.REFUSED_REQUEST_RAN,
          begun.get(0).began().atMs(),
          id + " was refused with " + answer.number());
    }
  }

  private boolean everAllowed(String asked, String pool, long atMs) {
    return changes.values().stream()
        .filter(change -> change.sentMs() <= atMs)
        .map(change -> routeOf(change, host(asked), path(asked)))
        .anyMatch(route -> route != null && route.pools().contains(pool));
  }

  // ---- what clients got

  private void answers() {
    for (Seen answer : answers.values()) {
      Seen request = requests.get(answer.subject());
      if (answer.detail().equals("refused") || answer.number() == 0) {
        continue;
      }
      int lineEnd = answer.text().indexOf('\n');
      String stamp = answer.text().substring(0, Math.max(0, lineEnd));
      String body = answer.text().substring(lineEnd + 1);
      Run head = runs.get(stamp.split("[.]")[0]);
      boolean whole = answer.detail().equals("complete");
      if (head == null
          || !head.request().equals(answer.subject())
          || !stamp.equals(OpaqueOutput.stamp(request.text(), stamp.split("[.]")[0]))) {
        violated(
            Rule.WRONG_OR_CUT_ANSWER, answer.atMs(), answer.subject() + " has the stamp " + stamp);
      } else if (answer.number() >= 300) {
        if (whole && !body.equals(failure(head, answer.number()))) {
          violated(
              Rule.WRONG_OR_CUT_ANSWER, answer.atMs(), answer.subject() + " has a changed failure");
        }
      } else if (head.ended() != null && head.ended().number() >= 300) {
        violated(
            Rule.WRONG_OR_CUT_ANSWER,
            answer.atMs(),
            answer.subject() + " shows a failure as a success");
      } else if (request.detail().startsWith("stream ")
          || request.detail().startsWith("resumable ")) {
        stream(request, answer, body, whole);
      } else {
        plain(request, answer, head, body, whole, stamp);
      }
    }
  }

  static String failure(String run, long status) {
    return "failed " + status + " " + run;
  }

  private String failure(Run run, long status) {
    return failure(run.began() == null ? "" : run.began().text(), status);
  }

  private void plain(Seen request, Seen answer, Run run, String body, boolean whole, String stamp) {
    String output =
        OpaqueOutput.text(request.text(), 1, (int) request.number(), stamp.split("[.]")[0]);
    if (whole ? !body.equals(output) : !output.startsWith(body)) {
      violated(
          Rule.WRONG_OR_CUT_ANSWER,
          answer.atMs(),
          answer.subject() + (whole ? " is complete with " : " has ") + body);
    } else if (whole && (run.ended() == null || run.ended().number() != 200)) {
      violated(
          Rule.WRONG_OR_CUT_ANSWER,
          answer.atMs(),
          answer.subject() + " is complete and its run is not");
    }
  }

  private void stream(Seen request, Seen answer, String body, boolean whole) {
    long resumeAfter = resumeAfter(request);
    List<String> texts = new ArrayList<>();
    long lastId = resumeAfter;
    for (String line : body.isEmpty() ? new String[0] : body.split("\n")) {
      int colon = line.indexOf(':');
      Part part = Part.parse(line.substring(colon + 1));
      if (part == null
          || !line.substring(0, Math.max(0, colon)).equals(Integer.toString(part.last()))) {
        violated(
            Rule.WRONG_OR_CUT_ANSWER, answer.atMs(), answer.subject() + " has the event " + line);
        return;
      }
      lastId = part.last();
      texts.add(line.substring(colon + 1));
    }
    String fault = joined(texts, request.subject(), request.text(), resumeAfter);
    if (fault != null) {
      violated(
          fault.startsWith("another") ? Rule.WRONG_OR_CUT_ANSWER : Rule.STREAM_BROKEN,
          answer.atMs(),
          answer.subject() + ": " + fault);
    } else if (whole && lastId != request.number()) {
      violated(
          Rule.STREAM_BROKEN,
          answer.atMs(),
          answer.subject() + " ends as complete after " + lastId + " of " + request.number());
    }
  }

  private static long resumeAfter(Seen request) {
    String[] words = request.detail().split(" ");
    return words.length > 2 ? Long.parseLong(words[2]) : 0;
  }

  /**
   * Null if the pieces follow each other, each from a run of just this request, that goes on where
   * the one before ended.
   */
  private String joined(List<String> texts, String request, String asked, long resumeAfter) {
    long last = resumeAfter;
    String present = "";
    Set<String> left = new HashSet<>();
    for (String text : texts) {
      Part part = Part.parse(text);
      Run run = part == null ? null : runs.get(part.run());
      if (run == null
          || run.began() == null
          || !run.request().equals(request)
          || !part.asked().equals(OpaqueOutput.sum(asked))) {
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

  // ---- workers that leave

  private void leaving() {
    Map<String, Long> shownMs = new HashMap<>();
    for (Seen each : of(Kind.WORKER_LISTED)) {
      if (!each.text().equals("ready")) {
        shownMs.putIfAbsent(each.subject(), each.atMs());
      }
    }
    List<Seen> listTrouble = of(Kind.LIST_TROUBLE);
    long drainMs = bound("drainMs", 3_000);
    for (Seen each : of(Kind.RUN_ARRIVED)) {
      Long shown = shownMs.get(each.subject());
      String[] words = each.detail().split(" ");
      if (shown == null
          || each.number() == 421
          || each.atMs() - shown - troubled(listTrouble, shown, each.atMs()) <= drainMs) {
        continue;
      }
      if (touch.inTouch(words[1], each.atMs()) && touch.inTouch(words[1], shown + drainMs)) {
        violated(
            Rule.WORK_TO_LEAVING_WORKER,
            each.atMs(),
            words[0]
                + " reached "
                + each.subject()
                + " from "
                + words[1]
                + ", "
                + (each.atMs() - shown)
                + " ms after it was shown to leave");
      }
    }
  }

  private static long troubled(List<Seen> listTrouble, long fromMs, long untilMs) {
    long sum = 0;
    long began = -1;
    for (Seen each : listTrouble) {
      if (each.detail().equals("began")) {
        began = began < 0 ? each.atMs() : began;
      } else if (began >= 0) {
        sum += Math.max(0, Math.min(each.atMs(), untilMs) - Math.max(began, fromMs));
        began = -1;
      }
    }
    return sum + (began < 0 ? 0 : Math.max(0, untilMs - Math.max(began, fromMs)));
  }

  // ---- changes

  private void changes() {
    Map<String, String> winnerOn = new HashMap<>();
    for (Seen each : of(Kind.CHANGE_ANSWERED)) {
      Change change = changes.get(each.subject());
      if (each.number() != 200) {
        continue;
      }
      if (!change.valid()) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            each.atMs(),
            "an invalid change was acknowledged: " + change.id());
      }
      String other = winnerOn.putIfAbsent(change.buildsOn(), change.id());
      if (other != null && !other.equals(change.id())) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            each.atMs(),
            change.id() + " and " + other + " both build on " + change.buildsOn());
      }
    }
    for (Seen each : of(Kind.CHANGE_READ)) {
      long begunMs = Long.parseLong(each.text());
      long newest = acknowledgedBefore(begunMs);
      Change change = changes.get(each.subject());
      if (newest > each.number() || change == null && each.number() > 0) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            each.atMs(),
            "read " + each.number() + " of " + each.subject() + " after " + newest);
      } else if (change != null && (change.number() != each.number() || !mayBeInForce(change))) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            each.atMs(),
            "read " + change.id() + ", which is not in force, as " + each.number());
      }
    }
  }

  /** All that operators were told fits one register. */
  private void register() {
    LinearizabilityChecker.check(seen)
        .ifPresent(
            what -> violated(Rule.BUNDLE_NOT_IN_FORCE, seen.get(seen.size() - 1).atMs(), what));
  }

  private long acknowledgedBefore(long timeMs) {
    return acknowledgedMs.entrySet().stream()
        .filter(entry -> entry.getValue() < timeMs)
        .mapToLong(Map.Entry::getKey)
        .max()
        .orElse(0);
  }

  /**
   * How each request was handled must be allowed by a change no older than what was in force for
   * its node by then.
   */
  private void effects() {
    Map<String, List<long[]>> provenAt = new HashMap<>();
    for (Seen each : seen) {
      switch (each.kind()) {
        case RUN_BEGAN -> {
          Run run = runs.get(each.text());
          Seen request = requests.get(each.detail());
          Batch batch = batches.get(batchOfItem.getOrDefault(each.detail(), ""));
          if (request != null) {
            handled(
                request,
                request.text(),
                request.atMs(),
                run.edge(),
                each.atMs(),
                poolOfWorker.get(each.subject()),
                provenAt);
          } else if (batch != null && batch.acceptedMs >= 0) {
            handled(
                null,
                run.asked(),
                batch.acceptedMs,
                run.edge(),
                each.atMs(),
                poolOfWorker.get(each.subject()),
                provenAt);
          }
        }
        case REQUEST_ANSWERED -> {
          Seen request = requests.get(each.subject());
          if (each.detail().equals("refused") && each.number() == 404) {
            handled(
                request,
                request.text(),
                request.atMs(),
                edgeOf(request),
                each.atMs(),
                null,
                provenAt);
          }
        }
        default -> {}
      }
    }
  }

  /** pool: where it ran; null if it was told that there is no such route. */
  private void handled(
      Seen request,
      String asked,
      long sentMs,
      String edge,
      long atMs,
      String pool,
      Map<String, List<long[]>> provenAt) {
    long[] fitting =
        changes.values().stream()
            .filter(this::mayBeInForce)
            .filter(change -> change.sentMs() <= atMs)
            .filter(
                change -> {
                  Route route = routeOf(change, host(asked), path(asked));
                  return pool == null
                      ? route == null
                      : route != null && route.pools().contains(pool);
                })
            .mapToLong(Change::number)
            .sorted()
            .toArray();
    String what =
        (request == null ? "an item" : request.subject())
            + " asked "
            + host(asked)
            + path(asked)
            + " at "
            + edge
            + (pool == null ? " and was told of no route" : " ran in " + pool);
    if (fitting.length == 0) {
      boolean wrong =
          pool != null
              ? everAllowed(asked, pool, atMs)
              : acknowledgedBefore(sentMs) > 0 && touch.inTouch(edge, sentMs);
      if (wrong) {
        violated(Rule.BUNDLE_NOT_IN_FORCE, atMs, what + ", which nothing in force allowed");
      }
      return;
    }
    long newest = fitting[fitting.length - 1];
    long inForce = acknowledgedBefore(sentMs - bound("applyMs", 2_000));
    if (newest < inForce && touch.inTouch(edge, sentMs) && touch.inTouch(edge, atMs)) {
      violated(
          Rule.BUNDLE_NOT_IN_FORCE,
          atMs,
          what + " by nothing newer than " + newest + " where " + inForce + " was in force");
    }
    List<long[]> proven = provenAt.computeIfAbsent(edge, unseen -> new ArrayList<>());
    for (long[] before : proven) {
      if (newest < before[0]
          && sentMs > before[1] + bound("downgradeMs", 250)
          && request != null
          && touch.oneLife(edge, before[1], sentMs)) {
        violated(
            Rule.BUNDLE_NOT_IN_FORCE,
            atMs,
            what + " by " + newest + " after it had shown " + before[0]);
        break;
      }
    }
    if (pool != null && (proven.isEmpty() || proven.get(proven.size() - 1)[0] < fitting[0])) {
      proven.add(new long[] {fitting[0], atMs});
    }
  }

  // ---- planned ends

  /** A polite end breaks no answer off, unless worker, deadline or another trouble did. */
  private void cutInOrder() {
    Map<String, Long> stopBegan = new HashMap<>();
    Map<String, List<long[]>> stops = new HashMap<>();
    for (Seen each : of(Kind.TROUBLE)) {
      if (each.detail().equals("began stopping")) {
        stopBegan.put(each.subject(), each.atMs());
        stops
            .computeIfAbsent(each.subject(), unseen -> new ArrayList<>())
            .add(new long[] {each.atMs(), each.atMs() + bound("graceMs", 8_000) + 1_000});
      }
    }
    for (Seen answer : answers.values()) {
      Seen request = requests.get(answer.subject());
      String edge = edgeOf(request);
      boolean broke = answer.detail().equals("cut") || answer.detail().equals("broken");
      boolean planned =
          stops.getOrDefault(edge, List.of()).stream()
              .anyMatch(
                  stop ->
                      request.atMs() <= stop[1]
                          && answer.atMs() >= stop[0]
                          && answer.atMs() <= stop[1]);
      List<Run> ofRequest = runsOf.getOrDefault(answer.subject(), List.of());
      boolean workersDoing =
          ofRequest.stream()
              .anyMatch(
                  run ->
                      run.ended() != null
                          && run.ended().number() != 200
                          && run.ended().number() != DROPPED
                          && run.ended().atMs() < answer.atMs());
      boolean passedOnOrLate =
          !ofRequest.isEmpty() || answer.atMs() - request.atMs() > bound("lossSlackMs", 200);
      boolean late = answer.atMs() - request.atMs() > bound("requestTimeoutMs", 10_000);
      if (broke
          && planned
          && !workersDoing
          && passedOnOrLate
          && !late
          && touch.settled(request.atMs())
          && touch.settled(answer.atMs())
          && doneInTime(ofRequest, stops.get(edge), answer)
          && touch.untroubled(edge, request.atMs(), answer.atMs(), Set.of("stopping", "down"))) {
        violated(
            Rule.RESPONSE_LOST,
            answer.atMs(),
            answer.subject() + " was cut off at " + edge + ", which was told to stop");
      }
    }
  }

  /** False if a worker was still at it in the second half of the grace. */
  private boolean doneInTime(List<Run> ofRequest, List<long[]> stops, Seen answer) {
    long half =
        stops.stream()
            .filter(stop -> answer.atMs() >= stop[0] && answer.atMs() <= stop[1])
            .mapToLong(stop -> stop[0] + bound("graceMs", 8_000) / 2)
            .max()
            .orElse(0);
    return ofRequest.stream()
        .filter(run -> run.began() != null)
        .noneMatch(run -> run.ended() == null || run.ended().atMs() > half);
  }

  // ---- batches

  private void batches() {
    long settleMs = bound("settleMs", 1_000);
    for (Batch batch : batches.values()) {
      if (batch.acceptedMs < 0 && batch.refusedAtEveryTry && batch.openTries <= 0) {
        batch.items.keySet().stream()
            .flatMap(item -> runsOf.getOrDefault(item, List.of()).stream())
            .filter(run -> run.began() != null)
            .findFirst()
            .ifPresent(run -> violated(Rule.REFUSED_BATCH_RAN, run.began().atMs(), batch.id));
      }
      for (String item : batch.items.keySet()) {
        for (Run run : runsOf.getOrDefault(item, List.of())) {
          if (run.arrivedMs() > batch.endedMs + bound("cancelMs", 3_000)
              && touch.inTouch(run.edge(), run.arrivedMs())
              && touch.inTouch(run.edge(), batch.endedMs + bound("cancelMs", 3_000))) {
            violated(
                Rule.RAN_AFTER_END, run.arrivedMs(), batch.id + " " + item + " from " + run.edge());
          }
        }
      }
    }
    Map<String, Map<Long, Long>> readAt = new HashMap<>();
    for (Seen each : seen) {
      Batch batch = batches.get(each.subject());
      if (each.kind() == Kind.OPAQUE_RESULT) {
        readAt
            .computeIfAbsent(each.subject(), unseen -> new HashMap<>())
            .putIfAbsent(each.number(), each.atMs());
        result(batch, each);
      } else if (each.kind() == Kind.OPAQUE_READ) {
        read(batch, each, readAt.getOrDefault(each.subject(), Map.of()), settleMs);
      } else if (each.kind() == Kind.OPAQUE_BODY && each.number() == 200) {
        String asked = batch.items.containsKey(each.detail()) ? batch.asked(each.detail()) : "";
        if (!asked.endsWith(" " + each.text())) {
          violated(
              Rule.WRONG_OR_CUT_ANSWER,
              each.atMs(),
              batch.id + " body of " + each.detail() + " is " + each.text());
        }
      } else if (each.kind() == Kind.OPAQUE_CLOSED && batch.acceptedMs >= 0) {
        if (each.detail().equals("unread")
            || Long.parseLong(each.text()) < batch.results.size()
            || each.number() > 0) {
          violated(
              Rule.ACCEPTED_BATCH_LOST,
              each.atMs(),
              batch.id
                  + " "
                  + each.detail()
                  + " at the close, "
                  + each.text()
                  + " of "
                  + batch.results.size()
                  + " results, "
                  + each.number()
                  + " bodies missing");
        }
      }
    }
  }

  private void read(Batch batch, Seen each, Map<Long, Long> readAt, long settleMs) {
    String[] words = each.text().split(" ");
    long from = Long.parseLong(words[0]);
    long begunMs = Long.parseLong(words[3]);
    boolean inTouch =
        touch.inTouch(each.detail(), begunMs) && touch.inTouch(each.detail(), each.atMs());
    boolean kept =
        each.atMs() < batch.firstSentMs + bound("keepBatchesMs", 120_000)
            || batch.results.size() < batch.items.size();
    if ((each.number() == 404 || each.number() == 410)
        && batch.acceptedMs >= 0
        && begunMs > batch.acceptedMs + settleMs
        && inTouch
        && kept) {
      violated(
          Rule.REPORTED_MISSING, each.atMs(), batch.id + " was told missing by " + each.detail());
    }
    if (each.number() != 200) {
      return;
    }
    long known = readAt.getOrDefault(from, Long.MAX_VALUE / 2);
    if (Long.parseLong(words[1]) <= from && begunMs > known + settleMs && inTouch) {
      violated(
          Rule.REPORTED_MISSING,
          each.atMs(),
          batch.id + " has nothing at " + from + " for " + each.detail());
    }
    if (Long.parseLong(words[2]) != batch.items.size()) {
      violated(
          Rule.RESULT_NOT_WHOLE,
          each.atMs(),
          batch.id + " has a total of " + words[2] + " for " + batch.items.size() + " items");
    }
  }

  private void result(Batch batch, Seen each) {
    String[] words = each.detail().split(" ");
    Seen before = batch.results.putIfAbsent(each.number(), each);
    if (before != null) {
      if (!before.detail().equals(each.detail()) || !before.text().equals(each.text())) {
        violated(
            Rule.RESULT_TWICE_OR_CHANGED,
            each.atMs(),
            batch.id
                + " position "
                + each.number()
                + " was "
                + before.detail()
                + " and is "
                + each.detail());
      }
      return;
    }
    if (batch.results.values().stream()
        .anyMatch(other -> other != each && other.detail().split(" ")[0].equals(words[0]))) {
      violated(
          Rule.RESULT_TWICE_OR_CHANGED, each.atMs(), batch.id + " lists " + words[0] + " twice");
    }
    Seen item = batch.items.get(words[0]);
    if (item == null) {
      violated(
          Rule.RESULT_NOT_WHOLE,
          each.atMs(),
          batch.id + " lists " + words[0] + ", which is not its own");
    } else if (words[1].equals("complete")) {
      List<String> texts = each.text().isEmpty() ? List.of() : List.of(each.text().split("\n"));
      String fault = joined(texts, words[0], batch.asked(words[0]), 0);
      Part last = texts.isEmpty() ? null : Part.parse(texts.get(texts.size() - 1));
      if (fault != null) {
        violated(
            fault.startsWith("another") ? Rule.RESULT_NOT_WHOLE : Rule.STREAM_BROKEN,
            each.atMs(),
            batch.id + " " + words[0] + ": " + fault);
      } else if (last == null || last.last() != item.number()) {
        violated(
            Rule.RESULT_NOT_WHOLE,
            each.atMs(),
            batch.id + " " + words[0] + " is complete with " + each.text());
      }
    } else if (!mayBeGivenUp(batch, words[0], each.atMs())) {
      violated(
          Rule.RESULT_NOT_WHOLE, each.atMs(), batch.id + " " + words[0] + " is given up too early");
    }
  }

  private boolean mayBeGivenUp(Batch batch, String item, long atMs) {
    List<Run> ofItem = runsOf.getOrDefault(item, List.of());
    long failures =
        ofItem.stream().filter(run -> run.ended() != null && run.ended().number() == 500).count();
    int attempts =
        changes.values().stream()
            .map(change -> routeOf(change, batch.host, batch.path))
            .filter(route -> route != null)
            .mapToInt(Route::attempts)
            .min()
            .orElse(0);
    boolean routeGone =
        changes.values().stream()
            .filter(this::mayBeInForce)
            .filter(
                change ->
                    change.sentMs() <= atMs
                        && change.sentMs()
                            > batch.firstSentMs - bound("applyMs", 2_000) - bound("ackMs", 4_000))
            .anyMatch(change -> routeOf(change, batch.host, batch.path) == null);
    return failures >= Math.max(1, attempts)
        || routeGone
        || atMs >= batch.endAskedMs
        || ofItem.stream().anyMatch(run -> run.ended() != null && run.ended().number() == 422)
        || atMs - batch.firstSentMs >= bound("retentionMs", Long.MAX_VALUE / 2);
  }

  /** At each yes, the tokens that certainly wait on the route stay below its limit. */
  private void waitingTokens() {
    Map<String, Long> doneMs = new HashMap<>();
    for (Run run : runs.values()) {
      if (run.ended() != null && (run.ended().number() == 200 || run.ended().number() == 422)) {
        doneMs.merge(run.request(), run.ended().atMs(), Math::min);
      }
    }
    for (Batch taken : batches.values()) {
      if (taken.acceptedMs < 0) {
        continue;
      }
      long limit =
          changes.values().stream()
              .filter(this::mayBeInForce)
              .filter(change -> change.sentMs() <= taken.acceptedMs)
              .map(change -> routeOf(change, taken.host, taken.path))
              .filter(route -> route != null)
              .mapToLong(route -> route.tokensMost() == 0 ? UNLIMITED : route.tokensMost())
              .max()
              .orElse(UNLIMITED);
      long waiting = 0;
      for (Batch batch : batches.values()) {
        if (batch.acceptedMs < 0
            || batch.acceptedMs > taken.acceptedMs
            || batch.endAskedMs <= taken.acceptedMs
            || !batch.place().equals(taken.place())) {
          continue;
        }
        for (String item : batch.items.keySet()) {
          boolean dead =
              mayBeGivenUp(batch, item, taken.acceptedMs)
                  || doneMs.getOrDefault(item, Long.MAX_VALUE) <= taken.acceptedMs;
          waiting += dead ? 0 : batch.tokens(item);
        }
      }
      if (waiting > limit * (100 + bound("overshootPercent", 10)) / 100) {
        violated(
            Rule.CEILING_OVERSHOT,
            taken.acceptedMs,
            waiting + " tokens wait where " + limit + " may, with " + taken.id);
      }
    }
  }

  // ---- service

  /** No node in touch is asked for long by proper requests without a single one served. */
  private void service() {
    Map<String, Long> goodMs = new HashMap<>();
    Map<String, Integer> asked = new HashMap<>();
    for (Seen each : seen) {
      if (each.kind() != Kind.REQUEST_ANSWERED) {
        continue;
      }
      String edge = edgeOf(requests.get(each.subject()));
      boolean good =
          each.detail().equals("complete")
              || !touch.inTouch(edge, each.atMs())
              || each.number() == 404
              || !acknowledgedSince(each.atMs());
      if (good) {
        goodMs.put(edge, each.atMs());
        asked.put(edge, 0);
      } else if (asked.merge(edge, 1, Integer::sum) > ATTEMPTS_LEAST
          && each.atMs() - goodMs.computeIfAbsent(edge, unseen -> each.atMs())
              > bound("recoveryMs", 12_000)) {
        violated(
            Rule.SERVICE_NOT_BACK,
            each.atMs(),
            "no opaque request served at " + edge + " since " + goodMs.get(edge));
        goodMs.put(edge, each.atMs());
      }
    }
  }

  private boolean acknowledgedSince(long atMs) {
    return !acknowledgedMs.isEmpty() && acknowledgedBefore(atMs) > 0;
  }
}
