package applespindle.operatortool;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;

/** Ed25519 keys and detached signatures over the exact bytes of a configuration. */
public final class Signing {
  /**
   * A pair of keys, both in Base64.
   *
   * @param publicKey in the X.509 encoding
   * @param privateKey in the PKCS #8 encoding
   */
  public record Keys(String publicKey, String privateKey) {}

  /** A new random pair of keys. */
  public static Keys generate() {
    try {
      KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
      return new Keys(
          base64(pair.getPublic().getEncoded()), base64(pair.getPrivate().getEncoded()));
    } catch (GeneralSecurityException fault) {
      throw new IllegalStateException("no Ed25519 keys in this Java runtime", fault);
    }
  }

  /**
   * Signs bytes.
   *
   * @param privateKey in Base64 as in {@link Keys}; blanks around it are ignored
   * @return the signature in Base64
   * @throws IllegalArgumentException if the private key can not be used
   */
  public static String sign(byte[] bytes, String privateKey) {
    try {
      Signature signer = Signature.getInstance("Ed25519");
      signer.initSign(
          KeyFactory.getInstance("Ed25519")
              .generatePrivate(
                  new PKCS8EncodedKeySpec(Base64.getDecoder().decode(privateKey.strip()))));
      signer.update(bytes);
      return base64(signer.sign());
    } catch (GeneralSecurityException fault) {
      throw new IllegalArgumentException("the private key can not be used", fault);
    }
  }

  private static String base64(byte[] bytes) {
    return Base64.getEncoder().encodeToString(bytes);
  }

  private Signing() {}
}
