package applespindle.testfleet;

import applespindle.testfleet.History.Kind;
import applespindle.testfleet.History.Seen;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Tests the never-rules of the brief, with their time limits, on nothing but what was observed from
 * outside.
 */
public final class Checker {
  /** The promises of the system that a history can break. */
  public enum Rule {
    ACCEPTED_BATCH_LOST,
    REFUSED_BATCH_RAN,
    RESULT_TWICE_OR_CHANGED,
    RESULT_NOT_WHOLE,
    REPORTED_MISSING,
    RAN_AFTER_END,
    ONCE_REQUEST_RAN_WRONGLY,
    WRONG_OR_CUT_ANSWER,
    WORK_TO_LEAVING_WORKER,
    BUNDLE_NOT_IN_FORCE,
    SERVICE_NOT_BACK,
    CEILING_OVERSHOT,
    /** Of opaque requests and batches: see ProxyChecker. */
    UNASKED_RUN,
    RAN_TWICE,
    REFUSED_REQUEST_RAN,
    WRONG_POOL,
    STREAM_BROKEN,
    RESPONSE_LOST
  }

  /** One broken promise, with when it was seen. */
  public record Violation(Rule rule, long atMs, String what) {}

  static final long MISSING_MS = 1_000;
  static final long AFTER_END_MS = 3_000;
  static final long LEAVING_MS = 3_000;
  static final long BUNDLE_MS = 2_000;
  static final long BACK_MS = 12_000;
  private static final double OVERSHOOT = 1.1;

  /** A gap without success counts only if this many attempts were made in it. */
  private static final int ATTEMPTS_LEAST = 3;

  /** A caller that did not ask for this long can not say that service was missing meanwhile. */
  private static final long ASKED_WITHIN_MS = 9_000;

  private final List<Seen> seen;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, String> keyOfBatch = new HashMap<>();
  private final Map<String, Long> acceptedAt = new TreeMap<>();

  /** By bundle number, when it was first told to be in force. */
  private final Map<Long, Long> bundleAcknowledgedAt = new TreeMap<>();

  /** By batch key and item id. */
  private final Map<String, Seen> items = new HashMap<>();

  private final Map<String, Integer> itemCounts = new HashMap<>();

  private Checker(History history) {
    this.seen = history.all();
  }

  public static List<Violation> check(History history) {
    Checker checker = new Checker(history);
    checker.learn();
    checker.batches();
    checker.results();
    checker.ends();
    checker.live();
    checker.leaving();
    checker.bundles();
    checker.bundleEffects();
    checker.service(checker.of(Kind.LIVE_ANSWERED), "live request");
    checker.serviceAtEachEdge();
    checker.service(checker.of(Kind.SUBMIT_ANSWERED), "submission");
    checker.serviceOfEachBatch();
    checker.progress();
    checker.commands();
    checker.ceiling();
    checker.roomRefusals();
    checker.violations.addAll(ProxyChecker.check(checker.seen));
    return checker.violations;
  }

  /**
   * Where more was broken than the brief asks to survive, the time to be back counts from the end
   * of that.
   */
  private void notBack(long goodAtMs, long atMs, String what) {
    long countsFrom = goodAtMs;
    long beyondSince = Long.MAX_VALUE;
    for (Seen each : of(Kind.FAULT)) {
      if (each.subject().equals("beyond-begins")) {
        beyondSince = each.atMs();
      } else if (each.subject().equals("beyond-ends")
          && goodAtMs < each.atMs()
          && atMs > beyondSince) {
        countsFrom = each.atMs();
      }
    }
    if (atMs - countsFrom > BACK_MS) {
      violated(Rule.SERVICE_NOT_BACK, atMs, what + " since " + goodAtMs);
    }
  }

  private void violated(Rule rule, long atMs, String what) {
    violations.add(new Violation(rule, atMs, what));
  }

