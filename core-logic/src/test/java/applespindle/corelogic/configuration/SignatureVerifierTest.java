package applespindle.corelogic.configuration;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.Signature;
import java.util.Arrays;
import java.util.Base64;
import org.junit.jupiter.api.Test;

/** Which signatures verify, and that malformed ones don't throw. */
class SignatureVerifierTest {
  private static final byte[] SIGNED = "signed".getBytes(UTF_8);

  private final KeyPair keys = newKeys();
  private final String publicKey = encoded(keys);
  private final byte[] signature = sign(keys);

  private static KeyPair newKeys() {
    try {
      return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
    } catch (GeneralSecurityException unsupported) {
      throw new AssertionError(unsupported);
    }
  }

  private static String encoded(KeyPair keys) {
    return Base64.getEncoder().encodeToString(keys.getPublic().getEncoded());
  }

  private static byte[] sign(KeyPair keys) {
    try {
      Signature signer = Signature.getInstance("Ed25519");
      signer.initSign(keys.getPrivate());
      signer.update(SIGNED);
      return signer.sign();
    } catch (GeneralSecurityException unsupported) {
      throw new AssertionError(unsupported);
    }
  }

  @Test
  void acceptsTheSignatureOfTheOwnerOfTheKey() {
    assertThat(SignatureVerifier.verifies(SIGNED, signature, publicKey)).isTrue();
  }

  @Test
  void rejectsOtherBytesAndOtherKeys() {
    assertThat(SignatureVerifier.verifies("other".getBytes(UTF_8), signature, publicKey)).isFalse();
    assertThat(SignatureVerifier.verifies(SIGNED, signature, encoded(newKeys()))).isFalse();
  }

  @Test
  void rejectsMalformedSignaturesAndKeys() {
    byte[] tooShort = Arrays.copyOf(signature, signature.length - 1);
    assertThat(SignatureVerifier.verifies(SIGNED, tooShort, publicKey)).isFalse();
    assertThat(SignatureVerifier.verifies(SIGNED, new byte[0], publicKey)).isFalse();
    assertThat(SignatureVerifier.verifies(SIGNED, signature, "no Base64!")).isFalse();
    assertThat(SignatureVerifier.verifies(SIGNED, signature, "AAAA")).isFalse();
  }
}
