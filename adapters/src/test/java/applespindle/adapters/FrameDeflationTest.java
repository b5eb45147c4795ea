package applespindle.adapters;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.constants.SizeLimits;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class FrameDeflationTest {
  private final FrameDeflation deflation = new FrameDeflation();
  private final byte[] frame = "{\"id\":\"a\",\"body\":\"x\"}".repeat(1_000).getBytes(UTF_8);

  @Test
  void decodesToAnEqualValue() throws UnreadableFrameException {
    for (int round = 0; round < 3; round++) {
      byte[] deflated = deflation.deflate(frame);
      assertThat(deflated.length).isLessThan(frame.length / 4);
      byte[] amongOthers = new byte[deflated.length + 20];
      System.arraycopy(deflated, 0, amongOthers, 10, deflated.length);
      assertThat(deflation.inflate(amongOthers, 10, deflated.length)).isEqualTo(frame);
    }
  }

  @Test
  void whatGetsNoShorterStaysAsItIs() {
    byte[] random = new byte[5_000];
    new Random(7).nextBytes(random);
    assertThat(deflation.deflate(random)).isSameInstanceAs(random);
  }

  @Test
  void garbageIsUnreadable() {
    byte[] deflated = deflation.deflate(frame);
    byte[] damaged = deflated.clone();
    damaged[damaged.length / 2] ^= 0x55;
    byte[] longer = Arrays.copyOf(deflated, deflated.length + 3);
    byte[] shorter = Arrays.copyOf(deflated, deflated.length - 3);
    byte[] otherLength = deflated.clone();
    ByteBuffer.wrap(otherLength).putInt(frame.length + 1);
    byte[] lessLength = deflated.clone();
    ByteBuffer.wrap(lessLength).putInt(frame.length - 1);
    for (byte[] garbage :
        new byte[][] {
          damaged, longer, shorter, otherLength, lessLength, new byte[4], new byte[0]
        }) {
      assertThrows(
          UnreadableFrameException.class, () -> deflation.inflate(garbage, 0, garbage.length));
    }
  }

  @Test
  void anImpossibleLengthAllocatesNoMemory() {
    byte[] claims = new byte[100];
    for (int length :
        new int[] {
          -1, 0, SizeLimits.MAX_FRAME_BYTES, PeerConnectionConstants.MAX_INFLATE_RATIO * 100 + 1
        }) {
      ByteBuffer.wrap(claims).putInt(length);
      assertThrows(
          UnreadableFrameException.class, () -> deflation.inflate(claims, 0, claims.length));
    }
  }
}