  private List<Seen> of(Kind kind) {
    return seen.stream().filter(each -> each.kind() == kind).toList();
  }

  private void learn() {
    for (Seen each : seen) {
      if (each.kind() == Kind.ITEM) {
        items.put(each.subject() + " " + each.detail(), each);
        itemCounts.merge(each.subject(), 1, Integer::sum);
      } else if (each.kind() == Kind.SUBMIT_ANSWERED) {
        if (!each.text().isEmpty()) {
          keyOfBatch.put(each.text(), each.subject());
        }
        if (each.number() == 200 || each.number() == 201) {
          acceptedAt.putIfAbsent(each.subject(), each.atMs());
        }
      } else if (each.kind() == Kind.BUNDLE_ANSWERED && each.number() == 200) {
        bundleAcknowledgedAt.putIfAbsent(Long.parseLong(each.subject()), each.atMs());
      }
    }
  }

  /** Says for certain that nothing of the batch runs; an unknown outcome or silence does not. */
  private static boolean definiteRefusal(Seen answer) {
    return answer.number() >= 400 && answer.number() < 500 || answer.number() == 503;
  }

  private void batches() {
    Map<String, Boolean> refusedAtEveryTry = new HashMap<>();
    for (Seen each : of(Kind.SUBMIT_ANSWERED)) {
      boolean refused = definiteRefusal(each);
      refusedAtEveryTry.merge(each.subject(), refused, Boolean::logicalAnd);
    }
    Map<String, Long> firstRun = new HashMap<>();
    for (Seen each : of(Kind.WORKER_RECEIVED)) {
      if (!each.detail().isEmpty()) {
        firstRun.putIfAbsent(keyOf(each), each.atMs());
      }
    }
    refusedAtEveryTry.forEach(
        (key, refused) -> {
          if (refused && firstRun.containsKey(key)) {
            violated(Rule.REFUSED_BATCH_RAN, firstRun.get(key), key);
          }
        });
    Map<String, Seen> lastRead = new HashMap<>();
    for (Seen each : of(Kind.BATCH_READ)) {
      Long accepted = acceptedAt.get(each.subject());
      if (accepted != null && each.number() == 404 && each.atMs() > accepted + MISSING_MS) {
        violated(Rule.REPORTED_MISSING, each.atMs(), each.subject());
      }
      if (each.number() != 503 && each.number() != 504 && each.number() != 0) {
        lastRead.put(each.subject(), each);
      }
    }
    Set<String> endAsked = new HashSet<>();
    of(Kind.END_ASKED).forEach(each -> endAsked.add(each.subject()));
    acceptedAt
        .keySet()
        .forEach(
            key -> {
              Seen last = lastRead.get(key);
              boolean kept =
                  last != null
                      && last.number() == 200
                      && (last.detail().equals("ended") || last.detail().equals("finished"));
              if (!kept) {
                violated(
                    Rule.ACCEPTED_BATCH_LOST,
                    last == null ? 0 : last.atMs(),
                    key
                        + (last == null
                            ? " never read"
                            : " last read " + last.number() + " " + last.detail()));
              } else if (last.detail().equals("ended") && !endAsked.contains(key)) {
                violated(
                    Rule.ACCEPTED_BATCH_LOST, last.atMs(), key + " ended and nobody asked for it");
              } else if (last.detail().equals("finished")
                  && Long.parseLong(last.text()) != itemCounts.getOrDefault(key, 0)) {
                violated(
                    Rule.ACCEPTED_BATCH_LOST,
                    last.atMs(),
                    key
                        + " finished with "
                        + last.text()
                        + " of "
                        + itemCounts.get(key)
                        + " results");
              }
            });
  }

  private String keyOf(Seen workerSeen) {
    String batch = workerSeen.detail().substring(0, workerSeen.detail().indexOf('/'));
    return keyOfBatch.getOrDefault(batch, batch);
  }

