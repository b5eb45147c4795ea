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
 * What the leader of the bundle's key does with a bundle that is sent. Invariant: numbers only
 * rise, and a bundle that is known to have been accepted is acknowledged again.
 */
public final class ConfigurationManager {
  private static final byte[] PATCH_MARK = "patch:".getBytes(UTF_8);
  private static final ApiError.Field NOT_FROM_TEXT =
      new ApiError.Field("$", "what is in force was not sent in this format: send a whole one");

  private final NodeSettings settings;
  private final Map<String, String> operatorKeys;
  private final ConfigurationFormat format;
  private final LedKeys keys;
  private final CommandResponder responder;

  ConfigurationManager(
      NodeSettings settings,
      Map<String, String> operatorKeys,
      ConfigurationFormat format,
      LedKeys keys,
      CommandResponder responder) {
    this.settings = settings;
    this.operatorKeys = operatorKeys;
    this.format = format;
    this.keys = keys;
    this.responder = responder;
  }

  /** Accepts a bundle and responds once it is in force, or refuses it. */
  void set(PeerRequest request, LedKey ledKey, SignedConfiguration sent) {
    ConfigurationValidator.ValidationResult checked = check(sent);
    if (checked.error() != null) {
      responder.reject(request, checked.error());
      return;
    }
    long number = checked.configuration().number();
    byte[] content = content(checked.configuration(), sent);
    if (mayBeTaken(request, ledKey, number, content, sent.buildsOn())) {
      take(request, ledKey, number, content, sent);
    }
  }

  /**
   * Changes the bundle in force by a patch, or refuses it. It is folded here, where the version
   * that it builds on is compared: what results is checked, signed off and kept as a whole bundle.
   */
  void patch(PeerRequest request, LedKey ledKey, ConfigurationPatchRequest sent) {
    ConfigurationPatch.ParsedPatch read = ConfigurationPatch.parse(format, sent.bytes());
    if (read.patch() == null) {
      responder.reject(request, new ApiError.InvalidConfiguration(read.errors()));
      return;
    }
    long number = read.patch().revision();
    byte[] content = patchContent(sent.bytes());
    if (!mayBeTaken(request, ledKey, number, content, sent.buildsOn())) {
      return;
    }
    ConfigurationFormat.ParsedConfiguration whole =
        fold(read.patch(), ledKey.as(SignedConfiguration.class));
    if (!whole.errors().isEmpty()) {
      responder.reject(request, new ApiError.InvalidConfiguration(whole.errors()));
      return;
    }
    var result =
        new SignedConfiguration(
            number, whole.configuration(), sent.keyId(), sent.signature(), sent.buildsOn());
    ConfigurationValidator.ValidationResult checked = check(result);
    if (checked.error() != null) {
      responder.reject(request, checked.error());
      return;
    }
    take(request, ledKey, number, content, result);
  }

  private ConfigurationFormat.ParsedConfiguration fold(
      ConfigurationPatch patch, SignedConfiguration inForce) {
    ObjectNode written =
        inForce == null ? JSON.createObjectNode() : format.sourceOf(inForce.bytes());
    if (written == null) {
      return new ConfigurationFormat.ParsedConfiguration(null, List.of(NOT_FROM_TEXT));
    }
    ConfigurationPatch.PatchResult applied = patch.applyTo(written);
    return applied.configuration() == null
        ? new ConfigurationFormat.ParsedConfiguration(null, applied.errors())
        : format.parse(applied.configuration());
  }

  private ConfigurationValidator.ValidationResult check(SignedConfiguration sent) {
    return settings.signedConfigurations()
        ? ConfigurationValidator.validate(
            sent.bytes(), sent.keyId(), sent.signature(), operatorKeys)
        : ConfigurationValidator.validate(sent.bytes());
  }

  /**
   * Whether the change is new and builds on what is in force; else it is answered here, once it is
   * confirmed that this node still leads.
   */
  private boolean mayBeTaken(
      PeerRequest request, LedKey ledKey, long number, byte[] content, Long buildsOn) {
    SignedConfiguration inForce = ledKey.as(SignedConfiguration.class);
    RevisionStatus standing = acceptedSoFar(inForce).statusOf(number, content);
    if (standing == RevisionStatus.ACCEPTED) {
      ledKey.leader.confirmLeadership(error -> acknowledge(request, ledKey, number, error));
      return false;
    }
    ApiError refusal = refusal(ledKey.leader.key, buildsOn, number, inForce, standing);
    if (refusal != null) {
      ledKey.leader.confirmLeadership(
          error -> responder.reject(request, error == null ? refusal : error));
      return false;
    }
    return true;
  }

  private void take(
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
        error -> acknowledge(request, ledKey, number, error));
  }

  /** Apart from the content of every whole bundle, which does not begin so. */
  private static byte[] patchContent(byte[] patch) {
    byte[] content = Arrays.copyOf(PATCH_MARK, PATCH_MARK.length + patch.length);
    System.arraycopy(patch, 0, content, PATCH_MARK.length, patch.length);
    return content;
  }

  private void acknowledge(PeerRequest request, LedKey ledKey, long number, ApiError error) {
    responder.respondOnceInForce(
        request, ledKey, JSON.createObjectNode().put("number", number), error);
  }

  /**
   * What makes two sent bundles the same: the operator's own text where the bundle was made from
   * it, so that it does not matter which release made it.
   */
  private byte[] content(RoutingConfiguration configuration, SignedConfiguration sent) {
    boolean madeHere = !settings.signedConfigurations() && configuration.origin() != null;
    return madeHere ? configuration.origin().getBytes(UTF_8) : sent.bytes();
  }

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
   * Null if the bundle may be taken. One that may have been accepted before the memory begins can
   * not be told from one that lost: neither is refused. Whoever builds on its own number or a
   * higher one was never accepted.
   */
  private static ApiError refusal(
      String key,
      Long buildsOn,
      long number,
      SignedConfiguration inForce,
      RevisionStatus standing) {
    long present = inForce == null ? 0 : inForce.number();
    boolean mayHaveBuiltOn = buildsOn == null || buildsOn < number;
    if (standing == RevisionStatus.FORGOTTEN && mayHaveBuiltOn) {
      return new ApiError.OutcomeUnknown(key);
    }
    if (buildsOn != null && buildsOn != present) {
      return new ApiError.VersionConflict(present);
    }
    return present >= number ? new ApiError.ConfigurationConflict(present) : null;
  }

  /**
   * What the feed carries: only what edges work by, neither what the owner remembers of earlier
   * bundles nor the text that an unsigned one was made from, which is as long as the bundle itself.
   */
  public static byte[] forFeed(byte[] event) {
    SignedConfiguration whole = Json.read(event, SignedConfiguration.class);
    boolean signed = whole.signature() != null && whole.signature().length > 0;
    byte[] bytes = signed ? whole.bytes() : withoutOrigin(whole.bytes());
    return Json.bytes(
        new SignedConfiguration(
            whole.number(), bytes, whole.keyId(), whole.signature(), whole.buildsOn(), null));
  }

  private static byte[] withoutOrigin(byte[] bytes) {
    return Json.tree(bytes) instanceof ObjectNode bundle && bundle.remove("origin") != null
        ? Json.bytes(bundle)
        : bytes;
  }
}
