package applespindle.corelogic.batch;

import applespindle.corelogic.protocol.Message.PeerRequest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The batches that are being accepted at this edge, from the arrival of the ask to its answer. The
 * same batch that arrives again meanwhile joins the ask at work, so that its body is read, reserved
 * and claimed once; it gets the same answer.
 */
public final class SubmissionsInProgress {
  private record SubmissionInProgress(PeerRequest request, List<PeerRequest> joined) {}

  private final Map<String, SubmissionInProgress> inProgressByKey = new HashMap<>();
  private long bytes;

  /**
   * Whether the ask is one of a batch already at work, with the same body; it then waits for it.
   */
  public boolean join(PeerRequest request) {
    SubmissionInProgress work = inProgressByKey.get(request.key());
    if (work == null || !Arrays.equals(work.request.body(), request.body())) {
      return false;
    }
    work.joined.add(request);
    return true;
  }

  /** Work on an ask begins. Of one with another body under the same key nothing is kept. */
  public void begin(PeerRequest request) {
    if (inProgressByKey.putIfAbsent(
            request.key(), new SubmissionInProgress(request, new ArrayList<>()))
        == null) {
      bytes += request.body().length;
    }
  }

  /** The ask and those that joined it while it is at work; none otherwise. */
  public List<PeerRequest> waitingFor(PeerRequest request) {
    SubmissionInProgress work = inProgressByKey.get(request.key());
    if (work == null || work.request != request) {
      return List.of();
    }
    List<PeerRequest> waiting = new ArrayList<>(work.joined);
    waiting.add(request);
    return waiting;
  }

  /** Work on an ask is over: those that joined it, which are to be told the same. */
  public List<PeerRequest> end(PeerRequest request) {
    SubmissionInProgress work = inProgressByKey.get(request.key());
    if (work == null || work.request != request) {
      return List.of();
    }
    inProgressByKey.remove(request.key());
    bytes -= request.body().length;
    return work.joined;
  }

  /** Of all bodies at work. */
  public long bytes() {
    return bytes;
  }
}
