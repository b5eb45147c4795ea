package applespindle.corelogic.batch;

import applespindle.corelogic.memory.HolderAccount;
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

  /** A body and the items that are read of it, which are a little smaller, are held at a time. */
  private static final long COPIES = 2;

  private final Map<String, SubmissionInProgress> inProgressByKey = new HashMap<>();
  private final HolderAccount account;

  /** The submissions in progress are counted in this account. */
  public SubmissionsInProgress(HolderAccount account) {
    this.account = account;
  }

  /** What a submission takes from its arrival to its response: its body, and what is read of it. */
  private static long bytesOf(PeerRequest request) {
    return request.body().length * COPIES;
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

  /**
   * Starts a request, if there is room for it. One with another body under a key in progress is not
   * kept.
   */
  public boolean begin(PeerRequest request) {
    if (inProgressByKey.containsKey(request.key())) {
      return account.isWithinLimit(bytesOf(request));
    }
    if (!account.tryReserveEvicting(bytesOf(request))) {
      account.countRefusal();
      return false;
    }
    inProgressByKey.put(request.key(), new SubmissionInProgress(request, new ArrayList<>()));
    return true;
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
    account.release(bytesOf(request));
    return inProgress.joined;
  }

  /** What all submissions in progress take. */
  public long bytes() {
    return account.heldBytes();
  }
}
