package applespindle.corelogic.protocol;

/**
 * A message with who sent it and whom it is for. An empty toId means whoever lives at the address.
 */
public record Envelope(String fromId, String fromAddress, String toId, Message message) {}
