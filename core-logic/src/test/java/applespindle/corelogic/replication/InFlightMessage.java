package applespindle.corelogic.replication;

import applespindle.corelogic.protocol.Envelope;

/** A message of the model on its way. */
final class InFlightMessage {
  final String to;
  final Envelope envelope;

  /** The sender and the receiver. */
  final String link;

  private String text;

  InFlightMessage(String to, Envelope envelope) {
    this.to = to;
    this.envelope = envelope;
    this.link = envelope.fromId() + '>' + to;
  }

  /** Two messages of the same text are the same; made when asked for, as it takes long. */
  String text() {
    if (text == null) {
      text = to + " " + StateText.of(envelope);
    }
    return text;
  }
}
