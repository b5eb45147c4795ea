package applespindle.testfleet.clients;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchReference;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.SimulatedProcess;

/** One call about a batch at one edge, with a key; the history has it where there are tenants. */
final class KeyedBatchCall {
  final SimulatedProcess edge;
  final String key;
  private final SimulatedFleet fleet;
  private final ProxiedBatchClient client;
  private final long begunMs;

  /**
   * A call that begins now at any edge.
   *
   * @param key empty for none
   */
  KeyedBatchCall(SimulatedFleet fleet, ProxiedBatchClient client, String key) {
    this.fleet = fleet;
    this.client = client;
    this.key = key;
    this.edge = fleet.anyEdge();
    this.begunMs = fleet.simulation.simulatedNowMs();
  }

  /** The batch as this call names it. */
  BatchReference reference() {
    return new BatchReference(client.batch.id(), client.batch.host(), key);
  }

  /** Records the answer to a call of a kind; null if none came. */
  void answered(String kind, Response response) {
    if (client.owner != null) {
      fleet.simulation.history.add(
          fleet.simulation.simulatedNowMs(),
          Kind.OPAQUE_KEY_CALL,
          client.batch.id(),
          edge.name,
          kind + " " + begunMs + " " + (key.isEmpty() ? "-" : key),
          response == null ? 0 : response.status());
    }
  }
}
