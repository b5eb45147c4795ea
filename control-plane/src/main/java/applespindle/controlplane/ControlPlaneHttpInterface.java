package applespindle.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.adapters.HttpInterface;
import applespindle.adapters.HttpInterface.Call;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.InputReader;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.ConfigurationPatchRequest;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.metadata.WorkerInput;
import applespindle.corelogic.protocol.Operation;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import java.io.IOException;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The HTTP interface of a control plane process for operators and the platform. Every process
 * accepts every request and sends it on to the leader of its key. It owns no state.
 */
final class ControlPlaneHttpInterface {
  /**
   * The body that replaces the list of workers.
   *
   * @param version the version on which the list is based; if null, the list replaces any version
   */
  record WorkerList(@Min(0) Long version, @NotNull List<@Valid @NotNull WorkerInput> workers) {}

  /** The body of the command that raises the version of the worker list. */
  private record ListVersionCheck(Long from) {}

  /** The configuration in force; binary fields are base64. */
  private record ConfigurationResponse(
      long number,
      String keyId,
      String signature,
      String bytes,
      @JsonProperty("bundle") JsonNode configuration) {}

  private static final int STATUS_OK = 200;

  /** The body of a command without parameters. */
  private static final byte[] NO_BODY = {'{', '}'};

  private static final String SIGNATURE = "Applespindle-Signature";
  private static final String KEY_ID = "Applespindle-Key-Id";
  private static final ApiError SIGNATURE_UNREADABLE =
      new ApiError.SignatureRejected("the signature is not base64");

  private final ControlPlaneNode controlPlane;

  ControlPlaneHttpInterface(ControlPlaneNode controlPlane) {
    this.controlPlane = controlPlane;
  }

  /** Registers the routes. */
  void addTo(HttpInterface http) {
    addConfigurationRoutes(http);
    addStorageRoutes(http);
    addWorkerRoutes(http);
  }

  private void addConfigurationRoutes(HttpInterface http) {
    http.post("/v1/bundles", call -> sendConfiguration(http, call));
    http.patch("/v1/bundles/current", call -> patchConfiguration(http, call));
    http.get("/v1/bundles/current", call -> http.ask(this::readConfiguration));
  }

  private void addStorageRoutes(HttpInterface http) {
    http.get("/v1/storage", call -> http.ask(this::storageNodes));
    http.get("/v1/storage/{id}/plan", call -> http.ask(then -> planDrain(idOf(call), then)));
    http.post(
        "/v1/storage/{id}/empty",
        call -> http.ask(then -> markStorageNode(idOf(call), StorageNodeState.DRAINING, then)));
    http.post(
        "/v1/storage/{id}/retire",
        call -> http.ask(then -> markStorageNode(idOf(call), StorageNodeState.RETIRED, then)));
  }

  private void addWorkerRoutes(HttpInterface http) {
    http.get("/v1/workers", call -> http.ask(this::workers));
    http.put("/v1/workers", call -> replaceWorkers(http, call));
    http.put("/v1/workers/{id}", call -> putWorker(http, call));
    http.post(
        "/v1/workers/{id}/leaving", call -> http.ask(then -> markWorker(idOf(call), true, then)));
    http.delete("/v1/workers/{id}", call -> http.ask(then -> markWorker(idOf(call), false, then)));
  }

  private static String idOf(Call call) {
    return call.parts().get("id");
  }

  // ---- configuration

  private Promise<HttpResponse> sendConfiguration(HttpInterface http, Call call) {
    byte[] signature = signature(call);
    if (signature == null) {
      return HttpInterface.refuse(SIGNATURE_UNREADABLE);
    }
    var sent = new SignedConfiguration(0, call.body(), call.header(KEY_ID), signature);
    return http.ask(
        then ->
            controlPlane.command(
                Operation.SET_CONFIGURATION, MetadataKeys.CONFIGURATION, sent, then));
  }

  private Promise<HttpResponse> patchConfiguration(HttpInterface http, Call call) {
    OptionalLong base = call.revisionMatched();
    if (base.isEmpty()) {
      return HttpInterface.refuse(HttpInterface.NO_REVISION_MATCHED);
    }
    byte[] signature = signature(call);
    if (signature == null) {
      return HttpInterface.refuse(SIGNATURE_UNREADABLE);
    }
    var sent =
        new ConfigurationPatchRequest(
            call.body(), base.getAsLong(), call.header(KEY_ID), signature);
    return http.ask(
        then ->
            controlPlane.command(
                Operation.PATCH_CONFIGURATION, MetadataKeys.CONFIGURATION, sent, then));
  }

  /** Null if it is not base64. */
  private static byte[] signature(Call call) {
    try {
      return Base64.getDecoder().decode(call.header(SIGNATURE));
    } catch (IllegalArgumentException fault) {
      return null;
    }
  }

