package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import applespindle.corelogic.Bundle.Route;
import applespindle.corelogic.Message.HandoutItem;
import applespindle.corelogic.Message.RangeHandout;
import applespindle.corelogic.Message.RangePull;
import applespindle.corelogic.Message.RangeReport;
import applespindle.corelogic.Message.RangeReported;
import applespindle.corelogic.Message.ReportedItem;
import applespindle.corelogic.Message.WorkOffer;
import applespindle.corelogic.OpaqueRequest.Head;
import applespindle.corelogic.OpaqueRequest.Piece;
import applespindle.corelogic.Records.Worker;
import applespindle.corelogic.Surroundings.ExchangeListener;
import applespindle.corelogic.Surroundings.WorkerCall;
import applespindle.corelogic.Surroundings.WorkerExchange;
import applespindle.corelogic.Surroundings.WorkerListener;
import applespindle.corelogic.Surroundings.WorkerLoad;
import applespindle.corelogic.Surroundings.WorkerRun;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * This edge's feeding of workers with batch items, for those workers whose feeder it is. It pulls a
 * range when its buffer for a worker runs empty, streams the items in order, and moves on only from
 * what the leader has recorded.
 */
final class BatchFeeder {
  /** What the feeder needs of the edge it lives on. */
  interface Edge {
    void send(String toAddress, String toId, Message message);

    boolean feeds(String worker);

    /** Null when work may begin now; asked right before each item is sent. */
    Fault mayBegin();

    Bundle bundle();

    /** What that bundle says of opaque requests; empty while there is none. */
    RouteTable routes();

    boolean stopping();
  }

  private record Leader(String id, String address) {}

  private static final class Offer {
    Leader leader;

    /** Of an opaque batch; empty for one of prompts. */
    String host;

    String path;
    long dueAt;
    long heardAt;
  }

  private static final class Held {
    final String batch;
    final int range;
    final long epoch;
    final String worker;
    Leader leader;
    long dueAt;

    /**
     * On our clock, from the sending of what the leader answered: always before the leader's own
     * end of it.
     */
    long grantEndsAt;

    final ArrayDeque<HandoutItem> unsent = new ArrayDeque<>();
    final Map<Integer, Run> running = new LinkedHashMap<>();

    /** What earlier runs of an opaque item brought and the next one goes on behind. */
    final Map<Integer, StreamText> texts = new HashMap<>();

    /**
     * By item: how often a run fell without saying anything against it, and when it may run again.
     */
    final Map<Integer, Integer> falls = new HashMap<>();

    final Map<Integer, Long> restsUntil = new HashMap<>();

    /** Items of the range without a finished run; the lowest is the range's offset. */
    final TreeSet<Integer> lacking = new TreeSet<>();

    int end;

    /** On our clock; what was handed out was true then, as far as time goes. */
    long handedOutAt;

    /**
     * Outcomes the leader has not yet answered for; sent once, and again when no answer has come
     * for long.
     */
    final List<Outcome> unanswered = new ArrayList<>();

    final TreeMap<Long, Long> reportsSentAt = new TreeMap<>();
    long lastReport;
    boolean givingBack;

    /**
     * A report has said that nothing of the range runs here any more; it carried every outcome not
     * answered for.
     */
    boolean handedBack;

    boolean dropped;

    Held(String batch, int range, long epoch, String worker) {
      this.batch = batch;
      this.range = range;
      this.epoch = epoch;
      this.worker = worker;
    }
  }

  private static final class Outcome {
    final ReportedItem item;

    /**
     * Numbers of the reports that carried it: only an answer to one of these is an answer for it.
     */
    final Set<Long> carriedBy = new HashSet<>();

    long sentAt = Long.MIN_VALUE / 2;

    Outcome(ReportedItem item) {
      this.item = item;
    }
  }

  private static final class Run {
    final Held held;
    final HandoutItem item;
    final StringBuilder output = new StringBuilder();

    /** Of an opaque item: its stream so far, earlier runs included. */
    StreamText text;

    Route route;
    int status;

    /** The response is an event stream, and nothing else. */
    boolean streams;

    final String id;
    WorkerBook.Known worker;
    WorkerRun handle = () -> {};
    long sentAt;
    long lastTextAt;

