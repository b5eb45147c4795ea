package applespindle.testfleet.processes;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.operatortool.HttpCaller.Result;
import applespindle.testfleet.deployment.Deployment;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What real processes say to input they should not get. */
class BadInputTest {
  private static final long GENEROUS_MS = 120_000;
  @TempDir static Path folder;
  private static Fleet fleet;
  private static String edge;
  private static String core;

  @BeforeAll
  static void start() throws IOException {
    fleet =
        new Fleet(
            Deployment.SMALL,
            folder,
            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
            0);
    fleet.start();
    fleet.open(GENEROUS_MS);
    edge = fleet.member("edge-1").http;
    core = fleet.member("core-1").http;
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  private static Result submit(String key, String body) {
    return fleet.caller.post(
        edge,
        "/v1/batches",
        body.getBytes(UTF_8),
        key.isEmpty() ? Map.of() : Map.of("Idempotency-Key", key));
  }

  private static void refuses(Result result, int status, String type, String... paths) {
    assertThat(result.body().path("type").asText()).isEqualTo(type);
    assertThat(result.status()).isEqualTo(status);
    List<String> named = new ArrayList<>();
    result.body().at("/detail/fields").forEach(field -> named.add(field.path("path").asText()));
    assertThat(named).containsExactlyElementsIn(List.of(paths));
  }

  @Test
  void namesEveryInvalidFieldOfABatch() {
    refuses(submit("a", "{"), 400, "InvalidInput", "$");
    refuses(submit("a", "[]"), 400, "InvalidInput", "$");
    refuses(submit("", "{}"), 400, "InvalidInput", "header Idempotency-Key");
    refuses(submit("a", "{\"items\": []}"), 400, "InvalidInput", "$.items");
    refuses(
        submit(
            "a",
            "{\"items\": [{\"id\": \"x\", \"prompt\": \"p\"}, {\"id\": \"x\", \"prompt\":"
                + " \"p\"}]}"),
        400,
        "InvalidInput",
        "$.items[1].id");
    refuses(
        submit(
            "a",
            """
            {"items": [{"id": 7, "prompt": "p"}, {"id": "y", "prompt": "", "max_tokens": -1}, {"id": "z", "prompt": "p",
             "max_tokens": 99999999999}], "due_in_ms": 0, "more": 1}\
            """),
        400,
        "InvalidInput",
        "$.due_in_ms",
        "$.items[0].id",
        "$.items[1].max_tokens",
        "$.items[1].prompt",
        "$.items[2].max_tokens",
        "$.more");
    refuses(
        submit("a", "{\"items\": [{\"id\": \"x\", \"prompt\": \"" + "p".repeat(5 << 20) + "\"}]}"),
        413,
        "InputTooLarge");
  }

  @Test
  void tellsOneKeyWithOtherContentApart() {
    String batch = "{\"items\": [{\"id\": \"x\", \"prompt\": \"one\", \"max_tokens\": 1}]}";
    assertThat(submit("same", batch).status()).isEqualTo(201);
    assertThat(submit("same", batch).status()).isEqualTo(201);
    refuses(submit("same", batch.replace("one", "two")), 409, "KeyContentConflict");
  }

  @Test
  void knowsItsPathsAndMethods() {
    refuses(fleet.caller.get(edge, "/v2/none"), 404, "NoSuchPath");
    refuses(fleet.caller.get(edge, "/v1/batches"), 405, "MethodNotAllowed");
    refuses(fleet.caller.get(edge, "/v1/batches/b-0"), 404, "NoSuchBatch");
    refuses(
        fleet.caller.post(edge, "/v1/batches/b-0/end", new byte[0], Map.of()), 404, "NoSuchBatch");
    refuses(
        fleet.caller.get(edge, "/v1/batches/b-0/results?after=-1"),
        400,
        "InvalidInput",
        "query after");
    refuses(
        fleet.caller.post(edge, "/v1/completions", "{\"max_tokens\": 0}".getBytes(UTF_8), Map.of()),
        400,
        "InvalidInput",
        "$.max_tokens",
        "$.prompt");
  }

  @Test
  void countsWhatItRefuses() {
    fleet.caller.post(
        edge,
        "/v1/completions",
        "{\"prompt\": \"p\", \"max_tokens\": 1}".getBytes(UTF_8),
        Map.of());
    String metrics = fleet.caller.get(edge, "/metrics").text();
    assertThat(metrics).containsMatch("applespindle_live_served_total [1-9]");
    assertThat(metrics).contains("applespindle_bundle 1.0");
  }

  @Test
  void rejectsConfigurationsWithTheirError() {
    refuses(
        fleet.caller.post(
            core,
            "/v1/bundles",
            "{}".getBytes(UTF_8),
            Map.of("Applespindle-Key-Id", "nobody", "Applespindle-Signature", "AAAA")),
        403,
        "SignatureRefused");
    refuses(
        fleet.caller.post(
            core,
            "/v1/bundles",
            "{}".getBytes(UTF_8),
            Map.of("Applespindle-Key-Id", "operator", "Applespindle-Signature", "AAAA")),
        403,
        "SignatureRefused");
    refuses(
        fleet.sendConfiguration(core, "{\"number\": 2, \"pools\": {}, \"rules\": []}"),
        422,
        "InvalidBundle",
        "$.limits",
        "$.pools",
        "$.rules");
    Result conflict =
        fleet.sendConfiguration(core, fleet.deployment.configuration(1).replace("100", "101"));
    refuses(conflict, 409, "BundleConflict");
    assertThat(conflict.body().at("/detail/numberInForce").asLong()).isEqualTo(1);
    assertThat(fleet.sendConfiguration(core, fleet.deployment.configuration(1)).status())
        .isEqualTo(200);
  }

  @Test
  void comparesTheWorkerListsVersion() {
    Result present = fleet.caller.get(core, "/v1/workers");
    long version = present.body().path("version").asLong();
    refuses(
        fleet.caller.put(
            core,
            "/v1/workers",
            ("{\"version\": " + (version + 5) + ", \"workers\": []}").getBytes(UTF_8)),
        409,
        "VersionConflict");
    refuses(
        fleet.caller.put(core, "/v1/workers/w9", "{\"address\": \"host:1\"}".getBytes(UTF_8)),
        400,
        "InvalidInput",
        "$.address",
        "$.pool");
    refuses(
        fleet.caller.call(HttpMethod.POST, core, "/v1/workers/none/leaving", new byte[0], Map.of()),
        404,
        "NoSuchWorker");
    refuses(
        fleet.caller.post(core, "/v1/storage/none/empty", new byte[0], Map.of()),
        404,
        "NoSuchStorage");
  }

  @Test
  void closesAPeerConnectionThatBringsGarbageAndGoesOn() throws IOException {
    String peer = fleet.caller.get(edge, "/v1/status").body().path("peer").asText();
    try (Socket socket =
        new Socket("127.0.0.1", Integer.parseInt(peer.substring(peer.indexOf(':') + 1)))) {
      socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8));
      InputStream answers = socket.getInputStream();
      assertThat(answers.read()).isEqualTo(-1);
    }
    assertThat(fleet.caller.get(edge, "/live").status()).isEqualTo(200);
  }
}
