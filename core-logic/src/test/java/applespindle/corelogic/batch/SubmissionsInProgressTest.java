package applespindle.corelogic.batch;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.memory.HolderAccount;
import applespindle.corelogic.memory.MemoryHolder;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Operation;
import org.junit.jupiter.api.Test;

/** The same batch that arrives again while it is being accepted is not taken up anew. */
class SubmissionsInProgressTest {
  private final SubmissionsInProgress submissions =
      new SubmissionsInProgress(HolderAccount.unshared(MemoryHolder.SUBMISSIONS, 6));

  private static PeerRequest request(long correlation, String key, int... body) {
    byte[] bytes = new byte[body.length];
    for (int index = 0; index < body.length; index++) {
      bytes[index] = (byte) body[index];
    }
    return new PeerRequest(correlation, Operation.SUBMIT_BATCH, key, "edge", "edge:1", 1, bytes);
  }

  @Test
  void theSameBatchJoinsAndGetsTheSameResponse() {
    PeerRequest first = request(1, "batch/a", 1, 2);
    PeerRequest again = request(2, "batch/a", 1, 2);
    assertThat(submissions.join(first)).isFalse();
    submissions.begin(first);

    assertThat(submissions.join(again)).isTrue();
    assertThat(submissions.bytes()).isEqualTo(4);
    assertThat(submissions.end(again)).isEmpty();
    assertThat(submissions.end(first)).containsExactly(again);
    assertThat(submissions.bytes()).isEqualTo(0);
    assertThat(submissions.join(request(3, "batch/a", 1, 2))).isFalse();
  }

  @Test
  void anotherBodyOrKeyDoesNotJoin() {
    PeerRequest first = request(1, "batch/a", 1, 2);
    submissions.begin(first);

    assertThat(submissions.join(request(2, "batch/a", 1, 3))).isFalse();
    assertThat(submissions.join(request(3, "batch/b", 1, 2))).isFalse();
    submissions.begin(request(2, "batch/a", 1, 3));
    assertThat(submissions.bytes()).isEqualTo(4);
  }

  /** Guards against an edge that accepts more at a time than it has memory for. */
  @Test
  void thereIsRoomForOneOrForWhatTheLimitHolds() {
    PeerRequest large = request(1, "batch/a", 1, 2, 3, 4);
    assertThat(submissions.begin(large)).isTrue();
    submissions.end(large);
    assertThat(submissions.begin(request(2, "batch/b", 1, 2))).isTrue();
    assertThat(submissions.begin(request(4, "batch/d", 1, 2))).isFalse();
    assertThat(submissions.begin(request(3, "batch/c", 1))).isTrue();
  }
}
