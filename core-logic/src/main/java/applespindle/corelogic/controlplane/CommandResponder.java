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
  private final UpdateAcknowledgements inForce;
  private final TraceLog journal;

  CommandResponder(
      BiConsumer<PeerRequest, Response> responder,
      UpdateAcknowledgements inForce,
      TraceLog journal) {
    this.responder = responder;
    this.inForce = inForce;
    this.journal = journal;
  }

  void respond(PeerRequest ask, Response response) {
    responder.accept(ask, response);
  }

  void refuse(PeerRequest ask, ApiError fault) {
    responder.accept(ask, Response.of(fault));
  }

  /** Responds with the body, or with the fault if there is one. */
  void respond(PeerRequest ask, ApiError fault, Supplier<Object> body) {
    responder.accept(ask, fault == null ? Response.of(200, body.get()) : Response.of(fault));
  }

  /**
   * Responds with the fault if there is one, else with the body once the key's value is in force.
   */
  void respondInForce(PeerRequest ask, LedKey state, ObjectNode body, ApiError fault) {
    if (fault != null) {
      refuse(ask, fault);
      return;
    }
    String key = state.key.key;
    inForce.await(
        key,
        state.valueSequence,
        body,
        response -> {
          journal.add(
              response.good() ? "acknowledged" : "not-acknowledged",
              key,
              "sequence " + state.valueSequence);
          respond(ask, response);
        });
  }
}
