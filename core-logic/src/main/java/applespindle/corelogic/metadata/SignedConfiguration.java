package applespindle.corelogic.metadata;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A revision of the routing configuration as it is stored: the exact bytes that were sent, with
 * their signature.
 *
 * @param number number of the revision; rises with each one
 * @param bytes the configuration as sent
 * @param keyId id of the operator's key that signed it; may be empty or null if it is not signed
 * @param signature signature of the bytes; may be empty or null if it is not signed
 * @param buildsOn number of the revision that this one was made from; null if that is not checked
 * @param accepted the revisions that were accepted last, this one included; null in requests and in
 *     the change feed, as only the replicas of its key keep it
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record SignedConfiguration(
    long number,
    byte[] bytes,
    String keyId,
    byte[] signature,
    Long buildsOn,
    AcceptedRevisions accepted) {
  /** A configuration as sent or fed, without the accepted revisions. */
  public SignedConfiguration(
      long number, byte[] bytes, String keyId, byte[] signature, Long buildsOn) {
    this(number, bytes, keyId, signature, buildsOn, null);
  }

  /** A configuration as sent, without a check of what it was made from. */
  public SignedConfiguration(long number, byte[] bytes, String keyId, byte[] signature) {
    this(number, bytes, keyId, signature, null, null);
  }
}
