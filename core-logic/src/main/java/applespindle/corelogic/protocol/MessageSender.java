package applespindle.corelogic.protocol;

/** Sends a message to a node; the id may be empty while only the address is known. */
public interface MessageSender {
  void send(String toAddress, String toId, Message message);
}