    /** Prompt tokens the worker still reads for it, as far as is known. */
    double reading;

    boolean over;

    Run(Held held, HandoutItem item, String id) {
      this.held = held;
      this.item = item;
      this.id = id;
    }
  }

  private final Surroundings surroundings;
  private final String nodeId;
  private final Edge edge;
  private final WorkerBook book;
  private final Map<String, Offer> offers = new LinkedHashMap<>();

  /** By batch, range and epoch: one assignment is held once. */
  private final Map<String, Held> held = new LinkedHashMap<>();

  /** Pulls on their way, by batch and worker, with when they were sent. */
  private final Map<String, Long> pulls = new HashMap<>();

  private final Map<String, Long> noRoomSince = new HashMap<>();

  /** By worker: since when it is fed from here. */
  private final Map<String, Long> feedsSince = new HashMap<>();

  private boolean looksAgain;
  private long runs;

  /** How long opaque items take to their first bytes and to their end. */
  private double firstMs = Constants.ITEM_FIRST_GUESS_MS;

  private double wholeMs = Constants.ITEM_WHOLE_GUESS_MS;

  BatchFeeder(Surroundings surroundings, String nodeId, Edge edge, WorkerBook book) {
    this.surroundings = surroundings;
    this.nodeId = nodeId;
    this.edge = edge;
    this.book = book;
  }

  void offered(WorkOffer offer, String fromId, String fromAddress) {
    Leader leader = new Leader(fromId, fromAddress);
    leaderMoved(offer.batch(), fromId, fromAddress);
    if (offer.unassigned() > 0) {
      Offer known = offers.computeIfAbsent(offer.batch(), unseen -> new Offer());
      known.leader = leader;
      known.host = offer.host();
      known.path = offer.path();
      known.heardAt = surroundings.now();
      known.dueAt = surroundings.now() + offer.dueInMs();
      pump();
    }
  }

  void leaderMoved(String batch, String leaderId, String leaderAddress) {
    Leader leader = new Leader(leaderId, leaderAddress);
    held.values().stream()
        .filter(each -> each.batch.equals(batch) && !each.leader.equals(leader))
        .forEach(
            each -> {
              each.leader = leader;
              each.unanswered.forEach(outcome -> outcome.sentAt = Long.MIN_VALUE / 2);
            });
  }

  void handedOut(RangeHandout handout, String fromId, String fromAddress) {
    pulls.remove(handout.batch() + " " + handout.worker());
    if (handout.none()) {
      offers.remove(handout.batch());
    } else {
      Held range =
          new Held(handout.batch(), handout.range(), handout.rangeEpoch(), handout.worker());
      range.leader = new Leader(fromId, fromAddress);
      range.dueAt = surroundings.now() + handout.dueInMs();
      range.handedOutAt = surroundings.now();
      range.grantEndsAt = handout.pulledAt() + Constants.RANGE_GRANT_MS;
      range.unsent.addAll(handout.items());
      handout.items().forEach(item -> range.lacking.add(item.index()));
      range.end = range.lacking.isEmpty() ? 0 : range.lacking.last() + 1;
      held.put(name(range), range);
    }
    pump();
  }

  private static String name(Held range) {
    return range.batch + " " + range.range + " " + range.epoch;
  }

  void answered(RangeReported answer) {
    Held range = held.get(answer.batch() + " " + answer.range() + " " + answer.rangeEpoch());
    if (range == null) {
      return;
    }
    range.unanswered.removeIf(outcome -> outcome.carriedBy.contains(answer.reportNumber()));
    Long sentAt = range.reportsSentAt.get(answer.reportNumber());
    range.reportsSentAt.headMap(answer.reportNumber(), true).clear();
    if (answer.keep() && sentAt != null) {
      range.grantEndsAt = Math.max(range.grantEndsAt, sentAt + Constants.RANGE_GRANT_MS);
    } else if (!answer.keep()) {
      drop(range);
    }
    forgetIfDone(range);
    pump();
  }

