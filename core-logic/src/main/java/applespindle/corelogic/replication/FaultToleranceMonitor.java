package applespindle.corelogic.replication;

import applespindle.corelogic.metadata.NodeAddress;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Predicate;

/**
 * How many more losses can be borne at this moment, and for how long it has been fewer than asked
 * for: of the core, and of the shard that is worst off.
 */
public final class FaultToleranceMonitor {
  /** One kind of replica set: what it bears, and since when that is too little. */
  private static final class Margin {
    private int bearable;
    private boolean fewer;
    private long fewerSince;

    void take(int now, int asked, long at) {
      bearable = now;
      if (now >= asked) {
        fewer = false;
      } else if (!fewer) {
        fewer = true;
        fewerSince = at;
      }
    }

    long fewerForMs(long now) {
      return fewer ? now - fewerSince : 0;
    }
  }

  private final int asked;
  private final Margin core = new Margin();
  private final Margin shards = new Margin();

  public FaultToleranceMonitor(int asked) {
    this.asked = asked;
  }

  /**
   * How many of the sets' present replicas may go while a majority of each set is left. While a
   * change is under way both sets count, and a newcomer counts as absent: it may not hold all yet.
   */
  public static int remainingTolerableFailures(
      ReplicaConfiguration replicaConfiguration, Predicate<String> present) {
    List<String> holders =
        replicaConfiguration.current().stream().map(NodeAddress::id).filter(present).toList();
    int ofPresent = remainingTolerableFailures(replicaConfiguration.current(), holders);
    return replicaConfiguration.isChanging()
        ? Math.min(ofPresent, remainingTolerableFailures(replicaConfiguration.next(), holders))
        : ofPresent;
  }

  private static int remainingTolerableFailures(List<NodeAddress> set, List<String> holders) {
    long left = set.stream().filter(replica -> holders.contains(replica.id())).count();
    return (int) Math.max(0, left - (set.size() / 2 + 1));
  }

  public void update(int bearableByCore, int bearableByWorstShard, long now) {
    core.take(bearableByCore, asked, now);
    shards.take(bearableByWorstShard, asked, now);
  }

  public void describe(ObjectNode status, long now) {
    status
        .put("lossesAsked", asked)
        .put("coreLossesBearable", core.bearable)
        .put("coreFewerForMs", core.fewerForMs(now))
        .put("shardLossesBearable", shards.bearable)
        .put("shardFewerForMs", shards.fewerForMs(now));
  }
}
