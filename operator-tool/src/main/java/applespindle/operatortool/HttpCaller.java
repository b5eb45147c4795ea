package applespindle.operatortool;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.adapters.NoNameLookups;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/** A blocking HTTP client for one call at a time, for command lines and tests. */
public final class HttpCaller {
  /**
   * The outcome of a call.
   *
   * @param status the HTTP status, 0 if no response came
   * @param body the body as JSON; a null node if it is empty or not JSON
   * @param text the body as text, or the fault's message if no response came
   * @param retryAfterSeconds the value of Retry-After in seconds, 0 if there was none
   */
  public record Result(int status, JsonNode body, String text, int retryAfterSeconds) {
    static Result noResponse(String reason) {
      return new Result(0, JSON.nullNode(), reason, 0);
    }

    /**
     * Whether a later attempt may succeed: nothing was done, or the same call again is safe and
     * asks for the outcome.
     */
    public boolean isRetryable() {
      return status == 429 || status == 503 || status == 504;
    }

    /** Whether the call succeeded. */
    public boolean good() {
      return status >= 200 && status < 300;
    }
  }

  private static final int MAX_BODY_BYTES = 64 << 20;
  private final Duration timeout;

  /**
   * A caller without a connection yet; each call makes its own.
   *
   * @param timeout the limit for connecting, and for each read or write
   */
  public HttpCaller(Duration timeout) {
    this.timeout = timeout;
  }

  /**
   * Sends one request and waits for the response.
   *
   * @param address an IP address and a port
   * @param path the path, with a query if there is one
   * @param body null for a request without a body
   * @param headers further headers by name
   * @return the outcome; never null, also if no response came
   */
  public Result call(
      HttpMethod method, String address, String path, byte[] body, Map<String, String> headers) {
    Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    HttpClient client =
        HttpClient.builder(eventloop, new NoNameLookups())
            .withNoKeepAlive()
            .withConnectTimeout(timeout)
            .withReadWriteTimeout(timeout)
            .build();
    HttpRequest.Builder request = HttpRequest.builder(method, "http://" + address + path);
    headers.forEach((name, value) -> request.withHeader(HttpHeaders.of(name), value));
    if (body != null) {
      request.withBody(body);
    }
    AtomicReference<Result> result = new AtomicReference<>(Result.noResponse(""));
    client
        .request(request.build())
        .then(
            response ->
                response
                    .loadBody(MAX_BODY_BYTES)
                    .whenResult(bytes -> result.set(resultOf(response, bytes.getString(UTF_8)))))
        .whenException(fault -> result.set(Result.noResponse(String.valueOf(fault.getMessage()))));
    eventloop.run();
    return result.get();
  }

  private static Result resultOf(HttpResponse response, String text) {
    String retryAfter = response.getHeader(HttpHeaders.RETRY_AFTER);
    boolean isSeconds = retryAfter != null && retryAfter.matches("[0-9]{1,6}");
    int retryAfterSeconds = isSeconds ? Integer.parseInt(retryAfter) : 0;
    return new Result(response.getCode(), parse(text), text, retryAfterSeconds);
  }

  private static JsonNode parse(String text) {
    try {
      return text.isEmpty() ? JSON.nullNode() : JSON.readTree(text);
    } catch (IOException notJson) {
      return JSON.nullNode();
    }
  }

  /** A GET without further headers. */
  public Result get(String address, String path) {
    return call(HttpMethod.GET, address, path, null, Map.of());
  }

  /** A POST with further headers. */
  public Result post(String address, String path, byte[] body, Map<String, String> headers) {
    return call(HttpMethod.POST, address, path, body, headers);
  }

  /** A PUT of a JSON body. */
  public Result put(String address, String path, byte[] body) {
    return call(HttpMethod.PUT, address, path, body, Map.of("Content-Type", "application/json"));
  }
}
