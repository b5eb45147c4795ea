package applespindle.corelogic.replication;

import static applespindle.corelogic.replication.ModelBounds.Start.BLANK;
import static applespindle.corelogic.replication.ModelBounds.Start.CAUGHT_UP;
import static applespindle.corelogic.replication.ModelBounds.Start.DIVERGED;
import static applespindle.corelogic.replication.ModelBounds.Start.LAGGING;
import static applespindle.corelogic.replication.ModelBounds.Start.LED;
import static applespindle.corelogic.replication.ModelBounds.Start.SUPERSEDED;
import static applespindle.corelogic.replication.ModelBounds.from;
import static applespindle.corelogic.replication.ModelEvent.APPEND;
import static applespindle.corelogic.replication.ModelEvent.CANDIDATE_CRASH;
import static applespindle.corelogic.replication.ModelEvent.CLOCK_JUMP;
import static applespindle.corelogic.replication.ModelEvent.DUPLICATE;
import static applespindle.corelogic.replication.ModelEvent.ELECTION;
import static applespindle.corelogic.replication.ModelEvent.READ;
import static applespindle.corelogic.replication.ModelEvent.RECONFIGURATION;
import static applespindle.corelogic.replication.ModelEvent.REPLICA_CRASH;
import static applespindle.corelogic.replication.ModelEvent.RESIGNATION;
import static applespindle.corelogic.replication.ModelEvent.TIMER;

/** Named bounds, each made for one kind of failure. */
enum ModelPlan {
  /** One leader appends once: small enough to be searched to its end. */
  ONE_APPEND(from(LED, 1).with(APPEND, 1)),
  /** A leader's commands whose outcome it learns late. */
  EXPIRY(from(LED, 1).with(APPEND, 2).with(READ, 1).with(TIMER, 2).with(CLOCK_JUMP, 1)),
  /** A second candidate is elected while the first goes on. */
  TAKEOVER(from(LED, 2).with(ELECTION, 1).with(APPEND, 2)),
  /** A leader reads while another is elected. */
  READS(from(LED, 2).with(ELECTION, 1).with(APPEND, 1).with(READ, 1).with(TIMER, 1)),
  /** The first leader goes on after it was superseded. */
  SUPERSEDED_LEADER(from(SUPERSEDED, 2).with(APPEND, 3).with(TIMER, 1)),
  /** Both are candidates, append and read. */
  TWO_CLAIMANTS(from(LED, 2).with(ELECTION, 2).with(APPEND, 2).with(READ, 1).with(TIMER, 1)),
  /** Both are candidates while one replica holds entries that the others lack. */
  DIVERGED_LOGS(from(DIVERGED, 2).with(ELECTION, 2).with(APPEND, 1)),
  /** Replicas crash with unsynced writes. */
  CRASHES(from(LED, 2).with(ELECTION, 1).with(APPEND, 1).with(REPLICA_CRASH, 2).withSlowDisks()),
  /** A leader crashes and is a candidate again, with the epoch of its former life. */
  FORMER_LIFE(from(DIVERGED, 1).with(ELECTION, 1).with(APPEND, 1).with(CANDIDATE_CRASH, 1)),
  /** A candidate crashes, is one again, and gets answers to its former life, also twice. */
  FORMER_LIFE_TWICE(
      from(BLANK, 1).with(ELECTION, 2).with(APPEND, 2).with(CANDIDATE_CRASH, 1).with(DUPLICATE, 1)),
  /** A leader resigns and is a candidate again in the same life. */
  RELEASED(from(DIVERGED, 1).with(RESIGNATION, 1).with(ELECTION, 1).with(APPEND, 1)),
  /** Two are candidates at once, and one begins a further round. */
  CLAIM_ROUNDS(from(BLANK, 2).with(ELECTION, 2).with(APPEND, 1).with(TIMER, 1)),
  /** Values that hold the whole state, from one leader: what precedes them is dropped. */
  SNAPSHOTS_ALONE(from(LED, 1).with(APPEND, 2).with(TIMER, 1).withSnapshotValues()),
  /** The same with all that may overtake them. */
  SNAPSHOTS(
      from(LED, 2)
          .with(ELECTION, 1)
          .with(APPEND, 2)
          .with(TIMER, 2)
          .with(DUPLICATE, 1)
          .with(REPLICA_CRASH, 1)
          .withSnapshotValues()),
  /** One replica is replaced by a joining one. */
  SET_CHANGE_ALONE(from(LED, 1).with(APPEND, 1).with(RECONFIGURATION, 2)),
  /** The same after a value that one replica lacks. */
  SET_CHANGE_LAGGING(from(LAGGING, 1).with(RECONFIGURATION, 2)),
  /** A leader goes on while the change ends. */
  SET_CHANGE_ENDS(from(CAUGHT_UP, 1).with(APPEND, 1).with(RECONFIGURATION, 1)),
  /** Two lead or are candidates while the change ends. */
  SET_CHANGE_ENDS_AND_CLAIM(
      from(CAUGHT_UP, 2).with(ELECTION, 1).with(APPEND, 2).with(RECONFIGURATION, 1)),
  /** The whole change beside a second candidate. */
  SET_CHANGE_AND_CLAIM(from(LED, 2).with(ELECTION, 1).with(APPEND, 2).with(RECONFIGURATION, 2)),
  /** The same while one replica holds entries that the others lack. */
  SET_CHANGE_DIVERGED(from(DIVERGED, 2).with(ELECTION, 1).with(APPEND, 1).with(RECONFIGURATION, 2)),
  /** The same with unsynced writes and a crash. */
  SET_CHANGE_AND_CRASH(
      from(LED, 2)
          .with(ELECTION, 1)
          .with(APPEND, 1)
          .with(TIMER, 1)
          .with(REPLICA_CRASH, 1)
          .with(RECONFIGURATION, 2)
          .withSlowDisks()),
  /** All failures at once: too large to be searched but by random walks. */
  EVERYTHING(everything()),
  /** The same with values that hold the whole state. */
  EVERYTHING_SNAPSHOTS(everything().withSnapshotValues());

  final ModelBounds bounds;

  ModelPlan(ModelBounds bounds) {
    this.bounds = bounds;
  }

  private static ModelBounds everything() {
    return from(LED, 2)
        .with(ELECTION, 4)
        .with(APPEND, 4)
        .with(READ, 2)
        .with(TIMER, 8)
        .with(CLOCK_JUMP, 2)
        .with(DUPLICATE, 1)
        .with(REPLICA_CRASH, 3)
        .with(CANDIDATE_CRASH, 1)
        .with(RESIGNATION, 1)
        .with(RECONFIGURATION, 2)
        .withSlowDisks();
  }
}
