package applespindle.corelogic;

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
          entry(Message.Ask.class, "Ask"),
          entry(Message.AskResponse.class, "AskResponse"),
          entry(Message.AskProgress.class, "AskProgress"),
          entry(Message.KeyPromise.class, "KeyPromise"),
          entry(Message.KeyPromised.class, "KeyPromised"),
          entry(Message.KeyLogAsk.class, "KeyLogAsk"),
          entry(Message.KeyLogPart.class, "KeyLogPart"),
          entry(Message.KeyAppend.class, "KeyAppend"),
          entry(Message.KeyAppended.class, "KeyAppended"),
          entry(Message.KeyHandOver.class, "KeyHandOver"),
          entry(Message.CorePing.class, "CorePing"),
          entry(Message.WhereIsCore.class, "WhereIsCore"),
          entry(Message.CoreIs.class, "CoreIs"),
          entry(Message.FeedFollow.class, "FeedFollow"),
          entry(Message.FeedNews.class, "FeedNews"),
          entry(Message.KeysKnown.class, "KeysKnown"),
          entry(Message.KeysAsked.class, "KeysAsked"),
          entry(Message.WorkOffer.class, "WorkOffer"),
          entry(Message.RangePull.class, "RangePull"),
          entry(Message.RangeHandout.class, "RangeHandout"),
          entry(Message.RangeReport.class, "RangeReport"),
          entry(Message.RangeReported.class, "RangeReported"),
          entry(Message.WorkerLoads.class, "WorkerLoads"),
          entry(Message.BatchEnded.class, "BatchEnded"),
          entry(Message.Unfinished.class, "Unfinished"));

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
