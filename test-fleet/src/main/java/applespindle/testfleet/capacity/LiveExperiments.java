package applespindle.testfleet.capacity;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.edge.EdgeNode;
import applespindle.corelogic.live.LiveRequest;
import applespindle.corelogic.live.LiveResponseListener;
import applespindle.testfleet.capacity.MeasuredFleet.Machine;
import applespindle.testfleet.capacity.MeasuredFleet.Shape;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Experiments on live requests at one edge: reads of the load of workers and processor time of a
 * request.
 */
final class LiveExperiments {
  /** Counts the requests that were served; a refused one ends the experiment. */
  private record ServedCounter(AtomicInteger served) implements LiveResponseListener {
    @Override
    public void text(String text) {}

    @Override
    public void end(String output, String finishReason) {
      served.incrementAndGet();
    }

    @Override
    public void fail(Response response, boolean cut) {
      throw new IllegalStateException("a request was refused: " + response.errorType());
    }
  }

  private static final long STEADY_MS = 8_000;
  private static final int LIVE_REQUESTS = 400;
  private static final long REQUEST_INTERVAL_MS = 10;
  private static final String PROMPT =
      "Write in the usual form of the office, with greeting, place and hour of the event. "
          .repeat(8);

  private final ExperimentMeasurements measurements;

  LiveExperiments(ExperimentMeasurements measurements) {
    this.measurements = measurements;
  }

  void loadReads(int workers, long seed) {
    ExperimentFigures figures = measurements.at("load-reads", "workers", workers);
    MeasuredFleet fleet =
        MeasuredFleet.opened(
            new Shape(1, 1, 3, true, 8, 20), seed, workers, SyntheticConfiguration.minimal());
    fleet.resetMeters();
    fleet.runFor(STEADY_MS);
    Meter meter = fleet.edges.get(0).meter;
    figures.add("edge", "reads of load", "1/s", meter.loadReads * 1000.0 / STEADY_MS);
    figures.add("edge", "processor", "ms/s", meter.processorNanos / 1e6 * 1000 / STEADY_MS);
  }

  void live(int workers, long seed) {
    ExperimentFigures figures = measurements.at("live", "workers", workers);
    MeasuredFleet fleet =
        MeasuredFleet.opened(
            new Shape(1, 1, 3, true, 8, 20), seed, workers, SyntheticConfiguration.minimal());
    figures.add("edge", "processor for a request", "us", liveMicros(fleet, "sender", 1));
  }

  void pieces(int pieces, long seed) {
    ExperimentFigures figures = measurements.at("pieces", "pieces of output", pieces);
    MeasuredFleet fleet =
        MeasuredFleet.opened(
            new Shape(1, 1, 3, true, 8, 20), seed, 25, SyntheticConfiguration.minimal());
    fleet.workerOutput = IntStream.range(0, pieces).mapToObj(index -> "word ").toList();
    figures.add("edge", "processor for a request", "us", liveMicros(fleet, "sender", 1));
  }

  void tenants(int tenants, long seed) {
    ExperimentFigures figures = measurements.at("tenants", "tenants", tenants);
    MeasuredFleet fleet =
        MeasuredFleet.opened(
            new Shape(1, 1, 3, true, 8, 20), seed, 25, SyntheticConfiguration.of(1, 0, tenants));
    figures.add("edge", "processor for a request", "us", liveMicros(fleet, "tenant-", tenants));
  }

  /**
   * Microseconds of processor time that one request costs the logic of the edge, without HTTP,
   * beyond what the edge at rest costs.
   */
  private static double liveMicros(MeasuredFleet fleet, String sender, int senders) {
    Machine edge = fleet.edges.get(0);
    fleet.runFor(1_000);
    fleet.resetMeters();
    fleet.runFor(LIVE_REQUESTS * REQUEST_INTERVAL_MS);
    long restingNanos = edge.meter.processorNanos;
    fleet.resetMeters();
    AtomicInteger served = new AtomicInteger();
    for (int index = 0; index < LIVE_REQUESTS; index++) {
      String from = senders == 1 ? sender : sender + index * 7919 % senders;
      LiveRequest request = request(from, PROMPT + index);
      edge.enter(() -> ((EdgeNode) edge.node).complete(request, new ServedCounter(served)));
      fleet.runFor(REQUEST_INTERVAL_MS);
    }
    fleet.runFor(100);
    if (served.get() != LIVE_REQUESTS) {
      throw new IllegalStateException(
          "only " + served + " of " + LIVE_REQUESTS + " requests were served");
    }
    return (edge.meter.processorNanos - restingNanos) / 1e3 / LIVE_REQUESTS;
  }

  private static LiveRequest request(String sender, String prompt) {
    ObjectNode body =
        JSON.createObjectNode().put("prompt", prompt).put("max_tokens", 100).put("stream", true);
    return new LiveRequest(sender, null, "note", Map.of(), prompt, body, true, "");
  }
}
