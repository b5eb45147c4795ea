package applespindle.testfleet.clients;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchInput;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** One batch as its client knows it. */
public final class BatchClient {
  private final SimulatedFleet fleet;
  private final Simulation simulation;
  final String key;
  final byte[] body;
  final int items;
  final long dueMs;
  public String batch = "";
  public long acceptedAtMs = -1;
  public long finishedAtMs = -1;
  public boolean endAsked;
  public boolean ended;
  int tries;
  long next;
  public boolean over;

  BatchClient(SimulatedFleet fleet, String key, int items, int tokens, long dueMs) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
    this.key = key;
    this.items = items;
    this.dueMs = dueMs;
    ObjectNode input = JSON.createObjectNode().put("due_in_ms", dueMs);
    var rows = input.putArray("items");
    for (int index = 0; index < items; index++) {
      String prompt = SimulatedFleet.SHARED + "Guest " + key + "/" + index;
      rows.addObject().put("id", "i" + index).put("prompt", prompt).put("max_tokens", tokens);
      simulation.history.add(
          simulation.simulatedNowMs(), Kind.ITEM, key, "i" + index, prompt, tokens);
    }
    body = Json.bytes(input);
  }

  void submit() {
    tries++;
    simulation.history.add(simulation.simulatedNowMs(), Kind.SUBMIT_SENT, key, "", "", items);
    SimulatedProcess edge = fleet.anyEdge();
    fleet.waitFor(
        edge,
        SimulatedFleet.CLIENT_TIMEOUT_MS,
        (Consumer<Response> then) ->
            ((EdgeNode) edge.node()).submit("sender", key, BatchInput.read(body).value(), then),
        this::submitted);
  }

  /** Handles a response; null if the connection broke or the client timed out. */
  private void submitted(Response response) {
    int status = response == null ? 0 : response.status();
    String id =
        status == 201 ? response.body().path("batch").asText() : BatchKeys.batchId("sender", key);
    simulation.history.add(
        simulation.simulatedNowMs(),
        Kind.SUBMIT_ANSWERED,
        key,
        response == null ? "" : response.errorType(),
        id,
        status);
    if (status == 201) {
      batch = id;
      acceptedAtMs = simulation.simulatedNowMs();
      fleet.batchAccepted();
      poll();
    } else if (tries < fleet.submitTries) {
      simulation.afterMs(
          response == null ? 500 : 1000.0 * Math.max(1, response.retryAfterSeconds()),
          this::submit);
    } else {
      over = true;
    }
  }

  void poll() {
    if (over) {
      return;
    }
    SimulatedProcess edge = fleet.anyEdge();
    long after = next;
    fleet.waitFor(
        edge,
        SimulatedFleet.CLIENT_TIMEOUT_MS,
        (Consumer<Response> then) -> ((EdgeNode) edge.node()).readResults(batch, after, 100, then),
        response -> polled(response));
  }

  private void polled(Response response) {
    long now = simulation.simulatedNowMs();
    if (response != null) {
      JsonNode page = response.body();
      String state = response.isSuccess() ? page.path("state").asText() : response.errorType();
      simulation.history.add(
          now, Kind.BATCH_READ, key, state, page.path("recorded").asText("0"), response.status());
      if (response.isSuccess()) {
        for (JsonNode row : page.path("results")) {
          simulation.history.add(
              now,
              Kind.RESULT_READ,
              key,
              row.path("id").asText() + "|" + row.path("type").asText(),
              row.path("output").asText(""),
              row.path("n").asLong());
        }
        next = page.path("next").asLong();
        if (state.equals("finished") && finishedAtMs < 0) {
          finishedAtMs = now;
        }
        if (state.equals("ended") || state.equals("finished") && next >= items) {
          over = true;
          // Reads once more from the start: nothing that was read may have changed.
          reread(0);
          return;
        }
      }
    }
    simulation.afterMs(SimulatedFleet.POLL_MS, this::poll);
  }

  private void reread(long after) {
    SimulatedProcess edge = fleet.anyEdge();
    fleet.waitFor(
        edge,
        SimulatedFleet.CLIENT_TIMEOUT_MS,
        (Consumer<Response> then) -> ((EdgeNode) edge.node()).readResults(batch, after, 100, then),
        response -> {
          if (response == null || !response.isSuccess()) {
            return;
          }
          for (JsonNode row : response.body().path("results")) {
            simulation.history.add(
                simulation.simulatedNowMs(),
                Kind.RESULT_READ,
                key,
                row.path("id").asText() + "|" + row.path("type").asText(),
                row.path("output").asText(""),
                row.path("n").asLong());
          }
        });
  }

  /** Asks for the end of the batch, and goes on asking until it is confirmed. */
  public void end() {
    endAsked = true;
    simulation.history.add(simulation.simulatedNowMs(), Kind.END_ASKED, key, "", "", 0);
    SimulatedProcess edge = fleet.anyEdge();
    fleet.waitFor(
        edge,
        SimulatedFleet.CLIENT_TIMEOUT_MS,
        (Consumer<Response> then) -> ((EdgeNode) edge.node()).endBatch(batch, then),
        response -> {
          int status = response == null ? 0 : response.status();
          simulation.history.add(
              simulation.simulatedNowMs(), Kind.END_ANSWERED, key, "", "", status);
          if (status == 200) {
            ended = true;
            fleet.batchEnded();
          } else if (!over) {
            simulation.afterMs(500, this::end);
          }
        });
  }
}
