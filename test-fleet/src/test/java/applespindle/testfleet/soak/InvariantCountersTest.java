package applespindle.testfleet.soak;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.testfleet.soak.InvariantCounters.Life;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class InvariantCountersTest {
  private static final Life FIRST = new Life("edge-1", 1);
  private static final Life SECOND = new Life("edge-1", 2);
  private final InvariantCounters counters = new InvariantCounters();
  private volatile String metrics = "";
  private HttpServer process;
  private String http;

  @BeforeEach
  void listen() throws IOException {
    process = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    process.createContext(
        "/metrics",
        exchange -> {
          byte[] body = metrics.getBytes(UTF_8);
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    process.start();
    http = "127.0.0.1:" + process.getAddress().getPort();
  }

  @AfterEach
  void stop() {
    process.stop(0);
  }

  @Test
  void countsOfOneIncarnationAreKeptByTheNext() {
    metrics = "applespindle_invariant_position_changed_total 2.0\n";
    assertThat(counters.read(FIRST, http)).isTrue();
    metrics = "applespindle_invariant_position_changed_total 0.0\n";
    assertThat(counters.read(SECOND, http)).isTrue();
    assertThat(counters.broken()).containsExactly("edge-1 invariant_position_changed 2");
    assertThat(counters.seen()).isEqualTo(1);
  }

  @Test
  void othersThanInvariantsAreNotCounted() {
    metrics = "applespindle_live_taken_total 5.0\napplespindle_invariant_kept_total 0.0\n";
    counters.read(FIRST, http);
    assertThat(counters.broken()).isEmpty();
    assertThat(counters.seen()).isEqualTo(1);
  }

  @Test
  void aProcessThatDoesNotAnswerKeepsItsLastReading() {
    metrics = "applespindle_invariant_position_changed_total 2.0\n";
    counters.read(FIRST, http);
    process.stop(0);
    assertThat(counters.read(FIRST, http)).isFalse();
    assertThat(counters.broken()).hasSize(1);
  }
}
