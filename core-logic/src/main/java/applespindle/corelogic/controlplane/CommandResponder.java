package applespindle.corelogic.controlplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.UpdateAcknowledgements;
import applespindle.corelogic.node.TraceLog;
import applespindle.corelogic.protocol.Message.PeerRequest;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * How the leader of a core key responds to a command. Invariant: a change that edges work by is
 * acknowledged only once it is in force, so that no edge can still begin work by the older value.
 */
final class CommandResponder {
  private final BiConsumer<PeerRequest, Response> responder;
  private final UpdateAcknowledgements updateAcknowledgements;
  private final TraceLog traceLog;

  CommandResponder(
      BiConsumer<PeerRequest, Response> responder,
      UpdateAcknowledgements updateAcknowledgements,
      TraceLog traceLog) {
    this.responder = responder;
    this.updateAcknowledgements = updateAcknowledgements;
    this.traceLog = traceLog;
  }

  void respond(PeerRequest request, Response response) {
    responder.accept(request, response);
  }

  void reject(PeerRequest request, ApiError error) {
    responder.accept(request, Response.of(error));
  }

  /** Responds with the body, or with the fault if there is one. */
  void respond(PeerRequest request, ApiError error, Supplier<Object> body) {
    responder.accept(request, error == null ? Response.of(200, body.get()) : Response.of(error));
  }

  /**
   * Responds with the fault if there is one, else with the body once the key's value is in force.
   */
  void respondOnceInForce(PeerRequest request, LedKey ledKey, ObjectNode body, ApiError error) {
    if (error != null) {
      reject(request, error);
      return;
    }
    String key = ledKey.leader.key;
    updateAcknowledgements.await(
        key,
        ledKey.valueSequence,
        body,
        response -> {
          traceLog.add(
              response.isSuccess() ? "acknowledged" : "not-acknowledged",
              key,
              "sequence " + ledKey.valueSequence);
          respond(request, response);
        });
  }
}
