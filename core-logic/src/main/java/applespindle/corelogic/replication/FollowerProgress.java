package applespindle.corelogic.replication;

import applespindle.corelogic.metadata.NodeAddress;

/**
 * What the leader knows of one replica of its log: how far it matches, what to send it next, and
 * when it last answered. Owned by {@link ReplicatedLogLeader}, which drops it when the replica
 * leaves the configuration.
 *
 * <p>Time without contact is counted in heartbeats and not read from a clock, so that a process
 * that stood still, or whose clock was stepped, doesn't take its followers for lost.
 *
 * <p>Invariants: {@link #matchedSequence} and {@link #lastAnsweredRound} never fall.
 */
final class FollowerProgress {
  final NodeAddress replica;

  /** The replica has synced the leader's log up to here. Never falls. */
  long matchedSequence;

  /** The next sequence to send. Runs ahead of the matched one and falls back on a mismatch. */
  long nextSequence = 1;

  /** The highest append round that the replica has answered. Never falls. */
  long lastAnsweredRound;

  /** The commit position in the last append sent to the replica; -1 before the first. */
  long notifiedCommittedSequence = -1;

  /** Whether an entry for the replica is being read from another one. */
  boolean fetching;

  private boolean respondedSinceHeartbeat;
  private int heartbeatsWithoutContact;
  private int heartbeatsSinceAppend;
  private final InFlightAppends inFlight = new InFlightAppends();

  FollowerProgress(NodeAddress replica) {
    this.replica = replica;
  }

  /** The replica showed, by any message, that it receives this leader's messages. */
  void recordContact() {
    heartbeatsWithoutContact = 0;
  }

  /** Whether fewer than this many heartbeats have passed since the last contact. */
  boolean isInContactWithin(long heartbeats) {
    return heartbeatsWithoutContact < heartbeats;
  }

  /** The replica answered an append of this round. */
  void recordResponse(long round) {
    respondedSinceHeartbeat = true;
    recordContact();
    lastAnsweredRound = Math.max(lastAnsweredRound, round);
  }

  /** The replica has synced the log up to this sequence. */
  void recordMatch(long sequence) {
    matchedSequence = Math.max(matchedSequence, sequence);
    nextSequence = Math.max(nextSequence, matchedSequence + 1);
    inFlight.arrived(matchedSequence);
  }

  /** An append up to this sequence, with this commit position, is being sent. */
  void recordAppend(long lastSequence, long committedSequence) {
    nextSequence = lastSequence + 1;
    notifiedCommittedSequence = committedSequence;
    heartbeatsSinceAppend = 0;
  }

  /** The entries of this range were sent in a large append that may arrive until the given time. */
  void recordLargeAppend(long firstSequence, long lastSequence, long arrivesBeforeMs) {
    inFlight.add(firstSequence, lastSequence, arrivesBeforeMs);
  }

  /** Whether the entry is part of a large append that may still arrive. */
  boolean isInFlight(long sequence, long nowMs) {
    return inFlight.holds(sequence, nowMs);
  }

  /**
   * One heartbeat interval has passed. Entries that the replica hasn't acknowledged are sent again
   * if it answered nothing during the interval and they aren't in flight.
   */
  void heartbeatElapsed(long nowMs) {
    if (!respondedSinceHeartbeat && !isInFlight(matchedSequence + 1, nowMs)) {
      nextSequence = matchedSequence + 1;
    }
    respondedSinceHeartbeat = false;
    heartbeatsWithoutContact++;
  }

  /** Whether the replica has every entry and knows that all of them are committed. */
  boolean isUpToDate(long lastSequence, long committedSequence) {
    return matchedSequence == lastSequence
        && notifiedCommittedSequence == committedSequence
        && committedSequence == lastSequence;
  }

  /** Counts a heartbeat that an idle replica may be spared; returns those since the last append. */
  int countIdleHeartbeat() {
    return ++heartbeatsSinceAppend;
  }
}
