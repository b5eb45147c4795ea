package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A bundle as kept: the exact bytes that were sent. buildsOn: the number it was made from, where
 * that is checked. accepted: the last ones that were accepted, itself included; only the replicas
 * of its key keep these, the feed does not carry them. Null in what is sent and in the feed.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record SignedConfiguration(
    long number,
    byte[] bytes,
    String keyId,
    byte[] signature,
    Long buildsOn,
    AcceptedRevisions accepted) {
  public SignedConfiguration(
      long number, byte[] bytes, String keyId, byte[] signature, Long buildsOn) {
    this(number, bytes, keyId, signature, buildsOn, null);
  }

  public SignedConfiguration(long number, byte[] bytes, String keyId, byte[] signature) {
    this(number, bytes, keyId, signature, null, null);
  }
}
