package applespindle.testfleet.dispatch;

import applespindle.testfleet.simulation.WorkerEngine;
import java.util.List;

/**
 * A deployment and its traffic, as far as the choice of workers depends on them. Rates are per
 * second, times in milliseconds.
 *
 * @param edges in each zone
 * @param workers in each zone
 * @param clients connections in each zone; each stays with one edge
 * @param checksPerS short streams of all zones together, by the zones' weights
 * @param notesPerS longer streams of all zones together
 * @param batchesPerS batches of all zones together
 * @param swing share by which the traffic of a zone rises and falls
 * @param clump mean number of requests that arrive at the same moment
 */
record DispatchShape(
    List<Integer> edges,
    List<Integer> workers,
    List<Integer> clients,
    List<Double> weights,
    WorkerEngine engine,
    List<Double> paces,
    double checksPerS,
    double notesPerS,
    double batchesPerS,
    int batchItems,
    double swing,
    double wavePeriodMs,
    double clump) {

  /**
   * Many small edges, and workers of few slots that report no load and admit in order of arrival.
   */
  static final DispatchShape MANY_EDGES =
      new DispatchShape(
          List.of(15, 15, 14, 14, 11),
          List.of(7, 7, 7, 7, 6),
          List.of(28, 24, 22, 21, 23),
          List.of(0.237, 0.206, 0.184, 0.177, 0.195),
          new WorkerEngine(8, 12, 15, 1 / 102.0, 35, 19, true, false, false, 305_000),
          List.of(1.0, 1.0, 1.3),
          340,
          110,
          1.37,
          60,
          0.35,
          11_000,
          3);

  /** Few larger edges, and workers of many slots that report their load and know ranks. */
  static final DispatchShape FEW_EDGES =
      new DispatchShape(
          List.of(3, 3, 3),
          List.of(4, 3, 3),
          List.of(12, 12, 12),
          List.of(0.34, 0.33, 0.33),
          new WorkerEngine(24, 24, 15, 1 / 102.0, 35, 19, true, true, true, 305_000),
          List.of(1.0, 1.0, 1.3),
          113,
          33.5,
          0.82,
          60,
          0.35,
          11_000,
          3);

  int zones() {
    return edges.size();
  }
}
