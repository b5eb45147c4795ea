package applespindle.testfleet;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.ProxiedBatch;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.live.RequestHandle;
import applespindle.testfleet.History.Kind;
import applespindle.testfleet.RouteOperators.Route;
import applespindle.testfleet.Simulation.Caller;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Clients of opaque requests and of opaque batches, who try again just as far as the answers they
 * got allow it.
 */
final class ProxyClients {
  static final long DEADLINE_MS = 4_000;
  private static final long STREAM_SILENCE_MS = 2_000;
  private static final int TRIES = 4;
  private static final int FAMILIES = 12;
  private static final int TOKENS_MOST = 24;
  private static final long SUBMIT_PATIENCE_MS = 2_500;
  private static final int SUBMIT_TRIES = 8;
  private static final long READ_PATIENCE_MS = 1_500;
  private static final long HOLD_MS = 1_000;
  private static final double READ_EVERY_MS = 500;
  private static final int BATCH_TOKENS_MOST = 60;
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
  private static final Set<Integer> FINAL = Set.of(400, 401, 404, 413, 431);

  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final RouteOperators operators;
  private final History history;
  private long ids;

  /** The longest that a batch took to be read whole once all were closed. */
  long slowestCloseMs;

  /** Least size of the body of a batch's item. */
  int itemBytes;

  /** By type of route: asked for, and served in the end. */
  final Map<String, int[]> servedOf = new TreeMap<>();

  final Map<String, Integer> refusals = new TreeMap<>();
  final List<Long> latencies = new ArrayList<>();
  final List<BatchClient> batches = new ArrayList<>();