  void ended(String batch) {
    offers.remove(batch);
    List.copyOf(held.values()).stream()
        .filter(range -> range.batch.equals(batch))
        .forEach(
            range -> {
              List.copyOf(range.running.values()).forEach(this::cancel);
              range.unanswered.clear();
              drop(range);
              forgetIfDone(range);
            });
    pump();
  }

  /**
   * Nothing more of the range is sent; what runs may end and is reported, as its item may still
   * lack a result.
   */
  private void drop(Held range) {
    range.dropped = true;
    range.unsent.clear();
  }

  private void forgetIfDone(Held range) {
    if (range.unsent.isEmpty() && range.running.isEmpty() && range.unanswered.isEmpty()) {
      held.remove(name(range));
    }
  }

  // ---- sending

  private int room(WorkerBook.Known worker) {
    Bundle bundle = edge.bundle();
    if (bundle == null || !book.usable(worker)) {
      return 0;
    }
    int slots = worker.worker.slots();
    if (slots > 0) {
      int reserve = Math.max(1, slots / Constants.BATCH_RESERVE_ONE_IN);
      int live =
          (int)
              Math.min(Math.round(worker.runningNow(surroundings.now())) - worker.batch, slots / 2);
      int room = (int) Math.ceil((slots - reserve) * ramp(worker));
      return Math.min(
          Math.min(room, slots - live) - worker.batch, startsMost(slots) - starting(worker));
    }
    if (!worker.worker.pool().equals(bundle.limits().batch().pool())) {
      return 0;
    }
    int live = Math.max(worker.liveRunning(), (int) worker.livePeak);
    int left = worker.load.capacity() - bundle.limits().batch().liveReserve() - live;
    return Math.min(bundle.limits().batch().perWorkerMost(), left) - worker.batch;
  }

  /** A feeder that has just begun takes a worker's slots by and by. */
  private double ramp(WorkerBook.Known worker) {
    Long since = feedsSince.get(worker.worker.id());
    return since == null
        ? Constants.RAMP_LEAST
        : Math.max(
            Constants.RAMP_LEAST,
            Math.min(1, (surroundings.now() - since) / (double) Constants.FEEDER_RAMP_MS));
  }

  /** One more prompt would come close to a pause in the streams there that is too long. */
  private boolean hasMuchToRead(WorkerBook.Known worker) {
    long gapMs = edge.routes().gapTargetMs(worker.worker.pool());
    return gapMs > 0 && worker.pauseMs(surroundings.now(), 0) > Constants.ITEM_PAUSE_PART * gapMs;
  }

  private void lookAgain() {
    if (!looksAgain) {
      looksAgain = true;
      surroundings.after(
          Constants.ITEM_LOOK_MS,
          () -> {
            looksAgain = false;
            pump();
          });
    }
  }

  /** Runs of opaque items at a worker from which nothing has come yet. */
  private int starting(WorkerBook.Known worker) {
    int starting = 0;
    for (Held range : held.values()) {
      if (range.worker.equals(worker.worker.id())) {
        for (Run run : range.running.values()) {
          starting += run.status == 0 ? 1 : 0;
        }
      }
    }
    return starting;
  }

  /**
   * A worker reads prompts between the tokens of its streams: many items begun at once would make a
   * pause in all of them. As many as keep its slots in use are enough, which follows from how long
   * items take to begin and to end.
   */
  private int startsMost(int slots) {
    return (int)
        Math.max(
            Constants.BATCH_STARTS_LEAST,
            Math.ceil(slots * Math.min(1, Constants.BATCH_STARTS_SPARE * firstMs / wholeMs)));
  }

  void pump() {
    for (WorkerBook.Known worker : List.copyOf(book.all())) {
      pump(worker);
    }
  }

