package applespindle.testfleet.clients;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.batch.ProxiedBatch;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import applespindle.testfleet.clients.RouteOperators.Route;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.ProxyWorkers;
import applespindle.testfleet.simulation.SimulatedPlatform;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The client of one proxied batch: submits it, reads its results and may end it. */
public final class ProxiedBatchClient {
  static final long READ_TIMEOUT_MS = 1_500;
  static final double RETRY_PAUSE_MS = 300;
  private static final long SUBMIT_TIMEOUT_MS = 2_500;
  private static final double RESUBMIT_PAUSE_MS = 200;
  private static final int MAX_SUBMISSIONS = 8;
  private static final long HOLD_MS = 1_000;
  private static final double READ_EVERY_MS = 500;
  private static final int MAX_TOKENS = 60;

  final ProxiedBatch batch;

  /** The tenant that submits the batch; null where there are none. */
  final String owner;

  public boolean accepted;
  boolean endAsked;

  /** When all results were read; negative before. */
  long doneMs = -1;

  private final ProxyClients clients;
  private final Simulation simulation;
  private final SimulatedFleet fleet;
  private final ProxiedBatchReader reader;
  private final ProxiedBatchFinalRead finalRead;
  private final int bodyBytes;
  private final long sentMs;
  private long acceptedMs;
  private boolean closing;
  private int submissions;

  /**
   * The client of a new batch.
   *
   * @param owner the tenant that submits it; null where there are none
   */
  ProxiedBatchClient(ProxyClients clients, Route route, int items, String owner) {
    this.clients = clients;
    this.simulation = clients.simulation;
    this.fleet = clients.fleet;
    this.sentMs = simulation.simulatedNowMs();
    String id = clients.nextId("b");
    List<ProxiedBatch.Item> rows = new ArrayList<>();
    for (int index = 0; index < items; index++) {
      rows.add(newItem(id, route));
    }
    this.batch = new ProxiedBatch(id, route.host(), route.prefix() + id, rows);
    this.bodyBytes = Json.bytes(batch).length;
    this.owner = owner;
    if (owner != null) {
      simulation.history.add(sentMs, Kind.OPAQUE_OWNER, id, "", owner, 0);
    }
    this.reader = new ProxiedBatchReader(fleet, this);
    this.finalRead = new ProxiedBatchFinalRead(clients, this, reader);
  }

  /** A call at any edge with a key that the owner holds now, chosen anew for each call. */
  KeyedBatchCall newCall() {
    return new KeyedBatchCall(fleet, this, owner == null ? "" : clients.tenants().keyOf(owner));
  }

  private ProxiedBatch.Item newItem(String batchId, Route route) {
    int tokens = 4 + simulation.random.nextInt(MAX_TOKENS);
    String itemId = clients.nextId("x");
    String mark = itemMark();
    String body = "body-" + itemId + padding(clients.itemBytes) + "." + tokens;
    List<PromptPart> prompt = clients.prompt(itemId);
    int promptTokens = prompt.stream().mapToInt(PromptPart::tokens).sum();
    var item =
        new ProxiedBatch.Item(
            itemId,
            route.prefix() + mark + "/" + itemId,
            List.of(new Header("Content-Type", "text/plain")),
            body.getBytes(UTF_8),
            promptTokens + tokens);
    simulation.history.add(
        sentMs,
        Kind.OPAQUE_ITEM,
        batchId,
        itemId,
        item.tokens() + " POST " + route.host() + " " + item.target() + " " + body,
        tokens);
    return item;
  }

  private String itemMark() {
    if (simulation.random.nextInt(40) == 0) {
      return ProxyWorkers.IMPOSSIBLE;
    }
    return simulation.random.nextInt(15) == 0 ? ProxyWorkers.FAILING : "plain";
  }

  /** Random text, as compression would otherwise gain more than with bodies of real clients. */
  private String padding(int bytes) {
    StringBuilder text = new StringBuilder();
    while (text.length() < bytes) {
      text.append(Long.toString(simulation.random.nextLong(1L << 60), 36));
    }
    return text.toString();
  }

  /** The time from the first submission to its acknowledgement; the maximum if none came. */
  public long acceptanceMs() {
    return accepted ? acceptedMs - sentMs : Long.MAX_VALUE;
  }

  /** Whether all results were read within a time from the first submission. */
  boolean isDoneWithin(long timeMs) {
    return doneMs >= 0 && doneMs <= sentMs + timeMs;
  }

  int itemsDone() {
    return reader.resultCount();
  }

  /** Whether each item's result was read. */
  boolean isComplete() {
    return itemsDone() >= batch.items().size();
  }

