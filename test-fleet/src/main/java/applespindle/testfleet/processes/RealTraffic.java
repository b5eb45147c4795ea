package applespindle.testfleet.processes;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.adapters.NoNameLookups;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.common.Json;
import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.deployment.EmulatedWorkers;
import applespindle.testfleet.history.History;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.processes.Fleet.Member;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.function.BiConsumer;

/**
 * Live requests and batches against real processes for a limited time. Records in a history what
 * the senders see.
 */
public final class RealTraffic {
  private static final long POLL_MS = 300;
  private static final long READY_MS = 500;
  private static final String SHARED =
      "In the usual form of the office, with greeting, place and hour of the event. ".repeat(4);

  /**
   * Rates and duration of the traffic.
   *
   * @param patienceMs how long a call waits for a response or for more of it
   * @param submitTries how often a batch is sent until it is accepted
   * @param givenUpEvery each so-many-th batch is given up when it is refused for certain; 0 for
   *     none
   * @param settleMs how long accepted batches may take once nothing new is sent
   */
  public record Plan(
      long seed,
      double checksPerSecond,
      double notesPerSecond,
      double oncePerSecond,
      long batchEveryMs,
      long lengthMs,
      long patienceMs,
      int submitTries,
      int givenUpEvery,
      long settleMs) {}

  /**
   * One batch as its sender knows it; the time of an event that did not happen is -1.
   *
   * @param status the status of the last response to its submission, 0 for none
   */
  public record Batch(
      String key,
      String id,
      int items,
      int status,
      long firstSentAt,
      long acceptedAt,
      long finishedAt) {
    /** Whether an edge has accepted the batch. */
    public boolean accepted() {
      return acceptedAt >= 0;
    }

    /** Whether the last response rules out that an item of this submission runs. */
    public boolean refused() {
      return !accepted() && definiteRefusal(status);
    }

    /** Whether every item of the batch has a result. */
    public boolean finished() {
      return finishedAt >= 0;
    }
  }

  private static boolean definiteRefusal(int status) {
    return status >= 400 && status < 500 || status == 503;
  }

  private final class Sender {
    final String key;
    byte[] body;
    String batch = "";
    int status;
    long firstSentAt = -1;
    long acceptedAt = -1;
    long finishedAt = -1;
    Member sentTo;
    long next;
    int tries;
    boolean over;
    final boolean givesUp;

    Sender(String key, boolean givesUp) {
      this.key = key;
      this.givesUp = givesUp;
      ObjectNode input = JSON.createObjectNode().put("due_in_ms", fleet.deployment.dueMs);
      ArrayNode rows = input.putArray("items");
      for (int index = 0; index < fleet.deployment.batchItems; index++) {
        String prompt = SHARED + "Guest " + key + "/" + index;
        rows.addObject()
            .put("id", "i" + index)
            .put("prompt", prompt)
            .put("max_tokens", fleet.deployment.batchTokens);
        see(Kind.ITEM, key, "i" + index, prompt, fleet.deployment.batchTokens);
      }
      body = Json.bytes(input);
    }

    void submit() {
      tries++;
      firstSentAt = firstSentAt < 0 ? EmulatedWorkers.nowMs() : firstSentAt;
      sentTo = anotherEdge(sentTo);
      see(Kind.SUBMIT_SENT, key, "", "", fleet.deployment.batchItems);
      call(
          HttpMethod.POST,
          sentTo,
          "/v1/batches",
          body,
          Map.of("Idempotency-Key", key, "Applespindle-Sender", "fleet"),
          (answered, text) -> {
            status = answered;
            JsonNode answer = tree(text);
            see(
                Kind.SUBMIT_ANSWERED,
                key,
                answer.path("type").asText(""),
                BatchKeys.batchId("fleet", key),
                status);
            if (status == 201) {
              batch = answer.path("batch").asText();
              acceptedAt = EmulatedWorkers.nowMs();
              poll();
            } else if (tries < plan.submitTries() && !(givesUp && definiteRefusal(status))) {
              eventloop.delay(1_000L, this::submit);
            } else {
              over = true;
            }
          });
    }

    Batch seen() {
      return new Batch(
          key, batch, fleet.deployment.batchItems, status, firstSentAt, acceptedAt, finishedAt);
    }

    void poll() {
      call(
          HttpMethod.GET,
          anyEdge(),
          "/v1/batches/" + batch + "/results?after=" + next,
          null,
          Map.of(),
          (status, text) -> {
            JsonNode page = tree(text);
            seeResults(fleet.history, key, status, page);
            if (status == 200) {
              next = page.path("next").asLong();
              if (page.path("state").asText().equals("finished")
                  && next >= fleet.deployment.batchItems) {
                finishedAt = EmulatedWorkers.nowMs();
                over = true;
                return;
              }
            }
            eventloop.delay(POLL_MS, this::poll);
          });
    }
  }

