package applespindle.dataplane;

import applespindle.adapters.ByteBudget;
import applespindle.corelogic.constants.ClientConnectionConstants;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.util.Arrays;

/**
 * Reads the body of one request into one array. Nothing is read before its bytes are reserved: of a
 * body of known length all of them, of a very large one or one in chunks a part, and all that it
 * may have once that part has come. While a reservation waits the socket is not read, and TCP holds
 * the client. On the HTTP thread.
 */
final class BodyReader {
  /** The length of a body that comes in chunks. */
  static final int UNKNOWN_LENGTH = -1;

  /** A body that was read, and the bytes reserved for it, which its reader is to release. */
  record Body(byte[] bytes, ByteBudget.Reservation reservation) {}

  /** The body has more bytes than the limits allow. */
  static final class BodyTooLargeException extends Exception {
    private static final long serialVersionUID = 1L;

    BodyTooLargeException() {
      super("body too large", null, false, false);
    }
  }

  /** There was no room for the body in time. */
  static final class NoRoomException extends Exception {
    private static final long serialVersionUID = 1L;

    NoRoomException() {
      super("no room for the body", null, false, false);
    }
  }

  private final Reactor reactor;
  private final ByteBudget budget;
  private final ChannelSupplier<ByteBuf> stream;
  private final int maxBytes;
  private final boolean isLengthKnown;
  private final SettablePromise<Body> promise = new SettablePromise<>();
  private ByteBudget.Reservation reservation;

  /** Of a large body only; null for others. */
  private ClientPace pace;

  /** The client was too slow while others waited for the room. */
  private boolean tooSlow;

  /** How many bytes may be read as yet. */
  private int grantedBytes;

  private byte[] bytes = {};
  private int size;

  private BodyReader(
      Reactor reactor,
      ByteBudget budget,
      ChannelSupplier<ByteBuf> stream,
      int maxBytes,
      boolean isLengthKnown) {
    this.isLengthKnown = isLengthKnown;
    this.reactor = reactor;
    this.budget = budget;
    this.stream = stream;
    this.maxBytes = maxBytes;
  }

  /**
   * Reads a body.
   *
   * @param length the length that the request states, or {@link #UNKNOWN_LENGTH}
   * @param maxBytes the largest length allowed, at least that stated
   * @return fails with one of the exceptions above, or with that of the connection; nothing is
   *     reserved then
   */
  static Promise<Body> read(
      Reactor reactor,
      ByteBudget budget,
      ChannelSupplier<ByteBuf> stream,
      int length,
      int maxBytes) {
    int first = firstBytes(length, maxBytes);
    boolean isLengthKnown = length >= 0;
    BodyReader reader =
        new BodyReader(reactor, budget, stream, isLengthKnown ? length : maxBytes, isLengthKnown);
    budget.reserve(
        first,
        reserved -> {
          reader.reservation = reserved;
          reader.grantedBytes = first;
          reader.bytes = new byte[first];
          reader.watchPace();
          reader.readNext();
        },
        () -> reader.promise.setException(new NoRoomException()));
    return reader.promise;
  }

  /** How many bytes are reserved before the first read. */
  private static int firstBytes(int length, int maxBytes) {
    if (length < 0) {
      return Math.min(maxBytes, ClientConnectionConstants.FIRST_BODY_BYTES);
    }
    return length <= ClientConnectionConstants.WHOLE_BODY_BYTES
        ? length
        : ClientConnectionConstants.FIRST_LARGE_BODY_BYTES;
  }

  private void watchPace() {
    if (grantedBytes > ClientConnectionConstants.FIRST_LARGE_BODY_BYTES) {
      pace = new ClientPace(reactor, reservation, this::giveUp);
    }
  }

  /** The room is free at once; the refusal follows when the read that is under way has ended. */
  private void giveUp() {
    tooSlow = true;
    bytes = new byte[0];
    reservation.release();
  }

  private void endPace() {
    if (pace != null) {
      pace.end();
    }
  }

  private void readNext() {
    stream.get().subscribe(this::take);
  }

  /** Both are null at the end of the body. */
  private void take(ByteBuf chunk, Exception fault) {
    if (fault != null) {
      fail(fault);
    } else if (tooSlow) {
      recycle(chunk);
      fail(new NoRoomException());
    } else if (chunk == null) {
      endPace();
      byte[] complete = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
      promise.set(new Body(complete, reservation));
    } else if (chunk.readRemaining() > maxBytes - size) {
      chunk.recycle();
      fail(new BodyTooLargeException());
    } else if (chunk.readRemaining() > grantedBytes - size) {
      reserveRest(chunk);
    } else {
      add(chunk);
    }
  }

  private static void recycle(ByteBuf chunk) {
    if (chunk != null) {
      chunk.recycle();
    }
  }

  private void reserveRest(ByteBuf chunk) {
    budget.reserve(
        maxBytes - grantedBytes,
        more -> {
          reservation.absorb(more);
          grantedBytes = maxBytes;
          watchPace();
          add(chunk);
        },
        () -> {
          chunk.recycle();
          fail(new NoRoomException());
        });
  }

  private void add(ByteBuf chunk) {
    int length = chunk.readRemaining();
    if (size + length > bytes.length) {
      int grown = isLengthKnown ? grantedBytes : Math.max(size + length, size * 2);
      bytes = Arrays.copyOf(bytes, Math.min(grantedBytes, grown));
    }
    if (pace != null) {
      pace.progress(length);
    }
    chunk.drainTo(bytes, size, length);
    chunk.recycle();
    size += length;
    readNext();
  }

  /** In a task of its own: whoever drops the rest of the body can't read within a read. */
  private void fail(Exception fault) {
    endPace();
    bytes = new byte[0];
    reservation.release();
    reactor.post(() -> promise.setException(fault));
  }
}
