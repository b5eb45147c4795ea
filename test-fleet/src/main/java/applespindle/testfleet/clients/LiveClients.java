package applespindle.testfleet.clients;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.live.LiveRequest;
import applespindle.corelogic.live.LiveResponseListener;
import applespindle.corelogic.live.RequestHandle;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.simulation.SimulatedProcess;
import applespindle.testfleet.simulation.Simulation;
import applespindle.testfleet.simulation.Simulation.Caller;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Simulated clients that send live prompts to the edges of one fleet. */
final class LiveClients {
  private static final long TIMEOUT_MS = 12_000;
  private static final int DUPLICATE_ONE_IN = 5;
  private static final int MAX_RETRIES = 3;
  private static final double RETRY_PAUSE_MS = 400;
  private static final double CLIENT_DELAY_MS = 0.3;
  private static final int NOTE_TOKENS = 24;
  private static final int CHECK_TOKENS = 2;

  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final Set<String> retriedAfterRefusal = new HashSet<>();
  private long lastNumber;

  LiveClients(SimulatedFleet fleet) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
  }

  /** Sends requests of a class as a Poisson process of a rate. */
  void live(String trafficClass, double perSecond, long fromMs, long untilMs) {
    if (perSecond <= 0) {
      return;
    }
    simulation.atMs(fromMs, () -> sendNext(trafficClass, perSecond, untilMs));
  }

  private void sendNext(String trafficClass, double perSecond, long untilMs) {
    if (simulation.simulatedNowMs() >= untilMs) {
      return;
    }
    sendSometimesTwice(trafficClass, trafficClass.equals("once") ? "once-" + lastNumber : "");
    double gap = -Math.log(1 - simulation.random.nextDouble()) * 1000 / perSecond;
    simulation.afterMs(gap, () -> sendNext(trafficClass, perSecond, untilMs));
  }

  /**
   * Sends a request. One with a once-id is sometimes sent twice concurrently; without a definite
   * response it is sent again to another node.
   */
  private void sendSometimesTwice(String trafficClass, String once) {
    send(trafficClass, once, 0);
    if (!once.isEmpty() && simulation.random.nextInt(DUPLICATE_ONE_IN) == 0) {
      send(trafficClass, once, MAX_RETRIES);
    }
  }

  private void send(String trafficClass, String once, int repeats) {
    new SentRequest(trafficClass, once, repeats).send();
  }

  /**
   * Sends a refused request again after the time that its response named; some scenarios expect how
   * many of these are served.
   */
  private void retryAfterRefusal(String id, int seconds, String trafficClass) {
    if (fleet.clientsRetryWhenRefused
        && trafficClass.equals("check")
        && !retriedAfterRefusal.contains(id)) {
      simulation.afterMs(
          1000.0 * seconds,
          () -> {
            retriedAfterRefusal.add("l" + (lastNumber + 1));
            send(trafficClass, "", 0);
          });
    }
  }

  /**
   * The percentage of requests served among those sent again after a refusal; 100 if there are
   * none.
   */
  long cameBackPercent() {
    long served =
        simulation.history.of(Kind.LIVE_ANSWERED).stream()
            .filter(
                seen ->
                    retriedAfterRefusal.contains(seen.subject())
                        && seen.detail().equals("complete"))
            .count();
    return retriedAfterRefusal.isEmpty() ? 100 : 100 * served / retriedAfterRefusal.size();
  }

  /** One request at one edge, from its sending to its response or its timeout. */
  private final class SentRequest implements LiveResponseListener, Caller<Runnable> {
    private final String trafficClass;
    private final String once;
    private final int repeats;
    private final String id;
    private final int tokens;
    private final String prompt;
    private final boolean stream;
    private final SimulatedProcess edge;
    private final long sentAt;
    private final StringBuilder streamed = new StringBuilder();
    private RequestHandle handle;
    private Consumer<Runnable> answer;
    private boolean done;

    SentRequest(String trafficClass, String once, int repeats) {
      this.trafficClass = trafficClass;
      this.once = once;
      this.repeats = repeats;
      id = "l" + ++lastNumber;
      tokens = isNote() ? NOTE_TOKENS : CHECK_TOKENS;
      int family = simulation.random.nextInt(SimulatedFleet.FAMILIES);
      prompt = SimulatedFleet.familyPrompt(family, id);
      stream = simulation.random.nextBoolean();
      edge = fleet.anyEdge();
      sentAt = simulation.simulatedNowMs();
    }

    private boolean isNote() {
      return trafficClass.equals("note");
    }

    void send() {
      simulation.history.add(sentAt, Kind.LIVE_SENT, id, once, prompt, tokens);
      simulation.history.add(sentAt, Kind.LIVE_AT, id, edge.name, "", 0);
      simulation.history.add(sentAt, Kind.LIVE_CLASS, id, isNote() ? "note" : "check", prompt, 0);
      simulation.call(edge, this::begin, this);
      simulation.afterMs(TIMEOUT_MS, this::timeOut);
    }

    /** Runs at the edge. */
    private void begin(Consumer<Runnable> then) {
      answer = then;
      ObjectNode body =
          JSON.createObjectNode()
              .put("prompt", prompt)
              .put("max_tokens", tokens)
              .put("stream", true);
      var request =
          new LiveRequest("sender", null, trafficClass, Map.of(), prompt, body, stream, once);
      handle = ((EdgeNode) edge.node()).complete(request, this);
    }

    @Override
    public void text(String text) {
      simulation.afterMs(CLIENT_DELAY_MS, () -> streamed.append(done ? "" : text));
    }

    @Override
    public void end(String completeOutput, String finishReason) {
      answer.accept(() -> finish(200, "complete", stream ? streamed.toString() : completeOutput));
    }

    @Override
    public void fail(Response response, boolean cut) {
      if (!cut && response.retryAfterSeconds() > 0) {
        long tookMs = simulation.simulatedNowMs() - sentAt;
        fleet.refusedAfterMs.merge(response.errorType(), tookMs, Math::max);
        retryAfterRefusal(id, response.retryAfterSeconds(), trafficClass);
      }
      int status = cut ? 200 : response.status();
      String detail = cut ? "cut" : response.errorType();
      answer.accept(() -> finish(status, detail, streamed.toString()));
    }

    @Override
    public void answered(Runnable whenHere) {
      whenHere.run();
    }

    @Override
    public void broken(boolean neverReached) {
      finish(0, neverReached ? "unreachable" : "cut", streamed.toString());
    }

    /** Closes the connection, which the edge may notice. */
    private void timeOut() {
      if (done) {
        return;
      }
      finish(0, "cut", streamed.toString());
      simulation.call(
          edge,
          (Consumer<Object> then) -> handle.cancel(),
          new Caller<>() {
            @Override
            public void answered(Object ignored) {
              // Nobody waits for it.
            }

            @Override
            public void broken(boolean neverReached) {
              // Nothing is left to cancel.
            }
          });
    }

    private void finish(int status, String detail, String text) {
      if (done) {
        return;
      }
      boolean complete = detail.equals("complete");
      if (!once.isEmpty() && !complete && status != 409 && repeats < MAX_RETRIES) {
        simulation.afterMs(
            RETRY_PAUSE_MS, () -> LiveClients.this.send(trafficClass, once, repeats + 1));
      }
      done = true;
      simulation.history.add(
          simulation.simulatedNowMs(), Kind.LIVE_ANSWERED, id, detail, text, status);
      if (complete) {
        (isNote() ? fleet.noteLatencies : fleet.checkLatencies)
            .add(simulation.simulatedNowMs() - sentAt);
      }
    }
  }
}
