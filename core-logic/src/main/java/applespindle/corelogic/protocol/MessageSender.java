package applespindle.corelogic.protocol;

/** Sends a message to a node; the id may be empty while only the address is known. */
public interface MessageSender {
  /** Sends a message; it may be lost, repeated or late. */
  void send(String toAddress, String toId, Message message);
}
