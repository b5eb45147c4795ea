package applespindle.corelogic;

import static applespindle.corelogic.Json.JSON;

import applespindle.corelogic.CoreNode.Owned;
import applespindle.corelogic.Records.SignedBundle;
import applespindle.corelogic.Records.TakenBundle;
import com.fasterxml.jackson.databind.JsonNode;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
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

  void take(Owned state, SignedBundle sent, PutValue put, Outcome outcome) {
    Bundle.Checked checked =
        bounds.signedBundles()
            ? Bundle.check(sent.bytes(), sent.keyId(), sent.signature(), operatorKeys)
            : Bundle.check(sent.bytes());
    if (checked.fault() != null) {
      outcome.refuse(checked.fault());
      return;
    }
    long number = checked.bundle().number();
    SignedBundle inForce =
        state.value.isNull() ? null : JSON.convertValue(state.value, SignedBundle.class);
    long present = inForce == null ? 0 : inForce.number();
    TakenBundle taken = new TakenBundle(number, digest(sent.bytes()));
    if (inForce != null && inForce.taken().contains(taken)) {
      state.key.confirm(fault -> outcome.accept(number, fault));
      return;
    }
    Fault conflict =
        sent.buildsOn() != null && sent.buildsOn() != present
            ? new Fault.VersionConflict(present)
            : present >= number ? new Fault.BundleConflict(present) : null;
    if (conflict != null) {
      state.key.confirm(fault -> outcome.refuse(fault == null ? conflict : fault));
      return;
    }
    List<TakenBundle> all = new ArrayList<>(inForce == null ? List.of() : inForce.taken());
    all.add(taken);
    List<TakenBundle> kept =
        all.subList(Math.max(0, all.size() - Constants.BUNDLES_REMEMBERED), all.size());
    put.put(
        state,
        new SignedBundle(
            number, sent.bytes(), sent.keyId(), sent.signature(), sent.buildsOn(), kept),
        fault -> outcome.accept(number, fault));
  }

  /** Appends the key's new value. */
  interface PutValue {
    void put(Owned state, Object value, Consumer<Fault> then);
  }

  private static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes), 0, 16);
    } catch (NoSuchAlgorithmException fault) {
      throw new IllegalStateException(fault);
    }
  }

  /**
   * What the feed carries: only the bundle itself, not what the owner remembers of earlier ones.
   */
  static byte[] forFeed(byte[] event) {
    JsonNode value = Json.tree(event);
    if (value instanceof com.fasterxml.jackson.databind.node.ObjectNode object
        && object.remove("taken") != null) {
      return Json.bytes(object);
    }
    return event;
  }
}
