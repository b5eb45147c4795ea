package applespindle.corelogic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The JSON of each fault as an earlier build wrote it. Clients, other nodes and the logs of batches
 * tell faults by the type named there, so it must outlive a renaming in the code.
 */
final class FaultFormatTest {
  private static final String FAULTS = "/fixtures/json/faults.txt";

  @Test
  void faultsAreWrittenAsBefore() throws IOException {
    Map<String, String> texts = JsonFixtures.read(FAULTS);
    assertThat(texts.keySet()).containsExactlyElementsIn(faults().keySet());
    faults()
        .forEach(
            (name, fault) ->
                assertWithMessage(name).that(described(fault)).isEqualTo(texts.get(name)));
  }

  /** All that programs go by: the sentence for a reader may be put better at any time. */
  static String described(Fault fault) {
    ObjectNode json = (ObjectNode) fault.toJson();
    json.remove("message");
    return json.put("status", fault.row().status()).toString();
  }

  @Test
  void everyFaultHasAFixture() {
    assertThat(faults().values().stream().map(Object::getClass).toList())
        .containsExactlyElementsIn(Fault.class.getPermittedSubclasses());
  }

  static Map<String, Fault> faults() {
    Map<String, Fault> faults = new LinkedHashMap<>();
    List<Fault.Field> fields = List.of(new Fault.Field("$.items[0]", "must not be blank"));
    addInputFaults(faults, fields);
    addStateFaults(faults);
    addRunFaults(faults);
    return faults;
  }

  private static void addInputFaults(Map<String, Fault> faults, List<Fault.Field> fields) {
    faults.put("invalid-input", new Fault.InvalidInput(fields));
    faults.put("input-too-large", new Fault.InputTooLarge(1200));
    faults.put("head-too-large", new Fault.HeadTooLarge(1200));
    faults.put("no-such-path", new Fault.NoSuchPath("path"));
    faults.put("method-not-allowed", new Fault.MethodNotAllowed("method"));
    faults.put("signature-refused", new Fault.SignatureRefused("reason"));
    faults.put("invalid-bundle", new Fault.InvalidBundle(fields));
    faults.put("bundle-conflict", new Fault.BundleConflict(1200));
    faults.put("version-conflict", new Fault.VersionConflict(1200));
    faults.put("no-such-worker", new Fault.NoSuchWorker("worker"));
    faults.put("no-such-batch", new Fault.NoSuchBatch("batch"));
    faults.put("no-bundle", new Fault.NoBundle());
    faults.put("no-matching-rule", new Fault.NoMatchingRule());
    faults.put("key-content-conflict", new Fault.KeyContentConflict("batch"));
    faults.put("batch-refused", new Fault.BatchRefused("batch"));
  }

  private static void addStateFaults(Map<String, Fault> faults) {
    faults.put("batch-over-ceiling", new Fault.BatchOverCeiling(503, 1200));
    faults.put("no-room", new Fault.NoRoom(1200, 1200));
    faults.put("queue-full", new Fault.QueueFull("traffic-class"));
    faults.put("expiry-passed", new Fault.ExpiryPassed());
    faults.put("no-worker", new Fault.NoWorker("pool"));
    faults.put("no-majority", new Fault.NoMajority("key"));
    faults.put("not-ready", new Fault.NotReady("reason"));
    faults.put("node-isolated", new Fault.NodeIsolated(1200));
    faults.put("node-stopping", new Fault.NodeStopping());
    faults.put("not-owner", new Fault.NotOwner("key"));
    faults.put("old-replica-set", new Fault.OldReplicaSet(1200));
    faults.put("no-such-storage", new Fault.NoSuchStorage("node"));
    faults.put("too-few-copies", new Fault.TooFewCopies(503));
    faults.put("storage-retired", new Fault.StorageRetired("node"));
    faults.put("storage-not-empty", new Fault.StorageNotEmpty(503));
  }

  private static void addRunFaults(Map<String, Fault> faults) {
    faults.put("outcome-unknown", new Fault.OutcomeUnknown("subject"));
    faults.put("already-claimed", new Fault.AlreadyClaimed("id"));
    faults.put("worker-refused", new Fault.WorkerRefused(503));
    faults.put("worker-unreachable", new Fault.WorkerUnreachable("worker"));
    faults.put("worker-cut", new Fault.WorkerCut("worker"));
    faults.put("worker-garbage", new Fault.WorkerGarbage("worker"));
    faults.put("worker-silent", new Fault.WorkerSilent("worker"));
    faults.put("worker-failed", new Fault.WorkerFailed(503));
    faults.put("run-cancelled", new Fault.RunCancelled());
    faults.put("item-expired", new Fault.ItemExpired());
    faults.put("item-failed", new Fault.ItemFailed(503));
    faults.put("item-impossible", new Fault.ItemImpossible());
    faults.put("unknown-duty", new Fault.UnknownDuty("duty"));
    faults.put("overloaded", new Fault.Overloaded("ring"));
    faults.put("internal-fault", new Fault.InternalFault("kind"));
  }
}
