package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.log.DeflatedEvents;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * One event of a batch's log. The kind comes first, so that a reader can tell it without the rest.
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
@JsonIgnoreProperties(ignoreUnknown = true)
@com.fasterxml.jackson.annotation.JsonPropertyOrder({"kind"})
public record BatchEvent(
    String kind,
    Long ageMs,
    Accepted accepted,
    List<Integer> order,
    Integer rangeItems,
    Assigned assigned,
    Recorded recorded,
    Returned returned) {
  public static final String ACCEPTED = "accepted";
  static final String ORDERED = "ordered";
  static final String ASSIGNED = "assigned";
  static final String RECORDED = "recorded";
  static final String RETURNED = "returned";
  public static final String ENDED = "ended";
  public static final String FINISHED = "finished";
  public static final String REFUSED = "refused";

  /** Whole by itself: all that stood before it may go from the disks. */
  public static final String REMOVED = "removed";

  /** opaque is null for a batch of prompts. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Accepted(
      String sender,
      String digest,
      long dueInMs,
      long expiresInMs,
      List<JsonNode> items,
      ProxiedRoute opaque) {}

  /**
   * Where the items of an opaque batch go, with what the route of the bundle of that number said at
   * the acceptance.
   */
  public record ProxiedRoute(
      String host, String path, String route, long bundleNumber, int attempts, long ceiling) {}

  record Assigned(int range, long rangeEpoch, String feeder, String worker) {}

  /** Results and failed attempts of one range that were recorded together. */
  public record Recorded(
      int range, long rangeEpoch, List<Result> results, List<Attempt> attempts) {}

  /** The end of an assignment without its range being done. */
  record Returned(int range, long rangeEpoch) {}

  /** One item's lasting result; an empty fault means that output is whole. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Result(
      int index, String run, String worker, String finishReason, String fault, String output) {}

  /**
   * A run of an item that failed in a way that another run may mend; fault is the name of a fault
   * type.
   */
  record Attempt(int index, String run, String fault) {}

  static BatchEvent accepted(Accepted accepted) {
    return new BatchEvent(ACCEPTED, 0L, accepted, null, null, null, null, null);
  }

  static BatchEvent ordered(List<Integer> order, int rangeItems) {
    return new BatchEvent(ORDERED, 0L, null, order, rangeItems, null, null, null);
  }

  static BatchEvent assigned(long ageMs, Assigned assigned) {
    return new BatchEvent(ASSIGNED, ageMs, null, null, null, assigned, null, null);
  }

  public static BatchEvent recorded(long ageMs, Recorded recorded) {
    return new BatchEvent(RECORDED, ageMs, null, null, null, null, recorded, null);
  }

  static BatchEvent returned(long ageMs, Returned returned) {
    return new BatchEvent(RETURNED, ageMs, null, null, null, null, null, returned);
  }

  static BatchEvent plain(String kind, long ageMs) {
    return new BatchEvent(kind, ageMs, null, null, null, null, null, null);
  }

  public static String kindOf(byte[] event) {
    try (JsonParser parser = JSON.createParser(DeflatedEvents.open(event))) {
      boolean kindFirst =
          parser.nextToken() == JsonToken.START_OBJECT && "kind".equals(parser.nextFieldName());
      return kindFirst ? parser.nextTextValue() : "";
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }
}