  private void results() {
    boolean failuresAllowed =
        of(Kind.FAULT).stream().anyMatch(each -> each.subject().startsWith("worker "));
    Map<String, TreeMap<Long, Seen>> byBatch = new HashMap<>();
    for (Seen each : of(Kind.RESULT_READ)) {
      TreeMap<Long, Seen> results =
          byBatch.computeIfAbsent(each.subject(), unseen -> new TreeMap<>());
      Seen before = results.putIfAbsent(each.number(), each);
      if (before != null
          && !(before.detail().equals(each.detail()) && before.text().equals(each.text()))) {
        violated(
            Rule.RESULT_TWICE_OR_CHANGED,
            each.atMs(),
            each.subject() + " number " + each.number() + " changed");
      }
    }
    byBatch.forEach(
        (key, results) -> {
          Set<String> ids = new HashSet<>();
          for (Seen each : results.values()) {
            String id = each.detail().substring(0, each.detail().indexOf('|'));
            if (!ids.add(id)) {
              violated(Rule.RESULT_TWICE_OR_CHANGED, each.atMs(), key + " item " + id + " twice");
            }
            Seen item = items.get(key + " " + id);
            boolean succeeded = each.detail().endsWith("|succeeded");
            if (!succeeded && !failuresAllowed) {
              violated(
                  Rule.RESULT_NOT_WHOLE,
                  each.atMs(),
                  key + " item " + id + " failed though no worker did");
            }
            if (item == null
                || succeeded
                    && !each.text()
                        .equals(EmulatedOutput.whole(item.text(), (int) item.number()))) {
              violated(Rule.RESULT_NOT_WHOLE, each.atMs(), key + " item " + id);
            }
          }
        });
    Map<String, Long> highestRead = new HashMap<>();
    Map<String, Long> highestReadAt = new HashMap<>();
    for (Seen each : seen) {
      if (each.kind() == Kind.RESULT_READ
          && each.number() > highestRead.getOrDefault(each.subject(), 0L)) {
        highestRead.put(each.subject(), each.number());
        highestReadAt.put(each.subject(), each.atMs());
      } else if (each.kind() == Kind.BATCH_READ
          && each.number() == 200
          && highestRead.getOrDefault(each.subject(), 0L) > Long.parseLong(each.text())
          && each.atMs() > highestReadAt.get(each.subject()) + MISSING_MS) {
        violated(
            Rule.REPORTED_MISSING,
            each.atMs(),
            each.subject() + " shows fewer results than were read");
      }
    }
    Map<String, Seen> overSince = new HashMap<>();
    for (Seen each : of(Kind.BATCH_READ)) {
      Seen over = overSince.get(each.subject());
      if (each.number() == 200
          && (each.detail().equals("finished") || each.detail().equals("ended"))) {
        overSince.putIfAbsent(each.subject(), each);
      } else if (each.number() == 200 && over != null && each.atMs() > over.atMs() + MISSING_MS) {
        violated(
            Rule.REPORTED_MISSING,
            each.atMs(),
            each.subject() + " is " + each.detail() + " after it was " + over.detail());
      }
    }
  }

  private void ends() {
    Map<String, Long> endedAt = new HashMap<>();
    for (Seen each : of(Kind.END_ANSWERED)) {
      if (each.number() == 200) {
        endedAt.putIfAbsent(each.subject(), each.atMs());
      }
    }
    for (Seen each : of(Kind.WORKER_RECEIVED)) {
      if (!each.detail().isEmpty()
          && each.atMs() > endedAt.getOrDefault(keyOf(each), Long.MAX_VALUE / 2) + AFTER_END_MS) {
        violated(Rule.RAN_AFTER_END, each.atMs(), each.detail());
      }
    }
  }

