package applespindle.corelogic.replication;

import applespindle.corelogic.replication.ReplicatedLogModel.Step;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * How one random walk chooses its steps. A run in which any step is as likely as any other seldom
 * comes far. So failures are rare in some walks, messages arrive in order in some, and for phases
 * of random length some links and disks stand still, as in a partition.
 */
final class WalkStrategy {
  private static final double MAX_PHASE_END_PROBABILITY = 0.2;

  private final Random random;
  private final double usualProbability;
  private final double inOrderProbability;
  private final double blockedProbability;
  private final double phaseEndProbability;
  private int phase;

  WalkStrategy(Random random) {
    this.random = random;
    usualProbability = random.nextDouble();
    inOrderProbability = random.nextDouble();
    blockedProbability = random.nextDouble();
    phaseEndProbability = random.nextDouble() * MAX_PHASE_END_PROBABILITY;
    phase = random.nextInt();
  }

  /** The index of the step to take. */
  int choose(List<Step> enabled) {
    if (random.nextDouble() < phaseEndProbability) {
      phase = random.nextInt();
    }
    int[] open =
        IntStream.range(0, enabled.size()).filter(index -> open(enabled.get(index))).toArray();
    int[] usual = IntStream.of(open).filter(index -> enabled.get(index).usual()).toArray();
    if (open.length == 0) {
      phase = random.nextInt();
      return random.nextInt(enabled.size());
    }
    if (usual.length == 0 || random.nextDouble() >= usualProbability) {
      return open[random.nextInt(open.length)];
    }
    boolean inOrder = random.nextDouble() < inOrderProbability;
    return usual[inOrder ? 0 : random.nextInt(usual.length)];
  }

  private boolean open(Step step) {
    if (!step.usual()) {
      return true;
    }
    Random ofLink = new Random(step.link().hashCode() * 31L + phase);
    ofLink.nextInt();
    return ofLink.nextDouble() >= blockedProbability;
  }
}