  private void pump(WorkerBook.Known worker) {
    String workerId = worker.worker.id();
    boolean feeds = edge.feeds(workerId) && !edge.stopping();
    List<Held> ranges =
        held.values().stream()
            .filter(range -> range.worker.equals(workerId))
            .sorted(Comparator.comparingLong(range -> range.dueAt))
            .toList();
    if (!feeds || !book.comesBackBy(worker, surroundings.now() + Constants.LOAD_POLL_MS)) {
      ranges.forEach(this::giveBack);
      feedsSince.remove(workerId);
      return;
    }
    feedsSince.putIfAbsent(workerId, surroundings.now());
    int room = room(worker);
    if (worker.worker.slots() == 0
        && worker.free() <= 0
        && room < 0
        && edge.bundle().limits().batch().cancelForLive()) {
      cancelNewest(worker, Math.min(-room, edge.bundle().limits().batch().liveReserve()));
    }
    for (Held range : ranges) {
      for (int left = range.unsent.size();
          room > 0 && left > 0 && !range.unsent.isEmpty();
          left--) {
        HandoutItem item = range.unsent.peek();
        if (hasMuchToRead(worker)) {
          lookAgain();
          break;
        }
        if (range.restsUntil.getOrDefault(item.index(), Long.MIN_VALUE) > surroundings.now()) {
          range.unsent.add(range.unsent.poll());
        } else if (begin(range, worker)) {
          room--;
          noRoomSince.remove(workerId);
        } else {
          break;
        }
      }
    }
    if (room > 0) {
      noRoomSince.remove(workerId);
    } else if (surroundings.now()
            - noRoomSince.computeIfAbsent(workerId, unseen -> surroundings.now())
        > Constants.RANGE_GRANT_MS) {
      ranges.stream().filter(range -> !range.unsent.isEmpty()).forEach(this::giveBack);
    }
    int unsent = ranges.stream().mapToInt(range -> range.unsent.size()).sum();
    pull(
        worker.worker,
        room + (room > 0 ? Constants.PREFETCH_RANGES * Constants.RANGE_ITEMS : 0) - unsent);
  }

  private void pull(Worker worker, int wanted) {
    String workerId = worker.id();
    long now = surroundings.now();
    offers.values().removeIf(offer -> now - offer.heardAt > Constants.OFFER_LENGTH_MS);
    pulls.values().removeIf(sentAt -> now - sentAt > Constants.OFFER_LENGTH_MS);
    int missing =
        wanted
            - Constants.RANGE_ITEMS
                * (int)
                    pulls.keySet().stream().filter(name -> name.endsWith(" " + workerId)).count();
    if (missing <= 0 || edge.mayBegin() != null) {
      return;
    }
    List<String> earliestDue =
        offers.entrySet().stream()
            .filter(entry -> mayRunAt(worker, entry.getValue()))
            .sorted(Comparator.comparingLong(entry -> entry.getValue().dueAt))
            .map(Map.Entry::getKey)
            .toList();
    for (String batch : earliestDue) {
      if (missing <= 0) {
        return;
      }
      if (pulls.putIfAbsent(batch + " " + workerId, now) == null) {
        Leader leader = offers.get(batch).leader;
        edge.send(leader.address(), leader.id(), new RangePull(batch, workerId, now));
        missing -= Constants.RANGE_ITEMS;
      }
    }
  }

  private boolean mayRunAt(Worker worker, Offer offer) {
    if (offer.host.isEmpty()) {
      return worker.pool().equals(edge.bundle().limits().batch().pool());
    }
    Route route = edge.routes().findBatch(offer.host, offer.path);
    return route != null && route.sendsTo(worker.pool());
  }

  /**
   * The range's grant, the feed's age and the worker's mark are checked here, right before the item
   * is sent.
   */
  private boolean begin(Held range, WorkerBook.Known worker) {
    if (range.givingBack
        || range.dropped
        || surroundings.now() >= range.grantEndsAt
        || edge.mayBegin() != null
        || !book.usable(worker)) {
      return false;
    }
    HandoutItem item = range.unsent.peek();
    JsonNode itemBody = Json.tree(item.body());
    OpaqueHandout opaque =
        itemBody.has("path") ? JSON.convertValue(itemBody, OpaqueHandout.class) : null;
    Route route = opaque == null ? null : edge.routes().findBatch(opaque.host(), opaque.path());
    if (opaque != null && (route == null || !route.sendsTo(worker.worker.pool()))) {
      giveBack(range);
      return false;
    }
    range.unsent.poll();
    Run run = new Run(range, item, nodeId + "-" + ++runs);
    run.worker = worker;
    run.sentAt = surroundings.now();
    run.lastTextAt = run.sentAt;
    range.running.put(item.index(), run);
    if (opaque != null) {
      run.reading = opaque.item().tokens() * Constants.ITEM_UNREAD_PART;
      worker.reading += run.reading;
    }
    book.began(worker, true);
    if (opaque != null) {
      hand(run, opaque, route);
      return true;
    }
    ObjectNode body = JSON.createObjectNode();
    itemBody
        .fields()
        .forEachRemaining(
            field -> {
              if (!field.getKey().equals("id")) {
                body.set(field.getKey(), field.getValue());
              }
            });
    body.put("stream", true)
        .put("applespindle_item", range.batch + "/" + itemBody.path("id").asText());
    long expiry = edge.bundle().limits().batch().itemExpiryMs();
    run.handle =
        surroundings.run(
            new WorkerCall(worker.worker.address(), Json.bytes(body), expiry), listener(run));
    return true;
  }

