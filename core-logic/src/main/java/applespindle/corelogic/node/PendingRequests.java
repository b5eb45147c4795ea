package applespindle.corelogic.node;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.protocol.Message.PeerRequestProgress;
import applespindle.corelogic.protocol.Message.PeerResponse;
import java.util.HashMap;
import java.util.Map;

/** The attempts of this node's requests that may still be answered, by correlation id. */
final class PendingRequests {
  private final Map<Long, OutgoingRequest> byCorrelation = new HashMap<>();
  private long lastCorrelation;

  /** Registers an attempt; its correlation id was never used before by this process. */
  long register(OutgoingRequest request) {
    long correlation = ++lastCorrelation;
    request.addCorrelation(correlation);
    byCorrelation.put(correlation, request);
    return correlation;
  }

  boolean contains(long correlation) {
    return byCorrelation.containsKey(correlation);
  }

  void remove(long correlation) {
    byCorrelation.remove(correlation);
  }

  /** Passes a response on to its request; one that comes twice or too late is ignored. */
  void handleResponse(PeerResponse message) {
    OutgoingRequest request = byCorrelation.remove(message.correlation());
    if (request != null) {
      request.handleResponse(
          message.correlation(),
          Response.encoded(message.status(), message.body(), message.retryAfterSeconds() * 1_000L));
    }
  }

  void handleProgress(PeerRequestProgress message) {
    OutgoingRequest request = byCorrelation.get(message.correlation());
    if (request != null) {
      request.handleProgress(message.correlation());
    }
  }
}
