package applespindle.testfleet.scenario;

import applespindle.testfleet.clients.SimulatedFleet;
import applespindle.testfleet.deployment.Deployment;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a scenario file says, with the defaults of all that it leaves out. Only {@link
 * ScenarioParser} writes the fields; a run only reads them.
 */
final class ScenarioSettings {
  /** An action that is performed when a client is notified of its n-th event of a kind. */
  record Triggered(String event, long number, ScenarioAction action) {}

  /** A measure of the run and the bound it has to keep. */
  record Expected(String measure, double bound) {}

  /** Kind of fleet that is deployed. */
  Deployment deployment = Deployment.AUTHORITY;

  List<Long> seeds = List.of(1L);
  long runMs = 50_000;

  /** Requests a second of the three kinds of live traffic. */
  double checks = 20;

  double notes = 2;
  double once = 2;

  /** Seconds between two batches. */
  double batchEverySeconds = 2.5;

  /** Workers of a second pool. */
  List<String> spares = List.of();

  /** How often a client tries to submit one batch. */
  int submitTries = SimulatedFleet.SUBMIT_TRIES;

  /** Random faults may destroy disks too. */
  boolean losses;

  /** Losses that the fleet tolerates at once; 0: the fleet runs without a simulated platform. */
  int platformLosses;

  /** Requests a second by type of proxied traffic. */
  final Map<String, Double> proxiedRates = new LinkedHashMap<>();

  /** Batches to proxied workers; items vary between the two counts if the limit is not 0. */
  double proxiedBatchEverySeconds;

  int proxiedBatchItems = 12;
  int proxiedItemBytes;
  int proxiedBatchItemsLimit;

  /** Tenants whose keys clients carry; 0: requests need no keys. */
  int tenants;

  /** Bandwidth and share of a core of each edge; 0: unlimited. */
  double edgeLinkMbits;

  double edgeProcessorShare;

  /** So many edges have another share and another bandwidth. */
  int largerEdges;

  double largerEdgeShare;
  double largerEdgeMbits;

  /** Lag of the list of workers, and how many calls a second it accepts. */
  long listLagMs = 800;

  double listCallsPerS = 40;

  /** Most tokens that may wait on the batch route; 0: the default. */
  long waitingTokensLimit;

  /** The platform asks for the duties. */
  boolean duties;

  /** The duties report and order by what the edges report, not by made-up inputs. */
  boolean usageOfEdges;

  /** Clients whose checks are refused retry after the delay they are given. */
  boolean obedient;

  /** Period in which a probe measures the control plane; none if it ends at 0. */
  long watchFromMs;

  long watchToMs;

  /** Period of random faults; none if it ends at 0. */
  long randomFromMs;

  long randomToMs;

  /** In the order of the file. */
  final List<ScenarioAction> timed = new ArrayList<>();

  final List<Triggered> triggered = new ArrayList<>();
  final List<Expected> expected = new ArrayList<>();
}
