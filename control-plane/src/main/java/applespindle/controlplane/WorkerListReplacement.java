package applespindle.controlplane;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import java.util.function.Consumer;

/**
 * Collects the responses to the commands that replace the list of workers, and responds once for
 * all of them.
 *
 * <p>State owned: the number of calls still expected, and the first failure. Invariant: the
 * callback runs once, after the last expected call; it gets the first failure if there is one.
 */
final class WorkerListReplacement {
  /**
   * The response to a complete replacement.
   *
   * @param version the new version of the list
   * @param listed the number of workers in the list
   * @param gone the number of workers that the list no longer names
   */
  record Result(long version, int listed, int gone) {}

  private final Result result;
  private final Consumer<Response> callback;
  private int expectedResponses;
  private Response firstFailure;

  /** Expects a response to each command, and a call of {@link #allSent}. */
  WorkerListReplacement(int commands, Result result, Consumer<Response> callback) {
    this.expectedResponses = commands + 1;
    this.result = result;
    this.callback = callback;
  }

  /** Takes the response to one of the commands. */
  void onResponse(Response response) {
    if (!response.isSuccess() && firstFailure == null) {
      firstFailure = response;
    }
    onExpected();
  }

  /** Called once all commands are sent; until then there is no response. */
  void allSent() {
    onExpected();
  }

  private void onExpected() {
    expectedResponses--;
    if (expectedResponses == 0) {
      callback.accept(
          firstFailure != null ? firstFailure : Response.of(200, JSON.valueToTree(result)));
    }
  }
}
