package applespindle.corelogic.metadata;

import applespindle.corelogic.constants.ConfigurationConstants;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The configuration revisions that were accepted last, each by its number and a digest of its
 * content. It tells a revision that is sent again from one that was never accepted.
 *
 * <p>The memory is bounded: the oldest revision is dropped when it is full. Invariant: every
 * accepted revision numbered {@code completeFrom} or higher is remembered; nothing is known of
 * lower ones that were dropped.
 *
 * @param completeFrom the lowest number from which on every accepted revision is remembered
 * @param packed number and digest of each remembered revision, 8 bytes each, oldest first
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record AcceptedRevisions(long completeFrom, byte[] packed) {
  /** What is known of a revision. */
  public enum RevisionStatus {
    /** It was accepted. */
    ACCEPTED,
    /** It was never accepted. */
    NEVER_ACCEPTED,
    /** It may have been accepted before the memory begins. */
    FORGOTTEN
  }

  /** No revision was accepted yet. */
  public static final AcceptedRevisions NONE = new AcceptedRevisions(0, new byte[0]);

  private static final int ENTRY_BYTES = 2 * Long.BYTES;
  private static final String DIGEST_ALGORITHM = "SHA-256";

  /**
   * The memory that begins with this accepted revision, for a configuration that was stored without
   * one: nothing is known of lower numbers.
   */
  public static AcceptedRevisions startingWith(long number, byte[] content) {
    return new AcceptedRevisions(number, new byte[0]).with(number, content);
  }

  /** What is known of the revision with this number and content. */
  public RevisionStatus statusOf(long number, byte[] content) {
    if (remembers(number, digest(content))) {
      return RevisionStatus.ACCEPTED;
    }
    return number < completeFrom ? RevisionStatus.FORGOTTEN : RevisionStatus.NEVER_ACCEPTED;
  }

  private boolean remembers(long number, long digest) {
    ByteBuffer entries = ByteBuffer.wrap(packed);
    while (entries.hasRemaining()) {
      long entryNumber = entries.getLong();
      long entryDigest = entries.getLong();
      if (entryNumber == number && entryDigest == digest) {
        return true;
      }
    }
    return false;
  }

  /**
   * This memory with one more accepted revision, without the oldest if it was full.
   *
   * @param number higher than that of every revision accepted before
   */
  public AcceptedRevisions with(long number, byte[] content) {
    AcceptedRevisions kept = isFull() ? withoutOldest() : this;
    ByteBuffer entries = ByteBuffer.allocate(kept.packed.length + ENTRY_BYTES);
    entries.put(kept.packed).putLong(number).putLong(digest(content));
    return new AcceptedRevisions(kept.completeFrom, entries.array());
  }

  private boolean isFull() {
    return packed.length >= ConfigurationConstants.MAX_REMEMBERED_REVISIONS * ENTRY_BYTES;
  }

  private AcceptedRevisions withoutOldest() {
    long oldestNumber = ByteBuffer.wrap(packed).getLong();
    byte[] remaining = Arrays.copyOfRange(packed, ENTRY_BYTES, packed.length);
    return new AcceptedRevisions(oldestNumber + 1, remaining);
  }

  private static long digest(byte[] content) {
    try {
      byte[] hash = MessageDigest.getInstance(DIGEST_ALGORITHM).digest(content);
      return ByteBuffer.wrap(hash).getLong();
    } catch (NoSuchAlgorithmException fault) {
      throw new IllegalStateException(DIGEST_ALGORITHM + " is not available", fault);
    }
  }
}
