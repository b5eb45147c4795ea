package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.log.DeflatedEvents;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * One event of a batch's log, stored as JSON. The kind comes first, so that {@link #kindOf} need
 * not read the rest. Of the other components only those of the event's kind are set, the rest are
 * null; {@link BatchState} says what each event changes.
 *
 * <p>The names in the JSON are part of the stored format and stay when a component is renamed.
 *
 * @param ageMs age of the batch at the event, in milliseconds
 * @param order range numbers in the order of their assignment
 * @param rangeItems number of items in each range but the last
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
@JsonIgnoreProperties(ignoreUnknown = true)
@JsonPropertyOrder({"kind"})
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

  /** The batch is removed; entries before this one may be deleted from the disks. */
  public static final String REMOVED = "removed";

  /**
   * The acceptance of a batch.
   *
   * @param digest of the contents, by which a repeated submission is compared
   * @param dueInMs milliseconds from the acceptance
   * @param expiresInMs milliseconds from the acceptance
   * @param items complete, or with frames only their ids and tokens
   * @param proxiedRoute null for a batch of prompts
   * @param frames where the contents of the items are stored behind this header; null if the items
   *     are complete
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Accepted(
      String sender,
      String digest,
      long dueInMs,
      long expiresInMs,
      List<JsonNode> items,
      @JsonProperty("opaque") ProxiedRoute proxiedRoute,
      List<Frame> frames) {
    /** An acceptance whose items are complete. */
    public Accepted(
        String sender,
        String digest,
        long dueInMs,
        long expiresInMs,
        List<JsonNode> items,
        ProxiedRoute proxiedRoute) {
      this(sender, digest, dueInMs, expiresInMs, items, proxiedRoute, null);
    }

    /** The same with other items and frames. */
    Accepted withItems(List<JsonNode> replaced, List<Frame> replacedFrames) {
      return new Accepted(
          sender, digest, dueInMs, expiresInMs, replaced, proxiedRoute, replacedFrames);
    }
  }

  /**
   * One frame of a large event: the contents of so many consecutive items or results.
   *
   * @param parts how many items or results
   * @param bytes the stored size
   */
  record Frame(int parts, int bytes) {}

  /**
   * The route of a proxied batch as it stood in the configuration of that number at the acceptance.
   *
   * @param attempts how many runs of an item may fail
   * @param maxWaitingTokens the most that all batches of the route and the tenant may have waiting;
   *     0: no limit
   * @param tenant the name of the tenant that owns the batch; null if none does, as in batches of
   *     earlier versions
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ProxiedRoute(
      String host,
      String path,
      String route,
      @JsonProperty("bundleNumber") long configurationNumber,
      int attempts,
      @JsonProperty("ceiling") long maxWaitingTokens,
      String tenant) {
    /** The route of a batch that no tenant owns. */
    public ProxiedRoute(
        String host,
        String path,
        String route,
        long configurationNumber,
        int attempts,
        long maxWaitingTokens) {
      this(host, path, route, configurationNumber, attempts, maxWaitingTokens, null);
    }

    /** The group of batches that share the limit on waiting tokens. */
    public String capacityGroup() {
      return BatchCapacityGroup.of(route, tenant);
    }
  }

  /** The assignment of a range to a dispatcher (a node id) for one of its workers. */
  record Assigned(
      int range, long rangeEpoch, @JsonProperty("feeder") String dispatcher, String worker) {}

  /**
   * Results and failed attempts of one report; range -1 stands for none, at the expiry.
   *
   * @param frames where the outputs are stored behind this header; null if the results have them
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Recorded(
      int range,
      long rangeEpoch,
      List<Result> results,
      List<Attempt> attempts,
      List<Frame> frames) {
    /** Results that have their outputs. */
    public Recorded(int range, long rangeEpoch, List<Result> results, List<Attempt> attempts) {
      this(range, rangeEpoch, results, attempts, null);
    }

    /** The same with other results and frames. */
    Recorded withResults(List<Result> replaced, List<Frame> replacedFrames) {
      return new Recorded(range, rangeEpoch, replaced, attempts, replacedFrames);
    }
  }

  /** The end of an assignment whose range is not done: returned, or its lease ended. */
  record Returned(int range, long rangeEpoch) {}

  /**
   * The one result of an item.
   *
   * @param index of the item in the batch
   * @param errorType name of the error type of a failed item; null if the output is complete
   * @param output null for a failed item, and where a frame holds it
   * @param outputBytes the size in UTF-8 of an output that a frame holds; else null
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Result(
      int index,
      String run,
      String worker,
      String finishReason,
      @JsonProperty("fault") String errorType,
      String output,
      Integer outputBytes) {
    /** A result that has its output, if there is one. */
    public Result(
        int index,
        String run,
        String worker,
        String finishReason,
        String errorType,
        String output) {
      this(index, run, worker, finishReason, errorType, output, null);
    }

    /** The same with its output elsewhere or back again. */
    Result withOutput(String replaced, Integer bytes) {
      return new Result(index, run, worker, finishReason, errorType, replaced, bytes);
    }
  }

  /** A failed run of an item that may be tried again; errorType is the name of an error type. */
  record Attempt(int index, String run, @JsonProperty("fault") String errorType) {}

  static BatchEvent accepted(Accepted accepted) {
    return new BatchEvent(ACCEPTED, 0L, accepted, null, null, null, null, null);
  }

  static BatchEvent ordered(List<Integer> order, int rangeItems) {
    return new BatchEvent(ORDERED, 0L, null, order, rangeItems, null, null, null);
  }

  static BatchEvent assigned(long ageMs, Assigned assigned) {
    return new BatchEvent(ASSIGNED, ageMs, null, null, null, assigned, null, null);
  }

  /** Results and failed attempts that were recorded; {@code ageMs} is the batch's age. */
  public static BatchEvent recorded(long ageMs, Recorded recorded) {
    return new BatchEvent(RECORDED, ageMs, null, null, null, null, recorded, null);
  }

  static BatchEvent returned(long ageMs, Returned returned) {
    return new BatchEvent(RETURNED, ageMs, null, null, null, null, null, returned);
  }

  /** An event that has no contents but its kind. */
  static BatchEvent plain(String kind, long ageMs) {
    return new BatchEvent(kind, ageMs, null, null, null, null, null, null);
  }

  /** The same acceptance in another form. */
  BatchEvent withAccepted(Accepted replaced) {
    return new BatchEvent(kind, ageMs, replaced, order, rangeItems, assigned, recorded, returned);
  }

  /** The same results in another form. */
  BatchEvent withRecorded(Recorded replaced) {
    return new BatchEvent(kind, ageMs, accepted, order, rangeItems, assigned, replaced, returned);
  }

  /** The kind of an encoded event; empty if the event does not start with it. */
  public static String kindOf(byte[] event) {
    try (JsonParser parser = JSON.createParser(DeflatedEvents.open(event))) {
      boolean kindFirst =
          parser.nextToken() == JsonToken.START_OBJECT && "kind".equals(parser.nextFieldName());
      return kindFirst ? parser.nextTextValue() : "";
    } catch (IOException error) {
      throw new UncheckedIOException("an event of a batch cannot be read", error);
    }
  }
}
