package applespindle.testfleet.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.environment.ProxiedRequest;

/** What the simulated workers and the history take from a proxied request. */
public final class ProxiedRequestText {
  private ProxiedRequestText() {}

  /** A request in one line, as the history has it; the event to resume after is no part of it. */
  public static String asked(ProxiedRequest request) {
    return request.method()
        + " "
        + request.host()
        + " "
        + request.target()
        + " "
        + new String(request.body(), UTF_8);
  }

  /** The number of tokens to put out stands at the end of a body, after the last dot. */
  static int tokens(ProxiedRequest request) {
    String body = new String(request.body(), UTF_8);
    return Integer.parseInt(body.substring(body.lastIndexOf('.') + 1));
  }
}
