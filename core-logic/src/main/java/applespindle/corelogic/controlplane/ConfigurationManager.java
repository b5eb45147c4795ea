package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.ConfigurationFormat;
import applespindle.corelogic.configuration.ConfigurationPatch;
import applespindle.corelogic.configuration.ConfigurationPatchRequest;
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

  private final NodeSettings bounds;
  private final Map<String, String> operatorKeys;
  private final ConfigurationFormat format;
  private final LedKeys keys;
  private final CommandResponder replies;

  ConfigurationManager(
      NodeSettings bounds,
      Map<String, String> operatorKeys,
      ConfigurationFormat format,
      LedKeys keys,
      CommandResponder replies) {
    this.bounds = bounds;
    this.operatorKeys = operatorKeys;
    this.format = format;
    this.keys = keys;
    this.replies = replies;
  }

  /** Accepts a bundle and responds once it is in force, or refuses it. */
  void set(PeerRequest ask, LedKey state, SignedConfiguration sent) {
    RoutingConfiguration.ValidationResult checked = check(sent);
    if (checked.fault() != null) {
      replies.refuse(ask, checked.fault());
      return;
    }
    long number = checked.bundle().number();
    byte[] content = content(checked.bundle(), sent);
    if (mayBeTaken(ask, state, number, content, sent.buildsOn())) {
      take(ask, state, number, content, sent);
    }
  }

  /**
   * Changes the bundle in force by a patch, or refuses it. It is folded here, where the version
   * that it builds on is compared: what results is checked, signed off and kept as a whole bundle.
   */
  void patch(PeerRequest ask, LedKey state, ConfigurationPatchRequest sent) {
    ConfigurationPatch.ParsedPatch read = ConfigurationPatch.read(format, sent.bytes());
    if (read.patch() == null) {
      replies.refuse(ask, new ApiError.InvalidConfiguration(read.faults()));
      return;
    }
    long number = read.patch().revision();
    byte[] content = patchContent(sent.bytes());
    if (!mayBeTaken(ask, state, number, content, sent.buildsOn())) {
      return;
    }
    ConfigurationFormat.ParsedConfiguration whole =
        fold(read.patch(), state.as(SignedConfiguration.class));
    if (!whole.faults().isEmpty()) {
      replies.refuse(ask, new ApiError.InvalidConfiguration(whole.faults()));
      return;
    }
    var result =
        new SignedConfiguration(
            number, whole.bundle(), sent.keyId(), sent.signature(), sent.buildsOn());
    RoutingConfiguration.ValidationResult checked = check(result);
    if (checked.fault() != null) {
      replies.refuse(ask, checked.fault());
      return;
    }
    take(ask, state, number, content, result);
  }

  private ConfigurationFormat.ParsedConfiguration fold(
      ConfigurationPatch patch, SignedConfiguration inForce) {
    ObjectNode written =
        inForce == null ? JSON.createObjectNode() : format.written(inForce.bytes());
    if (written == null) {
      return new ConfigurationFormat.ParsedConfiguration(null, List.of(NOT_FROM_TEXT));
    }
    ConfigurationPatch.PatchResult applied = patch.applyTo(written);
    return applied.whole() == null
        ? new ConfigurationFormat.ParsedConfiguration(null, applied.faults())
        : format.read(applied.whole());
  }

  private RoutingConfiguration.ValidationResult check(SignedConfiguration sent) {
    return bounds.signedBundles()
        ? RoutingConfiguration.check(sent.bytes(), sent.keyId(), sent.signature(), operatorKeys)
        : RoutingConfiguration.check(sent.bytes());
  }

  /**
   * Whether the change is new and builds on what is in force; else it is answered here, once it is
   * confirmed that this node still leads.
   */
  private boolean mayBeTaken(
      PeerRequest ask, LedKey state, long number, byte[] content, Long buildsOn) {
    SignedConfiguration inForce = state.as(SignedConfiguration.class);
    RevisionStatus standing = acceptedSoFar(inForce).standing(number, content);
    if (standing == RevisionStatus.ACCEPTED) {
      state.key.confirm(fault -> acknowledge(ask, state, number, fault));
      return false;
    }
    ApiError refusal = refusal(state.key.key, buildsOn, number, inForce, standing);
    if (refusal != null) {
      state.key.confirm(fault -> replies.refuse(ask, fault == null ? refusal : fault));
      return false;
    }
    return true;
  }

  private void take(
      PeerRequest ask, LedKey state, long number, byte[] content, SignedConfiguration sent) {
    AcceptedRevisions accepted = acceptedSoFar(state.as(SignedConfiguration.class));
    keys.put(
        state,
        new SignedConfiguration(
            number,
            sent.bytes(),
            sent.keyId(),
            sent.signature(),
            sent.buildsOn(),
            accepted.with(number, content)),
        fault -> acknowledge(ask, state, number, fault));
  }

  /** Apart from the content of every whole bundle, which does not begin so. */
  private static byte[] patchContent(byte[] patch) {
    byte[] content = Arrays.copyOf(PATCH_MARK, PATCH_MARK.length + patch.length);
    System.arraycopy(patch, 0, content, PATCH_MARK.length, patch.length);
    return content;
  }

  private void acknowledge(PeerRequest ask, LedKey state, long number, ApiError fault) {
    replies.respondInForce(ask, state, JSON.createObjectNode().put("number", number), fault);
  }

  /**
   * What makes two sent bundles the same: the operator's own text where the bundle was made from
   * it, so that it does not matter which release made it.
   */
  private byte[] content(RoutingConfiguration bundle, SignedConfiguration sent) {
    boolean madeHere = !bounds.signedBundles() && bundle.origin() != null;
    return madeHere ? bundle.origin().getBytes(UTF_8) : sent.bytes();
  }

  private AcceptedRevisions acceptedSoFar(SignedConfiguration inForce) {
    if (inForce == null) {
      return AcceptedRevisions.NONE;
    }
    if (inForce.accepted() != null) {
      return inForce.accepted();
    }
    RoutingConfiguration bundle = RoutingConfiguration.check(inForce.bytes()).bundle();
    byte[] content = bundle == null ? inForce.bytes() : content(bundle, inForce);
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
