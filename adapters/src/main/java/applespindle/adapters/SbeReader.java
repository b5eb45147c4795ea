package applespindle.adapters;

import applespindle.adapters.sbe.MessageHeaderDecoder;
import org.agrona.concurrent.UnsafeBuffer;
import org.agrona.sbe.MessageDecoderFlyweight;

/**
 * The position in a frame of SBE messages that stand one behind the other, and the header that was
 * read last. Reading beyond the frame throws IndexOutOfBoundsException. Not safe for use by several
 * threads.
 */
final class SbeReader {
  /** Reads a variable field into an array, as the generated decoders do. */
  @FunctionalInterface
  interface VariableField {
    int get(byte[] destination, int offset, int length);
  }

  private UnsafeBuffer buffer;

  /** Where the next header stands, or the fields of the message whose header was read last. */
  private int offset;

  private int templateId;
  private int blockLength;
  private int version;

  /** Goes to the start of a frame. */
  void wrap(byte[] frame) {
    buffer = new UnsafeBuffer(frame);
    offset = 0;
  }

  /**
   * Reads the header of the next message.
   *
   * @throws UnreadableFrameException if its schema or the version of it is not understood
   */
  void readHeader() throws UnreadableFrameException {
    MessageHeaderDecoder header = new MessageHeaderDecoder().wrap(buffer, offset);
    if (header.schemaId() != MessageHeaderDecoder.SCHEMA_ID
        || Math.abs(header.version() - PeerCodec.VERSION) > 1) {
      throw new UnreadableFrameException(UnreadableFrameException.Kind.UNKNOWN_SCHEMA);
    }
    templateId = header.templateId();
    blockLength = header.blockLength();
    version = header.version();
    offset += MessageHeaderDecoder.ENCODED_LENGTH;
  }

  /**
   * Reads the header of a message that must be of one type.
   *
   * @throws UnreadableFrameException if it is of another, or its schema is not understood
   */
  void readHeader(int expectedTemplateId) throws UnreadableFrameException {
    readHeader();
    if (templateId != expectedTemplateId) {
      throw new UnreadableFrameException(UnreadableFrameException.Kind.UNKNOWN_MESSAGE);
    }
  }

  /** The type of the message whose header was read last. */
  int templateId() {
    return templateId;
  }

  /** Sets a decoder on the fields of the message whose header was read last. */
  <T extends MessageDecoderFlyweight> T open(T decoder) {
    decoder.wrap(buffer, offset, blockLength, version);
    return decoder;
  }

  /** Goes on at the end of a message, which its decoder knows once all its fields are read. */
  void skipTo(int limit) {
    offset = limit;
  }

  /** A variable field's bytes in an array of their own. */
  static byte[] bytes(int length, VariableField field) {
    byte[] bytes = new byte[length];
    field.get(bytes, 0, length);
    return bytes;
  }

  /** A boolean as the schema stores it; a version without the field has it unset. */
  static boolean isSet(short flag) {
    return flag == 1;
  }
}