  private void hand(Run run, OpaqueHandout handout, Route route) {
    StreamText earlier = run.held.texts.remove(run.item.index());
    if (earlier == null) {
      earlier = new StreamText(handout.resumeAfter(), handout.text());
    }
    run.text = earlier.resumeAfter().isEmpty() ? new StreamText() : earlier;
    run.route = route;
    OpaqueBatch.Item item = handout.item();
    long expiryMs =
        Math.max(1, handout.expiresInMs() - (surroundings.now() - run.held.handedOutAt));
    var request =
        new OpaqueRequest(
            item.id(),
            "POST",
            item.target(),
            handout.host(),
            item.headers(),
            item.body(),
            expiryMs,
            "",
            item.tokens(),
            0,
            List.of(),
            "");
    run.handle =
        surroundings.exchange(
            new WorkerExchange(
                run.worker.worker.address(),
                run.worker.worker.id(),
                request,
                Math.max(1, route.rank()),
                expiryMs,
                run.text.resumeAfter()),
            opaqueListener(run));
  }

  private ExchangeListener opaqueListener(Run run) {
    return new ExchangeListener() {
      @Override
      public void head(Head head) {
        heard(run);
        boolean first = run.status == 0;
        run.status = head.status();
        run.streams = streams(head);
        if (first && run.status / 100 == 2) {
          firstMs += (surroundings.now() - run.sentAt - firstMs) * Constants.OUTCOME_WEIGHT;
        }
        pump(run.worker);
      }

      @Override
      public void piece(Piece piece) {
        heard(run);
        if (!run.over && run.status / 100 == 2 && run.streams) {
          run.text.add(piece);
        }
      }

      @Override
      public void end() {
        heard(run);
        ended(run);
      }

      @Override
      public void load(WorkerLoad load) {
        book.told(run.worker, load);
      }

      @Override
      public void fault(Fault fault, boolean mayHaveRun) {
        faulted(run, fault);
      }
    };
  }

  /** A head without a type is taken at its events' word. */
  private static boolean streams(Head head) {
    return head.headers().stream()
        .filter(header -> header.name().equalsIgnoreCase("Content-Type"))
        .allMatch(
            header -> header.value().toLowerCase(Locale.ROOT).startsWith("text/event-stream"));
  }

  private static void hasRead(Run run) {
    run.worker.reading -= run.reading;
    run.reading = 0;
  }

  private void heard(Run run) {
    hasRead(run);
    run.lastTextAt = surroundings.now();
    book.heard(run.worker);
  }

  /**
   * A whole response. Only 500 counts against the item's attempts, and only 422 ends it; any other
   * says nothing of it.
   */
  private void ended(Run run) {
    if (run.over) {
      return;
    }
    if (run.status / 100 != 2 && run.status != 500 && run.status != 422
        || run.status / 100 == 2 && !run.streams) {
      leave(run);
      book.failed(run.worker);
      putBackLater(run);
      return;
    }
    leave(run);
    book.served(run.worker);
    if (run.status / 100 == 2) {
      wholeMs += (surroundings.now() - run.sentAt - wholeMs) * Constants.OUTCOME_WEIGHT;
      run.held.lacking.remove(run.item.index());
      outcome(run, "", "", run.text.text());
    } else if (run.status == 422) {
      run.held.lacking.remove(run.item.index());
      outcome(run, "", new Fault.ItemImpossible().type(), "");
    } else {
      outcome(run, "", new Fault.ItemFailed(run.status).type(), "");
      giveBack(run.held);
    }
  }

