package applespindle.testfleet.processes;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.operatortool.HttpCaller.Result;
import applespindle.operatortool.OperatorTool;
import applespindle.testfleet.deployment.Deployment;
import applespindle.testfleet.processes.Fleet.Member;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The one test on real processes: submit, stream, read, kill the leader, finish. It waits on events
 * only.
 */
class RealFleetTest {
  private static final long GENEROUS_MS = 120_000;

  @Test
  void servesAndOutlivesTheLeaderOfABatch(@TempDir Path folder) throws IOException {
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    try (Fleet fleet = new Fleet(Deployment.SMALL, folder, classPath, 0)) {
      fleet.start();
      fleet.open(GENEROUS_MS);
      Member edge = fleet.member("edge-1");

      String[] nodes =
          fleet.members.values().stream().map(member -> member.http).toArray(String[]::new);
      Fleet.awaitTrue("preflight", GENEROUS_MS, () -> preflight(nodes) == 0);
      String[] andNobody = Arrays.copyOf(nodes, nodes.length + 1);
      andNobody[nodes.length] = "127.0.0.1:1";
      assertThat(preflight(andNobody)).isEqualTo(1);

      Result streamed =
          fleet.caller.post(
              edge.http,
              "/v1/completions",
              "{\"prompt\":\"is slip 9 ready?\",\"stream\":true,\"max_tokens\":3}".getBytes(UTF_8),
              Map.of());
      assertThat(streamed.text()).contains("\"finish_reason\":\"stop\"");
      assertThat(streamed.text()).endsWith("data: [DONE]\n\n");

      assertThat(counter(fleet, edge, "live_cancelled")).isEqualTo(0);
      String[] place = edge.http.split(":");
      byte[] slow = "{\"prompt\":\"a long note\",\"max_tokens\":4000}".getBytes(UTF_8);
      try (Socket sender = new Socket(place[0], Integer.parseInt(place[1]))) {
        sender
            .getOutputStream()
            .write(
                ("POST /v1/completions HTTP/1.1\r\nHost: "
                        + edge.http
                        + "\r\nContent-Length: "
                        + slow.length
                        + "\r\n\r\n")
                    .getBytes(UTF_8));
        sender.getOutputStream().write(slow);
        Fleet.awaitTrue("its run", GENEROUS_MS, () -> running(fleet, edge) > 0);
      }
      Fleet.awaitTrue(
          "the sender's leave to be noticed",
          GENEROUS_MS,
          () -> counter(fleet, edge, "live_cancelled") > 0);
      assertThat(running(fleet, edge)).isEqualTo(0);

      Result whole =
          fleet.caller.post(
              edge.http,
              "/v1/completions",
              "{\"prompt\":\"a note\",\"max_tokens\":300}".getBytes(UTF_8),
              Map.of());
      assertThat(whole.status()).isEqualTo(200);
      assertThat(whole.body().at("/choices/0/finish_reason").asText()).isEqualTo("stop");

      Result submitted = fleet.submit(edge, "first", Fleet.letters("guest", 60, 120, 10_000));
      assertThat(submitted.status()).isEqualTo(201);
      String batch = submitted.body().get("batch").asText();
      Fleet.awaitTrue("first results", GENEROUS_MS, () -> recorded(fleet, edge, batch) > 0);
      Result early = fleet.caller.get(edge.http, "/v1/batches/" + batch + "/results");

      Member leader =
          fleet.ofRole("edge").stream()
              .filter(
                  member ->
                      fleet.caller.get(member.http, "/v1/status").body().path("leads").has(batch))
              .findFirst()
              .orElseThrow();
      leader.kill();
      Member other = fleet.ofRole("edge").stream().filter(Member::alive).findFirst().orElseThrow();
      Fleet.awaitTrue("the batch's end", GENEROUS_MS, () -> recorded(fleet, other, batch) == 60);

      Result all = fleet.caller.get(other.http, "/v1/batches/" + batch + "/results");
      Map<String, String> outputs = new TreeMap<>();
      for (JsonNode row : all.body().get("results")) {
        assertThat(outputs.put(row.get("id").asText(), row.get("output").asText())).isNull();
      }
      assertThat(outputs).hasSize(60);
      for (int number = 0; number < early.body().get("results").size(); number++) {
        assertThat(all.body().get("results").get(number))
            .isEqualTo(early.body().get("results").get(number));
      }
    }
  }

  private static int preflight(String[] nodes) {
    String[] words =
        Stream.concat(Stream.of("preflight", "--nodes"), Arrays.stream(nodes))
            .toArray(String[]::new);
    return OperatorTool.execute(words);
  }

  private static long running(Fleet fleet, Member edge) {
    return fleet.caller.get(edge.http, "/v1/status").body().path("liveRunning").asLong();
  }

  private static long counter(Fleet fleet, Member edge, String name) {
    String text = fleet.caller.get(edge.http, "/metrics").text();
    return Metrics.counters(text).getOrDefault(name, 0.0).longValue();
  }

  private static int recorded(Fleet fleet, Member edge, String batch) {
    return fleet.caller.get(edge.http, "/v1/batches/" + batch).body().path("recorded").asInt(-1);
  }
}
