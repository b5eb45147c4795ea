package applespindle.adapters;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.constants.LiveRequestConstants;
import applespindle.corelogic.constants.MembershipConstants;
import applespindle.corelogic.constants.WorkerConstants;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.async.exception.AsyncCloseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.dns.IDnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Runs live requests at workers over HTTP, by the published format of streaming completions, and
 * reads the workers' load. On the HTTP thread.
 */
final class WorkerClient {
  private static final Duration CONNECT_TIMEOUT =
      Duration.ofMillis(MembershipConstants.QUORUM_PEER_TIMEOUT_MS);
  private static final int MAX_LINE_BYTES = 1 << 20;

  private final Eventloop eventloop;
  private final HttpClient runs;
  private final HttpClient loads;

  WorkerClient(Eventloop eventloop) {
    this.eventloop = eventloop;
    IDnsClient numbersOnly = new NoNameLookups();
    runs =
        HttpClient.builder(eventloop, numbersOnly)
            .withNoKeepAlive()
            .withConnectTimeout(CONNECT_TIMEOUT)
            .build();
    loads =
        HttpClient.builder(eventloop, numbersOnly)
            .withNoKeepAlive()
            .withConnectTimeout(CONNECT_TIMEOUT)
            .withReadWriteTimeout(Duration.ofMillis(WorkerConstants.LOAD_STALE_AFTER_MS))
            .build();
  }

  void readLoad(String address, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
    loads
        .request(HttpRequest.get("http://" + address + "/load").build())
        .then(
            response ->
                response
                    .loadBody(MAX_LINE_BYTES)
                    .map(
                        body -> {
                          JsonNode load = JSON.readTree(body.asString(UTF_8));
                          int capacity = load.path("capacity").asInt(-1);
                          int running = load.path("running").asInt(-1);
                          int queued = load.path("queued").asInt(0);
                          if (response.getCode() != 200
                              || capacity < 0
                              || running < 0
                              || queued < 0) {
                            throw new IOException("no load");
                          }
                          return new WorkerLoad(
                              running, queued, capacity, load.path("leaving").asBoolean(false));
                        }))
        .whenComplete(
            (load, fault) -> {
              if (fault == null) {
                whenRead.accept(load);
              } else {
                whenFaulty.accept(new ApiError.WorkerUnreachable(address));
              }
            });
  }

  Run run(WorkerCall call, WorkerCallListener listener) {
    Run run = new Run(call, listener);
    run.start();
    return run;
  }

  /** One run on one connection, which is closed after it, complete or truncated. */
  final class Run {
    private final WorkerCall call;
    private final WorkerCallListener listener;
    private final long startedAt = eventloop.currentTimeMillis();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long lastContactAt = startedAt;
    private ChannelSupplier<ByteBuf> body;
    private String finishReason;
    private boolean over;

    Run(WorkerCall call, WorkerCallListener listener) {
      this.call = call;
      this.listener = listener;
    }

    void start() {
      watch();
      HttpRequest request =
          HttpRequest.post("http://" + call.workerAddress() + "/v1/completions")
              .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
              .withBody(call.body())
              .build();
      runs.request(request)
          .whenComplete(
              (response, fault) -> {
                if (over) {
                  if (response != null && response.getCode() == 200) {
                    response.takeBodyStream().closeEx(new AsyncCloseException());
                  }
                } else if (fault != null) {
                  boolean unconnected =
                      hasCause(fault, ConnectException.class)
                          || hasCause(fault, "AsyncTimeoutException");
                  fail(
                      unconnected
                          ? new ApiError.WorkerUnreachable(call.workerAddress())
                          : new ApiError.WorkerStreamTruncated(call.workerAddress()),
                      !unconnected);
                } else if (response.getCode() != 200) {
                  boolean refused =
                      response.getCode() == 429
                          || response.getCode() == 503
                          || response.getCode() == 400;
                  fail(new ApiError.WorkerRejected(response.getCode()), !refused);
                } else {
                  body = response.takeBodyStream();
                  readOn();
                }
              });
    }

    private static boolean hasCause(Throwable fault, Class<?> type) {
      return fault != null && (type.isInstance(fault) || hasCause(fault.getCause(), type));
    }

    private static boolean hasCause(Throwable fault, String simpleName) {
      return fault != null
          && (fault.getClass().getSimpleName().equals(simpleName)
              || hasCause(fault.getCause(), simpleName));
    }

    private void watch() {
      eventloop.delayBackground(
          WorkerConstants.LOAD_POLL_INTERVAL_MS,
          () -> {
            long now = eventloop.currentTimeMillis();
            if (over) {
              return;
            }
            if (now - lastContactAt > LiveRequestConstants.STREAM_SILENCE_TIMEOUT_MS
                || now - startedAt > call.expiryMs()) {
              fail(new ApiError.WorkerTimeout(call.workerAddress()), true);
            } else {
              watch();
            }
          });
    }

    private void readOn() {
      body.get()
          .whenComplete(
              (chunk, fault) -> {
                if (over) {
                  if (chunk != null) {
                    chunk.recycle();
                  }
                  return;
                }
                if (fault != null || chunk == null) {
                  fail(new ApiError.WorkerStreamTruncated(call.workerAddress()), true);
                  return;
                }
                lastContactAt = eventloop.currentTimeMillis();
                byte[] bytes = chunk.asArray();
                for (byte each : bytes) {
                  if (each == '\n') {
                    takeLine(line.toString(UTF_8));
                    line.reset();
                  } else {
                    line.write(each);
                  }
                  if (over) {
                    return;
                  }
                  if (line.size() > MAX_LINE_BYTES) {
                    fail(new ApiError.MalformedWorkerResponse(call.workerAddress()), true);
                    return;
                  }
                }
                readOn();
              });
    }

    private void takeLine(String raw) {
      String text = raw.strip();
      if (text.isEmpty() || text.startsWith(":")) {
        return;
      }
      if (!text.startsWith("data:")) {
        fail(new ApiError.MalformedWorkerResponse(call.workerAddress()), true);
        return;
      }
      String data = text.substring(5).strip();
      if (data.equals("[DONE]")) {
        if (finishReason == null) {
          fail(new ApiError.MalformedWorkerResponse(call.workerAddress()), true);
        } else {
          close();
          listener.end(finishReason);
        }
        return;
      }
      try {
        JsonNode choice = JSON.readTree(data).path("choices").path(0);
        if (!choice.path("text").isTextual() || finishReason != null) {
          fail(new ApiError.MalformedWorkerResponse(call.workerAddress()), true);
          return;
        }
        String generated = choice.path("text").asText();
        if (!generated.isEmpty()) {
          listener.text(generated);
        }
        if (choice.path("finish_reason").isTextual()) {
          finishReason = choice.path("finish_reason").asText();
        }
      } catch (IOException garbage) {
        fail(new ApiError.MalformedWorkerResponse(call.workerAddress()), true);
      }
    }

    private void fail(ApiError error, boolean mayHaveRun) {
      if (!over) {
        close();
        listener.fail(error, mayHaveRun);
      }
    }

    void cancel() {
      close();
    }

    private void close() {
      if (!over) {
        over = true;
        if (body != null) {
          body.closeEx(new AsyncCloseException());
        }
      }
    }
  }
}
