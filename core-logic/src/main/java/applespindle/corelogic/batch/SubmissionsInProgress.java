package applespindle.corelogic.batch;

import applespindle.corelogic.protocol.Message.PeerRequest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The submissions that this edge is working on, from the arrival of the request to its response. A
 * repeated submission of the same batch joins the one in progress and gets the same response, so
 * that the body is read, and its capacity and key are claimed, once.
 */
public final class SubmissionsInProgress {
  private record SubmissionInProgress(PeerRequest request, List<PeerRequest> joined) {}

  private final Map<String, SubmissionInProgress> inProgressByKey = new HashMap<>();
  private final long maxBytes;
  private long bytes;

  /**
   * @param maxBytes the most bytes of all bodies in progress, unless a single one is larger
   */
  public SubmissionsInProgress(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Whether there is room for the body of a further submission. */
  public boolean hasRoomFor(PeerRequest request) {
    return bytes == 0 || bytes + request.body().length <= maxBytes;
  }

  /**
   * Joins the request to the one in progress under the same key and with the same body; false if
   * there is none.
   */
  public boolean join(PeerRequest request) {
    SubmissionInProgress inProgress = inProgressByKey.get(request.key());
    if (inProgress == null || !Arrays.equals(inProgress.request.body(), request.body())) {
      return false;
    }
    inProgress.joined.add(request);
    return true;
  }

  /** Starts a request. One with another body under a key in progress is not kept. */
  public void begin(PeerRequest request) {
    if (inProgressByKey.putIfAbsent(
            request.key(), new SubmissionInProgress(request, new ArrayList<>()))
        == null) {
      bytes += request.body().length;
    }
  }

  /** The request and those that joined it, while it is in progress; empty otherwise. */
  public List<PeerRequest> waitingFor(PeerRequest request) {
    SubmissionInProgress inProgress = inProgressByKey.get(request.key());
    if (inProgress == null || inProgress.request != request) {
      return List.of();
    }
    List<PeerRequest> waiting = new ArrayList<>(inProgress.joined);
    waiting.add(request);
    return waiting;
  }

  /** Ends a request, and returns those that joined it, which get the same response. */
  public List<PeerRequest> end(PeerRequest request) {
    SubmissionInProgress inProgress = inProgressByKey.get(request.key());
    if (inProgress == null || inProgress.request != request) {
      return List.of();
    }
    inProgressByKey.remove(request.key());
    bytes -= request.body().length;
    return inProgress.joined;
  }

  /** Size of all bodies in progress. */
  public long bytes() {
    return bytes;
  }
}
