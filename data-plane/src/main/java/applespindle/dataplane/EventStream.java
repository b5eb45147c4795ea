package applespindle.dataplane;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayDeque;

/** Server-sent events on their way to one sender; closed by the server when the sender has gone. */
final class EventStream extends AbstractChannelSupplier<ByteBuf> {
  /** Events waiting for a sender that does not read: beyond this it counts as gone. */
  private static final int WAITING_MOST = 10_000;

  private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
  private final Runnable whenSenderGone;
  private SettablePromise<ByteBuf> asked;
  private boolean ended;
  private Exception cut;

  EventStream(Runnable whenSenderGone) {
    this.whenSenderGone = whenSenderGone;
  }

  void push(byte[] event) {
    ByteBuf bytes = ByteBuf.wrapForReading(event);
    if (asked != null) {
      SettablePromise<ByteBuf> present = asked;
      asked = null;
      present.trySet(bytes);
    } else if (waiting.size() < WAITING_MOST) {
      waiting.add(bytes);
    } else {
      closeEx(new SenderGone());
    }
  }

  void end() {
    ended = true;
    if (asked != null) {
      asked.trySet(null);
    }
  }

  /** Ends the connection without the format's end, so that nobody takes the output for whole. */
  void cut() {
    cut = new SenderGone();
    if (asked != null) {
      asked.trySetException(cut);
    }
  }

  @Override protected Promise<ByteBuf> doGet() {
    if (!waiting.isEmpty()) {
      return Promise.of(waiting.poll());
    }
    if (cut != null) {
      return Promise.ofException(cut);
    }
    if (ended) {
      return Promise.of(null);
    }
    asked = new SettablePromise<>();
    return asked;
  }

  @Override protected void onClosed(Exception fault) {
    if (asked != null) {
      asked.trySetException(fault);
    }
    whenSenderGone.run();
  }

  private static final class SenderGone extends Exception {
    SenderGone() {
      super("sender gone or stream cut", null, false, false);
    }
  }
}
