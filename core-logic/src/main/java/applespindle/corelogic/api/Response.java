package applespindle.corelogic.api;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.common.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * What a sender gets: a status, a JSON body, and for a refusal when to come back (milliseconds; 0:
 * not said). A body that came from another node stays encoded until somebody looks into it, so that
 * whoever only passes it on neither decodes nor encodes it.
 */
public final class Response {
  private final int status;
  private final long retryAfterMs;

  /** Exactly one of body and encoded is set. */
  private JsonNode body;

  private byte[] encoded;

  public Response(int status, JsonNode body, long retryAfterMs) {
    this(status, Objects.requireNonNull(body), null, retryAfterMs);
  }

  private Response(int status, JsonNode body, byte[] encoded, long retryAfterMs) {
    this.status = status;
    this.body = body;
    this.encoded = encoded;
    this.retryAfterMs = retryAfterMs;
  }

  public static Response of(int status, Object body) {
    return new Response(status, body instanceof JsonNode node ? node : JSON.valueToTree(body), 0);
  }

  public static Response of(ApiError error) {
    return of(error, error.description().retryAfterSeconds());
  }

  public static Response of(ApiError error, int retryAfterSeconds) {
    return ofRetryAfterMs(error, retryAfterSeconds * 1_000L);
  }

  public static Response ofRetryAfterMs(ApiError error, long retryAfterMs) {
    return new Response(error.description().status(), error.toJson(), retryAfterMs);
  }

  /** A response whose body is JSON already; the bytes are not copied. */
  public static Response encoded(int status, byte[] body, long retryAfterMs) {
    return new Response(status, null, Objects.requireNonNull(body), retryAfterMs);
  }

  public int status() {
    return status;
  }

  public long retryAfterMs() {
    return retryAfterMs;
  }

  /** The body to look into; decoded at the first call. */
  public JsonNode body() {
    if (body == null) {
      body = Json.tree(encoded);
      // The tree may be changed by whoever looks into it, which the bytes would not show.
      encoded = null;
    }
    return body;
  }

  /** The body as JSON; as it came if nobody has looked into it. */
  public byte[] encodedBody() {
    return encoded != null ? encoded : Json.bytes(body);
  }

  /** The same body under another status. */
  public Response withStatus(int newStatus) {
    return new Response(newStatus, body, encoded, retryAfterMs);
  }

  /** The same response, but for when to come back. */
  public Response withRetryAfterMs(long newComeBackMs) {
    return new Response(status, body, encoded, newComeBackMs);
  }

  /** Whole seconds, rounded up. */
  public int retryAfterSeconds() {
    return (int) ((retryAfterMs + 999) / 1_000);
  }

  public boolean isSuccess() {
    return status < 300;
  }

  public String errorType() {
    return isSuccess() ? "" : body().path("type").asText();
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
    return "Response[status=" + status + ", body=" + body() + ", comeBackMs=" + retryAfterMs + "]";
  }
}
