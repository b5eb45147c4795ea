package applespindle.corelogic.protocol;

import static java.util.Map.entry;

import java.util.Map;
import java.util.Set;

/**
 * The names by which metrics and the capacity page know the kinds of messages. They are those of
 * the message schema and stay when a type is renamed.
 */
public final class MessageNames {
  private static final Map<Class<? extends Message>, String> NAMES =
      Map.ofEntries(
          entry(Message.PeerRequest.class, "Ask"),
          entry(Message.PeerResponse.class, "AskResponse"),
          entry(Message.PeerRequestProgress.class, "AskProgress"),
          entry(Message.VoteRequest.class, "KeyPromise"),
          entry(Message.VoteResponse.class, "KeyPromised"),
          entry(Message.LogFetchRequest.class, "KeyLogAsk"),
          entry(Message.LogFetchResponse.class, "KeyLogPart"),
          entry(Message.EntryChunkRequest.class, "EntryChunkAsk"),
          entry(Message.EntryChunk.class, "EntryChunk"),
          entry(Message.AppendRequest.class, "KeyAppend"),
          entry(Message.AppendResponse.class, "KeyAppended"),
          entry(Message.LeadershipTransfer.class, "KeyHandOver"),
          entry(Message.QuorumHeartbeat.class, "CorePing"),
          entry(Message.QuorumDiscoveryRequest.class, "WhereIsCore"),
          entry(Message.QuorumDiscoveryResponse.class, "CoreIs"),
          entry(Message.ChangeFeedPoll.class, "FeedFollow"),
          entry(Message.ChangeFeedUpdate.class, "FeedNews"),
          entry(Message.AppliedPositions.class, "KeysKnown"),
          entry(Message.AppliedPositionsRequest.class, "KeysAsked"),
          entry(Message.BatchOffer.class, "WorkOffer"),
          entry(Message.RangeSize.class, "RangeSize"),
          entry(Message.RangeRequest.class, "RangePull"),
          entry(Message.RangeAssignment.class, "RangeHandout"),
          entry(Message.RangeReport.class, "RangeReport"),
          entry(Message.RangeReportResponse.class, "RangeReported"),
          entry(Message.PeerLoadReport.class, "WorkerLoads"),
          entry(Message.BatchEnded.class, "BatchEnded"),
          entry(Message.LeaderlessBatches.class, "Unfinished"));

  private MessageNames() {}

  /** Every kind that has a name. */
  static Set<Class<? extends Message>> kinds() {
    return NAMES.keySet();
  }

  /** The name of a message's kind. */
  public static String of(Message message) {
    return NAMES.get(message.getClass());
  }
}
