package applespindle.adapters;

import applespindle.adapters.sbe.MessageHeaderEncoder;
import java.util.Arrays;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.sbe.MessageEncoderFlyweight;

/**
 * The buffer that SBE messages are written to, one behind the other, each with its header. Not safe
 * for use by several threads.
 */
final class SbeWriter {
  private static final int INITIAL_CAPACITY_BYTES = 4096;

  /** A buffer that a large message has grown beyond this size is not kept. */
  private static final int MAX_KEPT_CAPACITY_BYTES = 256 << 10;

  private ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(INITIAL_CAPACITY_BYTES);

  /** Bytes before this offset are finished messages. */
  private int end;

  /** Forgets all that was written. */
  void clear() {
    end = 0;
    if (buffer.capacity() > MAX_KEPT_CAPACITY_BYTES) {
      buffer = new ExpandableArrayBuffer(INITIAL_CAPACITY_BYTES);
    }
  }

  /** Writes the header of a message and sets its encoder on the fields behind it. */
  <T extends MessageEncoderFlyweight> T begin(T encoder) {
    new MessageHeaderEncoder()
        .wrap(buffer, end)
        .blockLength(encoder.sbeBlockLength())
        .templateId(encoder.sbeTemplateId())
        .schemaId(encoder.sbeSchemaId())
        .version(encoder.sbeSchemaVersion());
    encoder.wrap(buffer, end + MessageHeaderEncoder.ENCODED_LENGTH);
    return encoder;
  }

  /** Ends a message once all its fields are written; the next one begins behind it. */
  void finish(MessageEncoderFlyweight encoder) {
    end = encoder.limit();
  }

  /** A copy of all that was written since the buffer was cleared. */
  byte[] toByteArray() {
    return Arrays.copyOf(buffer.byteArray(), end);
  }

  /** A boolean as the schema stores it. */
  static short flag(boolean set) {
    return (short) (set ? 1 : 0);
  }
}
