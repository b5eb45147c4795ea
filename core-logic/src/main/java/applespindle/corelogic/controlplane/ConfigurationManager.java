package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.ConfigurationFormat;
import applespindle.corelogic.configuration.ConfigurationPatch;
import applespindle.corelogic.configuration.ConfigurationPatchRequest;
import applespindle.corelogic.configuration.ConfigurationValidator;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.SizeLimits;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.NodeSettings;
import applespindle.corelogic.metadata.AcceptedRevisions;
import applespindle.corelogic.metadata.AcceptedRevisions.RevisionStatus;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.protocol.Message.PeerRequest;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Accepts or refuses configurations and patches of configurations that operators send.
 *
 * <p>It owns the configuration's key while this node leads it. The key's value is the configuration
 * in force, with the digests of those accepted before it; each accepted configuration or patch
 * replaces it by one with a higher number. Invariants: numbers only rise; a configuration that is
 * known to have been accepted is acknowledged again when it is sent again; a configuration is
 * acknowledged only once it is in force.
 */
public final class ConfigurationManager {
  /** Distinguishes a patch's content from every complete configuration, which is JSON. */
  private static final byte[] PATCH_PREFIX = "patch:".getBytes(UTF_8);

  private static final ApiError.Field HAS_NO_SOURCE =
      new ApiError.Field("$", "what is in force was not sent in this format: send a whole one");

  /** The response to an accepted configuration: its number. */
  private record NumberResponse(long number) {}

  private static final String LOG_PART = "bundle";

  /** Paths of unknown fields that are logged at most. */
  private static final int MAX_LOGGED_FIELDS = 30;

  private final Environment environment;
  private final NodeSettings settings;

  /** Public keys of the operators by key id. */
  private final Map<String, String> operatorKeys;

  private final ConfigurationFormat format;
  private final LedKeys keys;
  private final CommandResponder responder;

  /** Of the configuration that was described last, as its fields need not be compared again. */
  private long describedNumber;

  private int unknownFieldsDescribed;

  ConfigurationManager(
      ControlPlaneContext context, Map<String, String> operatorKeys, ConfigurationFormat format) {
    this.environment = context.environment();
    this.settings = context.settings();
    this.operatorKeys = operatorKeys;
    this.format = format;
    this.keys = context.keys();
    this.responder = context.responder();
  }

  /** Accepts a configuration and responds once it is in force, or refuses it. */
  void set(PeerRequest request, LedKey ledKey, SignedConfiguration sent) {
    ConfigurationValidator.ValidationResult validated = validate(sent);
    if (validated.error() != null) {
      responder.reject(request, validated.error());
      return;
    }
    long number = validated.configuration().number();
    byte[] content = content(validated.configuration(), sent);
    if (isAcceptable(request, ledKey, number, content, sent.buildsOn())) {
      accept(request, ledKey, number, content, sent);
    }
  }

  /**
   * Applies a patch to the configuration in force, or refuses it. The patch is applied here because
   * the version that it builds on is compared here: the result is validated and stored as a
   * complete configuration.
   */
  void patch(PeerRequest request, LedKey ledKey, ConfigurationPatchRequest sent) {
    ConfigurationPatch.ParsedPatch parsed = ConfigurationPatch.parse(format, sent.bytes());
    if (parsed.patch() == null) {
      responder.reject(request, new ApiError.InvalidConfiguration(parsed.errors()));
      return;
    }
    long number = parsed.patch().revision();
    byte[] content = patchContent(sent.bytes());
    if (!isAcceptable(request, ledKey, number, content, sent.buildsOn())) {
      return;
    }
    ConfigurationFormat.ParsedConfiguration patched =
        apply(parsed.patch(), ledKey.as(SignedConfiguration.class));
    if (!patched.errors().isEmpty()) {
      responder.reject(request, new ApiError.InvalidConfiguration(patched.errors()));
      return;
    }
    var result =
        new SignedConfiguration(
            number, patched.configuration(), sent.keyId(), sent.signature(), sent.buildsOn());
    ConfigurationValidator.ValidationResult validated = validate(result);
    if (validated.error() != null) {
      responder.reject(request, validated.error());
      return;
    }
    accept(request, ledKey, number, content, result);
  }

  /** The configuration in force, null if there is none yet, with the patch applied. */
  private ConfigurationFormat.ParsedConfiguration apply(
      ConfigurationPatch patch, SignedConfiguration inForce) {
    ObjectNode source =
        inForce == null ? JSON.createObjectNode() : format.sourceOf(inForce.bytes());
    if (source == null) {
      return new ConfigurationFormat.ParsedConfiguration(null, List.of(HAS_NO_SOURCE));
    }
    ConfigurationPatch.PatchResult applied = patch.applyTo(source);
    return applied.configuration() == null
        ? new ConfigurationFormat.ParsedConfiguration(null, applied.errors())
        : format.parse(applied.configuration());
  }

  private ConfigurationValidator.ValidationResult validate(SignedConfiguration sent) {
    if (sent.bytes().length > SizeLimits.MAX_CONFIGURATION_BYTES) {
      return new ConfigurationValidator.ValidationResult(
          null, new ApiError.InputTooLarge(SizeLimits.MAX_CONFIGURATION_BYTES));
    }
    return settings.signedConfigurations()
        ? ConfigurationValidator.validate(
            sent.bytes(), sent.keyId(), sent.signature(), operatorKeys)
        : ConfigurationValidator.validate(sent.bytes());
  }

