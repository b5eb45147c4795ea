package applespindle.corelogic.edge;

import static applespindle.corelogic.common.Json.JSON;
import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.edge.ReplicaRequests.Presence;
import applespindle.corelogic.edge.ReplicaRequests.RecordLookup;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.replication.ReplicaConfiguration;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;

/** Whether a record exists is told by a quorum of its replicas, or by one that has it. */
class ReplicaRequestsTest {
  private static final String KEY = "batch/b1";
  private static final ReplicaConfiguration REPLICAS =
      new ReplicaConfiguration(
          1,
          List.of(
              new NodeAddress("a", "10.0.0.1:1"),
              new NodeAddress("b", "10.0.0.2:1"),
              new NodeAddress("c", "10.0.0.3:1")),
          List.of());

  private final Map<String, Consumer<Response>> sent = new HashMap<>();
  private final List<RecordLookup> outcomes = new ArrayList<>();

  /** Answers for the replicas, and remembers where each request went. */
  private Object edgeService(Object proxy, Method method, Object[] arguments) {
    return switch (method.getName()) {
      case "replicaConfigurationOf" -> REPLICAS;
      case "sendRequest" -> {
        sent.put(targetOf(arguments[0]), callbackOf(arguments[arguments.length - 1]));
        yield null;
      }
      default -> throw new UnsupportedOperationException(method.getName());
    };
  }

  private static String targetOf(Object targets) {
    return ((NodeAddress) ((IntFunction<?>) targets).apply(0)).id();
  }

  @SuppressWarnings("unchecked")
  private static Consumer<Response> callbackOf(Object callback) {
    return (Consumer<Response>) callback;
  }

  private void lookUp() {
    EdgeServices edge =
        (EdgeServices)
            Proxy.newProxyInstance(
                EdgeServices.class.getClassLoader(),
                new Class<?>[] {EdgeServices.class},
                this::edgeService);
    new ReplicaRequests(edge).lookUp(KEY, outcomes::add);
    assertThat(sent.keySet()).containsExactly("a", "b", "c");
  }

  private void answer(String replica, boolean present) {
    sent.get(replica).accept(Response.of(200, JSON.createObjectNode().put("present", present)));
  }

  private void fail(String replica) {
    sent.get(replica).accept(Response.of(new ApiError.NoQuorum(KEY)));
  }

  private List<Presence> presences() {
    return outcomes.stream().map(RecordLookup::presence).toList();
  }

  @Test
  void oneReplicaWithoutTheRecordProvesNothing() {
    lookUp();
    answer("a", false);
    assertThat(outcomes).isEmpty();
    answer("b", true);
    assertThat(presences()).containsExactly(Presence.PRESENT);
  }

  @Test
  void aQuorumWithoutTheRecordProvesThatThereIsNone() {
    lookUp();
    answer("a", false);
    answer("c", false);
    assertThat(presences()).containsExactly(Presence.ABSENT);
    answer("b", false);
    assertThat(outcomes).hasSize(1);
  }

  @Test
  void withoutAQuorumItIsUncertain() {
    lookUp();
    answer("a", false);
    fail("b");
    fail("c");
    assertThat(presences()).containsExactly(Presence.UNCERTAIN);
  }
}
