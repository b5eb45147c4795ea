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
  private final long comeBackMs;

  /** Exactly one of body and encoded is set. */
  private JsonNode body;

  private byte[] encoded;

  public Response(int status, JsonNode body, long comeBackMs) {
    this(status, Objects.requireNonNull(body), null, comeBackMs);
  }

  private Response(int status, JsonNode body, byte[] encoded, long comeBackMs) {
    this.status = status;
    this.body = body;
    this.encoded = encoded;
    this.comeBackMs = comeBackMs;
  }

  public static Response of(int status, Object body) {
    return new Response(status, body instanceof JsonNode node ? node : JSON.valueToTree(body), 0);
  }

  public static Response of(ApiError fault) {
    return of(fault, fault.row().comeBackSeconds());
  }

  public static Response of(ApiError fault, int comeBackSeconds) {
    return comeBackInMs(fault, comeBackSeconds * 1_000L);
  }

  public static Response comeBackInMs(ApiError fault, long comeBackMs) {
    return new Response(fault.row().status(), fault.toJson(), comeBackMs);
  }

  /** A response whose body is JSON already; the bytes are not copied. */
  public static Response encoded(int status, byte[] body, long comeBackMs) {
    return new Response(status, null, Objects.requireNonNull(body), comeBackMs);
  }

  public int status() {
    return status;
  }

  public long comeBackMs() {
    return comeBackMs;
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
    return new Response(newStatus, body, encoded, comeBackMs);
  }

  /** The same response, but for when to come back. */
  public Response withComeBackMs(long newComeBackMs) {
    return new Response(status, body, encoded, newComeBackMs);
  }

  /** Whole seconds, rounded up. */
  public int comeBackSeconds() {
    return (int) ((comeBackMs + 999) / 1_000);
  }

  public boolean good() {
    return status < 300;
  }

  public String faultType() {
    return good() ? "" : body().path("type").asText();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Response that
        && status == that.status
        && comeBackMs == that.comeBackMs
        && body().equals(that.body());
  }

  @Override
  public int hashCode() {
    return Objects.hash(status, comeBackMs, body());
  }

  @Override
  public String toString() {
    return "Response[status=" + status + ", body=" + body() + ", comeBackMs=" + comeBackMs + "]";
  }
}
