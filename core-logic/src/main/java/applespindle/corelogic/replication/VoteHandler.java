package applespindle.corelogic.replication;

import static applespindle.corelogic.protocol.Message.Verdict.LEADER_ALIVE;
import static applespindle.corelogic.protocol.Message.Verdict.OK;
import static applespindle.corelogic.protocol.Message.Verdict.STALE_CONFIGURATION;
import static applespindle.corelogic.protocol.Message.Verdict.STALE_EPOCH;
import static applespindle.corelogic.protocol.Message.Verdict.WOULD_GRANT;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.LogEntries;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.protocol.MessageSender;
import java.util.List;

/**
 * A replica's side of an election: answers to pre-vote, vote and log fetch requests of candidates.
 * The state, which is the promised epoch and the candidate of each key, is that of {@link
 * LogReplica}.
 *
 * <p>Invariants: a vote goes to an epoch above every epoch promised before, and leaves only once
 * its record is synced; no candidate gets a vote while this replica is in contact with a leader
 * that has a quorum, unless that leader has transferred the key; a pre-vote changes and writes
 * nothing.
 */
final class VoteHandler {
  private final Environment environment;
  private final MessageSender sender;
  private final ReplicaStore store;

  VoteHandler(Environment environment, MessageSender sender, ReplicaStore store) {
    this.environment = environment;
    this.sender = sender;
    this.store = store;
  }

  void handleVoteRequest(VoteRequest message, String fromId, String fromAddress) {
    if (message.preVote()) {
      sender.send(fromAddress, fromId, preVoteResponse(message));
      return;
    }
    LogReplica replica = store.getOrCreate(message.key());
    if (store.isStaleConfiguration(message.key(), message.configurationVersion())) {
      sender.send(fromAddress, fromId, voteResponse(message, replica, STALE_CONFIGURATION));
      return;
    }
    if (message.epoch().compareTo(replica.promisedEpoch) <= 0) {
      store.afterSync(
          replica,
          List.of(),
          () -> sender.send(fromAddress, fromId, voteResponse(message, replica, STALE_EPOCH)));
      return;
    }
    if (isProtectedForLeader(replica, message)) {
      sender.send(fromAddress, fromId, voteResponse(message, replica, LEADER_ALIVE));
      return;
    }
    vote(replica, message, fromId, fromAddress);
  }

  private void vote(LogReplica replica, VoteRequest message, String fromId, String fromAddress) {
    replica.promisedEpoch = message.epoch();
    replica.recordCandidateContact(message.epoch().node(), fromAddress, environment.nowMs());
    store.afterSync(
        replica,
        List.of(LogRecords.vote(message.key(), replica.promisedEpoch)),
        () -> {
          boolean overtaken = message.epoch().isBelow(replica.promisedEpoch);
          sender.send(
              fromAddress, fromId, voteResponse(message, replica, overtaken ? STALE_EPOCH : OK));
        });
  }

  /** Whether another leader was in contact within the timeout and has not transferred the key. */
  private boolean isProtectedForLeader(LogReplica replica, VoteRequest message) {
    return !replica.isLeaderTimedOut(environment.nowMs())
        && !message.leadershipTransferred()
        && !replica.leaderId.equals(message.epoch().node());
  }

  /**
   * What a vote request would get here now. The response has the promised epoch, so that the
   * candidate's next epoch is above it.
   */
  private VoteResponse preVoteResponse(VoteRequest message) {
    LogReplica known = store.find(message.key());
    LogReplica replica = known == null ? new LogReplica() : known;
    if (message.configurationVersion() < store.configurationVersionOf(message.key())) {
      return voteResponse(message, replica, STALE_CONFIGURATION);
    }
    return voteResponse(
        message, replica, isProtectedForLeader(replica, message) ? LEADER_ALIVE : WOULD_GRANT);
  }

  private static VoteResponse voteResponse(
      VoteRequest message, LogReplica replica, Verdict verdict) {
    return new VoteResponse(
        message.key(),
        message.epoch(),
        verdict,
        replica.promisedEpoch,
        replica.leaderId,
        replica.leaderAddress,
        replica.committedSequence,
        replica.entries.isEmpty() ? 0 : replica.entries.get(0).sequence(),
        verdict == OK ? LogEntries.tail(replica.entries, message.maxTailBytes()) : List.of());
  }

  /**
   * Sends a candidate a part of the log. Logs that hold the same entry are the same up to it; a log
   * that holds another entry behind the part, as after a snapshot was merged, is refused, so that
   * the candidate never joins parts of two logs.
   */
  void handleLogFetchRequest(LogFetchRequest message, String fromId, String fromAddress) {
    LogReplica replica = store.find(message.key());
    if (replica == null || replica.promisedEpoch.isBelow(message.epoch())) {
      return;
    }
    LogEntry next = replica.entryAt(message.toSequence() + 1);
    boolean sameLog = next != null && next.epoch().equals(message.nextEpoch());
    boolean refused = message.epoch().isBelow(replica.promisedEpoch) || !sameLog;
    if (!refused) {
      replica.recordCandidateContact(message.epoch().node(), fromAddress, environment.nowMs());
    }
    sender.send(
        fromAddress,
        fromId,
        new LogFetchResponse(
            message.key(),
            message.epoch(),
            refused ? STALE_EPOCH : OK,
            refused
                ? List.of()
                : LogEntries.slice(replica.entries, message.fromSequence(), message.toSequence())));
  }
}
