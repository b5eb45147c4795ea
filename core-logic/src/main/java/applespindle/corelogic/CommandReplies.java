package applespindle.corelogic;

import applespindle.corelogic.Message.Ask;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * How the leader of a core key responds to a command. Invariant: a change that edges work by is
 * acknowledged only once it is in force, so that no edge can still begin work by the older value.
 */
final class CommandReplies {
  private final BiConsumer<Ask, Response> responder;
  private final NewsInForce inForce;
  private final Journal journal;

  CommandReplies(BiConsumer<Ask, Response> responder, NewsInForce inForce, Journal journal) {
    this.responder = responder;
    this.inForce = inForce;
    this.journal = journal;
  }

  void respond(Ask ask, Response response) {
    responder.accept(ask, response);
  }

  void refuse(Ask ask, Fault fault) {
    responder.accept(ask, Response.of(fault));
  }

  /** Responds with the body, or with the fault if there is one. */
  void respond(Ask ask, Fault fault, Supplier<Object> body) {
    responder.accept(ask, fault == null ? Response.of(200, body.get()) : Response.of(fault));
  }

  /**
   * Responds with the fault if there is one, else with the body once the key's value is in force.
   */
  void respondInForce(Ask ask, CoreKeyState state, ObjectNode body, Fault fault) {
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