  ProxyClients(SimulatedFleet fleet, RouteOperators operators) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
    this.operators = operators;
    this.history = simulation.history;
  }

  // ---- requests

  void live(String type, double perSecond, long fromMs, long untilMs) {
    if (perSecond > 0) {
      simulation.atMs(fromMs, () -> next(type, perSecond, untilMs));
    }
  }

  private void next(String type, double perSecond, long untilMs) {
    if (simulation.simulatedNowMs() >= untilMs) {
      return;
    }
    List<Route> choice = operators.inUse(type);
    if (!choice.isEmpty()) {
      new Wish(choice.get(simulation.random.nextInt(choice.size()))).attempt(null);
    }
    simulation.afterMs(
        -Math.log(1 - simulation.random.nextDouble()) * 1000 / perSecond,
        () -> next(type, perSecond, untilMs));
  }

  /** A few requests on routes just added or removed, to each node. */
  void probeRoutes() {
    for (SimulatedProcess edge : fleet.readyOrAll()) {
      for (Route route : List.copyOf(operators.probed)) {
        Wish wish = new Wish(route);
        wish.tries = TRIES;
        wish.counted = false;
        wish.attempt(edge);
      }
    }
  }

  private List<PromptPart> prompt(String own) {
    int family = simulation.random.nextInt(FAMILIES);
    return List.of(
        new PromptPart("f" + family, 200 + 10 * family),
        new PromptPart("s" + simulation.random.nextInt(5 * FAMILIES), 60),
        new PromptPart(own, 20));
  }

  /** What one client wants, over all its tries; each try has its own id. */
  private final class Wish {
    final Route route;
    final int tokens = 1 + simulation.random.nextInt(TOKENS_MOST);
    final String target;
    final byte[] body;
    final List<PromptPart> prompt;
    final long sentMs = simulation.simulatedNowMs();
    String resumeAfter = "";
    int tries;
    boolean counted = true;

    Wish(Route route) {
      String name = "n" + ++ids;
      this.route = route;
      this.target = route.prefix() + name + "?again=" + simulation.random.nextInt(3);
      this.body = ("body-" + name + "." + tokens).getBytes(UTF_8);
      this.prompt = prompt(name);
    }

    void attempt(SimulatedProcess chosen) {
      if (tries++ == 0) {
        servedOf.computeIfAbsent(route.type(), unseen -> new int[2])[0]++;
      }
      new Try(this, chosen != null ? chosen : fleet.anyEdge()).send();
    }

    long left() {
      return sentMs + DEADLINE_MS - simulation.simulatedNowMs();
    }

    void over(Try last) {
      boolean mayAgain = route.type().equals("repeatable") || route.type().equals("resumable");
      if (last.detail.equals("complete") && last.status < 300) {
        if (counted) {
          servedOf.get(route.type())[1]++;
          latencies.add(simulation.simulatedNowMs() - sentMs);
        }
        return;
      }
      boolean promised =
          last.detail.equals("refused") && PROMISES.contains(last.status)
              || last.detail.equals("unreachable");
      if (FINAL.contains(last.status) && !last.detail.equals("complete")
          || tries >= TRIES
          || !(promised || mayAgain)) {
        return;
      }
      if (route.type().equals("resumable") && !last.lastEvent.isEmpty()) {
        resumeAfter = last.lastEvent;
        if (Integer.parseInt(resumeAfter) >= tokens) {
          return;
        }
      }
      double pauseMs = Math.min(last.retryAfterMs, left() / 3.0);
      if (left() > 50) {
        simulation.afterMs(Math.max(20, pauseMs), () -> attempt(null));
      }
    }
  }

  private final class Try implements ProxiedResponseListener {
    final Wish wish;
    final SimulatedProcess edge;
    final String id = "q" + ++ids;
    final StringBuilder text = new StringBuilder();
    RequestHandle handle;
    Consumer<Runnable> whenOver;
    String stamp = "";
    String detail = "";
    String lastEvent = "";
    int status;
    long retryAfterMs;
    long heardMs;
    boolean over;

    Try(Wish wish, SimulatedProcess edge) {
      this.wish = wish;
      this.edge = edge;
    }

    void send() {
      var request =
          new ProxiedRequest(
              id,
              "POST",
              wish.target,
              wish.route.host(),
              List.of(new Header("Content-Type", "text/plain")),
              wish.body,
              Math.max(1, wish.left()),
              "m",
              280,
              wish.tokens,
              wish.prompt,
              wish.resumeAfter);
      heardMs = simulation.simulatedNowMs();
      history.add(
          simulation.simulatedNowMs(),
          Kind.REQUEST_SENT,
          id,
          wish.route.type()
              + " "
              + edge.name
              + (wish.resumeAfter.isEmpty() ? "" : " " + wish.resumeAfter),
          ProxyWorkers.asked(request),
          wish.tokens);
      simulation.call(
          edge,
          (Consumer<Runnable> then) -> {
            whenOver = then;
            handle = ((EdgeNode) edge.node()).proxy(request, this);
            if (over) {
              handle.cancel();
            }
          },
          new Caller<Runnable>() {
            @Override
            public void answered(Runnable answer) {
              answer.run();
            }

            @Override
            public void broken(boolean neverReached) {
              String begun = status > 0 ? "cut" : "broken";
              finish(neverReached ? "unreachable" : begun, status);
            }
          });
      watch();
    }

    private void watch() {
      boolean streaming =
          !wish.route.type().equals("once") && !wish.route.type().equals("repeatable");
      simulation.afterMs(
          100,
          () -> {
            boolean silent = streaming && simulation.simulatedNowMs() - heardMs > STREAM_SILENCE_MS;
            if (!over && (silent || !streaming && wish.left() <= 0)) {
              giveUp();
            } else if (!over) {
              watch();
            }
          });
    }

    private void giveUp() {
      finish("given-up", status);
      simulation.call(
          edge,
          (Consumer<Object> then) -> {
            if (handle != null) {
              handle.cancel();
            }
          },
          new Caller<>() {
            @Override
            public void answered(Object answer) {}

            @Override
            public void broken(boolean neverReached) {}
          });
    }

    private void later(Runnable hearing) {
      simulation.afterMs(
          0.3,
          () -> {
            if (!over) {
              heardMs = simulation.simulatedNowMs();
              hearing.run();
            }
          });
    }

    @Override
    public void head(ResponseHead head) {
      int told = head.status();
      later(
          () -> {
            status = told;
            stamp =
                head.headers().stream()
                    .filter(header -> header.name().equalsIgnoreCase("Stamp"))
                    .map(Header::value)
                    .findFirst()
                    .orElse("");
          });
    }

    @Override
    public void chunk(ResponseChunk chunk) {
      later(
          () -> {
            String bytes = new String(chunk.bytes(), UTF_8);
            if (chunk.eventId().isEmpty()) {
              text.append(bytes);
            } else {
              String data =
                  bytes
                      .lines()
                      .filter(line -> line.startsWith("data: "))
                      .map(line -> line.substring(6))
                      .findFirst()
                      .orElse("");
              text.append(chunk.eventId()).append(':').append(data).append('\n');
              lastEvent = chunk.eventId();
            }
          });
    }

    @Override
    public void end() {
      whenOver.accept(() -> finish("complete", status));
    }

    @Override
    public void rejected(Response response) {
      whenOver.accept(
          () -> {
            retryAfterMs = response.retryAfterMs();
            refusals.merge(response.errorType(), 1, Integer::sum);
            finish("refused", response.status());
          });
    }

    @Override
    public void truncated(ApiError error) {
      whenOver.accept(() -> finish("cut", status));
    }

    private void finish(String how, int finalStatus) {
      if (over) {
        return;
      }
      over = true;
      detail = how;
      status = finalStatus;
      history.add(
          simulation.simulatedNowMs(), Kind.REQUEST_ANSWERED, id, how, stamp + "\n" + text, status);
      wish.over(this);
    }
  }

  // ---- batches

  /** Each with from itemsLeast to itemsMost items. */
  void batches(double everySeconds, int itemsLeast, int itemsMost, long fromMs, long untilMs) {
    for (long at = fromMs; everySeconds > 0 && at < untilMs; at += (long) (1000 * everySeconds)) {
      simulation.atMs(at, () -> submitOne(itemsBetween(itemsLeast, itemsMost)));
    }
  }

  private int itemsBetween(int least, int most) {
    return most <= least ? least : least + simulation.random.nextInt(most - least + 1);
  }

  /** Differs from place to place, as real bodies do, so that little is won by deflating it. */
  private String padding(int bytes) {
    StringBuilder text = new StringBuilder();
    while (text.length() < bytes) {
      text.append(Long.toString(simulation.random.nextLong(1L << 60), 36));
    }
    return text.toString();
  }

  void submitOne(int items) {
    List<Route> choice = operators.inUse("batch");
    if (!choice.isEmpty()) {
      BatchClient client = new BatchClient(choice.get(0), items);
      batches.add(client);
      client.submit();
    }
  }

  void endOne() {
    batches.stream()
        .filter(
            client ->
                client.accepted
                    && !client.endAsked
                    && client.known.size() < client.batch.items().size())
        .findFirst()
        .ifPresent(BatchClient::end);
  }

  /**
   * All batches are read from the start, with the bodies of what is not listed; done when the last
   * has been read or is given up.
   */
  void close(long untilMs) {
    batches.forEach(client -> client.close(untilMs));
  }

  boolean closed() {
    return batches.stream().allMatch(client -> client.closed || !client.accepted);
  }

  final class BatchClient {
    final ProxiedBatch batch;
    private final int bodyBytes;
    final Set<Long> known = new HashSet<>();
    final long sentMs = simulation.simulatedNowMs();
    long acceptedMs;
    long doneMs = -1;
    boolean accepted;
    boolean endAsked;
    boolean closing;
    boolean closed;
    int tries;
    private long closedFromMs;
    private final Set<String> listed = new HashSet<>();
    private int complete;
    private final Set<String> bodiesMissing = new HashSet<>();

    private String itemMark() {
      if (simulation.random.nextInt(40) == 0) {
        return ProxyWorkers.IMPOSSIBLE;
      }
      return simulation.random.nextInt(15) == 0 ? ProxyWorkers.FAILING : "plain";
    }

    BatchClient(Route route, int items) {
      String id = "b" + ++ids;
      List<ProxiedBatch.Item> rows = new ArrayList<>();
      for (int index = 0; index < items; index++) {
        int tokens = 4 + simulation.random.nextInt(BATCH_TOKENS_MOST);
        String item = "x" + ++ids;
        String mark = itemMark();
        String body = "body-" + item + padding(itemBytes) + "." + tokens;
        List<PromptPart> prompt = prompt(item);
        int promptTokens = prompt.stream().mapToInt(PromptPart::tokens).sum();
        var row =
            new ProxiedBatch.Item(
                item,
                route.prefix() + mark + "/" + item,
                List.of(new Header("Content-Type", "text/plain")),
                body.getBytes(UTF_8),
                promptTokens + tokens);
        rows.add(row);
        history.add(
            sentMs,
            Kind.OPAQUE_ITEM,
            id,
            item,
            row.tokens() + " POST " + route.host() + " " + row.target() + " " + body,
            tokens);
      }
      batch = new ProxiedBatch(id, route.host(), route.prefix() + id, rows);
      bodyBytes = Json.bytes(batch).length;
    }

    /** How long after its first try its client heard yes; more than anything if it never did. */
    long acceptanceMs() {
      return accepted ? acceptedMs - sentMs : Long.MAX_VALUE;
    }

    int complete() {
      return complete;
    }

    void submit() {
      tries++;
      SimulatedProcess edge = fleet.anyEdge();
      history.add(
          simulation.simulatedNowMs(),
          Kind.OPAQUE_SENT,
          batch.id(),
          edge.name,
          batch.host() + " " + batch.path(),
          batch.items().stream().mapToLong(ProxiedBatch.Item::tokens).sum());
      simulation.submissions.tried(batch.id(), edge);
      fleet.waitFor(
          edge,
          SUBMIT_PATIENCE_MS,
          (Consumer<Response> then) -> arriveAt(edge, then),
          response -> {
            int status = response == null ? 0 : response.status();
            history.add(
                simulation.simulatedNowMs(),
                Kind.OPAQUE_ANSWERED,
                batch.id(),
                response == null ? "" : response.errorType(),
                "",
                status);
            if (status == 201) {
              accepted = true;
              acceptedMs = simulation.simulatedNowMs();
              simulation.submissions.answered(batch.id(), edge);
              fleet.clientEventListener.accept(
                  "taken", (long) batches.stream().filter(client -> client.accepted).count());
              read();
            } else if (tries < SUBMIT_TRIES && (status == 0 || status == 429 || status >= 500)) {
              simulation.afterMs(
                  response == null ? 200 : 300 + response.retryAfterMs(), this::submit);
            }
          });
    }

    /** The platform's side reads the body before the node gets the batch from it. */
    private void arriveAt(SimulatedProcess edge, Consumer<Response> then) {
      edge.processor.json(bodyBytes);
      simulation.submissions.arrived(batch.id(), edge);
      ((EdgeNode) edge.node()).submitProxiedBatch(BatchSubmission.of(batch), then);
    }

    private void read() {
      if (closing) {
        return;
      }
      long from =
          known.isEmpty() || simulation.random.nextInt(4) > 0
              ? known.size()
              : simulation.random.nextInt(known.size());
      read(
          from,
          simulation.random.nextBoolean() ? HOLD_MS : 0,
          good -> {
            if (!endAsked && simulation.random.nextInt(6) == 0) {
              askBody();
            }
            if (known.size() < batch.items().size()
                && !(endAsked && simulation.random.nextInt(8) == 0)) {
              simulation.afterMs(READ_EVERY_MS, this::read);
            } else if (doneMs < 0 && known.size() == batch.items().size()) {
              doneMs = simulation.simulatedNowMs();
            }
          });
    }

    private void read(long from, long holdMs, Consumer<Long> then) {
      SimulatedProcess edge = fleet.anyEdge();
      long begunMs = simulation.simulatedNowMs();
      fleet.waitFor(
          edge,
          READ_PATIENCE_MS + holdMs,
          (Consumer<Response> answer) ->
              ((EdgeNode) edge.node()).readProxiedResults(batch.id(), from, holdMs, answer),
          response -> {
            if (response == null) {
              then.accept(-1L);
              return;
            }
            JsonNode page = response.body();
            long next = page.path("next").asLong();
            if (response.isSuccess()) {
              long position = from;
              for (JsonNode row : page.path("results")) {
                boolean firstSeen = known.add(position);
                boolean done = row.path("state").asText().equals("complete");
                complete += firstSeen && done ? 1 : 0;
                listed.add(row.path("id").asText());
                history.add(
                    simulation.simulatedNowMs(),
                    Kind.OPAQUE_RESULT,
                    batch.id(),
                    row.path("id").asText() + " " + row.path("state").asText(),
                    row.path("output").asText(""),
                    position++);
              }
            }
            history.add(
                simulation.simulatedNowMs(),
                Kind.OPAQUE_READ,
                batch.id(),
                edge.name,
                from + " " + next + " " + page.path("total").asLong() + " " + begunMs,
                response.status());
            then.accept(response.isSuccess() ? next : -1L);
          });
    }

    private void askBody() {
      batch.items().stream()
          .filter(item -> !listed.contains(item.id()))
          .findFirst()
          .ifPresent(item -> askBody(item.id(), status -> {}));
    }

    private void askBody(String item, Consumer<Integer> then) {
      SimulatedProcess edge = fleet.anyEdge();
      fleet.waitFor(
          edge,
          READ_PATIENCE_MS,
          (Consumer<Response> answer) ->
              ((EdgeNode) edge.node()).readProxiedItem(batch.id(), item, answer),
          response -> {
            int status = response == null ? 0 : response.status();
            if (status == 200) {
              String body =
                  new String(
                      Base64.getDecoder().decode(response.body().path("body").asText()), UTF_8);
              history.add(
                  simulation.simulatedNowMs(), Kind.OPAQUE_BODY, batch.id(), item, body, status);
            }
            then.accept(status);
          });
    }

    void end() {
      endAsked = true;
      history.add(simulation.simulatedNowMs(), Kind.OPAQUE_END_ASKED, batch.id(), "", "", 0);
      tryEnd();
    }

    private void tryEnd() {
      SimulatedProcess edge = fleet.anyEdge();
      fleet.waitFor(
          edge,
          READ_PATIENCE_MS,
          (Consumer<Response> answer) ->
              ((EdgeNode) edge.node()).endProxiedBatch(batch.id(), answer),
          response -> {
            int status = response == null ? 0 : response.status();
            history.add(
                simulation.simulatedNowMs(), Kind.OPAQUE_END_ANSWERED, batch.id(), "", "", status);
            if (status == 200) {
              fleet.clientEventListener.accept("stopped", 1L);
            } else if (!closing) {
              simulation.afterMs(300, this::tryEnd);
            }
          });
    }

    void close(long untilMs) {
      closing = true;
      closedFromMs = simulation.simulatedNowMs();
      boolean kept =
          simulation.simulatedNowMs()
              < sentMs
                  + SimulatedPlatform.KEEP_BATCHES_MS
                  - (untilMs - simulation.simulatedNowMs());
      closed = !kept && known.size() == batch.items().size();
      if (accepted && !closed) {
        readAll(0, untilMs);
      }
    }

    /** Page by page to the end of what is listed. */
    private void readAll(long from, long untilMs) {
      if (simulation.simulatedNowMs() >= untilMs) {
        closedWith("unread", from, 0);
        return;
      }
      read(
          from,
          0,
          next -> {
            if (next < 0) {
              simulation.afterMs(300, () -> readAll(from, untilMs));
            } else if (next > from) {
              readAll(next, untilMs);
            } else {
              if (!endAsked) {
                batch.items().stream()
                    .filter(item -> !listed.contains(item.id()))
                    .forEach(item -> bodiesMissing.add(item.id()));
              }
              readBodies(from, untilMs);
            }
          });
    }

    private void readBodies(long results, long untilMs) {
      if (bodiesMissing.isEmpty() || simulation.simulatedNowMs() >= untilMs) {
        closedWith("read", results, bodiesMissing.size());
        return;
      }
      String item = bodiesMissing.iterator().next();
      askBody(
          item,
          status -> {
            if (status == 200) {
              bodiesMissing.remove(item);
              readBodies(results, untilMs);
            } else {
              // It may have been listed meanwhile.
              simulation.afterMs(
                  300,
                  () ->
                      read(
                          results,
                          0,
                          next -> {
                            bodiesMissing.removeAll(listed);
                            readBodies(Math.max(results, next), untilMs);
                          }));
            }
          });
    }

    private void closedWith(String how, long results, int bodies) {
      if (!closed) {
        closed = true;
        slowestCloseMs = Math.max(slowestCloseMs, simulation.simulatedNowMs() - closedFromMs);
        history.add(
            simulation.simulatedNowMs(),
            Kind.OPAQUE_CLOSED,
            batch.id(),
            how,
            Long.toString(results),
            bodies);
      }
    }
  }

  String summary() {
    StringBuilder line = new StringBuilder();
    servedOf.forEach(
        (type, counts) ->
            line.append(type)
                .append(' ')
                .append(counts[1])
                .append('/')
                .append(counts[0])
                .append(", "));
    long accepted = batches.stream().filter(client -> client.accepted).count();
    long done = batches.stream().filter(client -> client.doneMs >= 0).count();
    return line
        + "median "
        + SimulatedFleet.percentile(latencies, 50)
        + " p99 "
        + SimulatedFleet.percentile(latencies, 99)
        + "; batches "
        + batches.size()
        + ", taken "
        + accepted
        + ", done "
        + done
        + ", items "
        + itemsDone()
        + "/"
        + itemsTaken()
        + "; refusals "
        + refusals
        + "; changes "
        + operators.acknowledged
        + ", first yes "
        + operators.firstYesMs
        + " ms, slowest "
        + operators.slowestYesMs
        + " ms";
  }

  long itemsTaken() {
    return batches.stream()
        .filter(client -> client.accepted && !client.endAsked)
        .mapToLong(client -> client.batch.items().size())
        .sum();
  }

  long itemsDone() {
    return batches.stream()
        .filter(client -> client.accepted && !client.endAsked)
        .mapToLong(client -> client.known.size())
        .sum();
  }
}
