package applespindle.corelogic.configuration;

import applespindle.corelogic.constants.BatchConstants;
import com.fasterxml.jackson.annotation.JsonInclude;
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

/**
 * The routing configuration that operators write, one revision of it. It consists of values only;
 * {@link ConfigurationValidator} reads and validates it.
 *
 * <p>Immutable. The JSON form is stored, signed and exchanged between nodes: a renamed component
 * keeps its name there. Components whose type is not primitive may be null unless a constraint
 * rules it out.
 *
 * @param number the revision; each one in force has a higher number than the last
 * @param pools the pools of workers, by name
 * @param rules the rules for live requests, in the order in which they are tried
 * @param limits bounds on queued live requests and on batch work
 * @param routes the routes of proxied requests; never null when read
 * @param clients bounds on what clients send; null: the defaults of the program
 * @param origin the document that the configuration was translated from, where the deployment has a
 *     {@link ConfigurationFormat} of its own; nodes don't interpret it
 * @param tenants the tenants whose API keys requests must carry, except on public routes; null:
 *     requests need no key
 */
public record RoutingConfiguration(
    @Min(1) long number,
    @NotEmpty Map<String, @Valid @NotNull Pool> pools,
    @NotNull List<@Valid @NotNull Rule> rules,
    @NotNull @Valid Limits limits,
    List<@Valid @NotNull Route> routes,
    @Valid ClientLimits clients,
    String origin,
    @JsonInclude(JsonInclude.Include.NON_NULL) List<@Valid @NotNull Tenant> tenants) {

  /** How the proxied requests of a route are run. */
  public enum RouteType {
    /** Idempotent: may be retried after any failure. */
    REPEATABLE,
    /** Must run at most once. */
    ONCE,
    /** The response is a stream of events. */
    STREAM,
    /** Requests are the items of batches. */
    BATCH
  }

  /**
   * Where the proxied requests of a host and path prefix are sent.
   *
   * @param timeoutMs time that a request may run, in milliseconds
   * @param targetMs the target time until the response, in milliseconds: of a stream until its
   *     first event, of a batch until it is accepted; 0: none
   * @param gapTargetMs the longest pause between the events of a stream, in milliseconds; 0: none
   * @param attempts the workers that one request is sent to at most; of batch items, the runs that
   *     may fail
   * @param rank the priority; 0 is served first
   * @param sticky whether requests with the same prompt prefix prefer the same worker even if the
   *     prefix is a single part
   * @param resumable whether an interrupted stream may be continued by another worker
   * @param split the pools that requests are distributed over
   * @param completionTargetMs of batches: the time until results are due, in milliseconds
   * @param retentionMs of batches: the time until results may be deleted, in milliseconds; 0: the
   *     default
   * @param maxQueuedTokens of batches: the limit of queued tokens over the fleet; 0: none
   * @param isPublic whether requests need no API key although there are tenants
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
      @JsonProperty("waitingTokensMost") @Min(0) long maxQueuedTokens,
      @JsonProperty("public") @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean isPublic) {
    /** A route that is not public. */
    public Route(
        String name,
        String host,
        String pathPrefix,
        RouteType type,
        long timeoutMs,
        long targetMs,
        long gapTargetMs,
        int attempts,
        int rank,
        boolean sticky,
        boolean resumable,
        List<PoolWeight> split,
        long completionTargetMs,
        long retentionMs,
        long maxQueuedTokens) {
      this(
          name,
          host,
          pathPrefix,
          type,
          timeoutMs,
          targetMs,
          gapTargetMs,
          attempts,
          rank,
          sticky,
          resumable,
          split,
          completionTargetMs,
          retentionMs,
          maxQueuedTokens,
          false);
    }

    /** Returns whether a share of the requests goes to the pool. */
    public boolean sendsTo(String pool) {
      return split.stream().anyMatch(share -> share.pool().equals(pool) && share.weight() > 0);
    }
  }

  /**
   * A customer of the deployment, who is recognized by API keys.
   *
   * @param name what workers and batches know it by
   * @param apiKeys the keys that its requests carry; secret, so no text form shows them
   * @param priority comes ahead of the route's priority; 0 is served first
   */
  public record Tenant(
      @NotBlank String name,
      @NotNull List<@NotBlank String> apiKeys,
      @Min(0) @Max(100) int priority) {
    /** The name and the priority, without the keys. */
    @Override
    public String toString() {
      return "Tenant[name=" + name + ", priority=" + priority + "]";
    }
  }

  /** The share of a route's requests that goes to a pool: its part of the sum of all weights. */
  public record PoolWeight(@NotBlank String pool, @Min(0) @Max(1_000_000) int weight) {}

  /**
   * Bounds on the size of a client's request, in bytes, and on the time it may take to send it, in
   * milliseconds; 0: the default of the program.
   */
  public record ClientLimits(
      @JsonProperty("headBytesMost") @Min(0) int maxHeadBytes,
      @JsonProperty("bodyBytesMost") @Min(0) int maxBodyBytes,
      @Min(0) long headTimeoutMs,
      @Min(0) long idleTimeoutMs) {}

  /** A configuration of rules only. */
  public RoutingConfiguration(
      long number, Map<String, Pool> pools, List<Rule> rules, Limits limits) {
    this(number, pools, rules, limits, null, null, null);
  }

  /** A configuration without tenants. */
  public RoutingConfiguration(
      long number,
      Map<String, Pool> pools,
      List<Rule> rules,
      Limits limits,
      List<Route> routes,
      ClientLimits clients,
      String origin) {
    this(number, pools, rules, limits, routes, clients, origin, null);
  }

  /** The routes of proxied requests; empty if there are none. */
  @Override
  public List<Route> routes() {
    return routes == null ? List.of() : routes;
  }

  /** The number alone: the origin holds the API keys of the tenants. */
  @Override
  public String toString() {
    return "RoutingConfiguration[number=" + number + "]";
  }

  /**
   * A set of workers; the list of workers names the pool of each. The last three components are
   * null where they are not known.
   *
   * @param prefixBlockChars length of the blocks of a prompt, in characters, whose prefix selects a
   *     worker
   * @param prefixBlocks the number of blocks in such a prefix at most
   * @param loadFactor how far the load of a worker may exceed the average before another is
   *     selected
   * @param slots requests that a worker runs at a time
   * @param maxConnections connections that a worker accepts from all edges together
   * @param maxCachedTokens a worker's memory for prompts, in tokens
   * @param autoscale how many workers may be ordered; null: the platform keeps the number
   */
  public record Pool(
      @Min(16) @Max(100_000) int prefixBlockChars,
      @Min(1) @Max(64) int prefixBlocks,
      @DecimalMin("1.0") @DecimalMax("10.0") double loadFactor,
      @Min(0) Integer slots,
      @JsonProperty("connectionsMost") @Min(0) Integer maxConnections,
      @JsonProperty("keptTokensMost") @Min(0) Long maxCachedTokens,
      @JsonInclude(JsonInclude.Include.NON_NULL) @Valid Autoscale autoscale) {
    /** A pool whose number of workers the platform keeps. */
    public Pool(
        int prefixBlockChars,
        int prefixBlocks,
        double loadFactor,
        Integer slots,
        Integer maxConnections,
        Long maxCachedTokens) {
      this(
          prefixBlockChars, prefixBlocks, loadFactor, slots, maxConnections, maxCachedTokens, null);
    }

    /** A pool whose workers' slots, connections and memory are not known. */
    public Pool(int prefixBlockChars, int prefixBlocks, double loadFactor) {
      this(prefixBlockChars, prefixBlocks, loadFactor, null, null, null);
    }
  }

  /**
   * Bounds on the number of workers that a pool has in each zone where it runs.
   *
   * @param minCount the least number of workers of the pool in one zone
   * @param maxCount the greatest number of workers of the pool in one zone
   * @param bootMs time until a worker that was ordered serves, in milliseconds
   */
  public record Autoscale(@Min(0) int minCount, @Min(1) int maxCount, @Min(0) long bootMs) {}

  /**
   * A rule for live requests; the action of the first one that matches applies.
   *
   * @param match null: matches each request
   * @param when a condition in CEL that must hold as well; null: none
   */
  public record Rule(
      @NotBlank String name,
      @Valid Match match,
      @Size(max = RuleCondition.MAX_LENGTH) String when,
      @JsonProperty("way") @NotNull @Valid RoutingAction action) {}

  /**
   * The properties that a request must have; a null matches any value.
   *
   * @param headers required values by header name, in any case
   */
  public record Match(
      String model,
      @JsonProperty("sender") String client,
      String trafficClass,
      Map<String, String> headers,
      @JsonProperty("promptCharsMost") @Min(0) Integer maxPromptChars,
      @JsonProperty("promptCharsLeast") @Min(0) Integer minPromptChars) {}

  /**
   * How matching requests are run.
   *
   * @param expiryMs time within which a request must start, in milliseconds
   * @param retries attempts after the first one
   */
  public record RoutingAction(
      @NotBlank String pool,
      @NotBlank String trafficClass,
      @Min(1) @Max(600_000) long expiryMs,
      @Min(0) @Max(10) int retries) {}

  /** Bounds on queued live requests, by traffic class, and on batch work. */
  public record Limits(
      @NotEmpty Map<String, @Valid @NotNull ClassLimit> classes,
      @NotNull @Valid BatchLimits batch) {}

  /** The priority of a traffic class, where lower ranks are served first, and its queue limit. */
  public record ClassLimit(
      @Min(0) @Max(100) int rank,
      @JsonProperty("queueMost") @Min(0) @Max(1_000_000) int maxQueuedRequests) {}

  /**
   * Bounds on batch work.
   *
   * @param pool the pool whose workers run batch items
   * @param liveReserve slots of each worker that batch items leave free
   * @param cancelForLive whether running items are cancelled when live requests need their slots
   * @param itemExpiryMs time that one item may run, in milliseconds
   * @param retentionMs how long a finished batch can be read, in milliseconds; null: the default
   */
  public record BatchLimits(
      @NotBlank String pool,
      @JsonProperty("waitingItemsMost") @Min(0) long maxQueuedItems,
      @JsonProperty("perWorkerMost") @Min(0) @Max(10_000) int maxItemsPerWorker,
      @Min(0) @Max(10_000) int liveReserve,
      boolean cancelForLive,
      @Min(1) @Max(3_600_000) long itemExpiryMs,
      @Min(1_000) Long retentionMs) {
    /** How long a finished batch can be read, in milliseconds. */
    public long effectiveRetentionMs() {
      return retentionMs == null ? BatchConstants.DEFAULT_RETENTION_MS : retentionMs;
    }
  }
}
