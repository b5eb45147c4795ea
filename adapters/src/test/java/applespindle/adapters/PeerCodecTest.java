package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import applespindle.adapters.UnreadableFrameException.Kind;
import applespindle.adapters.sbe.MessageHeaderDecoder;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message.AppliedPositionsRequest;
import applespindle.corelogic.protocol.Message.PeerRequestProgress;
import applespindle.corelogic.protocol.Message.VoteRequest;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import org.junit.jupiter.api.Test;

/**
 * Two versions of the peer messages side by side; that every message survives its codec the
 * simulator checks.
 */
class PeerCodecTest {
  /** Bytes of a vote request's fields that the version before did not have. */
  private static final int VOTE_REQUEST_FIELDS_ADDED = Integer.BYTES + Byte.BYTES;

  private static final int HEAD = MessageHeaderDecoder.ENCODED_LENGTH;
  private final PeerCodec codec = new PeerCodec();
  private final Envelope envelope =
      new Envelope("a", "127.0.0.1:1", "b", new AppliedPositionsRequest(7));

  /**
   * Where the message itself begins: behind the envelope's head, which has no fixed fields but
   * three texts.
   */
  private static int bodyAt(ByteBuffer frame) {
    int at = HEAD;
    for (int text = 0; text < 3; text++) {
      at += 4 + frame.getInt(at);
    }
    return at;
  }

  private ByteBuffer frame() {
    return ByteBuffer.wrap(codec.encode(envelope)).order(ByteOrder.LITTLE_ENDIAN);
  }

  @Test
  void decodesAnAdditionalFieldOfALaterVersion() throws UnreadableFrameException {
    ByteBuffer old = frame();
    int body = bodyAt(old);
    ByteBuffer newer = ByteBuffer.allocate(old.limit() + 8).order(ByteOrder.LITTLE_ENDIAN);
    newer.put(old.array()).putLong(99);
    newer.putShort(body, (short) (old.getShort(body) + 8));
    newer.putShort(body + 6, (short) (PeerCodec.VERSION + 1));
    newer.putShort(6, (short) (PeerCodec.VERSION + 1));
    assertThat(codec.decode(newer.array())).isEqualTo(envelope);
  }

  @Test
  void refusesAVersionTwoAwayAndWhatItDoesNotKnow() {
    ByteBuffer far = frame();
    far.putShort(6, (short) (PeerCodec.VERSION + 2));
    assertThat(assertThrows(UnreadableFrameException.class, () -> codec.decode(far.array())).kind)
        .isEqualTo(Kind.UNKNOWN_SCHEMA);
    ByteBuffer unknown = frame();
    unknown.putShort(bodyAt(unknown) + 2, (short) 999);
    assertThat(
            assertThrows(UnreadableFrameException.class, () -> codec.decode(unknown.array())).kind)
        .isEqualTo(Kind.UNKNOWN_MESSAGE);
    assertThat(
            assertThrows(UnreadableFrameException.class, () -> codec.decode(new byte[] {1, 2, 3}))
                .kind)
        .isEqualTo(Kind.BROKEN);
  }

  @Test
  void carriesProgress() throws UnreadableFrameException {
    Envelope sent = new Envelope("a", "127.0.0.1:1", "b", new PeerRequestProgress(1L << 40));
    assertThat(codec.decode(codec.encode(sent))).isEqualTo(sent);
  }

  @Test
  void keepsEpochsApart() throws UnreadableFrameException {
    var voteRequest = new VoteRequest("batch/b", new Epoch(3, "node"), 5, true, 100, true);
    Envelope sent = new Envelope("a", "127.0.0.1:1", "", voteRequest);
    assertThat(codec.decode(codec.encode(sent))).isEqualTo(sent);
  }

  @Test
  void aVoteRequestOfTheVersionBeforeAsksForTheCompleteLog() throws UnreadableFrameException {
    var voteRequest = new VoteRequest("batch/b", new Epoch(3, "node"), 5, true, 100, true);
    ByteBuffer newer =
        ByteBuffer.wrap(codec.encode(new Envelope("a", "127.0.0.1:1", "b", voteRequest)))
            .order(ByteOrder.LITTLE_ENDIAN);
    int body = bodyAt(newer);
    int blockLength = newer.getShort(body) - VOTE_REQUEST_FIELDS_ADDED;
    int fieldAt = body + HEAD + blockLength;
    ByteBuffer older =
        ByteBuffer.allocate(newer.limit() - VOTE_REQUEST_FIELDS_ADDED)
            .order(ByteOrder.LITTLE_ENDIAN);
    older.put(newer.array(), 0, fieldAt);
    older.put(
        newer.array(),
        fieldAt + VOTE_REQUEST_FIELDS_ADDED,
        newer.limit() - fieldAt - VOTE_REQUEST_FIELDS_ADDED);
    older.putShort(body, (short) blockLength);
    older.putShort(body + 6, (short) (PeerCodec.VERSION - 1));
    older.putShort(6, (short) (PeerCodec.VERSION - 1));
    VoteRequest decoded = (VoteRequest) codec.decode(older.array()).message();
    assertThat(decoded.epoch()).isEqualTo(voteRequest.epoch());
    assertThat(decoded.maxTailBytes()).isAtMost(0);
    assertThat(decoded.preVote()).isFalse();
  }
}
