package applespindle.corelogic.metadata;

import applespindle.corelogic.constants.ConfigurationConstants;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The configurations that were accepted last, by number and digest of their content: one that is
 * sent again can so be told from one that was never accepted. The memory is bounded; it knows from
 * which number on it is complete, and tells nothing of lower ones.
 *
 * @param completeFrom every accepted configuration with this or a higher number is remembered
 * @param packed number and digest of each, oldest first
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record AcceptedRevisions(long completeFrom, byte[] packed) {
  /** Whether a configuration was accepted at some time. */
  public enum RevisionStatus {
    ACCEPTED,
    NEVER_ACCEPTED,
    FORGOTTEN
  }

  public static final AcceptedRevisions NONE = new AcceptedRevisions(0, new byte[0]);

  private static final int ENTRY_BYTES = 2 * Long.BYTES;

  /** For a value whose writer kept no memory that can be read here: nothing before it is known. */
  public static AcceptedRevisions startingWith(long number, byte[] content) {
    return new AcceptedRevisions(number, new byte[0]).with(number, content);
  }

  public RevisionStatus standing(long number, byte[] content) {
    ByteBuffer entries = ByteBuffer.wrap(packed);
    long digest = digest(content);
    while (entries.hasRemaining()) {
      boolean sameNumber = entries.getLong() == number;
      boolean sameContent = entries.getLong() == digest;
      if (sameNumber && sameContent) {
        return RevisionStatus.ACCEPTED;
      }
    }
    return number < completeFrom ? RevisionStatus.FORGOTTEN : RevisionStatus.NEVER_ACCEPTED;
  }

  /** Numbers rise from one accepted configuration to the next. */
  public AcceptedRevisions with(long number, byte[] content) {
    boolean full = packed.length >= ConfigurationConstants.MAX_REMEMBERED_REVISIONS * ENTRY_BYTES;
    int dropped = full ? ENTRY_BYTES : 0;
    ByteBuffer entries = ByteBuffer.allocate(packed.length - dropped + ENTRY_BYTES);
    entries.put(packed, dropped, packed.length - dropped);
    entries.putLong(number).putLong(digest(content));
    long forgottenNumber = full ? ByteBuffer.wrap(packed).getLong() : completeFrom - 1;
    return new AcceptedRevisions(forgottenNumber + 1, entries.array());
  }

  private static long digest(byte[] content) {
    try {
      return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(content)).getLong();
    } catch (NoSuchAlgorithmException fault) {
      throw new IllegalStateException(fault);
    }
  }
}
