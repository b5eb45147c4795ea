package applespindle.corelogic.node;

import static com.google.common.truth.Truth.assertThat;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Operation;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class OutgoingRequestTest {
  private static final long ATTEMPT_TIMEOUT_MS = 5_000;

  private final FakeEnvironment environment = new FakeEnvironment(1_000) {};
  private final PendingRequests pending = new PendingRequests();
  private final List<Response> responses = new ArrayList<>();
  private long correlation;

  private OutgoingRequest send() {
    OutgoingRequest request =
        new OutgoingRequest(
            environment,
            (sent, target) -> correlation = pending.register(sent),
            pending,
            attempt -> new NodeAddress("node", "10.0.0.1:1"),
            Operation.SUBMIT_BATCH,
            "batch/a",
            new byte[4 << 20],
            ATTEMPT_TIMEOUT_MS,
            environment.nowMs() + ATTEMPT_TIMEOUT_MS,
            responses::add);
    request.sendAttempt();
    return request;
  }

  /** Edges ended for memory: the timers of answered submissions kept their bodies for seconds. */
  @Test
  void anAnsweredRequestIsKeptByNoTimer() {
    send().handleResponse(correlation, Response.of(200, null));
    assertThat(responses).hasSize(1);
    assertThat(environment.scheduledTasks()).isEqualTo(0);
  }

  /** The same for a request that is tried again and then answered. */
  @Test
  void aRepeatedRequestIsKeptByNoTimerOnceItIsAnswered() {
    OutgoingRequest request = send();
    request.handleResponse(correlation, Response.of(new ApiError.Overloaded("memory")));
    environment.run(ATTEMPT_TIMEOUT_MS / 2);
    request.handleResponse(correlation, Response.of(200, null));
    assertThat(responses).hasSize(1);
    assertThat(environment.scheduledTasks()).isEqualTo(0);
  }
}
