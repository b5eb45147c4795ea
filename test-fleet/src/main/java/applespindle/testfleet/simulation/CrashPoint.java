package applespindle.testfleet.simulation;

import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.MessageNames;
import applespindle.testfleet.history.History;

/**
 * A process dies at one step of a protocol: before or after it sends, or receives, the n-th message
 * of a kind. It starts again some time later.
 */
public final class CrashPoint {
  /** Which process dies, and on which side of the message. */
  public enum Position {
    SENDER_BEFORE,
    SENDER_AFTER,
    RECEIVER_BEFORE,
    RECEIVER_AFTER
  }

  private final Simulation simulation;
  private final String kind;
  private final Position position;
  private final boolean powerLoss;
  private final long fromMs;
  private final long restartAfterMs;

  /** Messages of the kind until the crash; 0 from then on. */
  private int remaining;

  /** True between the decision that a receiver dies and the encoding of its message. */
  private boolean nextReceiverDies;

  /** The message whose receiver dies right after receiving it; null if there is none. */
  private Envelope fatalEnvelope;

  private SimulatedProcess crashed;

  /**
   * A crash at one point around a message, which strikes once.
   *
   * @param kind the kind of message, as in metrics
   * @param number which message of that kind, from 1
   * @param powerLoss whether what was not synced is lost
   * @param fromMs simulated time from which messages are counted
   */
  public CrashPoint(
      Simulation simulation,
      String kind,
      int number,
      Position position,
      boolean powerLoss,
      long fromMs,
      long restartAfterMs) {
    this.simulation = simulation;
    this.kind = kind;
    this.remaining = number;
    this.position = position;
    this.powerLoss = powerLoss;
    this.fromMs = fromMs;
    this.restartAfterMs = restartAfterMs;
  }

  /** The process that died; null if none did yet. */
  public SimulatedProcess crashed() {
    return crashed;
  }

  /** The name of a message's kind; of requests between nodes, that of the operation. */
  static String kindOf(Message message) {
    return message instanceof Message.PeerRequest request
        ? "Ask:" + request.operationName()
        : MessageNames.of(message);
  }

  /** Before a message is sent; returns whether it must not go out. */
  boolean dropsBeforeSending(SimulatedProcess from, SimulatedProcess to, Message message) {
    if (remaining == 0
        || simulation.simulatedNowMs() < fromMs
        || !kindOf(message).equals(kind)
        || --remaining > 0) {
      return false;
    }
    switch (position) {
      case SENDER_BEFORE -> simulation.at(simulation.nowUs(), () -> crash(from));
      case SENDER_AFTER -> simulation.at(simulation.nowUs() + 1, () -> crash(from));
      case RECEIVER_BEFORE -> simulation.at(simulation.nowUs(), () -> crash(to));
      case RECEIVER_AFTER -> nextReceiverDies = true;
    }
    return position == Position.SENDER_BEFORE;
  }

  /** The message goes out in this envelope. */
  void sent(Envelope envelope) {
    if (nextReceiverDies) {
      nextReceiverDies = false;
      fatalEnvelope = envelope;
    }
  }

  /** An envelope was received. */
  void received(Envelope envelope, SimulatedProcess receiver) {
    if (fatalEnvelope == envelope) {
      fatalEnvelope = null;
      crash(receiver);
    }
  }

  private void crash(SimulatedProcess process) {
    if (!process.alive()) {
      return;
    }
    crashed = process;
    simulation.history.add(
        simulation.simulatedNowMs(),
        History.Kind.FAULT,
        (powerLoss ? "power-loss " : "kill ") + process.name,
        "",
        "",
        0);
    process.kill(powerLoss);
    simulation.afterMs(
        restartAfterMs,
        () -> {
          if (!process.alive()) {
            process.start();
          }
        });
  }
}
