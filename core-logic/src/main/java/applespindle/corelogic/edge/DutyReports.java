package applespindle.corelogic.edge;

import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.ScalingConstants;
import applespindle.corelogic.constants.UsageConstants;
import applespindle.corelogic.environment.DutySettings;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Operation;
import applespindle.corelogic.scaling.DemandReporter;
import applespindle.corelogic.scaling.DemandSampler;
import applespindle.corelogic.usage.UsageRecorder;
import applespindle.corelogic.usage.UsageReporter;
import applespindle.corelogic.worker.WorkerRegistry;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What an edge reports to the holders of the duties at the platform: the requests of each tenant,
 * and the demand for workers. Nothing is counted or sent where the deployment does not ask for the
 * duty, or where the configuration has no tenants or scales no pool.
 */
final class DutyReports {
  private final Environment environment;
  private final DutySettings duties;
  private final UsageRecorder recorder = new UsageRecorder();
  private final UsageReporter usage;
  private final DemandReporter demand;
  private boolean hasTenants;
  private Set<String> scaledPools = Set.of();

  DutyReports(
      Environment environment,
      NodeIdentity identity,
      DutySettings duties,
      WorkerRegistry registry,
      EdgeServices edge) {
    this.environment = environment;
    this.duties = duties;
    this.usage =
        new UsageReporter(
            environment,
            identity,
            Math.max(1, duties.usageWindowMs()),
            recorder,
            (report, callback) ->
                edge.requestControlPlane(
                    Operation.REPORT_USAGE,
                    MetadataKeys.USAGE_DUTY,
                    report,
                    UsageConstants.REPORT_TIMEOUT_MS,
                    callback));
    this.demand =
        new DemandReporter(
            environment,
            identity.id(),
            new DemandSampler(registry),
            report ->
                edge.requestControlPlane(
                    Operation.REPORT_DEMAND,
                    MetadataKeys.SCALE_DUTY,
                    report,
                    ScalingConstants.REPORT_TIMEOUT_MS,
                    response -> {}));
  }

  /** Adopts the configuration in force. */
  void configurationChanged(RoutingConfiguration configuration) {
    hasTenants = configuration.tenants() != null && !configuration.tenants().isEmpty();
    scaledPools = new TreeSet<>();
    for (Map.Entry<String, RoutingConfiguration.Pool> pool : configuration.pools().entrySet()) {
      if (pool.getValue().autoscale() != null) {
        scaledPools.add(pool.getKey());
      }
    }
  }

  /** A worker has begun a live request of a tenant. */
  void recordRequestBegun(String tenant) {
    if (duties.usage()) {
      recorder.record(tenant, environment.nowMs());
    }
  }

  /** Sends the reports that are due. */
  void tick() {
    if (duties.usage() && (hasTenants || !recorder.isEmpty())) {
      usage.tick();
    }
    if (duties.scale() && !scaledPools.isEmpty()) {
      demand.tick(scaledPools);
    }
  }

  /**
   * Reports the last counts before the process ends. The callback runs once, after the answer or a
   * short time.
   */
  void flush(Runnable whenDone) {
    if (!duties.usage() || recorder.isEmpty()) {
      whenDone.run();
      return;
    }
    boolean[] done = new boolean[1];
    Runnable once =
        () -> {
          if (!done[0]) {
            done[0] = true;
            whenDone.run();
          }
        };
    environment.schedule(UsageConstants.FLUSH_TIMEOUT_MS, once);
    usage.flush(once);
  }
}
