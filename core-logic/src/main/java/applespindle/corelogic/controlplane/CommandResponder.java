package applespindle.corelogic.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.changefeed.UpdateAcknowledgements;
import applespindle.corelogic.node.TraceLog;
import applespindle.corelogic.protocol.Message.PeerRequest;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Sends the responses of a key's leader to commands. It owns no state.
 *
 * <p>Invariant: a change on which edges base their work is acknowledged only once it is in force,
 * that is, once no edge can begin work by the older value any more.
 */
final class CommandResponder {
  /** The HTTP status of a command that succeeded. */
  static final int STATUS_OK = 200;

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

  /** Sends the response as it is. */
  void respond(PeerRequest request, Response response) {
    responder.accept(request, response);
  }

  /** Responds with the error. */
  void reject(PeerRequest request, ApiError error) {
    responder.accept(request, Response.of(error));
  }

  /** Responds with the error, or with the body if the error is null. */
  void respond(PeerRequest request, ApiError error, Supplier<Object> body) {
    responder.accept(
        request, error == null ? Response.of(STATUS_OK, body.get()) : Response.of(error));
  }

  /**
   * Responds with the error, or if it is null, with the body as soon as the key's present value is
   * in force.
   */
  void respondOnceInForce(PeerRequest request, LedKey ledKey, Object body, ApiError error) {
    if (error != null) {
      reject(request, error);
      return;
    }
    String key = ledKey.key();
    updateAcknowledgements.await(
        key,
        ledKey.valueSequence(),
        JSON.<ObjectNode>valueToTree(body),
        response -> {
          traceLog.add(
              response.isSuccess() ? "acknowledged" : "not-acknowledged",
              key,
              "sequence " + ledKey.valueSequence());
          respond(request, response);
        });
  }
}
