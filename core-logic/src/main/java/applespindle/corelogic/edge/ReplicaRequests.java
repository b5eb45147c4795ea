package applespindle.corelogic.edge;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.replication.ReplicaConfiguration;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Requests to all replicas of a key at once. */
final class ReplicaRequests {
  /**
   * What a quorum of the replicas reported about a record.
   *
   * @param presence whether there is such a record, as far as a quorum's answers tell
   * @param leader the node that leads the record or is being elected; {@link NodeAddress#NONE} if
   *     none is known
   */
  record RecordLookup(Presence presence, NodeAddress leader) {
    private static final RecordLookup UNCERTAIN =
        new RecordLookup(Presence.UNCERTAIN, NodeAddress.NONE);
  }

  /** Whether a record exists. */
  enum Presence {
    PRESENT,
    ABSENT,
    UNCERTAIN
  }

  private final EdgeServices edge;

  ReplicaRequests(EdgeServices edge) {
    this.edge = edge;
  }

  /** Sends one attempt to each replica; the callback gets each replica's id with its response. */
  void sendToAll(
      ReplicaConfiguration replicas,
      Operation operation,
      String key,
      ObjectNode body,
      BiConsumer<String, Response> callback) {
    body.put("setNumber", replicas.version());
    for (NodeAddress replica : replicas.allReplicas()) {
      edge.sendRequest(
          attempt -> attempt == 0 ? replica : null,
          operation,
          key,
          body,
          PeerRequestConstants.ATTEMPT_TIMEOUT_MS,
          response -> callback.accept(replica.id(), response));
    }
  }

  /** Finds out whether a record exists; writes nothing anywhere. The callback runs once. */
  void lookUp(String key, Consumer<RecordLookup> callback) {
    ReplicaConfiguration replicas = edge.replicaConfigurationOf(key);
    if (replicas.isEmpty()) {
      callback.accept(RecordLookup.UNCERTAIN);
      return;
    }
    LookupInProgress lookup = new LookupInProgress(replicas, callback);
    sendToAll(replicas, Operation.LOOK_UP_RECORD, key, JSON.createObjectNode(), lookup::handle);
  }

  /** Invariant: the callback runs at the first conclusive answer, or else at the last answer. */
  private static final class LookupInProgress {
    private final ReplicaConfiguration replicas;
    private final Consumer<RecordLookup> callback;
    private final Set<String> replicasWithout = new HashSet<>();
    private int answers;
    private boolean concluded;

    LookupInProgress(ReplicaConfiguration replicas, Consumer<RecordLookup> callback) {
      this.replicas = replicas;
      this.callback = callback;
    }

    void handle(String replicaId, Response response) {
      answers++;
      boolean present = response.isSuccess() && response.body().path("present").asBoolean();
      if (response.isSuccess() && !present) {
        replicasWithout.add(replicaId);
      }
      boolean conclusive = present || replicas.isQuorum(replicasWithout);
      boolean last = answers == replicas.allReplicas().size();
      if (concluded || !conclusive && !last) {
        return;
      }
      concluded = true;
      callback.accept(conclusive ? found(present, response) : RecordLookup.UNCERTAIN);
    }

    private static RecordLookup found(boolean present, Response response) {
      NodeAddress leader =
          new NodeAddress(
              response.body().path("holder").asText(),
              response.body().path("holderAddress").asText());
      return new RecordLookup(present ? Presence.PRESENT : Presence.ABSENT, leader);
    }
  }
}
