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
import java.io.IOException;
import java.time.Duration;
import java.util.Map;

/** One HTTP call at a time, waited for; for command lines and tests. */
public final class HttpCaller {
  /** comeBackSeconds: what Retry-After said, 0 if nothing. */
  public record Result(int status, JsonNode body, String text, int comeBackSeconds) {
    Result(int status, JsonNode body, String text) {
      this(status, body, text, 0);
    }

    /**
     * Nothing was done, or the same call again is safe and asks for the outcome; and a later try
     * may do better.
     */
    public boolean worthAnotherTry() {
      return status == 429 || status == 503 || status == 504;
    }

    public boolean good() {
      return status >= 200 && status < 300;
    }
  }

  private static final int MAX_BODY_BYTES = 64 << 20;
  private final Duration timeout;

  public HttpCaller(Duration timeout) {
    this.timeout = timeout;
  }

  /** Status 0 means that no response came. */
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
    Result[] result = {new Result(0, JSON.nullNode(), "")};
    client
        .request(request.build())
        .then(
            response ->
                response
                    .loadBody(MAX_BODY_BYTES)
                    .whenResult(
                        bytes -> {
                          String text = bytes.getString(UTF_8);
                          JsonNode tree;
                          try {
                            tree = text.isEmpty() ? JSON.nullNode() : JSON.readTree(text);
                          } catch (IOException notJson) {
                            tree = JSON.nullNode();
                          }
                          String comeBack = response.getHeader(HttpHeaders.RETRY_AFTER);
                          result[0] =
                              new Result(
                                  response.getCode(),
                                  tree,
                                  text,
                                  comeBack != null && comeBack.matches("[0-9]{1,6}")
                                      ? Integer.parseInt(comeBack)
                                      : 0);
                        }))
        .whenException(
            fault ->
                result[0] = new Result(0, JSON.nullNode(), String.valueOf(fault.getMessage())));
    eventloop.run();
    return result[0];
  }

  public Result get(String address, String path) {
    return call(HttpMethod.GET, address, path, null, Map.of());
  }

  public Result post(String address, String path, byte[] body, Map<String, String> headers) {
    return call(HttpMethod.POST, address, path, body, headers);
  }

  public Result put(String address, String path, byte[] body) {
    return call(HttpMethod.PUT, address, path, body, Map.of("Content-Type", "application/json"));
  }
}
