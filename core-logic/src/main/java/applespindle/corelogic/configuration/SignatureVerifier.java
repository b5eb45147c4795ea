package applespindle.corelogic.configuration;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.Signature;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;

/** Verifies Ed25519 signatures of operators. Stateless, safe for use by any thread. */
final class SignatureVerifier {
  private static final String ALGORITHM = "Ed25519";

  private SignatureVerifier() {}

  /**
   * Returns whether the signature was made over exactly these bytes by the owner of the key.
   *
   * @param signature the raw signature; one of a wrong length doesn't verify
   * @param publicKey the X.509 encoding of the public key, in Base64; a malformed key verifies
   *     nothing
   */
  static boolean verifies(byte[] bytes, byte[] signature, String publicKey) {
    try {
      var keySpec = new X509EncodedKeySpec(Base64.getDecoder().decode(publicKey));
      Signature verifier = Signature.getInstance(ALGORITHM);
      verifier.initVerify(KeyFactory.getInstance(ALGORITHM).generatePublic(keySpec));
      verifier.update(bytes);
      return verifier.verify(signature);
    } catch (GeneralSecurityException | IllegalArgumentException malformed) {
      return false;
    }
  }
}