  private WorkerListener listener(Run run) {
    return new WorkerListener() {
      @Override
      public void text(String text) {
        run.lastTextAt = surroundings.now();
        run.output.append(text);
      }

      @Override
      public void end(String finishReason) {
        if (leave(run)) {
          book.served(run.worker);
          run.held.lacking.remove(run.item.index());
          outcome(run, finishReason, "", run.output.toString());
        }
      }

      @Override
      public void fault(Fault fault, boolean mayHaveRun) {
        faulted(run, fault);
      }
    };
  }

  private void faulted(Run run, Fault fault) {
    if (!leave(run)) {
      return;
    }
    if (run.text != null) {
      fell(run, fault);
      return;
    }
    if (WorkerBook.saysFull(fault)) {
      book.refused(run.worker);
      putBack(run);
      return;
    }
    book.faulted(run.worker);
    outcome(run, "", fault.type(), "");
    giveBack(run.held);
  }

  /**
   * Says nothing against the item: it goes on behind the last whole event, or elsewhere if the
   * worker is at fault.
   */
  private void fell(Run run, Fault fault) {
    if (WorkerBook.saysFull(fault)) {
      book.refused(run.worker);
    } else {
      book.faulted(run.worker);
    }
    putBackLater(run);
  }

  private void putBackLater(Run run) {
    Held range = run.held;
    int index = run.item.index();
    giveBackText(run);
    int falls = range.falls.merge(index, 1, Integer::sum);
    range.restsUntil.put(
        index,
        surroundings.now()
            + Math.min(
                Constants.ITEM_REST_MOST_MS, Constants.ITEM_REST_MS << Math.min(falls - 1, 10)));
    putBack(run);
    pump();
  }

  /**
   * A worker that went dark takes its connections down with it late; its silence is believed
   * sooner.
   */
  private void giveUpLostRuns() {
    for (Held range : List.copyOf(held.values())) {
      for (Run run : List.copyOf(range.running.values())) {
        if (run.text != null ? silent(run) : book.lost(run.worker, run.lastTextAt)) {
          run.handle.cancel();
          faulted(run, new Fault.WorkerSilent(range.worker));
        }
      }
    }
  }

  /**
   * Nothing from this run for long and nothing from any other there; or nothing from it for far
   * longer.
   */
  private boolean silent(Run run) {
    long now = surroundings.now();
    long limit =
        Math.max(Constants.SILENT_LEAST_MS, Constants.SILENT_GAPS * run.route.gapTargetMs());
    long workerSilentFor = now - run.worker.heardAt;
    return now - run.lastTextAt > limit
        && (workerSilentFor > limit || now - run.lastTextAt > 4 * limit);
  }

  private boolean leave(Run run) {
    if (run.over) {
      return false;
    }
    run.over = true;
    hasRead(run);
    book.ended(run.worker, true);
    run.held.running.remove(run.item.index());
    return true;
  }

  private void outcome(Run run, String finishReason, String faultType, String output) {
    Held range = run.held;
    range.unanswered.add(
        new Outcome(
            new ReportedItem(
                run.item.index(),
                run.id,
                range.worker,
                finishReason,
                faultType,
                output.getBytes(StandardCharsets.UTF_8))));
    report(range);
    pump();
  }

  private void cancel(Run run) {
    if (leave(run)) {
      run.handle.cancel();
    }
  }

  /**
   * Live traffic needs the room: the newest items go back to the front of their ranges; their
   * partial output is dropped.
   */
  private void cancelNewest(WorkerBook.Known worker, int number) {
    List<Run> newestFirst = new ArrayList<>();
    held.values().stream()
        .filter(range -> range.worker.equals(worker.worker.id()))
        .forEach(range -> newestFirst.addAll(range.running.values()));
    java.util.Collections.reverse(newestFirst);
    newestFirst.stream()
        .limit(number)
        .forEach(
            run -> {
              cancel(run);
              putBack(run);
            });
  }

