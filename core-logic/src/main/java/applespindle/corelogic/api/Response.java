package applespindle.corelogic.api;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.common.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * A response to a client or to another node: HTTP status, JSON body and, for a rejection, the delay
 * after which to retry. A body that came from another node stays encoded until it is first
 * accessed, so that a node that only forwards it neither decodes nor encodes it.
 *
 * <p>Not safe for use by several threads: {@link #body()} decodes on first use and returns a tree
 * that may be modified.
 */
public final class Response {
  private final int status;
  private final long retryAfterMs;

  /** Exactly one of body and encoded is set. */
  private JsonNode body;

  private byte[] encoded;

  /**
   * A response with a body.
   *
   * @param retryAfterMs the delay before a retry, in milliseconds; 0: none stated
   */
  public Response(int status, JsonNode body, long retryAfterMs) {
    this(status, Objects.requireNonNull(body), null, retryAfterMs);
  }

  private Response(int status, JsonNode body, byte[] encoded, long retryAfterMs) {
    this.status = status;
    this.body = body;
    this.encoded = encoded;
    this.retryAfterMs = retryAfterMs;
  }

  /** A response with a value that is converted to a JSON body. */
  public static Response of(int status, Object body) {
    return new Response(status, body instanceof JsonNode node ? node : JSON.valueToTree(body), 0);
  }

  /** The response for an error, with the retry delay of its type. */
  public static Response of(ApiError error) {
    return of(error, error.description().retryAfterSeconds());
  }

  /** The response for an error, with a retry delay in seconds. */
  public static Response of(ApiError error, int retryAfterSeconds) {
    return ofRetryAfterMs(error, retryAfterSeconds * 1_000L);
  }

  /** The response for an error, with a retry delay in milliseconds. */
  public static Response ofRetryAfterMs(ApiError error, long retryAfterMs) {
    return new Response(error.description().status(), error.toJson(), retryAfterMs);
  }

  /** A response whose body is encoded JSON; the bytes are not copied and not checked. */
  public static Response encoded(int status, byte[] body, long retryAfterMs) {
    return new Response(status, null, Objects.requireNonNull(body), retryAfterMs);
  }

  /** The HTTP status. */
  public int status() {
    return status;
  }

  /** The delay before a retry, in milliseconds; 0: none stated. */
  public long retryAfterMs() {
    return retryAfterMs;
  }

  /**
   * The body as a tree, which is decoded at the first call. Changes of the tree change the
   * response.
   *
   * @throws java.io.UncheckedIOException if an encoded body is malformed
   */
  public JsonNode body() {
    if (body == null) {
      body = Json.tree(encoded);
      // The caller may modify the tree, which the encoded bytes would not reflect.
      encoded = null;
    }
    return body;
  }

  /** The encoded body; the original bytes if it was not accessed as a tree. */
  public byte[] encodedBody() {
    return encoded != null ? encoded : Json.bytes(body);
  }

  /** The same body under another status. */
  public Response withStatus(int newStatus) {
    return new Response(newStatus, body, encoded, retryAfterMs);
  }

  /** The same response with another retry delay. */
  public Response withRetryAfterMs(long newRetryAfterMs) {
    return new Response(status, body, encoded, newRetryAfterMs);
  }

  /** The delay before a retry in whole seconds, rounded up. */
  public int retryAfterSeconds() {
    return (int) ((retryAfterMs + 999) / 1_000);
  }

  /** Whether the request succeeded: a status below 300. */
  public boolean isSuccess() {
    return status < 300;
  }

  /** The wire name of the error; empty for a success, or if the body states none. */
  public String errorType() {
    return isSuccess() ? "" : body().path("type").asText();
  }

  /** Whether this is the response of an error of the type. */
  public boolean failedWith(Class<? extends ApiError> errorClass) {
    return errorType().equals(ApiErrorTable.descriptionOf(errorClass).type());
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Response that
        && status == that.status
        && retryAfterMs == that.retryAfterMs
        && body().equals(that.body());
  }

  @Override
  public int hashCode() {
    return Objects.hash(status, retryAfterMs, body());
  }

  @Override
  public String toString() {
    return "Response[status="
        + status
        + ", body="
        + body()
        + ", retryAfterMs="
        + retryAfterMs
        + "]";
  }
}
