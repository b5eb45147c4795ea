package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a sender gets: a status, a JSON body, and for a refusal when to come back (milliseconds; 0:
 * not said).
 */
public record Response(int status, JsonNode body, long comeBackMs) {
  public static Response of(int status, Object body) {
    return new Response(status, body instanceof JsonNode node ? node : JSON.valueToTree(body), 0);
  }

  public static Response of(Fault fault) {
    return of(fault, fault.row().comeBackSeconds());
  }

  public static Response of(Fault fault, int comeBackSeconds) {
    return comeBackInMs(fault, comeBackSeconds * 1_000L);
  }

  public static Response comeBackInMs(Fault fault, long comeBackMs) {
    return new Response(fault.row().status(), fault.toJson(), comeBackMs);
  }

  /** Whole seconds, rounded up. */
  public int comeBackSeconds() {
    return (int) ((comeBackMs + 999) / 1_000);
  }

  public boolean good() {
    return status < 300;
  }

  public String faultType() {
    return good() ? "" : body.path("type").asText();
  }
}