  private static void putBack(Run run) {
    if (run.text != null) {
      run.held.texts.put(run.item.index(), run.text);
    }
    if (!run.held.dropped && !run.held.givingBack) {
      run.held.unsent.addFirst(run.item);
    }
  }

  // ---- reporting

  /** What the next feeder may go on from; a range that stays here keeps it for itself. */
  private void giveBackText(Run run) {
    if (run.held.givingBack || run.held.dropped) {
      giveBackText(run.held, run.item.index(), run.text);
    }
  }

  private void giveBackText(Held range, int index, StreamText text) {
    if (!text.resumeAfter().isEmpty() && !text.text().isEmpty()) {
      range.unanswered.add(
          new Outcome(
              new ReportedItem(
                  index,
                  "",
                  range.worker,
                  text.resumeAfter(),
                  BatchLeader.PART,
                  text.text().getBytes(StandardCharsets.UTF_8))));
    }
  }

  private void giveBack(Held range) {
    if (!range.givingBack && !range.dropped) {
      range.givingBack = true;
      range.texts.forEach((index, text) -> giveBackText(range, index, text));
      range.unsent.clear();
      report(range);
    }
  }

  private void report(Held range) {
    long number = ++range.lastReport;
    range.reportsSentAt.put(number, surroundings.now());
    if (range.reportsSentAt.size() > 16) {
      range.reportsSentAt.pollFirstEntry();
    }
    boolean handsBack = range.givingBack && range.running.isEmpty();
    List<ReportedItem> carried = carry(range, number, handsBack && !range.handedBack);
    range.handedBack |= handsBack;
    edge.send(
        range.leader.address(),
        range.leader.id(),
        new RangeReport(
            range.batch,
            range.range,
            range.epoch,
            range.worker,
            number,
            offset(range, number),
            handsBack,
            carried));
  }

  /**
   * What is new, and what should have been answered by now; all of it when the range is handed
   * back.
   */
  private List<ReportedItem> carry(Held range, long number, boolean all) {
    long now = surroundings.now();
    List<ReportedItem> carried = new ArrayList<>();
    for (Outcome outcome : range.unanswered) {
      if (all || now - outcome.sentAt >= Constants.RESULT_AGAIN_MS) {
        outcome.sentAt = now;
        outcome.carriedBy.add(number);
        carried.add(outcome.item);
      }
    }
    return carried;
  }

  /**
   * What is on its way by an earlier report may be lost: the offset counts only what this one
   * carries.
   */
  private static int offset(Held range, long number) {
    int offset = range.lacking.isEmpty() ? range.end : range.lacking.first();
    for (Outcome outcome : range.unanswered) {
      if (!outcome.carriedBy.contains(number)) {
        offset = Math.min(offset, outcome.item.index());
      }
    }
    return offset;
  }

  /**
   * Reports again and again: it renews the range's grant and carries what was not answered in time.
   */
  void tick() {
    long now = surroundings.now();
    giveUpLostRuns();
    List.copyOf(held.values()).stream()
        .filter(range -> book.get(range.worker) == null)
        .forEach(this::giveBack);
    for (Held range : List.copyOf(held.values())) {
      Long lastSentAt =
          range.reportsSentAt.isEmpty() ? null : range.reportsSentAt.lastEntry().getValue();
      if (lastSentAt == null || now - lastSentAt >= Constants.RANGE_REPORT_MS) {
        report(range);
      }
      boolean lapsedLong = now - range.grantEndsAt > 4 * Constants.RANGE_GRANT_MS;
      if (range.running.isEmpty()
          && lapsedLong
          && (range.unanswered.isEmpty() || now - range.grantEndsAt > Constants.OUTCOMES_KEPT_MS)) {
        held.remove(name(range));
      }
    }
    pump();
  }

  /**
   * For a polite stop: gives back all that has not begun. True once nothing runs and nothing is
   * unanswered.
   */
  boolean drain() {
    List.copyOf(held.values()).forEach(this::giveBack);
    return held.values().stream()
        .allMatch(range -> range.running.isEmpty() && range.unanswered.isEmpty());
  }

  int heldRanges() {
    return held.size();
  }

  int runningItems() {
    return held.values().stream().mapToInt(range -> range.running.size()).sum();
  }
}
