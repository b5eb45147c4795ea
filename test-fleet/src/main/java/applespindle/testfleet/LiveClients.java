package applespindle.testfleet;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.live.LiveRequest;
import applespindle.corelogic.live.LiveResponseListener;
import applespindle.corelogic.live.RequestHandle;
import applespindle.testfleet.History.Kind;
import applespindle.testfleet.Simulation.Caller;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Simulated clients that send live prompts to the edges of one fleet. */
final class LiveClients {
  private static final long PATIENCE_MS = 12_000;
  private static final int ONCE_TWINS_ONE_IN = 5;
  private static final int ONCE_REPEATS = 3;
  private static final double ONCE_AGAIN_MS = 400;
  private static final double PIECE_DELAY_MS = 0.3;
  private static final int NOTE_TOKENS = 24;
  private static final int CHECK_TOKENS = 2;

  private final SimulatedFleet fleet;
  private final Simulation simulation;
  private final Set<String> cameBack = new HashSet<>();
  private long lastNumber;

  LiveClients(SimulatedFleet fleet) {
    this.fleet = fleet;
    this.simulation = fleet.simulation;
  }

  /** Requests a second, as a stream with random gaps. */
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
    sendOrTwins(trafficClass, trafficClass.equals("once") ? "once-" + lastNumber : "");
    double gap = -Math.log(1 - simulation.random.nextDouble()) * 1000 / perSecond;
    simulation.afterMs(gap, () -> sendNext(trafficClass, perSecond, untilMs));
  }

  /**
   * A client of a once-request that hears nothing certain sends it again elsewhere; some are sent
   * twice at once.
   */
  private void sendOrTwins(String trafficClass, String once) {
    send(trafficClass, once, 0);
    if (!once.isEmpty() && simulation.random.nextInt(ONCE_TWINS_ONE_IN) == 0) {
      send(trafficClass, once, ONCE_REPEATS);
    }
  }

  private void send(String trafficClass, String once, int repeats) {
    new SentRequest(trafficClass, once, repeats).send();
  }

  /**
   * A client that was told when to come back does so then; how many such are served is expected of
   * some scenarios.
   */
  private void comeBack(String id, int seconds, String trafficClass) {
    if (fleet.clientsRetryWhenRefused && trafficClass.equals("check") && !cameBack.contains(id)) {
      simulation.afterMs(
          1000.0 * seconds,
          () -> {
            cameBack.add("l" + (lastNumber + 1));
            send(trafficClass, "", 0);
          });
    }
  }

  /**
   * Percent of the clients that came back when told to and were served then; 100 if none had to.
   */
  long cameBackPercent() {
    long served =
        simulation.history.of(Kind.LIVE_ANSWERED).stream()
            .filter(seen -> cameBack.contains(seen.subject()) && seen.detail().equals("complete"))
            .count();
    return cameBack.isEmpty() ? 100 : 100 * served / cameBack.size();
  }

  /**
   * One request at one edge, from its sending to its answer or the end of its client's patience.
   */
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
      simulation.afterMs(PATIENCE_MS, this::loseTheConnection);
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
      simulation.afterMs(PIECE_DELAY_MS, () -> streamed.append(done ? "" : text));
    }

    @Override
    public void end(String wholeOutput, String finishReason) {
      answer.accept(() -> finish(200, "complete", stream ? streamed.toString() : wholeOutput));
    }

    @Override
    public void fail(Response response, boolean cut) {
      if (!cut && response.retryAfterSeconds() > 0) {
        long tookMs = simulation.simulatedNowMs() - sentAt;
        fleet.refusedAfterMs.merge(response.errorType(), tookMs, Math::max);
        comeBack(id, response.retryAfterSeconds(), trafficClass);
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

    /** The client's patience has ended: it closes the connection, which the edge may notice. */
    private void loseTheConnection() {
      if (done) {
        return;
      }
      finish(0, "cut", streamed.toString());
      simulation.call(
          edge,
          (Consumer<Object> then) -> handle.cancel(),
          new Caller<>() {
            @Override
            public void answered(Object ignored) {}

            @Override
            public void broken(boolean neverReached) {}
          });
    }

    private void finish(int status, String detail, String text) {
      if (done) {
        return;
      }
      boolean complete = detail.equals("complete");
      if (!once.isEmpty() && !complete && status != 409 && repeats < ONCE_REPEATS) {
        simulation.afterMs(
            ONCE_AGAIN_MS, () -> LiveClients.this.send(trafficClass, once, repeats + 1));
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