  private void live() {
    Map<String, Seen> sentByPrompt = new HashMap<>();
    Map<String, Seen> sent = new HashMap<>();
    for (Seen each : of(Kind.LIVE_SENT)) {
      sentByPrompt.put(each.text(), each);
      sent.put(each.subject(), each);
    }
    Map<String, List<Seen>> runsByOnce = new HashMap<>();
    Map<String, List<Seen>> runsByRequest = new HashMap<>();
    for (Seen each : of(Kind.WORKER_RECEIVED)) {
      Seen request = each.detail().isEmpty() ? sentByPrompt.get(each.text()) : null;
      if (request != null) {
        runsByRequest.computeIfAbsent(request.subject(), unseen -> new ArrayList<>()).add(each);
        if (!request.detail().isEmpty()) {
          runsByOnce.computeIfAbsent(request.detail(), unseen -> new ArrayList<>()).add(each);
        }
      }
    }
    runsByOnce.forEach(
        (once, runs) -> {
          if (runs.size() > 1) {
            violated(
                Rule.ONCE_REQUEST_RAN_WRONGLY,
                runs.get(1).atMs(),
                once + " ran " + runs.size() + " times");
          }
        });
    for (Seen each : of(Kind.LIVE_ANSWERED)) {
      Seen request = sent.get(each.subject());
      boolean toldNotRun = each.number() == 429 || each.number() == 503 || each.number() == 409;
      if (!request.detail().isEmpty() && toldNotRun && runsByRequest.containsKey(each.subject())) {
        violated(
            Rule.ONCE_REQUEST_RAN_WRONGLY,
            each.atMs(),
            each.subject() + " was told that it did not run");
      }
      String whole = EmulatedOutput.whole(request.text(), (int) request.number());
      if (!whole.startsWith(each.text())) {
        violated(Rule.WRONG_OR_CUT_ANSWER, each.atMs(), each.subject() + " got another's output");
      } else if (each.detail().equals("complete") && !each.text().equals(whole)) {
        violated(
            Rule.WRONG_OR_CUT_ANSWER, each.atMs(), each.subject() + " was cut and looks complete");
      }
    }
  }

  private void leaving() {
    Map<String, Long> leavingAt = new HashMap<>();
    for (Seen each : seen) {
      if (each.kind() == Kind.LEAVING_ANSWERED && each.number() == 200) {
        leavingAt.putIfAbsent(each.subject(), each.atMs());
      } else if (each.kind() == Kind.WORKER_RECEIVED
          && each.atMs()
              > leavingAt.getOrDefault(each.subject(), Long.MAX_VALUE / 2) + LEAVING_MS) {
        violated(Rule.WORK_TO_LEAVING_WORKER, each.atMs(), each.subject());
      }
    }
  }

  private void bundles() {
    for (Seen each : seen) {
      switch (each.kind()) {
        case BUNDLE_READ -> {
          long begunAt = Long.parseLong(each.text());
          highestAcknowledgedBefore(begunAt)
              .filter(number -> number > each.number())
              .ifPresent(
                  number ->
                      violated(
                          Rule.BUNDLE_NOT_IN_FORCE,
                          each.atMs(),
                          "read " + each.number() + " after " + number));
        }
        case EDGE_BUNDLE ->
            highestAcknowledgedBefore(each.atMs() - BUNDLE_MS)
                .filter(number -> number > each.number())
                .ifPresent(
                    number ->
                        violated(
                            Rule.BUNDLE_NOT_IN_FORCE,
                            each.atMs(),
                            each.subject() + " has " + each.number() + " after " + number));
        default -> {}
      }
    }
  }

