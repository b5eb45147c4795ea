package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.batch.BatchEvent.Result;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.BatchConstants;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * The JSON bodies of the responses to reads of a batch. The names of the fields and their order are
 * part of the interface to clients and data-plane nodes.
 */
final class BatchResponses {
  /** Allowance, in a page of results, for all of a row but its output. */
  private static final int RESULT_ROW_OVERHEAD_BYTES = 200;

  private final BatchLog log;

  BatchResponses(BatchLog log) {
    this.log = log;
  }

  /** The state of the batch and the numbers of its items. */
  ObjectNode summary() {
    ObjectNode summary = JSON.createObjectNode();
    BatchState state = log.state;
    long failed = state.results.stream().filter(result -> result.errorType() != null).count();
    return summary
        .put("batch", log.batch)
        .put("state", state.state())
        .put("items", state.items())
        .put("recorded", state.results.size())
        .put("failed", failed)
        .put("ageMs", log.ageMs());
  }

  /**
   * Results of a batch of prompts in the order of their recording.
   *
   * @param after how many results to skip
   * @param limit the most results in the page
   */
  ObjectNode promptResultsPage(long after, int limit) {
    ObjectNode page = summary();
    ArrayNode rows = page.putArray("results");
    int recorded = log.state.results.size();
    int last = (int) Math.min(recorded, after + limit);
    for (int number = (int) Math.min(after, last); number < last; number++) {
      addPromptResult(rows, number);
    }
    return page.put("next", Math.max(last, Math.min(after, recorded)));
  }

  private void addPromptResult(ArrayNode rows, int number) {
    Result result = log.state.results.get(number);
    boolean succeeded = result.errorType() == null;
    ObjectNode row =
        rows.addObject()
            .put("n", number + 1)
            .put("id", itemId(result))
            .put("type", succeeded ? "succeeded" : "failed");
    if (succeeded) {
      row.put("output", result.output()).put("finish_reason", result.finishReason());
    } else {
      row.put("fault", result.errorType());
    }
    row.put("run", result.run()).put("worker", result.worker());
  }

  /**
   * Results of a proxied batch in the order of their recording: at least one if there is one at
   * that position, and then as many as fit into {@link BatchConstants#MAX_RESULTS_PAGE_BYTES}.
   *
   * @param from the position of the first result
   */
  ObjectNode proxiedResultsPage(long from) {
    ObjectNode page = JSON.createObjectNode().put("total", log.state.items());
    ArrayNode rows = page.putArray("results");
    int number = (int) Math.min(from, Integer.MAX_VALUE);
    long bytes = 0;
    while (number < log.state.results.size() && bytes < BatchConstants.MAX_RESULTS_PAGE_BYTES) {
      Result result = log.state.results.get(number);
      String output = result.output() == null ? "" : result.output();
      bytes += Json.bytes(output).length + RESULT_ROW_OVERHEAD_BYTES;
      if (!rows.isEmpty() && bytes > BatchConstants.MAX_RESULTS_PAGE_BYTES) {
        break;
      }
      rows.addObject()
          .put("id", itemId(result))
          .put("state", result.errorType() == null ? "complete" : "expired")
          .put("output", output);
      number++;
    }
    return page.put("next", number);
  }

  /** The request body of the item of that id, if the batch, which must be accepted, has it. */
  Optional<JsonNode> proxiedItem(String itemId) {
    return log.state.accepted.items().stream()
        .filter(item -> item.path("id").asText().equals(itemId))
        .findFirst()
        .map(item -> JSON.createObjectNode().set("body", item.path("body")));
  }

  private String itemId(Result result) {
    return log.state.accepted.items().get(result.index()).path("id").asText();
  }
}
