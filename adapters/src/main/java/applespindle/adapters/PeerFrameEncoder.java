package applespindle.adapters;

import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.protocol.Envelope;

/** Encodes envelopes as frames; deflates those that gain by it. On the peer thread. */
public final class PeerFrameEncoder {
  private final PeerCodec codec;
  private final FrameDeflation deflation;

  /** An encoder for one connection; the deflation state is that connection's own. */
  public PeerFrameEncoder(PeerCodec codec, FrameDeflation deflation) {
    this.codec = codec;
    this.deflation = deflation;
  }

  /** Encodes an envelope as it is written to a peer. */
  public PeerFrame encode(Envelope envelope) {
    byte[] plain = codec.encode(envelope);
    if (plain.length >= PeerConnectionConstants.MIN_DEFLATE_BYTES
        && envelope.message().shouldDeflate()) {
      byte[] deflated = deflation.deflate(plain);
      if (deflated.length < plain.length) {
        return PeerFrame.deflated(deflated);
      }
    }
    return PeerFrame.plain(plain);
  }
}