  boolean isClosed() {
    return finalRead.isClosed();
  }

  void submit() {
    submissions++;
    KeyedBatchCall call = newCall();
    SimulatedProcess edge = call.edge;
    simulation.history.add(
        simulation.simulatedNowMs(),
        Kind.OPAQUE_SENT,
        batch.id(),
        edge.name,
        batch.host() + " " + batch.path(),
        batch.items().stream().mapToLong(ProxiedBatch.Item::tokens).sum());
    simulation.submissions.tried(batch.id(), edge);
    fleet.waitFor(
        edge,
        SUBMIT_TIMEOUT_MS,
        (Consumer<Response> then) -> arriveAt(edge, call.key, then),
        response -> {
          call.answered("SUBMIT", response);
          submissionAnswered(edge, response);
        });
  }

  /** The platform reads the body before the node gets the batch from it. */
  private void arriveAt(SimulatedProcess edge, String key, Consumer<Response> then) {
    edge.processor.json(bodyBytes);
    simulation.submissions.arrived(batch.id(), edge);
    ((EdgeNode) edge.node()).submitProxiedBatch(BatchSubmission.of(batch), key, then);
  }

  private void submissionAnswered(SimulatedProcess edge, Response response) {
    int status = response == null ? 0 : response.status();
    simulation.history.add(
        simulation.simulatedNowMs(),
        Kind.OPAQUE_ANSWERED,
        batch.id(),
        response == null ? "" : response.errorType(),
        "",
        status);
    boolean mayRetry = status == 0 || status == 401 || status == 429 || status >= 500;
    if (status == 201) {
      accepted = true;
      acceptedMs = simulation.simulatedNowMs();
      simulation.submissions.answered(batch.id(), edge);
      fleet.clientEventListener.accept("taken", clients.acceptedBatches());
      readOn();
    } else if (submissions < MAX_SUBMISSIONS && mayRetry) {
      double pauseMs =
          response == null ? RESUBMIT_PAUSE_MS : RETRY_PAUSE_MS + response.retryAfterMs();
      simulation.afterMs(pauseMs, this::submit);
    }
  }

  /** Reads on, sometimes from an earlier position, until all results were read. */
  private void readOn() {
    if (closing) {
      return;
    }
    long from = nextPosition();
    long holdMs = simulation.random.nextBoolean() ? HOLD_MS : 0;
    reader.readPage(from, holdMs, next -> pageRead());
  }

  private int nextPosition() {
    int resultCount = reader.resultCount();
    return resultCount == 0 || simulation.random.nextInt(4) > 0
        ? resultCount
        : simulation.random.nextInt(resultCount);
  }

  private void pageRead() {
    if (!endAsked && simulation.random.nextInt(6) == 0) {
      reader.readSomeBody();
    }
    if (owner != null && simulation.random.nextInt(3) == 0) {
      clients.stranger.call(this, clients.tenants());
    }
    if (!isComplete() && !(endAsked && simulation.random.nextInt(8) == 0)) {
      simulation.afterMs(READ_EVERY_MS, this::readOn);
    } else if (doneMs < 0 && isComplete()) {
      doneMs = simulation.simulatedNowMs();
    }
  }

  void end() {
    endAsked = true;
    simulation.history.add(
        simulation.simulatedNowMs(), Kind.OPAQUE_END_ASKED, batch.id(), "", "", 0);
    sendEnd();
  }

  private void sendEnd() {
    KeyedBatchCall call = newCall();
    fleet.waitFor(
        call.edge,
        READ_TIMEOUT_MS,
        (Consumer<Response> then) ->
            ((EdgeNode) call.edge.node()).endProxiedBatch(call.reference(), then),
        response -> {
          call.answered("END", response);
          endAnswered(response);
        });
  }

  private void endAnswered(Response response) {
    int status = response == null ? 0 : response.status();
    simulation.history.add(
        simulation.simulatedNowMs(), Kind.OPAQUE_END_ANSWERED, batch.id(), "", "", status);
    if (status == 200) {
      fleet.clientEventListener.accept("stopped", 1L);
    } else if (!closing) {
      simulation.afterMs(RETRY_PAUSE_MS, this::sendEnd);
    }
  }

  /** Stops reading on, and reads all that is retained once more from the start. */
  void close(long untilMs) {
    closing = true;
    long nowMs = simulation.simulatedNowMs();
    boolean retained = nowMs < sentMs + SimulatedPlatform.KEEP_BATCHES_MS - (untilMs - nowMs);
    if (!retained && isComplete()) {
      finalRead.skip();
    } else if (accepted) {
      finalRead.start(untilMs);
    }
  }
}
