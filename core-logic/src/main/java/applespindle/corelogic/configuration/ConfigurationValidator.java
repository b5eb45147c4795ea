package applespindle.corelogic.configuration;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.ConstraintChecker;
import applespindle.corelogic.api.InputReader;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.SizeLimits;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Reads a {@link RoutingConfiguration} from JSON and validates it: size, signature, form, the
 * constraints of each field and what only several fields together show. An invalid configuration is
 * an expected result and never an exception.
 *
 * <p>A configuration may have hundreds of routes and nodes may have a tenth of a processor. Bytes
 * that are exactly what this program would write therefore skip the comparison field by field and
 * the Bean Validation provider, whose first use alone takes 0.7 s of processor time; see {@link
 * ConstraintChecker}.
 *
 * <p>Stateless, safe for use by any thread.
 */
public final class ConfigurationValidator {
  /**
   * Either a valid configuration, or the error of the first check that failed; the other is null.
   */
  public record ValidationResult(RoutingConfiguration configuration, ApiError error) {}

  private ConfigurationValidator() {}

  /**
   * Validates a configuration that an operator signed.
   *
   * @param bytes the JSON exactly as it was signed
   * @param signerKeyId the name of the key in {@code operatorKeys}
   * @param operatorKeys the operators' Ed25519 public keys by id, each X.509 encoded in Base64
   */
  public static ValidationResult validate(
      byte[] bytes, String signerKeyId, byte[] signature, Map<String, String> operatorKeys) {
    if (bytes.length > SizeLimits.MAX_BODY_BYTES) {
      return invalid(new ApiError.InputTooLarge(SizeLimits.MAX_BODY_BYTES));
    }
    String operatorKey = operatorKeys.get(signerKeyId);
    if (operatorKey == null) {
      return invalid(new ApiError.SignatureRejected("unknown signer key id"));
    }
    if (!SignatureVerifier.verifies(bytes, signature, operatorKey)) {
      return invalid(new ApiError.SignatureRejected("the signature does not fit the bytes"));
    }
    return validate(bytes);
  }

  /** Validates a configuration without a signature; all invalid fields are reported together. */
  public static ValidationResult validate(byte[] bytes) {
    RoutingConfiguration canonical = parseCanonical(bytes);
    if (canonical != null && ConstraintChecker.passes(canonical)) {
      return checkCrossFields(canonical);
    }
    InputReader.Input<RoutingConfiguration> input =
        InputReader.read(bytes, RoutingConfiguration.class);
    if (input.isValid()) {
      return checkCrossFields(input.value());
    }
    List<ApiError.Field> errors = new ArrayList<>(input.errors());
    if (hasNeitherRulesNorRoutes(bytes)) {
      errors.add(CrossFieldChecker.NO_RULES_AND_NO_ROUTES);
    }
    return invalid(new ApiError.InvalidConfiguration(errors));
  }

  /**
   * Reads a configuration that the control plane has validated and committed already. The
   * constraints of single fields aren't checked again; an error means that another version of this
   * program wrote something that this one doesn't know.
   */
  public static ValidationResult readCommitted(byte[] bytes) {
    RoutingConfiguration configuration = parseComplete(bytes);
    if (configuration != null) {
      return checkCrossFields(configuration);
    }
    InputReader.Input<RoutingConfiguration> input =
        InputReader.readWithoutConstraints(bytes, RoutingConfiguration.class);
    return input.isValid()
        ? checkCrossFields(input.value())
        : invalid(new ApiError.InvalidConfiguration(input.errors()));
  }

  /**
   * The cross-field check that is possible on a configuration with invalid fields, so that its
   * error is reported along with theirs.
   */
  private static boolean hasNeitherRulesNorRoutes(byte[] bytes) {
    try {
      JsonNode tree = Json.JSON.readTree(bytes);
      return tree.path("rules").isArray()
          && tree.path("rules").isEmpty()
          && tree.path("routes").isEmpty();
    } catch (IOException malformed) {
      return false;
    }
  }

  /**
   * The configuration, or null unless the bytes are exactly what this program writes for it: then
   * no field is missing, unknown or of another type.
   */
  private static RoutingConfiguration parseCanonical(byte[] bytes) {
    RoutingConfiguration configuration = parseComplete(bytes);
    return configuration != null && Arrays.equals(Json.bytes(configuration), bytes)
        ? configuration
        : null;
  }

  /** The configuration, or null if a field is unknown, of another type or required but missing. */
  private static RoutingConfiguration parseComplete(byte[] bytes) {
    try {
      RoutingConfiguration configuration = Json.JSON.readValue(bytes, RoutingConfiguration.class);
      boolean complete =
          configuration.pools() != null
              && configuration.rules() != null
              && configuration.limits() != null;
      return complete ? configuration : null;
    } catch (IOException malformed) {
      return null;
    }
  }

  private static ValidationResult checkCrossFields(RoutingConfiguration configuration) {
    List<ApiError.Field> errors = CrossFieldChecker.check(configuration);
    return errors.isEmpty()
        ? new ValidationResult(configuration, null)
        : invalid(new ApiError.InvalidConfiguration(errors));
  }

  private static ValidationResult invalid(ApiError error) {
    return new ValidationResult(null, error);
  }
}