  /**
   * What counts is where requests go: one sent late enough after an acknowledgement must not meet
   * an older way.
   */
  private void bundleEffects() {
    Map<String, TreeMap<Long, String>> poolsOfClass = new HashMap<>();
    Map<String, String> poolOfWorker = new HashMap<>();
    Map<String, Seen> classByPrompt = new HashMap<>();
    for (Seen each : seen) {
      switch (each.kind()) {
        case BUNDLE_WAY ->
            poolsOfClass
                .computeIfAbsent(each.detail(), unseen -> new TreeMap<>())
                .put(each.number(), each.text());
        case WORKER_POOL -> poolOfWorker.put(each.subject(), each.detail());
        case LIVE_CLASS -> classByPrompt.put(each.text(), each);
        case WORKER_RECEIVED -> {
          Seen request = each.detail().isEmpty() ? classByPrompt.get(each.text()) : null;
          long inForce =
              request == null
                  ? 0
                  : highestAcknowledgedBefore(request.atMs() - BUNDLE_MS).orElse(0L);
          if (inForce > 0
              && !poolsOfClass
                  .get(request.detail())
                  .tailMap(inForce)
                  .containsValue(poolOfWorker.get(each.subject()))) {
            violated(
                Rule.BUNDLE_NOT_IN_FORCE,
                each.atMs(),
                request.subject()
                    + " went to "
                    + each.subject()
                    + " by a way older than bundle "
                    + inForce);
          }
        }
        default -> {}
      }
    }
  }

  private java.util.Optional<Long> highestAcknowledgedBefore(long time) {
    return bundleAcknowledgedAt.entrySet().stream()
        .filter(entry -> entry.getValue() < time)
        .map(Map.Entry::getKey)
        .max(Long::compare);
  }

  /**
   * No stretch longer than the limit in which attempts were made and none succeeded. That there is
   * no room is a working service's answer too.
   */
  private void service(List<Seen> answers, String what) {
    long lastGoodAt = -1;
    long lastAskedAt = -1;
    int attempts = 0;
    for (Seen each : answers) {
      boolean good =
          each.kind() == Kind.LIVE_ANSWERED
              ? each.detail().equals("complete") || each.number() == 409
              : each.number() == 200
                  || each.number() == 201
                  || each.number() == 404
                  || each.detail().equals("NoRoom")
                  || each.detail().equals("BatchOverCeiling");
      if (lastGoodAt < 0 || each.atMs() - lastAskedAt > ASKED_WITHIN_MS) {
        lastGoodAt = each.atMs();
        attempts = 0;
      }
      lastAskedAt = each.atMs();
      attempts++;
      if (each.atMs() - lastGoodAt > BACK_MS && attempts > ATTEMPTS_LEAST) {
        notBack(lastGoodAt, each.atMs(), "no " + what + " succeeded");
        lastGoodAt = each.atMs();
      }
      if (good) {
        lastGoodAt = each.atMs();
        attempts = 0;
      }
    }
  }

  private void serviceAtEachEdge() {
    Map<String, String> edgeOfRequest = new HashMap<>();
    of(Kind.LIVE_AT).forEach(each -> edgeOfRequest.put(each.subject(), each.detail()));
    Map<String, List<Seen>> byEdge = new TreeMap<>();
    of(Kind.LIVE_ANSWERED).stream()
        .filter(each -> edgeOfRequest.containsKey(each.subject()))
        .forEach(
            each ->
                byEdge
                    .computeIfAbsent(edgeOfRequest.get(each.subject()), unseen -> new ArrayList<>())
                    .add(each));
    byEdge.forEach((edge, answers) -> service(answers, "live request at " + edge));
  }

  private void serviceOfEachBatch() {
    Map<String, List<Seen>> byBatch = new TreeMap<>();
    of(Kind.BATCH_READ)
        .forEach(
            each -> byBatch.computeIfAbsent(each.subject(), unseen -> new ArrayList<>()).add(each));
    byBatch.forEach((key, reads) -> service(reads, "read of " + key));
  }

