package applespindle.corelogic.node;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.PeerRequest;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One run that throws an exception must not end a node's timer. */
final class NodeTimerTest {
  private static final long INTERVAL_MS = 100;

  private static final class TickingNode extends Node {
    private int runs;

    TickingNode(FakeEnvironment environment) {
      super(environment, new NodeIdentity("n", 1, "n", "z", "edge", "", "", List.of()));
    }

    @Override
    public void start() {
      repeatEvery(INTERVAL_MS, this::tick);
    }

    private void tick() {
      runs++;
      if (runs == 1) {
        throw new ArithmeticException("of the first run");
      }
    }

    @Override
    public void recover(LogRecord record) {}

    @Override
    public List<LogRecord> checkpoint() {
      return List.of();
    }

    @Override
    public void stop(Runnable whenDone) {}

    @Override
    public String notReadyReason() {
      return "";
    }

    @Override
    public ObjectNode status() {
      return null;
    }

    @Override
    protected void handle(Message message, String fromId, String fromAddress) {}

    @Override
    protected void handleRequest(PeerRequest request) {}
  }

  @Test
  void aTimerGoesOnAfterARunThatThrows() {
    FakeEnvironment environment = new FakeEnvironment(0) {};
    TickingNode node = new TickingNode(environment);
    node.start();
    assertThrows(ArithmeticException.class, () -> environment.run(INTERVAL_MS));
    environment.run(2 * INTERVAL_MS);
    assertThat(node.runs).isAtLeast(2);
  }
}
