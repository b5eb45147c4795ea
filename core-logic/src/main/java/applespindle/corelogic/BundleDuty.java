package applespindle.corelogic;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.AcceptedRevisions.Standing;
import applespindle.corelogic.Records.SignedBundle;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.function.Consumer;

/** What the owner of the bundle's key does with a bundle that is sent. */
final class BundleDuty {
  /**
   * What a sent bundle came to: a fault, or a yes that is told once the key's news are in force.
   */
  interface Outcome {
    void refuse(Fault fault);

    void accept(long number, Fault fault);
  }

  private final Bounds bounds;
  private final Map<String, String> operatorKeys;

  BundleDuty(Bounds bounds, Map<String, String> operatorKeys) {
    this.bounds = bounds;
    this.operatorKeys = operatorKeys;
  }

  void take(CoreKeyState state, SignedBundle sent, PutValue put, Outcome outcome) {
    Bundle.Checked checked =
        bounds.signedBundles()
            ? Bundle.check(sent.bytes(), sent.keyId(), sent.signature(), operatorKeys)
            : Bundle.check(sent.bytes());
    if (checked.fault() != null) {
      outcome.refuse(checked.fault());
      return;
    }
    long number = checked.bundle().number();
    byte[] content = content(checked.bundle(), sent);
    SignedBundle inForce = state.as(SignedBundle.class);
    AcceptedRevisions accepted = acceptedSoFar(inForce);
    Standing standing = accepted.standing(number, content);
    if (standing == Standing.ACCEPTED) {
      state.key.confirm(fault -> outcome.accept(number, fault));
      return;
    }
    Fault refusal = refusal(state.key.key, sent.buildsOn(), number, inForce, standing);
    if (refusal != null) {
      state.key.confirm(fault -> outcome.refuse(fault == null ? refusal : fault));
      return;
    }
    put.put(
        state,
        new SignedBundle(
            number,
            sent.bytes(),
            sent.keyId(),
            sent.signature(),
            sent.buildsOn(),
            accepted.with(number, content)),
        fault -> outcome.accept(number, fault));
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

  /** Appends the key's new value. */
  interface PutValue {
    void put(CoreKeyState state, Object value, Consumer<Fault> then);
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
