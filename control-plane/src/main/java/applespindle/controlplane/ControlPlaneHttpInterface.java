package applespindle.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.adapters.HttpInterface;
import applespindle.adapters.HttpInterface.Call;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.InputReader;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.configuration.ConfigurationPatchRequest;
import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.SignedConfiguration;
import applespindle.corelogic.metadata.StorageNodeState;
import applespindle.corelogic.metadata.WorkerInput;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

/** What operators and the platform see of a core process; any of them will do. */
final class ControlPlaneHttpInterface {
  /** version: the one the list was made from; left out, the list is taken whatever it is. */
  record WorkerList(@Min(0) Long version, @NotNull List<@Valid @NotNull WorkerInput> workers) {}

  private static final String KEY_ID = "Applespindle-Key-Id";
  private static final ApiError SIGNATURE_UNREADABLE =
      new ApiError.SignatureRejected("the signature is not base64");

  private final ControlPlaneNode core;

  ControlPlaneHttpInterface(ControlPlaneNode core) {
    this.core = core;
  }

  void addTo(HttpInterface http) {
    http.post("/v1/bundles", call -> sendBundle(http, call));
    http.patch("/v1/bundles/current", call -> patchBundle(http, call));
    http.get(
        "/v1/bundles/current",
        call ->
            http.ask(
                then ->
                    core.command(
                        "read",
                        "bundle",
                        new byte[] {'{', '}'},
                        response -> then.accept(readBundle(response)))));
    http.get(
        "/v1/storage",
        call -> http.ask(then -> then.accept(Response.of(200, core.storageNodes()))));
    http.get(
        "/v1/storage/{id}/plan",
        call ->
            http.ask(
                then ->
                    then.accept(
                        Response.of(200, core.planDrain(core.storageId(call.parts().get("id")))))));
    http.post(
        "/v1/storage/{id}/empty",
        call -> http.ask(then -> storage(call, StorageNodeState.EMPTYING, then)));
    http.post(
        "/v1/storage/{id}/retire",
        call -> http.ask(then -> storage(call, StorageNodeState.RETIRED, then)));
    http.get(
        "/v1/workers", call -> http.ask(then -> then.accept(Response.of(200, core.workers()))));
    http.put("/v1/workers", call -> putAll(http, call));
    http.put("/v1/workers/{id}", call -> putWorker(http, call));
    http.post(
        "/v1/workers/{id}/leaving",
        call -> http.ask(then -> mark(call.parts().get("id"), true, then)));
    http.delete(
        "/v1/workers/{id}", call -> http.ask(then -> mark(call.parts().get("id"), false, then)));
  }

  private Promise<HttpResponse> sendBundle(HttpInterface http, Call call) {
    byte[] signature = signature(call);
    if (signature == null) {
      return HttpInterface.refuse(SIGNATURE_UNREADABLE);
    }
    var sent = new SignedConfiguration(0, call.body(), call.header(KEY_ID), signature);
    return http.ask(then -> core.command("bundle", "bundle", sent, then));
  }

  private Promise<HttpResponse> patchBundle(HttpInterface http, Call call) {
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
    return http.ask(then -> core.command("patch-bundle", "bundle", sent, then));
  }

  /** Null if it is not base64. */
  private static byte[] signature(Call call) {
    try {
      return Base64.getDecoder().decode(call.header("Applespindle-Signature"));
    } catch (IllegalArgumentException fault) {
      return null;
    }
  }

  private static Response readBundle(Response response) {
    if (!response.isSuccess()) {
      return response;
    }
    if (response.body().isNull()) {
      return Response.of(new ApiError.NoConfiguration());
    }
    SignedConfiguration inForce = JSON.convertValue(response.body(), SignedConfiguration.class);
    ObjectNode body =
        JSON.createObjectNode()
            .put("number", inForce.number())
            .put("keyId", inForce.keyId())
            .put("signature", Base64.getEncoder().encodeToString(inForce.signature()))
            .put("bytes", Base64.getEncoder().encodeToString(inForce.bytes()));
    body.set("bundle", applespindle.corelogic.common.Json.tree(inForce.bytes()));
    return Response.of(200, body);
  }

  private Promise<HttpResponse> putWorker(HttpInterface http, Call call) {
    JsonNode tree;
    try {
      tree = JSON.readTree(call.body());
    } catch (java.io.IOException fault) {
      return HttpInterface.refuse(
          new ApiError.InvalidInput(List.of(new ApiError.Field("$", "not well-formed JSON"))));
    }
    if (tree instanceof ObjectNode object && !object.has("id")) {
      object.put("id", call.parts().get("id"));
    }
    InputReader.Input<WorkerInput> input = InputReader.read(tree, WorkerInput.class);
    if (!input.isValid()) {
      return HttpInterface.refuse(new ApiError.InvalidInput(input.errors()));
    }
    if (!input.value().id().equals(call.parts().get("id"))) {
      return HttpInterface.refuse(
          new ApiError.InvalidInput(List.of(new ApiError.Field("$.id", "differs from the path"))));
    }
    return http.ask(then -> put(input.value(), then));
  }

  private void storage(Call call, String state, Consumer<Response> then) {
    String id = core.storageId(call.parts().get("id"));
    core.command(
        "storage", "storage/" + id, new StorageNodeState(id, call.parts().get("id"), state), then);
  }

  private void put(WorkerInput input, Consumer<Response> then) {
    core.command("worker", "worker/" + input.id(), ControlPlaneNode.workerListed(input), then);
  }

  private void mark(String id, boolean leaving, Consumer<Response> then) {
    core.command("worker", "worker/" + id, ControlPlaneNode.workerMarked(id, leaving), then);
  }

  /**
   * The whole list: puts each listed worker, takes out each other; answers once all of it is
   * committed.
   */
  private Promise<HttpResponse> putAll(HttpInterface http, Call call) {
    InputReader.Input<WorkerList> input = InputReader.read(call.body(), WorkerList.class);
    if (!input.isValid()) {
      return HttpInterface.refuse(new ApiError.InvalidInput(input.errors()));
    }
    var check = JSON.createObjectNode().put("from", input.value().version());
    return http.ask(
        then ->
            core.command(
                "list-version",
                MetadataKeys.WORKER_LIST_VERSION,
                check,
                response -> {
                  if (response.isSuccess()) {
                    putAll(input.value(), response.body().path("version").asLong(), then);
                  } else {
                    then.accept(response);
                  }
                }));
  }

  private void putAll(WorkerList list, long version, Consumer<Response> then) {
    Set<String> listed = new HashSet<>();
    list.workers().forEach(worker -> listed.add(worker.id()));
    List<String> gone = core.workerIds().stream().filter(id -> !listed.contains(id)).toList();
    int[] open = {list.workers().size() + gone.size() + 1};
    Response[] firstFault = new Response[1];
    Consumer<Response> each =
        response -> {
          if (!response.isSuccess() && firstFault[0] == null) {
            firstFault[0] = response;
          }
          if (--open[0] == 0) {
            then.accept(
                firstFault[0] != null
                    ? firstFault[0]
                    : Response.of(
                        200,
                        JSON.createObjectNode()
                            .put("version", version)
                            .put("listed", listed.size())
                            .put("gone", gone.size())));
          }
        };
    list.workers().forEach(worker -> put(worker, each));
    gone.forEach(id -> mark(id, false, each));
    each.accept(Response.of(200, JSON.nullNode()));
  }
}