  private final Fleet fleet;
  private final Plan plan;
  private final Random random;
  private final Eventloop eventloop = Eventloop.builder().withThreadName("traffic").build();
  private final HttpClient client;
  private final List<Sender> senders = new ArrayList<>();
  private final CountDownLatch done = new CountDownLatch(1);
  private List<Member> readyEdges = List.of();
  private long endsAt;
  private long liveNumber;
  private final Map<String, List<Long>> latencies = new HashMap<>();

  /** Traffic that has not begun; the fleet must have started. */
  public RealTraffic(Fleet fleet, Plan plan) {
    this.fleet = fleet;
    this.plan = plan;
    random = new Random(plan.seed());
    client =
        HttpClient.builder(eventloop, new NoNameLookups())
            .withNoKeepAlive()
            .withReadWriteTimeout(Duration.ofMillis(plan.patienceMs()))
            .withConnectTimeout(Duration.ofSeconds(2))
            .build();
  }

  /** Runs the plan and waits until every accepted batch is finished, or for the settle time. */
  public void run() throws InterruptedException {
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, "traffic");
    thread.setDaemon(true);
    thread.start();
    eventloop.execute(
        () -> {
          endsAt = EmulatedWorkers.nowMs() + plan.lengthMs();
          see(
              Kind.CEILING,
              "",
              "",
              "",
              tree(fleet.deployment.configuration(1))
                  .at("/limits/batch/waitingItemsMost")
                  .asLong());
          lookForReadyEdges();
          eventloop.delay(
              READY_MS,
              () -> {
                live("check", plan.checksPerSecond());
                live("note", plan.notesPerSecond());
                live("once", plan.oncePerSecond());
                batches();
              });
          eventloop.delay(
              plan.lengthMs(), () -> waitForEnd(EmulatedWorkers.nowMs() + plan.settleMs()));
        });
    done.await();
  }

  private void waitForEnd(long latest) {
    if (senders.stream().allMatch(sender -> sender.over) || EmulatedWorkers.nowMs() > latest) {
      eventloop.delay(2_000L, done::countDown);
    } else {
      eventloop.delay(POLL_MS, () -> waitForEnd(latest));
    }
  }

  /** All batches; to be called after {@link #run}. */
  public List<Batch> batchesSeen() {
    return senders.stream().map(Sender::seen).toList();
  }

  /** The time from the first sending of a batch to its acceptance; -1 if none was accepted. */
  public long acceptedWithinMs(int percent) {
    List<Long> times =
        batchesSeen().stream()
            .filter(Batch::accepted)
            .map(batch -> batch.acceptedAt() - batch.firstSentAt())
            .toList();
    return SimulatedFleet.percentile(times, percent);
  }

  /** Records a page of results, or the error response in its place. */
  public static void seeResults(History history, String key, int status, JsonNode page) {
    String state = page.path(status == 200 ? "state" : "type").asText("");
    long nowMs = EmulatedWorkers.nowMs();
    history.add(nowMs, Kind.BATCH_READ, key, state, page.path("recorded").asText("0"), status);
    if (status != 200) {
      return;
    }
    for (JsonNode row : page.path("results")) {
      String item = row.path("id").asText() + "|" + row.path("type").asText();
      String output = row.path("output").asText("");
      history.add(nowMs, Kind.RESULT_READ, key, item, output, row.path("n").asLong());
    }
  }

  private void see(Kind kind, String subject, String detail, String text, long number) {
    fleet.history.add(EmulatedWorkers.nowMs(), kind, subject, detail, text, number);
  }

  private static JsonNode tree(String text) {
    try {
      return text.strip().startsWith("{") ? JSON.readTree(text) : JSON.nullNode();
    } catch (IOException cut) {
      return JSON.nullNode();
    }
  }

  private void lookForReadyEdges() {
    List<Member> ready = new ArrayList<>();
    for (Member edge : fleet.ofRole("edge")) {
      call(
          HttpMethod.GET,
          edge,
          "/ready",
          null,
          Map.of(),
          (status, text) -> {
            if (status == 200) {
              ready.add(edge);
            }
          });
    }
    eventloop.delay(
        READY_MS,
        () -> {
          readyEdges = List.copyOf(ready);
          lookForReadyEdges();
        });
  }

  private Member anyEdge() {
    return anotherEdge(null);
  }

  private Member anotherEdge(Member last) {
    List<Member> known = readyEdges.isEmpty() ? fleet.ofRole("edge") : readyEdges;
    List<Member> others = known.stream().filter(edge -> edge != last).toList();
    List<Member> choice = others.isEmpty() ? known : others;
    return choice.get(random.nextInt(choice.size()));
  }

  /** Passes on the response; status 0 for none, the negative status for a truncated one. */
  private void call(
      HttpMethod method,
      Member to,
      String path,
      byte[] body,
      Map<String, String> headers,
      BiConsumer<Integer, String> then) {
    HttpRequest.Builder request = HttpRequest.builder(method, "http://" + to.clients + path);
    headers.forEach((name, value) -> request.withHeader(HttpHeaders.of(name), value));
    if (body != null) {
      request.withBody(body);
    }
    client
        .request(request.build())
        .then(
            response -> {
              StringBuilder text = new StringBuilder();
              return read(response.takeBodyStream(), text)
                  .map(
                      complete -> {
                        then.accept(
                            complete ? response.getCode() : -response.getCode(), text.toString());
                        return (Void) null;
                      });
            })
        .whenException(fault -> then.accept(0, ""));
  }

  /** Reads a stream to its end; false if it broke off. */
  private static Promise<Boolean> read(ChannelSupplier<ByteBuf> stream, StringBuilder text) {
    return stream
        .get()
        .then(
            chunk -> {
              if (chunk == null) {
                return Promise.of(true);
              }
              text.append(chunk.asString(UTF_8));
              return read(stream, text);
            },
            fault -> Promise.of(false));
  }

  private void batches() {
    if (EmulatedWorkers.nowMs() >= endsAt) {
      return;
    }
    int number = senders.size() + 1;
    boolean givesUp = plan.givenUpEvery() > 0 && number % plan.givenUpEvery() == 0;
    Sender sender = new Sender("batch-" + number, givesUp);
    senders.add(sender);
    sender.submit();
    eventloop.delay(plan.batchEveryMs(), this::batches);
  }

  private void live(String trafficClass, double perSecond) {
    if (EmulatedWorkers.nowMs() >= endsAt || perSecond <= 0) {
      return;
    }
    sendLive(trafficClass);
    eventloop.delay(
        (long) Math.max(1, -Math.log(1 - random.nextDouble()) * 1_000 / perSecond),
        () -> live(trafficClass, perSecond));
  }

  private void sendLive(String trafficClass) {
    String id = "l" + ++liveNumber;
    String once = trafficClass.equals("once") ? "once-" + id : "";
    int tokens = trafficClass.equals("note") ? 24 : 2;
    String prompt = SimulatedFleet.familyPrompt(random.nextInt(SimulatedFleet.FAMILIES), id);
    boolean stream = random.nextBoolean();
    see(Kind.LIVE_SENT, id, once, prompt, tokens);
    long sentAt = EmulatedWorkers.nowMs();
    byte[] body =
        Json.bytes(
            JSON.createObjectNode()
                .put("prompt", prompt)
                .put("max_tokens", tokens)
                .put("stream", stream));
    Map<String, String> headers = new HashMap<>(Map.of("Applespindle-Class", trafficClass));
    if (!once.isEmpty()) {
      headers.put("Applespindle-Once", once);
    }
    Member edge = anyEdge();
    see(Kind.LIVE_AT, id, edge.name, "", 0);
    see(Kind.LIVE_CLASS, id, trafficClass.equals("note") ? "note" : "check", prompt, 0);
    call(
        HttpMethod.POST,
        edge,
        "/v1/completions",
        body,
        headers,
        (status, text) -> {
          if (seeLiveResponse(id, status, text, stream)) {
            latencies
                .computeIfAbsent(trafficClass, unseen -> new ArrayList<>())
                .add(EmulatedWorkers.nowMs() - sentAt);
          }
        });
  }

  /** Records the response to a live request; false if it is not complete. */
  private boolean seeLiveResponse(String id, int status, String text, boolean stream) {
    String output = stream ? streamed(text) : tree(text).at("/choices/0/text").asText("");
    boolean complete = status == 200 && (!stream || text.endsWith("data: [DONE]\n\n"));
    String detail = "complete";
    if (!complete) {
      detail = Math.abs(status) == 200 ? "cut" : tree(text).path("type").asText("cut");
    }
    see(Kind.LIVE_ANSWERED, id, detail, output, Math.abs(status));
    return complete;
  }

  private static String streamed(String text) {
    StringBuilder output = new StringBuilder();
    for (String line : text.split("\n")) {
      if (line.startsWith("data: {")) {
        output.append(tree(line.substring(6)).at("/choices/0/text").asText(""));
      }
    }
    return output.toString();
  }

  /** What was sent and served, as lines of text. */
  public String summary() {
    List<Long> took =
        senders.stream()
            .filter(sender -> sender.finishedAt >= 0)
            .map(sender -> sender.finishedAt - sender.acceptedAt)
            .toList();
    StringBuilder text =
        new StringBuilder(
            "batches sent "
                + senders.size()
                + ", finished "
                + took.size()
                + ", median "
                + SimulatedFleet.percentile(took, 50)
                + " ms, slowest "
                + SimulatedFleet.percentile(took, 100)
                + " ms");
    latencies.forEach(
        (trafficClass, times) ->
            text.append("; ")
                .append(trafficClass)
                .append(' ')
                .append(times.size())
                .append(" served, median ")
                .append(SimulatedFleet.percentile(times, 50))
                .append(" ms, p99 ")
                .append(SimulatedFleet.percentile(times, 99))
                .append(" ms"));
    long answered = fleet.history.of(Kind.LIVE_ANSWERED).size();
    long complete =
        fleet.history.of(Kind.LIVE_ANSWERED).stream()
            .filter(seen -> seen.detail().equals("complete"))
            .count();
    return text + "; live complete " + complete + " of " + answered;
  }
}
