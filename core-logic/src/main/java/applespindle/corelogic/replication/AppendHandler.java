package applespindle.corelogic.replication;

import static applespindle.corelogic.protocol.Message.Verdict.LOG_MISMATCH;
import static applespindle.corelogic.protocol.Message.Verdict.OK;
import static applespindle.corelogic.protocol.Message.Verdict.STALE_CONFIGURATION;
import static applespindle.corelogic.protocol.Message.Verdict.STALE_EPOCH;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.MessageSender;
import java.util.ArrayList;
import java.util.List;

/**
 * A replica's side of replication: takes the appends of leaders, which are their heartbeats too.
 * The state is that of {@link LogReplica}.
 *
 * <p>Invariants: an append of an epoch below the promised one changes nothing; entries are taken
 * only if they follow on an entry that is held, of the same epoch; a success leaves only once the
 * entries it acknowledges are synced.
 */
final class AppendHandler {
  private final Environment environment;
  private final MessageSender sender;
  private final ReplicaStore store;

  AppendHandler(Environment environment, MessageSender sender, ReplicaStore store) {
    this.environment = environment;
    this.sender = sender;
    this.store = store;
  }

  void handleAppendRequest(AppendRequest message, String fromId, String fromAddress) {
    LogReplica replica = store.getOrCreate(message.key());
    if (store.isStaleConfiguration(message.key(), message.configurationVersion())) {
      sender.send(fromAddress, fromId, response(message, replica, STALE_CONFIGURATION, 0));
      return;
    }
    if (message.epoch().isBelow(replica.promisedEpoch)) {
      sender.send(fromAddress, fromId, response(message, replica, STALE_EPOCH, 0));
      return;
    }
    List<LogRecord> records = new ArrayList<>();
    ReplicaStore.raisePromisedEpoch(message.key(), replica, message.epoch(), records);
    recordLeader(replica, message, fromAddress);
    if (!follows(replica, message)) {
      refuseMismatch(message, replica, records, fromId, fromAddress);
      return;
    }
    ReplicaStore.putNewEntries(message.key(), replica, message.entries(), records);
    long matched = lastSequence(message);
    store.afterSync(
        replica,
        records,
        () -> {
          boolean overtaken = message.epoch().isBelow(replica.promisedEpoch);
          Verdict verdict = overtaken ? STALE_EPOCH : OK;
          sender.send(fromAddress, fromId, response(message, replica, verdict, matched));
        });
    store.commit(message.key(), replica, Math.min(message.committedSequence(), matched));
  }

  /**
   * Responds with a hint where the leader should continue: after the end of this log or, if this
   * log holds different entries, after the last committed one.
   */
  private void refuseMismatch(
      AppendRequest message,
      LogReplica replica,
      List<LogRecord> records,
      String fromId,
      String fromAddress) {
    long hint =
        message.previousSequence() > replica.lastSequence()
            ? replica.lastSequence()
            : replica.committedSequence;
    store.afterSync(
        replica,
        records,
        () -> sender.send(fromAddress, fromId, response(message, replica, LOG_MISMATCH, hint)));
  }

  /**
   * Records the leader and, if the leader has a quorum, the contact with it. Without one it counts
   * as in contact only while it waits for this replica's own disk.
   */
  private void recordLeader(LogReplica replica, AppendRequest message, String fromAddress) {
    replica.leaderId = message.epoch().node();
    replica.leaderAddress = fromAddress;
    if (message.inContactWithQuorum() || replica.unsyncedWrites > 0) {
      replica.leaderContactAtMs = environment.nowMs();
    }
  }

  /** Whether the entries of the message follow on what is held here. */
  private static boolean follows(LogReplica replica, AppendRequest message) {
    if (message.previousSequence() == 0) {
      return !message.entries().isEmpty() || replica.entries.isEmpty();
    }
    LogEntry predecessor = replica.entryAt(message.previousSequence());
    return predecessor != null && predecessor.epoch().equals(message.previousEpoch());
  }

  private static long lastSequence(AppendRequest message) {
    List<LogEntry> entries = message.entries();
    return entries.isEmpty()
        ? message.previousSequence()
        : entries.get(entries.size() - 1).sequence();
  }

  private static AppendResponse response(
      AppendRequest message, LogReplica replica, Verdict verdict, long matched) {
    Epoch promised = replica.promisedEpoch;
    return new AppendResponse(
        message.key(), message.epoch(), message.round(), verdict, promised, matched);
  }
}
