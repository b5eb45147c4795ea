package applespindle.testfleet.clients;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.PromptPart;
import applespindle.testfleet.clients.RouteOperators.Route;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import java.util.List;
import java.util.Set;

/**
 * One client's request over all its attempts. It retries only as far as its route and the responses
 * allow it; each attempt has its own request id.
 */
final class ProxiedRequestClient {
  private static final int MAX_ATTEMPTS = 4;
  private static final int MAX_TOKENS = 24;
  private static final int PROMPT_TOKENS = 280;
  private static final long MIN_TIME_LEFT_MS = 50;
  private static final double MIN_PAUSE_MS = 20;

  /** Statuses of refusals that guarantee that the request did not run. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  /** Statuses of refusals that any retry would get, too. */
  private static final Set<Integer> FINAL = Set.of(400, 401, 404, 413, 431);

  final Route route;
  final int tokens;
  private final ProxyClients clients;
  private final Simulation simulation;
  private final String target;
  private final byte[] body;
  private final List<PromptPart> prompt;

  /** Null where no tenants are configured. */
  private final SimulatedTenants.ClientKey key;

  private final long sentMs;
  private String resumeAfter = "";
  private int attempts;
  private boolean counted;

  ProxiedRequestClient(ProxyClients clients, Route route) {
    this.clients = clients;
    this.simulation = clients.simulation;
    this.route = route;
    this.sentMs = simulation.simulatedNowMs();
    this.tokens = 1 + simulation.random.nextInt(MAX_TOKENS);
    String name = clients.nextId("n");
    this.target = route.prefix() + name + "?again=" + simulation.random.nextInt(3);
    this.body = ("body-" + name + "." + tokens).getBytes(UTF_8);
    this.prompt = clients.prompt(name);
    this.key = clients.nextKey();
    this.counted = key == null || key.valid();
  }

  /** A client with a single attempt that counts for no statistics. */
  static ProxiedRequestClient probe(ProxyClients clients, Route route) {
    ProxiedRequestClient client = new ProxiedRequestClient(clients, route);
    client.attempts = MAX_ATTEMPTS;
    client.counted = false;
    return client;
  }

  /** Sends the request to a node; null for any. */
  void attempt(SimulatedProcess chosen) {
    if (attempts++ == 0 && counted) {
      clients.servedOf.computeIfAbsent(route.type(), unseen -> new int[2])[0]++;
    }
    SimulatedProcess edge = chosen != null ? chosen : clients.fleet.anyEdge();
    new ProxiedRequestAttempt(clients, this, edge).send();
  }

  ProxiedRequest request(String id) {
    return new ProxiedRequest(
        id,
        "POST",
        target,
        route.host(),
        List.of(new Header("Content-Type", "text/plain")),
        body,
        Math.max(1, timeLeftMs()),
        "m",
        PROMPT_TOKENS,
        tokens,
        prompt,
        resumeAfter,
        key == null ? "" : key.text());
  }

  /** Whether the client knows that requests need keys. */
  boolean hasKey() {
    return key != null;
  }

  long timeLeftMs() {
    return sentMs + ProxyClients.DEADLINE_MS - simulation.simulatedNowMs();
  }

  /** Whether its response is a stream of events. */
  boolean isStreaming() {
    return !route.type().equals("once") && !route.type().equals("repeatable");
  }

  /** Counts the outcome of an attempt, or retries where that is allowed. */
  void finished(ProxiedRequestAttempt last) {
    if (last.isComplete() && last.status() < 300) {
      countServed();
      return;
    }
    if (!mayRetry(last)) {
      return;
    }
    if (isResumable() && !last.lastEventId().isEmpty()) {
      resumeAfter = last.lastEventId();
      if (Integer.parseInt(resumeAfter) >= tokens) {
        return;
      }
    }
    double pauseMs = Math.min(last.retryAfterMs(), timeLeftMs() / 3.0);
    if (timeLeftMs() > MIN_TIME_LEFT_MS) {
      simulation.afterMs(Math.max(MIN_PAUSE_MS, pauseMs), () -> attempt(null));
    }
  }

  private void countServed() {
    if (counted) {
      clients.servedOf.get(route.type())[1]++;
      clients.latencies.add(simulation.simulatedNowMs() - sentMs);
    }
  }

  private boolean mayRetry(ProxiedRequestAttempt last) {
    boolean refusedForGood = FINAL.contains(last.status()) && !last.isComplete();
    if (refusedForGood || attempts >= MAX_ATTEMPTS) {
      return false;
    }
    boolean didNotRun = last.isRefused() && NOT_RUN.contains(last.status()) || last.isUnreachable();
    return didNotRun || isResumable() || route.type().equals("repeatable");
  }

  private boolean isResumable() {
    return route.type().equals("resumable");
  }
}
