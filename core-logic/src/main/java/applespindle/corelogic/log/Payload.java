package applespindle.corelogic.log;

import java.util.Arrays;
import java.util.Objects;

/**
 * The bytes of a log entry or record. They are in the heap at first; once they are on a disk, the
 * copy in the heap may be released, and they are read back when they are needed. So the heap that a
 * log takes is bounded by the number of its entries and not by their bytes.
 *
 * <p>A leader without a disk keeps only the start of a payload that its replicas have synced, see
 * {@link #retainStart}; it fetches the rest from a replica.
 *
 * <p>Invariant: the bytes never change, and are in the heap or stored or both, unless only the
 * start was retained. Safe for use by several threads.
 */
public final class Payload {
  /** The place of a payload on a disk. */
  public interface Location {
    /**
     * Reads a part of the payload.
     *
     * @throws PayloadUnavailableException if it can't be read here, or not any more
     */
    byte[] read(int offset, int length);
  }

  private static final byte[] NO_BYTES = new byte[0];
  private static final Payload EMPTY = new Payload(NO_BYTES);

  private final int length;

  /** Null once the copy in the heap was released. */
  private volatile byte[] resident;

  /** What was kept of a copy that was released; empty if nothing was. */
  private volatile byte[] retainedStart = NO_BYTES;

  /** Null until the payload is synced on a disk. */
  private volatile Location location;

  private Payload(byte[] bytes) {
    this.resident = bytes;
    this.length = bytes.length;
  }

  /** A payload in the heap; the array is not copied and must not change. */
  public static Payload of(byte[] bytes) {
    return bytes.length == 0 ? EMPTY : new Payload(Objects.requireNonNull(bytes));
  }

  /** The number of bytes. */
  public int length() {
    return length;
  }

  /** All bytes: the array in the heap, not a copy, or what was read from the disk. */
  public byte[] bytes() {
    byte[] inHeap = resident;
    return inHeap != null ? inHeap : readStored(0, length);
  }

  /** A part of the bytes, in an array of its own. */
  public byte[] slice(int offset, int size) {
    byte[] inHeap = resident;
    byte[] start = retainedStart;
    if (inHeap == null && offset + size <= start.length) {
      inHeap = start;
    }
    return inHeap != null
        ? Arrays.copyOfRange(inHeap, offset, offset + size)
        : readStored(offset, size);
  }

  /** A location that is left behind by a checkpoint may end during the read: then the next one. */
  private byte[] readStored(int offset, int size) {
    while (true) {
      Location present = location;
      if (present == null) {
        throw new PayloadUnavailableException("a payload is not held here any more");
      }
      try {
        return present.read(offset, size);
      } catch (PayloadUnavailableException unavailable) {
        if (location == present) {
          throw unavailable;
        }
      }
    }
  }

  /** The payload is synced at a location, which replaces the one before. */
  public void storeAt(Location stored) {
    if (length > 0) {
      location = stored;
    }
  }

  /** Releases the copy in the heap if the payload is stored. */
  public void releaseFromHeap() {
    if (location != null) {
      resident = null;
    }
  }

  /**
   * Keeps only the first bytes in the heap, wherever the others are. For a leader whose replicas
   * have synced the payload: {@link #bytes} fails from now on unless it is stored here too.
   */
  public void retainStart(int bytes) {
    byte[] inHeap = resident;
    if (inHeap != null && length > 0) {
      retainedStart = Arrays.copyOf(inHeap, bytes);
      resident = null;
    }
  }

  /**
   * The same bytes for a message that another thread encodes later: if they are in the heap now,
   * they stay there for it.
   */
  public Payload pinned() {
    byte[] inHeap = resident;
    return inHeap != null ? of(inHeap) : this;
  }

  /** The bytes that are certainly in the heap: all of them, or the start that was retained. */
  public byte[] heldStart() {
    byte[] inHeap = resident;
    return inHeap != null ? inHeap : retainedStart;
  }

  /** Whether all bytes can be read here, from the heap or the disk. */
  public boolean isReadable() {
    return resident != null || location != null;
  }

  /** Whether all bytes are in the heap. */
  public boolean isInHeap() {
    return resident != null;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload payload
        && (this == payload || length == payload.length && Arrays.equals(bytes(), payload.bytes()));
  }

  @Override
  public int hashCode() {
    return length;
  }

  @Override
  public String toString() {
    return length + " bytes";
  }
}
