package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.AcceptedRevisions.Standing;
import applespindle.corelogic.Message.Ask;
import applespindle.corelogic.Records.SignedBundle;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * What the leader of the bundle's key does with a bundle that is sent. Invariant: numbers only
 * rise, and a bundle that is known to have been accepted is acknowledged again.
 */
final class BundleDuty {
  private final Bounds bounds;
  private final Map<String, String> operatorKeys;
  private final CoreKeys keys;
  private final CommandReplies replies;

  BundleDuty(
      Bounds bounds, Map<String, String> operatorKeys, CoreKeys keys, CommandReplies replies) {
    this.bounds = bounds;
    this.operatorKeys = operatorKeys;
    this.keys = keys;
    this.replies = replies;
  }

  /** Accepts a bundle and responds once it is in force, or refuses it. */
  void set(Ask ask, CoreKeyState state, SignedBundle sent) {
    Bundle.Checked checked =
        bounds.signedBundles()
            ? Bundle.check(sent.bytes(), sent.keyId(), sent.signature(), operatorKeys)
            : Bundle.check(sent.bytes());
    if (checked.fault() != null) {
      replies.refuse(ask, checked.fault());
      return;
    }
    long number = checked.bundle().number();
    byte[] content = content(checked.bundle(), sent);
    SignedBundle inForce = state.as(SignedBundle.class);
    AcceptedRevisions accepted = acceptedSoFar(inForce);
    Standing standing = accepted.standing(number, content);
    if (standing == Standing.ACCEPTED) {
      state.key.confirm(fault -> acknowledge(ask, state, number, fault));
      return;
    }
    Fault refusal = refusal(state.key.key, sent.buildsOn(), number, inForce, standing);
    if (refusal != null) {
      state.key.confirm(fault -> replies.refuse(ask, fault == null ? refusal : fault));
      return;
    }
    keys.put(
        state,
        new SignedBundle(
            number,
            sent.bytes(),
            sent.keyId(),
            sent.signature(),
            sent.buildsOn(),
            accepted.with(number, content)),
        fault -> acknowledge(ask, state, number, fault));
  }

  private void acknowledge(Ask ask, CoreKeyState state, long number, Fault fault) {
    replies.respondInForce(ask, state, JSON.createObjectNode().put("number", number), fault);
  }

  /**
   * What makes two sent bundles the same: the operator's own text where the bundle was made from
   * it, so that it does not matter which release made it.
   */
  private byte[] content(Bundle bundle, SignedBundle sent) {
    boolean madeHere = !bounds.signedBundles() && bundle.origin() != null;
    return madeHere ? bundle.origin().getBytes(UTF_8) : sent.bytes();
  }

  private AcceptedRevisions acceptedSoFar(SignedBundle inForce) {
    if (inForce == null) {
      return AcceptedRevisions.NONE;
    }
    if (inForce.accepted() != null) {
      return inForce.accepted();
    }
    Bundle bundle = Bundle.check(inForce.bytes()).bundle();
    byte[] content = bundle == null ? inForce.bytes() : content(bundle, inForce);
    return AcceptedRevisions.startingWith(inForce.number(), content);
  }

  /**
   * Null if the bundle may be taken. One that may have been accepted before the memory begins can
   * not be told from one that lost: neither is refused. Whoever builds on its own number or a
   * higher one was never accepted.
   */
  private static Fault refusal(
      String key, Long buildsOn, long number, SignedBundle inForce, Standing standing) {
    long present = inForce == null ? 0 : inForce.number();
    boolean mayHaveBuiltOn = buildsOn == null || buildsOn < number;
    if (standing == Standing.FORGOTTEN && mayHaveBuiltOn) {
      return new Fault.OutcomeUnknown(key);
    }
    if (buildsOn != null && buildsOn != present) {
      return new Fault.VersionConflict(present);
    }
    return present >= number ? new Fault.BundleConflict(present) : null;
  }

  /**
   * What the feed carries: only what edges work by, neither what the owner remembers of earlier
   * bundles nor the text that an unsigned one was made from, which is as long as the bundle itself.
   */
  static byte[] forFeed(byte[] event) {
    SignedBundle whole = Json.read(event, SignedBundle.class);
    boolean signed = whole.signature() != null && whole.signature().length > 0;
    byte[] bytes = signed ? whole.bytes() : withoutOrigin(whole.bytes());
    return Json.bytes(
        new SignedBundle(
            whole.number(), bytes, whole.keyId(), whole.signature(), whole.buildsOn(), null));
  }

  private static byte[] withoutOrigin(byte[] bytes) {
    return Json.tree(bytes) instanceof ObjectNode bundle && bundle.remove("origin") != null
        ? Json.bytes(bundle)
        : bytes;
  }
}