  private void readConfiguration(Consumer<Response> then) {
    controlPlane.command(
        Operation.READ_KEY,
        MetadataKeys.CONFIGURATION,
        NO_BODY,
        response -> then.accept(configurationResponse(response)));
  }

  private static Response configurationResponse(Response response) {
    if (!response.isSuccess()) {
      return response;
    }
    if (response.body().isNull()) {
      return Response.of(new ApiError.NoConfiguration());
    }
    SignedConfiguration inForce = JSON.convertValue(response.body(), SignedConfiguration.class);
    Base64.Encoder base64 = Base64.getEncoder();
    return Response.of(
        STATUS_OK,
        new ConfigurationResponse(
            inForce.number(),
            inForce.keyId(),
            base64.encodeToString(inForce.signature()),
            base64.encodeToString(inForce.bytes()),
            Json.tree(inForce.bytes())));
  }

  // ---- storage nodes

  private void storageNodes(Consumer<Response> then) {
    then.accept(Response.of(STATUS_OK, controlPlane.storageNodes()));
  }

  private void planDrain(String idOrName, Consumer<Response> then) {
    then.accept(Response.of(STATUS_OK, controlPlane.planDrain(controlPlane.storageId(idOrName))));
  }

  private void markStorageNode(String idOrName, String state, Consumer<Response> then) {
    String id = controlPlane.storageId(idOrName);
    controlPlane.command(
        Operation.SET_STORAGE_NODE_STATE,
        MetadataKeys.STORAGE_PREFIX + id,
        new StorageNodeState(id, idOrName, state),
        then);
  }

  // ---- workers

  private void workers(Consumer<Response> then) {
    then.accept(Response.of(STATUS_OK, controlPlane.workers()));
  }

  /**
   * Registers one worker; the id in the body may be left out, but must not differ from the path.
   */
  private Promise<HttpResponse> putWorker(HttpInterface http, Call call) {
    JsonNode tree;
    try {
      tree = JSON.readTree(call.body());
    } catch (IOException fault) {
      return HttpInterface.refuse(
          new ApiError.InvalidInput(List.of(new ApiError.Field("$", "not well-formed JSON"))));
    }
    if (tree instanceof ObjectNode object && !object.has("id")) {
      object.put("id", idOf(call));
    }
    InputReader.Input<WorkerInput> input = InputReader.read(tree, WorkerInput.class);
    if (!input.isValid()) {
      return HttpInterface.refuse(new ApiError.InvalidInput(input.errors()));
    }
    if (!input.value().id().equals(idOf(call))) {
      return HttpInterface.refuse(
          new ApiError.InvalidInput(List.of(new ApiError.Field("$.id", "differs from the path"))));
    }
    return http.ask(then -> registerWorker(input.value(), then));
  }

  private void registerWorker(WorkerInput input, Consumer<Response> then) {
    controlPlane.command(
        Operation.SET_WORKER,
        MetadataKeys.WORKER_PREFIX + input.id(),
        ControlPlaneNode.workerRegistration(input),
        then);
  }

  /** Marks the worker as leaving, or else as gone. */
  private void markWorker(String id, boolean leaving, Consumer<Response> then) {
    controlPlane.command(
        Operation.SET_WORKER,
        MetadataKeys.WORKER_PREFIX + id,
        ControlPlaneNode.workerMark(id, leaving),
        then);
  }

  /**
   * Replaces the list of workers, if its version is the expected one: registers each listed worker
   * and marks every other one as gone.
   */
  private Promise<HttpResponse> replaceWorkers(HttpInterface http, Call call) {
    InputReader.Input<WorkerList> input = InputReader.read(call.body(), WorkerList.class);
    if (!input.isValid()) {
      return HttpInterface.refuse(new ApiError.InvalidInput(input.errors()));
    }
    var check = new ListVersionCheck(input.value().version());
    return http.ask(
        then ->
            controlPlane.command(
                Operation.RAISE_WORKER_LIST_VERSION,
                MetadataKeys.WORKER_LIST_VERSION,
                check,
                response -> {
                  if (response.isSuccess()) {
                    long version = response.body().path("version").asLong();
                    replaceWorkers(input.value(), version, then);
                  } else {
                    then.accept(response);
                  }
                }));
  }

  private void replaceWorkers(WorkerList list, long version, Consumer<Response> then) {
    Set<String> listed = new HashSet<>();
    list.workers().forEach(worker -> listed.add(worker.id()));
    List<String> gone =
        controlPlane.workerIds().stream().filter(id -> !listed.contains(id)).toList();
    var replacement =
        new WorkerListReplacement(
            list.workers().size() + gone.size(),
            new WorkerListReplacement.Result(version, listed.size(), gone.size()),
            then);
    list.workers().forEach(worker -> registerWorker(worker, replacement::onResponse));
    gone.forEach(id -> markWorker(id, false, replacement::onResponse));
    replacement.allSent();
  }
}