  /**
   * True if the change is new and builds on the configuration in force. Otherwise this method
   * responds, once it is confirmed that this node still leads the key.
   */
  private boolean isAcceptable(
      PeerRequest request, LedKey ledKey, long number, byte[] content, Long buildsOn) {
    SignedConfiguration inForce = ledKey.as(SignedConfiguration.class);
    RevisionStatus status = acceptedSoFar(inForce).statusOf(number, content);
    if (status == RevisionStatus.ACCEPTED) {
      ledKey.confirmLeadership(error -> acknowledge(request, ledKey, number, error));
      return false;
    }
    ApiError refusal = refusal(ledKey.key(), buildsOn, number, inForce, status);
    if (refusal != null) {
      ledKey.confirmLeadership(error -> responder.reject(request, error == null ? refusal : error));
      return false;
    }
    return true;
  }

  private void accept(
      PeerRequest request, LedKey ledKey, long number, byte[] content, SignedConfiguration sent) {
    AcceptedRevisions accepted = acceptedSoFar(ledKey.as(SignedConfiguration.class));
    keys.put(
        ledKey,
        new SignedConfiguration(
            number,
            sent.bytes(),
            sent.keyId(),
            sent.signature(),
            sent.buildsOn(),
            accepted.with(number, content)),
        error -> {
          acknowledge(request, ledKey, number, error);
          if (error == null) {
            logUnknownFields(number, sent.bytes());
          }
        });
  }

  /** A field that is not known has no effect, which its operator may not expect. */
  private void logUnknownFields(long number, byte[] configuration) {
    List<String> unknown = format.unknownFields(configuration);
    if (!unknown.isEmpty()) {
      environment.log(
          LOG_PART,
          "Bundle "
              + number
              + " has "
              + unknown.size()
              + " fields without effect here: "
              + String.join(", ", unknown.subList(0, Math.min(unknown.size(), MAX_LOGGED_FIELDS)))
              + ".");
    }
  }

  /** Adds the number of fields without effect in the configuration in force to a status. */
  void describe(ObjectNode status, LedKey ledKey) {
    SignedConfiguration inForce = ledKey.as(SignedConfiguration.class);
    if (inForce != null && inForce.number() != describedNumber) {
      describedNumber = inForce.number();
      unknownFieldsDescribed = format.unknownFields(inForce.bytes()).size();
    }
    status.put("unknownBundleFields", inForce == null ? 0 : unknownFieldsDescribed);
  }

  /** The content by which a patch that is sent again is recognized. */
  private static byte[] patchContent(byte[] patch) {
    byte[] content = Arrays.copyOf(PATCH_PREFIX, PATCH_PREFIX.length + patch.length);
    System.arraycopy(patch, 0, content, PATCH_PREFIX.length, patch.length);
    return content;
  }

  private void acknowledge(PeerRequest request, LedKey ledKey, long number, ApiError error) {
    responder.respondOnceInForce(request, ledKey, new NumberResponse(number), error);
  }

  /**
   * The content by which a configuration that is sent again is recognized: the operator's own text
   * if the configuration was generated from it, so that the release that generated it is
   * irrelevant.
   */
  private byte[] content(RoutingConfiguration configuration, SignedConfiguration sent) {
    boolean generatedHere = !settings.signedConfigurations() && configuration.origin() != null;
    return generatedHere ? configuration.origin().getBytes(UTF_8) : sent.bytes();
  }

  /** The configurations accepted up to the one in force, which is null before the first. */
  private AcceptedRevisions acceptedSoFar(SignedConfiguration inForce) {
    if (inForce == null) {
      return AcceptedRevisions.NONE;
    }
    if (inForce.accepted() != null) {
      return inForce.accepted();
    }
    RoutingConfiguration configuration =
        ConfigurationValidator.validate(inForce.bytes()).configuration();
    byte[] content = configuration == null ? inForce.bytes() : content(configuration, inForce);
    return AcceptedRevisions.startingWith(inForce.number(), content);
  }

  /**
   * Null if the configuration can be accepted. If its number is older than all remembered ones, the
   * error says that the outcome is unknown, since it may have been accepted; one that builds on its
   * own number or a higher one was never accepted.
   */
  private static ApiError refusal(
      String key, Long buildsOn, long number, SignedConfiguration inForce, RevisionStatus status) {
    long present = inForce == null ? 0 : inForce.number();
    boolean mayHaveBeenAccepted = buildsOn == null || buildsOn < number;
    if (status == RevisionStatus.FORGOTTEN && mayHaveBeenAccepted) {
      return new ApiError.OutcomeUnknown(key);
    }
    if (buildsOn != null && buildsOn != present) {
      return new ApiError.VersionConflict(present);
    }
    return present >= number ? new ApiError.ConfigurationConflict(present) : null;
  }

  /**
   * The part of a committed configuration that the change feed carries to the edges: neither the
   * digests of earlier configurations nor the text from which an unsigned configuration was
   * generated, which is as long as the configuration itself.
   *
   * @param event the committed event of the configuration's key
   * @return a configuration as JSON
   */
  public static byte[] forFeed(byte[] event) {
    SignedConfiguration complete = Json.read(event, SignedConfiguration.class);
    boolean signed = complete.signature() != null && complete.signature().length > 0;
    byte[] bytes = signed ? complete.bytes() : withoutOrigin(complete.bytes());
    return Json.bytes(
        new SignedConfiguration(
            complete.number(),
            bytes,
            complete.keyId(),
            complete.signature(),
            complete.buildsOn(),
            null));
  }

  private static byte[] withoutOrigin(byte[] bytes) {
    return Json.tree(bytes) instanceof ObjectNode configuration
            && configuration.remove("origin") != null
        ? Json.bytes(configuration)
        : bytes;
  }
}
