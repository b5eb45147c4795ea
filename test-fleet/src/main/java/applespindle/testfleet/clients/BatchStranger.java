package applespindle.testfleet.clients;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchReference;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.testfleet.simulation.SimulatedProcess;
import java.util.function.Consumer;

/** Calls about a batch of another tenant: with that caller's own key, or none that is held. */
final class BatchStranger {
  private enum Call {
    READ,
    READ_ITEM,
    END
  }

  private final SimulatedFleet fleet;

  BatchStranger(SimulatedFleet fleet) {
    this.fleet = fleet;
  }

  /** Reads the batch, asks for the body of its first item, or tries to end it. */
  void call(ProxiedBatchClient client, SimulatedTenants tenants) {
    Call call = Call.values()[fleet.simulation.random.nextInt(Call.values().length)];
    KeyedBatchCall keyed = newCall(client, tenants, call);
    SimulatedProcess edge = keyed.edge;
    fleet.waitFor(
        edge,
        ProxiedBatchClient.READ_TIMEOUT_MS,
        (Consumer<Response> answer) -> ask((EdgeNode) edge.node(), call, client, keyed, answer),
        response -> keyed.answered(call.name(), response));
  }

  /** An end must never succeed; a read may, until the removal of its key is in force. */
  private KeyedBatchCall newCall(ProxiedBatchClient client, SimulatedTenants tenants, Call call) {
    String key = tenants.keyOfAnother(client.owner, call == Call.END);
    return new KeyedBatchCall(fleet, client, key);
  }

  private static void ask(
      EdgeNode node,
      Call call,
      ProxiedBatchClient client,
      KeyedBatchCall keyed,
      Consumer<Response> answer) {
    BatchReference reference = keyed.reference();
    switch (call) {
      case READ -> node.readProxiedResults(reference, 0, 0, answer);
      case READ_ITEM -> node.readProxiedItem(reference, client.batch.items().get(0).id(), answer);
      case END -> node.endProxiedBatch(reference, answer);
    }
  }
}
