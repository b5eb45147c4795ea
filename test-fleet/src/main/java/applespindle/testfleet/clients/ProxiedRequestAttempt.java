package applespindle.testfleet.clients;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import applespindle.corelogic.live.ProxiedResponseListener;
import applespindle.corelogic.live.RequestHandle;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.ProxiedRequestText;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import applespindle.testfleet.simulation.Simulation.Caller;
import java.util.function.Consumer;

/** One attempt of a client's request at one node, with the response as far as it arrived. */
final class ProxiedRequestAttempt implements ProxiedResponseListener {
  private static final long MAX_STREAM_SILENCE_MS = 2_000;
  private static final long WATCH_EVERY_MS = 100;
  private static final double CLIENT_DELAY_MS = 0.3;
  private static final String EVENT_DATA = "data: ";

  /** How an attempt ended, as the history names it. */
  private enum Outcome {
    COMPLETE("complete"),
    CUT("cut"),
    REFUSED("refused"),
    BROKEN("broken"),
    UNREACHABLE("unreachable"),
    GIVEN_UP("given-up");

    private final String inHistory;

    Outcome(String inHistory) {
      this.inHistory = inHistory;
    }
  }

  private final ProxyClients clients;
  private final Simulation simulation;
  private final ProxiedRequestClient client;
  private final SimulatedProcess edge;
  private final String id;
  private final StringBuilder text = new StringBuilder();
  private RequestHandle handle;
  private Consumer<Runnable> whenOver;
  private String stamp = "";
  private String lastEventId = "";
  private int status;
  private long retryAfterMs;
  private long lastReceivedMs;

  /** Null while the attempt goes on. */
  private Outcome outcome;

  ProxiedRequestAttempt(ProxyClients clients, ProxiedRequestClient client, SimulatedProcess edge) {
    this.clients = clients;
    this.simulation = clients.simulation;
    this.client = client;
    this.edge = edge;
    this.id = clients.nextId("q");
  }

  int status() {
    return status;
  }

  /** The id of the last event that arrived, empty if none did. */
  String lastEventId() {
    return lastEventId;
  }

  long retryAfterMs() {
    return retryAfterMs;
  }

  boolean isComplete() {
    return outcome == Outcome.COMPLETE;
  }

  boolean isRefused() {
    return outcome == Outcome.REFUSED;
  }

  boolean isUnreachable() {
    return outcome == Outcome.UNREACHABLE;
  }

  void send() {
    ProxiedRequest request = client.request(id);
    lastReceivedMs = simulation.simulatedNowMs();
    String resumeAfter = request.resumeAfter().isEmpty() ? "" : " " + request.resumeAfter();
    simulation.history.add(
        simulation.simulatedNowMs(),
        Kind.REQUEST_SENT,
        id,
        client.route.type() + " " + edge.name + resumeAfter,
        ProxiedRequestText.asked(request),
        client.tokens);
    if (client.hasKey()) {
      simulation.history.add(
          simulation.simulatedNowMs(), Kind.REQUEST_KEY, id, "", request.apiKey(), 0);
    }
    simulation.call(
        edge,
        (Consumer<Runnable> then) -> {
          whenOver = then;
          handle = ((EdgeNode) edge.node()).proxy(request, this);
          if (outcome != null) {
            handle.cancel();
          }
        },
        new Caller<Runnable>() {
          @Override
          public void answered(Runnable answer) {
            answer.run();
          }

          @Override
          public void broken(boolean neverReached) {
            connectionLost(neverReached);
          }
        });
    watch();
  }

  private void connectionLost(boolean neverReached) {
    if (neverReached) {
      finish(Outcome.UNREACHABLE, status);
    } else {
      finish(status > 0 ? Outcome.CUT : Outcome.BROKEN, status);
    }
  }

  /** Gives up a stream that is silent for too long, and any other request at its deadline. */
  private void watch() {
    simulation.afterMs(
        WATCH_EVERY_MS,
        () -> {
          if (outcome != null) {
            return;
          }
          long silenceMs = simulation.simulatedNowMs() - lastReceivedMs;
          boolean timedOut =
              client.isStreaming() ? silenceMs > MAX_STREAM_SILENCE_MS : client.timeLeftMs() <= 0;
          if (timedOut) {
            giveUp();
          } else {
            watch();
          }
        });
  }

  private void giveUp() {
    finish(Outcome.GIVEN_UP, status);
    simulation.call(
        edge,
        (Consumer<Object> then) -> {
          if (handle != null) {
            handle.cancel();
          }
        },
        new Caller<>() {
          @Override
          public void answered(Object answer) {
            // Nobody waits for it.
          }

          @Override
          public void broken(boolean neverReached) {
            // Nothing is left to cancel.
          }
        });
  }

  /** Runs a step at the client, unless the attempt is over by then. */
  private void receive(Runnable step) {
    simulation.afterMs(
        CLIENT_DELAY_MS,
        () -> {
          if (outcome == null) {
            lastReceivedMs = simulation.simulatedNowMs();
            step.run();
          }
        });
  }

  @Override
  public void head(ResponseHead head) {
    receive(
        () -> {
          status = head.status();
          stamp =
              head.headers().stream()
                  .filter(header -> header.name().equalsIgnoreCase("Stamp"))
                  .map(Header::value)
                  .findFirst()
                  .orElse("");
        });
  }

  @Override
  public void chunk(ResponseChunk chunk) {
    receive(
        () -> {
          String bytes = new String(chunk.bytes(), UTF_8);
          if (chunk.eventId().isEmpty()) {
            text.append(bytes);
          } else {
            text.append(chunk.eventId()).append(':').append(eventData(bytes)).append('\n');
            lastEventId = chunk.eventId();
          }
        });
  }

  private static String eventData(String event) {
    return event
        .lines()
        .filter(line -> line.startsWith(EVENT_DATA))
        .map(line -> line.substring(EVENT_DATA.length()))
        .findFirst()
        .orElse("");
  }

  @Override
  public void end() {
    whenOver.accept(() -> finish(Outcome.COMPLETE, status));
  }

  @Override
  public void rejected(Response response) {
    whenOver.accept(
        () -> {
          retryAfterMs = response.retryAfterMs();
          clients.refusals.merge(response.errorType(), 1, Integer::sum);
          finish(Outcome.REFUSED, response.status());
        });
  }

  @Override
  public void truncated(ApiError error) {
    whenOver.accept(() -> finish(Outcome.CUT, status));
  }

  private void finish(Outcome how, int finalStatus) {
    if (outcome != null) {
      return;
    }
    outcome = how;
    status = finalStatus;
    simulation.history.add(
        simulation.simulatedNowMs(),
        Kind.REQUEST_ANSWERED,
        id,
        how.inHistory,
        stamp + "\n" + text,
        status);
    client.finished(this);
  }
}
