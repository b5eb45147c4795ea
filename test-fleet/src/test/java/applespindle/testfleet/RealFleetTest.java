package applespindle.testfleet;

import applespindle.operatortool.HttpCaller.Result;
import applespindle.testfleet.Fleet.Member;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

/** The one test on real processes: submit, stream, read, kill the leader, finish. It waits on events only. */
class RealFleetTest {
  private static final long GENEROUS_MS = 120_000;

  @Test void servesAndOutlivesTheLeaderOfABatch(@TempDir Path folder) throws IOException {
    String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    try (Fleet fleet = new Fleet(Deployment.SMALL, folder, classPath, 0)) {
      fleet.start();
      fleet.open(GENEROUS_MS);
      Member edge = fleet.member("edge-1");

      Result streamed = fleet.caller.post(edge.http, "/v1/completions",
          "{\"prompt\":\"is slip 9 ready?\",\"stream\":true,\"max_tokens\":3}".getBytes(UTF_8), Map.of());
      assertThat(streamed.text()).contains("\"finish_reason\":\"stop\"");
      assertThat(streamed.text()).endsWith("data: [DONE]\n\n");

      Result submitted = fleet.submit(edge, "first", Fleet.letters("guest", 60, 120, 10_000));
      assertThat(submitted.status()).isEqualTo(201);
      String batch = submitted.body().get("batch").asText();
      Fleet.awaitTrue("first results", GENEROUS_MS, () -> recorded(fleet, edge, batch) > 0);
      Result early = fleet.caller.get(edge.http, "/v1/batches/" + batch + "/results");

      Member leader = fleet.ofRole("edge").stream()
          .filter(member -> fleet.caller.get(member.http, "/v1/status").body().path("leads").has(batch))
          .findFirst().orElseThrow();
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
        assertThat(all.body().get("results").get(number)).isEqualTo(early.body().get("results").get(number));
      }
    }
  }

  private static int recorded(Fleet fleet, Member edge, String batch) {
    return fleet.caller.get(edge.http, "/v1/batches/" + batch).body().path("recorded").asInt(-1);
  }
}
