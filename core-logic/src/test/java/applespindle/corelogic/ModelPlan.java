package applespindle.corelogic;

import static applespindle.corelogic.ModelEvent.APPEND;
import static applespindle.corelogic.ModelEvent.CLAIM;
import static applespindle.corelogic.ModelEvent.CLAIMANT_CRASH;
import static applespindle.corelogic.ModelEvent.CLOCK_JUMP;
import static applespindle.corelogic.ModelEvent.DUPLICATE;
import static applespindle.corelogic.ModelEvent.READ;
import static applespindle.corelogic.ModelEvent.RELEASE;
import static applespindle.corelogic.ModelEvent.REPLICA_CRASH;
import static applespindle.corelogic.ModelEvent.SET_CHANGE;
import static applespindle.corelogic.ModelEvent.TIMER;

/** Named bounds, each made for one kind of trouble. */
enum ModelPlan {
  /** A leader's commands whose outcome it learns late. */
  EXPIRY(ModelBounds.led(1).with(APPEND, 2).with(READ, 1).with(TIMER, 2).with(CLOCK_JUMP, 1)),
  /** A second claimant takes over while the first goes on. */
  TAKEOVER(ModelBounds.led(2).with(CLAIM, 1).with(APPEND, 1)),
  /** Both claim, append and read. */
  TWO_CLAIMANTS(ModelBounds.led(2).with(CLAIM, 2).with(APPEND, 2).with(READ, 1).with(TIMER, 1)),
  /** Replicas crash with unsynced writes. */
  CRASHES(ModelBounds.led(2).with(CLAIM, 1).with(APPEND, 1).with(REPLICA_CRASH, 2).withSlowDisks()),
  /** Claimants crash, and messages to their former lives come late. */
  CLAIMANT_CRASHES(ModelBounds.unled(2).with(CLAIM, 3).with(APPEND, 1).with(CLAIMANT_CRASH, 1)),
  /** Values that hold the whole state: what precedes them is dropped. */
  SNAPSHOTS(
      ModelBounds.led(2)
          .with(CLAIM, 1)
          .with(APPEND, 2)
          .with(TIMER, 2)
          .with(DUPLICATE, 1)
          .with(REPLICA_CRASH, 1)
          .withSnapshotValues()),
  /** One replica is replaced by a newcomer. */
  SET_CHANGE_ALONE(ModelBounds.led(1).with(APPEND, 1).with(SET_CHANGE, 2)),
  /** The same beside a second claimant. */
  SET_CHANGE_AND_CLAIM(
      ModelBounds.led(2).with(CLAIM, 1).with(APPEND, 1).with(TIMER, 1).with(SET_CHANGE, 2)),
  /** The same with unsynced writes and a crash. */
  SET_CHANGE_AND_CRASH(
      ModelBounds.led(2)
          .with(CLAIM, 1)
          .with(APPEND, 1)
          .with(TIMER, 1)
          .with(REPLICA_CRASH, 1)
          .with(SET_CHANGE, 2)
          .withSlowDisks()),
  /** All troubles at once: too large to be searched but by random walks. */
  EVERYTHING(everything()),
  /** The same with values that hold the whole state. */
  EVERYTHING_SNAPSHOTS(everything().withSnapshotValues());

  final ModelBounds bounds;

  ModelPlan(ModelBounds bounds) {
    this.bounds = bounds;
  }

  private static ModelBounds everything() {
    return ModelBounds.led(2)
        .with(CLAIM, 4)
        .with(APPEND, 4)
        .with(READ, 2)
        .with(TIMER, 8)
        .with(CLOCK_JUMP, 2)
        .with(DUPLICATE, 1)
        .with(REPLICA_CRASH, 3)
        .with(CLAIMANT_CRASH, 1)
        .with(RELEASE, 1)
        .with(SET_CHANGE, 2)
        .withSlowDisks();
  }
}
