package applespindle.testfleet.clients;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.ItemBody;
import applespindle.corelogic.batch.ProxiedBatch;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.LongConsumer;

/** Reads the results and the item bodies of one proxied batch and keeps track of what was read. */
final class ProxiedBatchReader {
  /** Given instead of the next position if a read failed. */
  static final long FAILED = -1;

  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final ProxiedBatch batch;
  private final ProxiedBatchClient client;
  private final Set<Long> positions = new HashSet<>();
  private final Set<String> listedItems = new HashSet<>();

  ProxiedBatchReader(SimulatedFleet fleet, ProxiedBatchClient client) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
    this.client = client;
    this.batch = client.batch;
  }

  int resultCount() {
    return positions.size();
  }

  Set<String> listedItems() {
    return listedItems;
  }

  /** The items without a result so far, in the order of the batch. */
  List<String> unlistedItems() {
    return batch.items().stream()
        .map(ProxiedBatch.Item::id)
        .filter(id -> !listedItems.contains(id))
        .toList();
  }

  /** Reads a page of results at any node; gives the next position or FAILED. */
  void readPage(long from, long holdMs, LongConsumer then) {
    KeyedBatchCall call = client.newCall();
    SimulatedProcess edge = call.edge;
    long begunMs = simulation.simulatedNowMs();
    fleet.waitFor(
        edge,
        ProxiedBatchClient.READ_TIMEOUT_MS + holdMs,
        (Consumer<Response> answer) ->
            ((EdgeNode) edge.node()).readProxiedResults(call.reference(), from, holdMs, answer),
        response -> {
          call.answered("READ", response);
          if (response == null) {
            then.accept(FAILED);
            return;
          }
          JsonNode page = response.body();
          if (response.isSuccess()) {
            recordResults(page, from);
          }
          long next = page.path("next").asLong();
          simulation.history.add(
              simulation.simulatedNowMs(),
              Kind.OPAQUE_READ,
              batch.id(),
              edge.name,
              from + " " + next + " " + page.path("total").asLong() + " " + begunMs,
              response.status());
          then.accept(response.isSuccess() ? next : FAILED);
        });
  }

  private void recordResults(JsonNode page, long from) {
    long position = from;
    for (JsonNode row : page.path("results")) {
      String itemId = row.path("id").asText();
      positions.add(position);
      listedItems.add(itemId);
      simulation.history.add(
          simulation.simulatedNowMs(),
          Kind.OPAQUE_RESULT,
          batch.id(),
          itemId + " " + row.path("state").asText(),
          row.path("output").asText(""),
          position);
      position++;
    }
  }

  /** Reads the body of the first item without a result. */
  void readSomeBody() {
    unlistedItems().stream()
        .findFirst()
        .ifPresent(
            itemId ->
                readBody(
                    itemId,
                    status -> {
                      // The history has it.
                    }));
  }

  /** Reads the body of an item at any node; gives the status, 0 for no response. */
  void readBody(String itemId, IntConsumer then) {
    KeyedBatchCall call = client.newCall();
    SimulatedProcess edge = call.edge;
    fleet.waitFor(
        edge,
        ProxiedBatchClient.READ_TIMEOUT_MS,
        (Consumer<Response> answer) ->
            ((EdgeNode) edge.node()).readProxiedItem(call.reference(), itemId, answer),
        response -> {
          call.answered("READ_ITEM", response);
          int status = response == null ? 0 : response.status();
          if (status == 200) {
            recordBody(itemId, response);
          }
          then.accept(status);
        });
  }

  private void recordBody(String itemId, Response response) {
    byte[] body = ItemBody.of(response).copy();
    simulation.history.add(
        simulation.simulatedNowMs(),
        Kind.OPAQUE_BODY,
        batch.id(),
        itemId,
        new String(body, UTF_8),
        response.status());
  }
}