  /**
   * An open batch must not stand still while one that was accepted well after that is done already,
   * and some batch must move while any is open.
   */
  private void progress() {
    Map<String, Long> movedAt = new HashMap<>();
    Map<String, Long> recorded = new HashMap<>();
    Set<String> closed = new HashSet<>();
    long anyMovedAt = 0;
    for (Seen each : seen) {
      if (each.kind() == Kind.SUBMIT_ANSWERED
          && acceptedAt.getOrDefault(each.subject(), -1L) == each.atMs()) {
        movedAt.put(each.subject(), each.atMs());
        anyMovedAt = closed.size() == movedAt.size() - 1 ? each.atMs() : anyMovedAt;
      } else if (each.kind() == Kind.END_ANSWERED && each.number() == 200) {
        closed.add(each.subject());
      } else if (each.kind() == Kind.BATCH_READ
          && each.number() == 200
          && movedAt.containsKey(each.subject())
          && !closed.contains(each.subject())) {
        String key = each.subject();
        long now = Long.parseLong(each.text());
        if (!each.detail().equals("running") && !each.detail().equals("accepted")) {
          closed.add(key);
        }
        if (now > recorded.getOrDefault(key, 0L) || closed.contains(key)) {
          recorded.put(key, now);
          movedAt.put(key, each.atMs());
          anyMovedAt = each.atMs();
        } else if (each.atMs() - anyMovedAt > BACK_MS) {
          notBack(anyMovedAt, each.atMs(), "no batch moved");
          anyMovedAt = each.atMs();
        } else if (each.atMs() - movedAt.get(key) > BACK_MS) {
          long stoodSince = movedAt.get(key);
          acceptedAt.forEach(
              (other, at) -> {
                if (at > stoodSince + MISSING_MS
                    && closed.contains(other)
                    && recorded.containsKey(other)
                    && movedAt.get(key) == stoodSince) {
                  notBack(stoodSince, each.atMs(), other + " is done and " + key + " stands still");
                  movedAt.put(key, each.atMs());
                }
              });
        }
      }
    }
  }

  /**
   * Operators' and the platform's commands, each kind apart; not judged while links are cut on
   * purpose.
   */
  private void commands() {
    long lastGoodAt = -1;
    long lastAskedAt = Long.MIN_VALUE / 2;
    int attempts = 0;
    Set<String> openCuts = new HashSet<>();
    Map<String, Long> firstSentAt = new HashMap<>();
    for (Seen each : seen) {
      if (each.kind() == Kind.FAULT) {
        String verb = each.subject().replaceFirst("^(at \\S+|on \\S+ \\S+) ", "").split(" ")[0];
        if (Set.of("cut", "cut-off", "split", "isolate", "hold", "leave").contains(verb)) {
          openCuts.add(verb);
        } else if (verb.equals("heal")) {
          openCuts.clear();
          lastGoodAt = each.atMs();
        }
      }
      if (each.kind() == Kind.BUNDLE_SENT) {
        firstSentAt.putIfAbsent(each.subject(), each.atMs());
      }
      if (each.kind() != Kind.BUNDLE_ANSWERED && each.kind() != Kind.LEAVING_ANSWERED) {
        continue;
      }
      boolean good = each.number() == 200 || each.number() == 409 || each.number() == 404;
      boolean asksAgain = each.atMs() - lastAskedAt <= ASKED_WITHIN_MS;
      lastAskedAt = each.atMs();
      if (good || !asksAgain || !openCuts.isEmpty()) {
        lastGoodAt =
            good || !openCuts.isEmpty()
                ? each.atMs()
                : firstSentAt.getOrDefault(each.subject(), each.atMs());
        attempts = good ? 0 : 1;
      } else if (++attempts >= ATTEMPTS_LEAST && each.atMs() - lastGoodAt > BACK_MS) {
        notBack(lastGoodAt, each.atMs(), "no command succeeded");
        lastGoodAt = each.atMs();
      }
    }
  }

