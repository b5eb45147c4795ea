package applespindle.corelogic;


import applespindle.corelogic.CoreNode.Owned;
import applespindle.corelogic.Records.SignedBundle;
import applespindle.corelogic.Records.TakenBundle;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    SignedBundle inForce = state.as(SignedBundle.class);
    String digest = digest(sent.bytes());
    Optional<TakenBundle> before =
        bounds.signedBundles() ? Optional.empty() : taken(inForce, digest);
    if (before.isPresent()) {
      state.key.confirm(fault -> outcome.accept(before.get().number(), fault));
      return;
    }
    Bundle.Checked checked =
        bounds.signedBundles()
            ? Bundle.check(sent.bytes(), sent.keyId(), sent.signature(), operatorKeys)
            : Bundle.check(sent.bytes());
    if (checked.fault() != null) {
      outcome.refuse(checked.fault());
      return;
    }
    long number = checked.bundle().number();
    long present = inForce == null ? 0 : inForce.number();
    TakenBundle taken = new TakenBundle(number, digest);
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

  /** The same bytes as taken before: they need no second check. */
  private static Optional<TakenBundle> taken(SignedBundle inForce, String digest) {
    return inForce == null
        ? Optional.empty()
        : inForce.taken().stream().filter(each -> each.digest().equals(digest)).findFirst();
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
   * What the feed carries: only what edges work by, neither what the owner remembers of earlier
   * bundles nor the text that an unsigned one was made from, which is as long as the bundle itself.
   */
  static byte[] forFeed(byte[] event) {
    SignedBundle whole = Json.read(event, SignedBundle.class);
    boolean signed = whole.signature() != null && whole.signature().length > 0;
    byte[] bytes = signed ? whole.bytes() : withoutOrigin(whole.bytes());
    return Json.bytes(
        new SignedBundle(
            whole.number(), bytes, whole.keyId(), whole.signature(), whole.buildsOn()));
  }

  private static byte[] withoutOrigin(byte[] bytes) {
    return Json.tree(bytes) instanceof ObjectNode bundle && bundle.remove("origin") != null
        ? Json.bytes(bundle)
        : bytes;
  }
}
