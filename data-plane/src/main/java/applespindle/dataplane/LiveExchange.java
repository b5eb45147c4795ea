package applespindle.dataplane;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.adapters.HttpInterface;
import applespindle.adapters.NodeProcess;
import applespindle.adapters.QueuedBytes;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.live.LiveRequest;
import applespindle.corelogic.live.LiveResponseListener;
import applespindle.corelogic.live.RequestHandle;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/**
 * One live request between the HTTP thread, where its client is, and the logic thread, where it is
 * dispatched.
 */
final class LiveExchange implements LiveResponseListener {
  private static final int MAX_QUEUED_CHUNKS = 10_000;

  private final NodeProcess process;
  private final EdgeNode edge;
  private final LiveRequest request;
  private final QueuedBytes queuedResponses;
  private final SettablePromise<HttpResponse> response = new SettablePromise<>();

  /** On the HTTP thread only. */
  private ChunkStream events;

  private boolean whitespaceScheduled;
  private boolean over;

  /** On the logic thread only. */
  private RequestHandle handle;

  LiveExchange(
      NodeProcess process, EdgeNode edge, LiveRequest request, QueuedBytes queuedResponses) {
    this.process = process;
    this.edge = edge;
    this.request = request;
    this.queuedResponses = queuedResponses;
  }

  Promise<HttpResponse> begin() {
    boolean taken = process.toLogic(() -> handle = edge.complete(request, this));
    if (!taken) {
      return HttpInterface.refuse(new ApiError.Overloaded("logic"));
    }
    return response;
  }

  private void onHttp(Runnable task) {
    process.toHttp(task);
  }

  private void clientGone() {
    over = true;
    process.toLogic(() -> handle.cancel());
  }

  private ChunkStream newStream() {
    return new ChunkStream(this::clientGone, MAX_QUEUED_CHUNKS, Integer.MAX_VALUE, queuedResponses);
  }

  private ChunkStream events() {
    if (events == null) {
      events = newStream();
      response.trySet(EdgeHttpInterface.streamed(events));
    }
    return events;
  }

  private static byte[] event(ObjectNode data) {
    return ("data: " + new String(Json.bytes(data), UTF_8) + "\n\n").getBytes(UTF_8);
  }

  private static byte[] completionChunk(String text, String finishReason) {
    ObjectNode data = JSON.createObjectNode().put("object", "text_completion");
    data.putArray("choices")
        .addObject()
        .put("index", 0)
        .put("text", text)
        .put("finish_reason", finishReason);
    return event(data);
  }

  @Override
  public void text(String text) {
    onHttp(() -> events().push(completionChunk(text, null)));
  }

  @Override
  public void running() {
    onHttp(
        () -> {
          if (!whitespaceScheduled) {
            whitespaceScheduled = true;
            scheduleWhitespace();
          }
        });
  }

  /**
   * White space before a JSON text means nothing; writing it shows whether the client is still
   * there.
   */
  private void scheduleWhitespace() {
    process
        .httpLoop()
        .delay(
            LiveRequestConstants.WHITESPACE_KEEPALIVE_MS,
            () -> {
              if (over) {
                return;
              }
              if (events == null) {
                events = newStream();
                response.trySet(EdgeHttpInterface.completionWithKeepalive(events));
              }
              events.push(new byte[] {' '});
              scheduleWhitespace();
            });
  }

  @Override
  public void end(String output, String finishReason) {
    onHttp(
        () -> {
          over = true;
          if (!request.stream() && events != null) {
            events.push(Json.bytes(EdgeHttpInterface.completionBody(output, finishReason)));
            events.end();
          } else if (request.stream()) {
            events().push(completionChunk("", finishReason));
            events().push("data: [DONE]\n\n".getBytes(UTF_8));
            events().end();
          } else {
            response.trySet(EdgeHttpInterface.completion(output, finishReason));
          }
        });
  }

  @Override
  public void fail(Response fault, boolean truncated) {
    onHttp(
        () -> {
          over = true;
          if (events == null) {
            response.trySet(HttpInterface.render(fault));
          } else if (!request.stream()) {
            events.truncate();
          } else {
            ObjectNode data = JSON.createObjectNode();
            data.set("error", fault.body());
            events.push(event(data));
            events.truncate();
          }
        });
  }
}
