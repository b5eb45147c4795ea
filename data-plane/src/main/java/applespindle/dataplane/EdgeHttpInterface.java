package applespindle.dataplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.adapters.HttpInterface;
import applespindle.adapters.HttpInterface.Call;
import applespindle.adapters.NodeProcess;
import applespindle.adapters.QueuedBytes;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.InputReader;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchInput;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.SizeLimits;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.live.LiveRequest;
import applespindle.corelogic.memory.MemoryHolder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import java.util.List;

/**
 * The HTTP interface of an edge for clients of live requests and of batches. On the HTTP thread.
 */
final class EdgeHttpInterface {
  /**
   * A live request's body; further fields of the published format pass through to the worker as
   * they are.
   */
  record Completion(
      @NotNull String prompt,
      String model,
      @Min(1) @Max(SizeLimits.MAX_TOKENS) Integer max_tokens,
      Boolean stream,
      Double temperature,
      Double top_p,
      JsonNode stop,
      Long seed,
      String user) {}

  private static final int MAX_KEY_LENGTH = 200;

  private final NodeProcess process;
  private final EdgeNode edge;

  /** What clients have not read yet of the responses to them. */
  private final QueuedBytes queuedResponses;

  EdgeHttpInterface(NodeProcess process, EdgeNode edge) {
    this.process = process;
    this.edge = edge;
    this.queuedResponses = new QueuedBytes(process.memory().open(MemoryHolder.RESPONSES));
  }

  void addTo(HttpInterface http) {
    http.post("/v1/completions", this::complete);
    http.post("/v1/batches", call -> submit(http, call));
    http.get(
        "/v1/batches/{id}", call -> http.ask(then -> edge.readBatch(call.parts().get("id"), then)));
    http.get("/v1/batches/{id}/results", call -> results(http, call));
    http.post(
        "/v1/batches/{id}/end",
        call -> http.ask(then -> edge.endBatch(call.parts().get("id"), then)));
  }

  private static String sender(Call call) {
    String sender = call.header("Applespindle-Sender");
    return sender.isEmpty() ? "anonymous" : sender;
  }

  // ---- batches

  private Promise<HttpResponse> submit(HttpInterface http, Call call) {
    String key = call.header("Idempotency-Key");
    if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
      return HttpInterface.refuse(
          new ApiError.InvalidInput(
              List.of(
                  new ApiError.Field(
                      "header Idempotency-Key",
                      "must have 1 to " + MAX_KEY_LENGTH + " characters"))));
    }
    InputReader.Input<BatchInput> input = BatchInput.read(call.body());
    if (!input.isValid()) {
      return HttpInterface.refuse(new ApiError.InvalidInput(input.errors()));
    }
    return http.ask(then -> edge.submit(sender(call), key, input.value(), then));
  }

  private Promise<HttpResponse> results(HttpInterface http, Call call) {
    Long after = number(call.query("after"), 0, 0, Long.MAX_VALUE);
    Long limit =
        number(
            call.query("limit"),
            BatchConstants.DEFAULT_RESULTS_PAGE,
            1,
            BatchConstants.MAX_RESULTS_PAGE);
    if (after == null || limit == null) {
      return HttpInterface.refuse(
          new ApiError.InvalidInput(
              List.of(
                  after == null
                      ? new ApiError.Field("query after", "must be a whole number from 0")
                      : new ApiError.Field(
                          "query limit",
                          "must be a whole number from 1 to " + BatchConstants.MAX_RESULTS_PAGE))));
    }
    return http.ask(
        then -> edge.readResults(call.parts().get("id"), after, limit.intValue(), then));
  }

  private static Long number(String text, long missing, long least, long most) {
    if (text.isEmpty()) {
      return missing;
    }
    if (!text.matches("[0-9]{1,18}")) {
      return null;
    }
    long number = Long.parseLong(text);
    return number < least || number > most ? null : number;
  }

  // ---- live requests

  private Promise<HttpResponse> complete(Call call) {
    InputReader.Input<Completion> input = InputReader.read(call.body(), Completion.class);
    if (!input.isValid()) {
      return HttpInterface.refuse(new ApiError.InvalidInput(input.errors()));
    }
    Completion completion = input.value();
    boolean streams = Boolean.TRUE.equals(completion.stream());
    ObjectNode body = JSON.createObjectNode();
    JSON.valueToTree(completion)
        .fields()
        .forEachRemaining(
            field -> {
              if (!field.getValue().isNull()) {
                body.set(field.getKey(), field.getValue());
              }
            });
    body.put("stream", true);
    var request =
        new LiveRequest(
            sender(call),
            completion.model(),
            call.header("Applespindle-Class"),
            HttpInterface.headers(call.request()),
            completion.prompt(),
            body,
            streams,
            call.header("Applespindle-Once"));
    LiveExchange exchange = new LiveExchange(process, edge, request, queuedResponses);
    return exchange.begin();
  }

  static ObjectNode completionBody(String output, String finishReason) {
    ObjectNode body = JSON.createObjectNode().put("object", "text_completion");
    body.putArray("choices")
        .addObject()
        .put("index", 0)
        .put("text", output)
        .put("finish_reason", finishReason);
    return body;
  }

  static HttpResponse completion(String output, String finishReason) {
    return HttpInterface.render(Response.of(200, completionBody(output, finishReason)));
  }

  static HttpResponse completionWithKeepalive(ChunkStream events) {
    return HttpResponse.ok200()
        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .withBodyStream(events)
        .build();
  }

  static HttpResponse streamed(ChunkStream events) {
    return HttpResponse.ok200()
        .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
        .withBodyStream(events)
        .build();
  }
}