  /**
   * That there is no room must be true as seen from outside: of all that may have been taken and is
   * not known to be over, at some time within the time a failure may take to mend, no more room was
   * left than was asked for.
   */
  private void roomRefusals() {
    long ceiling = Long.MAX_VALUE / 4;
    Map<String, Long> mayWait = new HashMap<>();
    TreeMap<Long, Long> waitingAt = new TreeMap<>();
    Map<String, Long> itemsOf = new HashMap<>();
    Map<String, Integer> openTries = new HashMap<>();
    for (Seen each : seen) {
      String key = each.subject();
      switch (each.kind()) {
        case CEILING -> ceiling = each.number();
        case SUBMIT_SENT -> {
          itemsOf.put(key, each.number());
          openTries.merge(key, 1, Integer::sum);
          mayWait.putIfAbsent(key, each.number());
        }
        case SUBMIT_ANSWERED -> {
          long items = itemsOf.getOrDefault(key, (long) itemCounts.getOrDefault(key, 0));
          boolean refused = definiteRefusal(each);
          if (each.detail().equals("NoRoom")) {
            long others =
                mayWait.values().stream().mapToLong(Long::longValue).sum()
                    - mayWait.getOrDefault(key, 0L);
            long most =
                Math.max(
                    others,
                    waitingAt.tailMap(each.atMs() - BACK_MS).values().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(0));
            if (most + items <= ceiling) {
              violated(
                  Rule.SERVICE_NOT_BACK,
                  each.atMs(),
                  key + " was told of no room where " + (ceiling - most) + " was left");
            }
          }
          if (each.detail().equals("BatchOverCeiling") && items <= ceiling) {
            violated(
                Rule.SERVICE_NOT_BACK,
                each.atMs(),
                key + " was told to be over a ceiling of " + ceiling);
          }
          if (openTries.merge(key, -1, Integer::sum) <= 0 && refused) {
            mayWait.remove(key);
          }
        }
        case BATCH_READ -> {
          if (each.number() == 200 && mayWait.containsKey(key)) {
            boolean over = each.detail().equals("ended") || each.detail().equals("finished");
            mayWait.put(
                key, over ? 0 : itemsOf.getOrDefault(key, 0L) - Long.parseLong(each.text()));
          }
        }
        default -> {}
      }
      waitingAt.put(each.atMs(), mayWait.values().stream().mapToLong(Long::longValue).sum());
    }
  }

  /**
   * Accepted items whose run has not ended at any worker are waiting for certain. A ceiling lowered
   * below what waits already is kept by not letting it grow.
   */
  private void ceiling() {
    double allowed = Long.MAX_VALUE / 4;
    long waiting = 0;
    Set<String> accepted = new TreeSet<>();
    Set<String> finished = new HashSet<>();
    Set<String> gone = new HashSet<>();
    Map<String, Integer> finishedOf = new HashMap<>();
    for (Seen each : seen) {
      switch (each.kind()) {
        case CEILING -> allowed = Math.max(each.number() * OVERSHOOT, waiting);
        case WORKER_FINISHED -> {
          if (!each.detail().isEmpty() && finished.add(each.detail())) {
            String key = keyOf(each);
            finishedOf.merge(key, 1, Integer::sum);
            waiting -= accepted.contains(key) && !gone.contains(key) ? 1 : 0;
          }
        }
        case SUBMIT_ANSWERED -> {
          if ((each.number() == 200 || each.number() == 201) && accepted.add(each.subject())) {
            waiting +=
                itemCounts.getOrDefault(each.subject(), 0)
                    - finishedOf.getOrDefault(each.subject(), 0);
          }
        }
        case END_ANSWERED -> {
          if (each.number() == 200
              && accepted.contains(each.subject())
              && gone.add(each.subject())) {
            waiting -=
                itemCounts.getOrDefault(each.subject(), 0)
                    - finishedOf.getOrDefault(each.subject(), 0);
          }
        }
        default -> {}
      }
      if (waiting > allowed) {
        violated(
            Rule.CEILING_OVERSHOT, each.atMs(), waiting + " waiting where " + allowed + " may");
        return;
      }
    }
  }
}
