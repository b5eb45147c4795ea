package applespindle.dataplane;

import applespindle.adapters.ByteBudget;
import applespindle.corelogic.batch.ItemBody;
import applespindle.corelogic.constants.ClientConnectionConstants;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;

/**
 * A complete body on its way to one client, part by part as the client reads. Its reservation is
 * released once the last part was taken, the client has gone, or it reads too slowly while others
 * wait for the room. On the HTTP thread.
 */
final class ReservedBody extends AbstractChannelSupplier<ByteBuf> {
  private static final class SlowReaderException extends Exception {
    private static final long serialVersionUID = 1L;

    SlowReaderException() {
      super("the client reads too slowly", null, false, false);
    }
  }

  private final ByteBudget.Reservation reservation;
  private final ClientPace pace;

  /** Null once everything was taken. */
  private ItemBody body;

  private int written;

  ReservedBody(ItemBody body, ByteBudget.Reservation reservation) {
    this.body = body;
    this.reservation = reservation;
    this.pace = new ClientPace(reactor, reservation, () -> closeEx(new SlowReaderException()));
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    if (body == null || written == body.length()) {
      release();
      return Promise.of(null);
    }
    int end = Math.min(written + ClientConnectionConstants.ITEM_BODY_PART_BYTES, body.length());
    byte[] part = body.slice(written, end);
    pace.progress(part.length);
    written = end;
    return Promise.of(ByteBuf.wrapForReading(part));
  }

  @Override
  protected void onClosed(Exception fault) {
    release();
  }

  private void release() {
    body = null;
    pace.end();
    reservation.release();
  }
}
