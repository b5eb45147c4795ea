package applespindle.adapters;

import applespindle.adapters.sbe.EnvelopeHeadEncoder;
import applespindle.corelogic.protocol.Envelope;

/**
 * Encodes the envelopes that processes send each other as SBE and decodes them. Not safe for use by
 * several threads: each owner has a codec of its own.
 */
public final class PeerCodec {
  /**
   * Version of the schema this build writes; one version older or newer is understood, as versions
   * only add.
   */
  static final int VERSION = EnvelopeHeadEncoder.SCHEMA_VERSION;

  private final MessageEncoder encoder = new MessageEncoder();
  private final MessageDecoder decoder = new MessageDecoder();

  /** The frame of an envelope, without its length prefix: a new array that the caller owns. */
  public byte[] encode(Envelope envelope) {
    return encoder.encode(envelope);
  }

  /**
   * Decodes one complete frame.
   *
   * @throws UnreadableFrameException if the schema or the message is not known, or a field is
   *     broken
   */
  public Envelope decode(byte[] frame) throws UnreadableFrameException {
    return decoder.decode(frame);
  }
}
