package applespindle.corelogic.replication;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The replicas of one node of which a test is the leaders and candidates: it sends the requests for
 * one key and gets the replies.
 */
final class IsolatedReplicas {
  static final String CONFIGURATION = "shard/1";

  private final String key;
  private final LogReplicas replicas;

  /** The replies in the order of sending. */
  final List<Message> replies = new ArrayList<>();

  /** Keeps the replies in {@link #replies}. */
  IsolatedReplicas(Environment environment, String key) {
    this.key = key;
    this.replicas = replicas(environment, replies::add);
  }

  /** Hands the replies on. */
  IsolatedReplicas(Environment environment, String key, Consumer<Message> replyListener) {
    this.key = key;
    this.replicas = replicas(environment, replyListener);
  }

  private static LogReplicas replicas(Environment environment, Consumer<Message> replyListener) {
    return new LogReplicas(
        environment,
        (address, id, message) -> replyListener.accept(message),
        (entryKey, entry) -> {},
        entryKey -> CONFIGURATION);
  }

  LogReplicas replicas() {
    return replicas;
  }

  /** The leader of the epoch, in contact with a quorum, appends. */
  void append(
      long configurationVersion,
      Epoch epoch,
      long previous,
      Epoch previousEpoch,
      long committed,
      LogEntry... entries) {
    replicas.handleAppendRequest(
        new AppendRequest(
            key,
            epoch,
            configurationVersion,
            1,
            previous,
            previousEpoch,
            committed,
            true,
            List.of(entries)),
        epoch.node(),
        "");
  }

  /** The leader of the epoch sends an append without entries to an empty log. */
  void heartbeat(Epoch epoch, boolean inContactWithQuorum) {
    replicas.handleAppendRequest(
        new AppendRequest(key, epoch, 1, 1, 0, Epoch.NONE, 0, inContactWithQuorum, List.of()),
        epoch.node(),
        "");
  }

  /** The candidate of the epoch sends a request. */
  void handle(VoteRequest request) {
    replicas.handleVoteRequest(request, request.epoch().node(), "");
  }

  /** The verdict on a pre-vote request of the epoch's candidate. */
  Verdict preVote(Epoch epoch) {
    handle(new VoteRequest(key, epoch, 1, false, 0, true));
    return ((VoteResponse) lastReply()).verdict();
  }

  Message lastReply() {
    return replies.get(replies.size() - 1);
  }

  /** The sequences of the entries that are held. */
  List<Long> sequences() {
    return replicas.replicas().get(key).entries.stream().map(LogEntry::sequence).toList();
  }
}
