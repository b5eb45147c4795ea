package applespindle.corelogic.edge;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.configuration.TenantAccess;
import applespindle.corelogic.configuration.WorkerRanks;
import applespindle.corelogic.dataplane.BatchLeaderPlacement;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.metadata.NodeRegistration;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.node.TraceLog;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.replication.ReplicaConfiguration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/** What the parts of an edge need of the node that they belong to; on the logic thread. */
interface EdgeServices {
  NodeIdentity identity();

  TraceLog traceLog();

  void incrementCounter(String counter);

  boolean isStopping();

  boolean isTerminated();

  /** Whether the edge reaches neither the control plane nor a majority of the edges. */
  boolean isIsolated();

  /** Milliseconds for which an acknowledged update may be unknown here. */
  long feedAge();

  /** The error with which new work must be rejected; null if it may begin. */
  ApiError rejectionOfNewWork();

  /** The configuration in force here; null until one is known. */
  RoutingConfiguration configuration();

  RouteTable routes();

  /** For which tenant a request with this key may run on the route; the key is empty for none. */
  TenantAccess tenantAccess(Route route, String apiKey);

  /** The ranks of requests and items at workers, by the configuration in force. */
  WorkerRanks workerRanks();

  /** The live nodes by id. */
  Map<String, NodeRegistration> members();

  List<NodeRegistration> liveEdges();

  BatchLeaderPlacement leaderPlacement();

  ReplicaConfiguration replicaConfigurationOf(String key);

  void send(String toAddress, String toId, Message message);

  void sendRequest(
      IntFunction<NodeAddress> targets,
      Operation operation,
      String key,
      Object body,
      long attemptTimeoutMs,
      long timeoutMs,
      Consumer<Response> callback);

  void sendRequest(
      IntFunction<NodeAddress> targets,
      Operation operation,
      String key,
      Object body,
      long timeoutMs,
      Consumer<Response> callback);

  void requestControlPlane(
      Operation operation, String key, Object body, long timeoutMs, Consumer<Response> callback);

  void respond(PeerRequest request, Response response);

  void forward(PeerRequest request, String toId, String toAddress);
}
