package applespindle.operatortool;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;

/** Ed25519 keys and detached signatures over a bundle's exact bytes. */
public final class Signing {
  /** A pair of keys, both in Base64. */
  public record Keys(String publicKey, String privateKey) {}

  public static Keys generate() {
    try {
      KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
      return new Keys(
          base64(pair.getPublic().getEncoded()), base64(pair.getPrivate().getEncoded()));
    } catch (GeneralSecurityException fault) {
      throw new IllegalStateException(fault);
    }
  }

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
