package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.constants.BatchConstants;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

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
   * Results of a batch of prompts in the order of their recording: at least one if there is one at
   * that position, and then as many as the limits permit.
   *
   * @param after how many results to skip
   * @param limit the most results in the page
   * @param callback gets the page, or null if the outputs can't be read
   */
  void promptResultsPage(long after, int limit, Consumer<ObjectNode> callback) {
    List<RecordedResult> results = resultsFrom(after, limit);
    readOutputs(
        results,
        outputs -> {
          ObjectNode page = summary();
          ArrayNode rows = page.putArray("results");
          int number = (int) Math.min(after, log.state.results.size());
          for (RecordedResult result : results) {
            addPromptResult(rows, ++number, result, outputs.get(result));
          }
          callback.accept(page.put("next", number));
        },
        () -> callback.accept(null));
  }

  private void addPromptResult(ArrayNode rows, int number, RecordedResult result, String output) {
    boolean succeeded = result.errorType() == null;
    ObjectNode row =
        rows.addObject()
            .put("n", number)
            .put("id", log.state.itemId(result.index()))
            .put("type", succeeded ? "succeeded" : "failed");
    if (succeeded) {
      row.put("output", output).put("finish_reason", result.finishReason());
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
   * @param callback gets the page, or null if the outputs can't be read
   */
  void proxiedResultsPage(long from, Consumer<ObjectNode> callback) {
    List<RecordedResult> results = resultsFrom(from, Integer.MAX_VALUE);
    readOutputs(
        results,
        outputs -> {
          ObjectNode page = JSON.createObjectNode().put("total", log.state.items());
          ArrayNode rows = page.putArray("results");
          for (RecordedResult result : results) {
            rows.addObject()
                .put("id", log.state.itemId(result.index()))
                .put("state", result.errorType() == null ? "complete" : "expired")
                .put("output", outputs.get(result));
          }
          int start = (int) Math.min(from, Integer.MAX_VALUE);
          callback.accept(page.put("next", start + results.size()));
        },
        () -> callback.accept(null));
  }

  private List<RecordedResult> resultsFrom(long from, int limit) {
    List<RecordedResult> results = new ArrayList<>();
    long bytes = 0;
    for (long number = from; number < log.state.results.size(); number++) {
      RecordedResult result = log.state.results.get((int) number);
      bytes += result.outputBytes() + RESULT_ROW_OVERHEAD_BYTES;
      boolean full = results.size() >= limit || bytes > BatchConstants.MAX_RESULTS_PAGE_BYTES;
      if (full && !results.isEmpty()) {
        break;
      }
      results.add(result);
    }
    return results;
  }

  /** Reads the outputs of results; of one without an output it is empty. */
  private void readOutputs(
      List<RecordedResult> results,
      Consumer<Map<RecordedResult, String>> callback,
      Runnable unavailable) {
    List<RecordedResult> withOutput = results.stream().filter(RecordedResult::hasOutput).toList();
    log.contents.readOutputs(
        withOutput.stream().map(RecordedResult::part).toList(),
        read -> {
          if (read == null) {
            unavailable.run();
            return;
          }
          Map<RecordedResult, String> outputs = new IdentityHashMap<>();
          results.forEach(result -> outputs.put(result, ""));
          for (int index = 0; index < read.size(); index++) {
            outputs.put(withOutput.get(index), read.get(index));
          }
          callback.accept(outputs);
        });
  }

  /**
   * The request body of an item, in base64.
   *
   * @param item its index
   * @param callback gets the response body, or null if the item can't be read
   */
  void proxiedItem(int item, Consumer<ObjectNode> callback) {
    log.contents.readItems(
        List.of(log.state.itemPart(item)),
        items ->
            callback.accept(
                items == null
                    ? null
                    : JSON.createObjectNode().set("body", items.get(0).path("body"))));
  }

  /** The same as bytes; null if the item can't be read. */
  void rawProxiedItem(int item, Consumer<byte[]> callback) {
    log.contents.readItems(
        List.of(log.state.itemPart(item)),
        items ->
            callback.accept(items == null ? null : ItemBody.binary(items.get(0).path("body"))));
  }
}
