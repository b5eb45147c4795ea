package applespindle.corelogic.configuration;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.ConstraintChecker;
import applespindle.corelogic.api.InputReader;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.BatchConstants;
import applespindle.corelogic.constants.SizeLimits;
import com.fasterxml.jackson.databind.JsonNode;
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
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.Signature;
import java.security.spec.X509EncodedKeySpec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

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
   * may be given up, waitingTokensMost over the fleet (0: no limit).
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
      @Min(0) long waitingTokensMost) {
    public boolean sendsTo(String pool) {
      return split.stream().anyMatch(share -> share.pool().equals(pool) && share.weight() > 0);
    }
  }

  /** A pool's part of a route's requests. */
  public record PoolWeight(@NotBlank String pool, @Min(0) @Max(1_000_000) int weight) {}

  /** What a client may send and how long it may take; 0 means the program's own limit. */
  public record ClientLimits(
      @Min(0) int headBytesMost,
      @Min(0) int bodyBytesMost,
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
   * many requests a worker works on at once; connectionsMost, from all callers together;
   * cacheTokensPerWorker, its memory for prompts.
   */
  public record Pool(
      @Min(16) @Max(100_000) int prefixBlockChars,
      @Min(1) @Max(64) int prefixBlocks,
      @DecimalMin("1.0") @DecimalMax("10.0") double loadFactor,
      @Min(0) Integer slots,
      @Min(0) Integer connectionsMost,
      @Min(0) Long keptTokensMost) {
    public Pool(int prefixBlockChars, int prefixBlocks, double loadFactor) {
      this(prefixBlockChars, prefixBlocks, loadFactor, null, null, null);
    }
  }

  /** The first rule that matches a live request decides its way. */
  public record Rule(
      @NotBlank String name,
      @Valid Match match,
      @Size(max = RuleCondition.LENGTH_MOST) String when,
      @NotNull @Valid RoutingAction way) {}

  /** Every field given must fit; a rule without a match and without a when fits all. */
  public record Match(
      String model,
      String sender,
      String trafficClass,
      Map<String, String> headers,
      @Min(0) Integer promptCharsMost,
      @Min(0) Integer promptCharsLeast) {}

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
  public record ClassLimit(@Min(0) @Max(100) int rank, @Min(0) @Max(1_000_000) int queueMost) {}

  /** Bounds on batch work; retentionMs is how long a finished batch stays readable. */
  public record BatchLimits(
      @NotBlank String pool,
      @Min(0) long waitingItemsMost,
      @Min(0) @Max(10_000) int perWorkerMost,
      @Min(0) @Max(10_000) int liveReserve,
      boolean cancelForLive,
      @Min(1) @Max(3_600_000) long itemExpiryMs,
      @Min(1_000) Long retentionMs) {
    public long effectiveRetentionMs() {
      return retentionMs == null ? BatchConstants.DEFAULT_RETENTION_MS : retentionMs;
    }
  }

  private static final ApiError.Field LEADS_NOWHERE =
      new ApiError.Field("$.rules", "must not be empty where there are no routes");

  /** What the checks in order came to: a bundle, or the one fault that ended them. */
  public record ValidationResult(RoutingConfiguration configuration, ApiError error) {}

  public static ValidationResult validate(
      byte[] bytes, String signerKeyId, byte[] signature, Map<String, String> operatorKeys) {
    if (bytes.length > SizeLimits.MAX_BODY_BYTES) {
      return new ValidationResult(null, new ApiError.InputTooLarge(SizeLimits.MAX_BODY_BYTES));
    }
    String operatorKey = operatorKeys.get(signerKeyId);
    if (operatorKey == null) {
      return new ValidationResult(null, new ApiError.SignatureRejected("unknown signer key id"));
    }
    if (!signatureFits(bytes, signature, operatorKey)) {
      return new ValidationResult(
          null, new ApiError.SignatureRejected("the signature does not fit the bytes"));
    }
    return validate(bytes);
  }

  /** The checks without the signature: JSON, field rules, then what only the whole shows. */
  public static ValidationResult validate(byte[] bytes) {
    RoutingConfiguration written = writtenByThisProgram(bytes);
    if (written != null && ConstraintChecker.passes(written)) {
      return whole(new InputReader.Input<>(written, List.of()));
    }
    InputReader.Input<RoutingConfiguration> input =
        InputReader.read(bytes, RoutingConfiguration.class);
    if (input.good() || !leadsNowhere(bytes)) {
      return whole(input);
    }
    List<ApiError.Field> faults = new ArrayList<>(input.faults());
    faults.add(LEADS_NOWHERE);
    return new ValidationResult(null, new ApiError.InvalidConfiguration(faults));
  }

  /**
   * An empty list of rules and no routes; told beside the faults of single fields, so that all are
   * named at once.
   */
  private static boolean leadsNowhere(byte[] bytes) {
    try {
      JsonNode tree = Json.JSON.readTree(bytes);
      return tree.path("rules").isArray()
          && tree.path("rules").isEmpty()
          && tree.path("routes").isEmpty();
    } catch (IOException unreadable) {
      return false;
    }
  }

  /**
   * Of a bundle that the owner of its key has checked and committed: what another version of this
   * program may not know. Every edge does this with each new bundle on a part of a processor, so
   * one that can be read whole is compared with nothing field by field.
   */
  public static ValidationResult readCommitted(byte[] bytes) {
    RoutingConfiguration configuration = readWhole(bytes);
    return configuration == null
        ? whole(InputReader.readKept(bytes, RoutingConfiguration.class))
        : whole(new InputReader.Input<>(configuration, List.of()));
  }

  /**
   * The bundle if the bytes are exactly what this program writes for it, as a door of its own does:
   * then no field is missing, unknown or of another type. Else null.
   */
  private static RoutingConfiguration writtenByThisProgram(byte[] bytes) {
    RoutingConfiguration configuration = readWhole(bytes);
    return configuration != null && Arrays.equals(Json.bytes(configuration), bytes)
        ? configuration
        : null;
  }

  /** Null unless all that stands there is understood and all that a bundle must have is there. */
  private static RoutingConfiguration readWhole(byte[] bytes) {
    try {
      RoutingConfiguration configuration = Json.JSON.readValue(bytes, RoutingConfiguration.class);
      return configuration.pools == null
              || configuration.rules == null
              || configuration.limits == null
          ? null
          : configuration;
    } catch (IOException notUnderstood) {
      return null;
    }
  }

  private static ValidationResult whole(InputReader.Input<RoutingConfiguration> input) {
    List<ApiError.Field> faults = input.good() ? input.value().crossFieldErrors() : input.faults();
    return faults.isEmpty()
        ? new ValidationResult(input.value(), null)
        : new ValidationResult(null, new ApiError.InvalidConfiguration(faults));
  }

  private static boolean signatureFits(byte[] bytes, byte[] signature, String operatorKey) {
    try {
      var publicKey =
          KeyFactory.getInstance("Ed25519")
              .generatePublic(new X509EncodedKeySpec(Base64.getDecoder().decode(operatorKey)));
      Signature verifier = Signature.getInstance("Ed25519");
      verifier.initVerify(publicKey);
      verifier.update(bytes);
      return verifier.verify(signature);
    } catch (GeneralSecurityException | IllegalArgumentException fault) {
      return false;
    }
  }

  private List<ApiError.Field> crossFieldErrors() {
    List<ApiError.Field> faults = new ArrayList<>();
    if (rules.isEmpty() && routes().isEmpty()) {
      faults.add(LEADS_NOWHERE);
    }
    Set<String> places = new HashSet<>();
    for (int index = 0; index < routes().size(); index++) {
      Route route = routes().get(index);
      String path = "$.routes[" + index + "]";
      if (!places.add(route.host().toLowerCase(Locale.ROOT) + " " + route.pathPrefix())) {
        faults.add(
            new ApiError.Field(
                path + ".pathPrefix", "is the host and prefix of an earlier route too"));
      }
      if (route.split().stream().mapToLong(PoolWeight::weight).sum() == 0) {
        faults.add(new ApiError.Field(path + ".split", "has no weight"));
      }
      for (PoolWeight share : route.split()) {
        if (!pools.containsKey(share.pool())) {
          faults.add(
              new ApiError.Field(path + ".split", "names no pool of this bundle: " + share.pool()));
        }
      }
    }
    for (int index = 0; index < rules.size(); index++) {
      RoutingAction way = rules.get(index).way();
      if (rules.get(index).when() != null) {
        String path = "$.rules[" + index + "].when";
        RuleCondition.faults(rules.get(index).when())
            .forEach(fault -> faults.add(new ApiError.Field(path, fault)));
      }
      if (!pools.containsKey(way.pool())) {
        faults.add(
            new ApiError.Field("$.rules[" + index + "].way.pool", "names no pool of this bundle"));
      }
      if (!limits.classes().containsKey(way.trafficClass())) {
        faults.add(
            new ApiError.Field(
                "$.rules[" + index + "].way.trafficClass", "names no class of this bundle"));
      }
    }
    if (!pools.containsKey(limits.batch().pool())) {
      faults.add(new ApiError.Field("$.limits.batch.pool", "names no pool of this bundle"));
    }
    return faults;
  }
}
