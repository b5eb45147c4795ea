package applespindle.testfleet.capacity;

import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.MessageNames;

/** Kinds of message that are metered apart, finer than the names of messages. */
final class MessageKinds {
  private MessageKinds() {}

  static String of(Message message) {
    if (message instanceof Message.PeerRequest request) {
      return "Ask:" + request.operationName();
    }
    if (message instanceof ChangeFeedUpdate update) {
      return kindOfUpdate(update);
    }
    return MessageNames.of(message);
  }

  private static String kindOfUpdate(ChangeFeedUpdate update) {
    if (update.records().isEmpty()) {
      return "FeedNews:none";
    }
    if (update.relayed()) {
      return "FeedNews:relayed";
    }
    return update.snapshot() ? "FeedNews:checkpoint" : "FeedNews:changes";
  }
}
