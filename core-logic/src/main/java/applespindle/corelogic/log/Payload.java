package applespindle.corelogic.log;

import java.util.Arrays;
import java.util.Objects;

/**
 * The bytes of a log entry or record. They are in the heap at first; once they are on a disk, the
 * copy in the heap may be released, and they are read back when they are needed. So the heap that a
 * log takes is bounded by the number of its entries and not by their bytes.
 *
 * <p>Invariant: the bytes never change, and are in the heap or stored or both. Safe for use by
 * several threads.
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

  private static final Payload EMPTY = new Payload(new byte[0]);

  private final int length;

  /** Null once the copy in the heap was released. */
  private volatile byte[] resident;

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
    return inHeap != null
        ? Arrays.copyOfRange(inHeap, offset, offset + size)
        : readStored(offset, size);
  }

  /** A location that is left behind by a checkpoint may end during the read: then the next one. */
  private byte[] readStored(int offset, int size) {
    while (true) {
      Location present = location;
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

  /** Whether the bytes are in the heap. */
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
