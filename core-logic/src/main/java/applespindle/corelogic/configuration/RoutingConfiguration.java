package applespindle.corelogic.configuration;

import applespindle.corelogic.constants.BatchConstants;
import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Valid;
import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;
import java.util.List;
import java.util.Map;

/** The operators' routing configuration, as signed off under one number. */
public record RoutingConfiguration(
    @Min(1) long number,
    @NotEmpty Map<String, @Valid @NotNull Pool> pools,
    @NotNull List<@Valid @NotNull Rule> rules,
    @NotNull @Valid Limits limits,
    List<@Valid @NotNull Route> routes,
    @Valid ClientLimits clients,
    String origin) {

  /**
   * How opaque requests of a route may be run: again after any failure; at most once; as an event
   * stream; as batch items.
   */
  public enum RouteType {
    REPEATABLE,
    ONCE,
    STREAM,
    BATCH
  }

  /**
   * Where opaque requests of a host and path prefix go. targetMs: the time a response (a stream's
   * first event; a batch's yes) is in time; gapTargetMs: the longest pause between events;
   * attempts: the most workers one try goes to (for batch items: runs that may fail); rank: 0 is
   * served first. For batches: completionTargetMs until results are due, retentionMs until items
   * may be given up, maxQueuedTokens over the fleet (0: no limit).
   */
  public record Route(
      @NotBlank String name,
      @NotBlank String host,
      @NotBlank @Pattern(regexp = "/.*") String pathPrefix,
      @NotNull RouteType type,
      @Min(1) long timeoutMs,
      @Min(0) long targetMs,
      @Min(0) long gapTargetMs,
      @Min(0) @Max(100) int attempts,
      @Min(0) @Max(100) int rank,
      boolean sticky,
      boolean resumable,
      @NotEmpty List<@Valid @NotNull PoolWeight> split,
      @Min(0) long completionTargetMs,
      @Min(0) long retentionMs,
      @JsonProperty("waitingTokensMost") @Min(0) long maxQueuedTokens) {
    public boolean sendsTo(String pool) {
      return split.stream().anyMatch(share -> share.pool().equals(pool) && share.weight() > 0);
    }
  }

  /** A pool's part of a route's requests. */
  public record PoolWeight(@NotBlank String pool, @Min(0) @Max(1_000_000) int weight) {}

  /** What a client may send and how long it may take; 0 means the program's own limit. */
  public record ClientLimits(
      @JsonProperty("headBytesMost") @Min(0) int maxHeadBytes,
      @JsonProperty("bodyBytesMost") @Min(0) int maxBodyBytes,
      @Min(0) long headTimeoutMs,
      @Min(0) long idleTimeoutMs) {}

  /** A bundle of rules alone. */
  public RoutingConfiguration(
      long number, Map<String, Pool> pools, List<Rule> rules, Limits limits) {
    this(number, pools, rules, limits, null, null, null);
  }

  public List<Route> routes() {
    return routes == null ? List.of() : routes;
  }

  /**
   * A named set of workers; each worker names its pool when it is listed. Where known: slots, how
   * many requests a worker works on at once; maxConnections, from all callers together;
   * cacheTokensPerWorker, its memory for prompts.
   */
  public record Pool(
      @Min(16) @Max(100_000) int prefixBlockChars,
      @Min(1) @Max(64) int prefixBlocks,
      @DecimalMin("1.0") @DecimalMax("10.0") double loadFactor,
      @Min(0) Integer slots,
      @JsonProperty("connectionsMost") @Min(0) Integer maxConnections,
      @JsonProperty("keptTokensMost") @Min(0) Long maxCachedTokens) {
    public Pool(int prefixBlockChars, int prefixBlocks, double loadFactor) {
      this(prefixBlockChars, prefixBlocks, loadFactor, null, null, null);
    }
  }

  /** The first rule that matches a live request decides its way. */
  public record Rule(
      @NotBlank String name,
      @Valid Match match,
      @Size(max = RuleCondition.LENGTH_MOST) String when,
      @JsonProperty("way") @NotNull @Valid RoutingAction action) {}

  /** Every field given must fit; a rule without a match and without a when fits all. */
  public record Match(
      String model,
      @JsonProperty("sender") String client,
      String trafficClass,
      Map<String, String> headers,
      @JsonProperty("promptCharsMost") @Min(0) Integer maxPromptChars,
      @JsonProperty("promptCharsLeast") @Min(0) Integer minPromptChars) {}

  /** Where matching requests go: pool, traffic class, deadline and retries. */
  public record RoutingAction(
      @NotBlank String pool,
      @NotBlank String trafficClass,
      @Min(1) @Max(600_000) long expiryMs,
      @Min(0) @Max(10) int retries) {}

  /** Bounds on queued live requests by class, and on batch work. */
  public record Limits(
      @NotEmpty Map<String, @Valid @NotNull ClassLimit> classes,
      @NotNull @Valid BatchLimits batch) {}

  /** Classes with a lower rank are served first. */
  public record ClassLimit(
      @Min(0) @Max(100) int rank,
      @JsonProperty("queueMost") @Min(0) @Max(1_000_000) int maxQueuedRequests) {}

  /** Bounds on batch work; retentionMs is how long a finished batch stays readable. */
  public record BatchLimits(
      @NotBlank String pool,
      @JsonProperty("waitingItemsMost") @Min(0) long maxQueuedItems,
      @JsonProperty("perWorkerMost") @Min(0) @Max(10_000) int maxItemsPerWorker,
      @Min(0) @Max(10_000) int liveReserve,
      boolean cancelForLive,
      @Min(1) @Max(3_600_000) long itemExpiryMs,
      @Min(1_000) Long retentionMs) {
    public long effectiveRetentionMs() {
      return retentionMs == null ? BatchConstants.DEFAULT_RETENTION_MS : retentionMs;
    }
  }
}
