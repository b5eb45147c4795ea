package applespindle.dataplane;

import static java.nio.charset.StandardCharsets.US_ASCII;

import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.constants.ClientConnectionConstants;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufPool;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * A client's connection below the HTTP library, which would bear what must not pass: it lets line
 * ends be bare, heads be as long and as slow as they like, goes on reading after a refusal, unpacks
 * bodies, does not look at a connection while its request is being served, and writes a response's
 * head and each of its chunks apart.
 *
 * <p>Invariants: at most one read and one write of the inner socket are open; bytes go both ways in
 * order; a head is handed on complete and valid, or not at all. On the HTTP thread.
 */
final class ClientConnection implements ITcpSocket, GatheringWriter.Listener {
  private enum Phase {
    /** The head of a request is awaited or being read. */
    HEAD,

    /** The body of a request is being read. */
    BODY,

    /** The request is complete, and its response is awaited or being written. */
    SERVED
  }

  /**
   * How long a client may go on sending what nobody reads, so that it can read why it was refused.
   */
  private static final long LINGER_MS = 500;

  private static final byte[] NOTHING = {};

  private final ITcpSocket inner;
  private final NioReactor reactor;
  private final EffectiveClientLimits limits;
  private final GatheringWriter writer;
  private final Runnable whenClosed;
  private Phase phase = Phase.HEAD;

  /** The present head as far as it was read; null before its first byte. */
  private ByteBuf headBytes;

  private RequestHeadScanner headScanner = new RequestHeadScanner();

  /** What came behind the end of the head, and was handed on together with it. */
  private byte[] behindHead = NOTHING;

  /** Of the present body; null if it does not come in chunks. */
  private ChunkFraming framing;

  /** When the first byte of the present head came. */
  private long headBegunAt;

  /** A read of the inner socket is open. */
  private boolean reading;

  /** Was read before anybody asked for it; null if nothing was. */
  private ByteBuf readAhead;

  /** The client has closed its side. */
  private boolean inputEnded;

  /** Why the inner socket failed; null while it has not. */
  private Exception failure;

  /** Of the present call of read; null while there is none. */
  private SettablePromise<ByteBuf> pendingRead;

  /** When the present read began, or bytes last came for it. */
  private long progressAt;

  private long limitsChangedAt;

  /** The due time after which the connection was given one more look; 0 before the first. */
  private long lastLookFor;

  private ScheduledRunnable timeout;
  private long timeoutAt;

  /** To be run if the client goes while it is served; null if nobody wants to know. */
  private Runnable whenClientGone;

  /** After the next write has gone out, the connection ends. */
  private boolean closing;

  /** What follows once the client has read its refusal, or had the time to. */
  private Runnable lingering;

  /** Why this was closed; null while it is open. */
  private Exception closed;

  ClientConnection(
      ITcpSocket inner,
      NioReactor reactor,
      Supplier<RoutingConfiguration.ClientLimits> limits,
      Runnable whenClosed) {
    this.inner = inner;
    this.reactor = reactor;
    this.limits = new EffectiveClientLimits(limits);
    writer = new GatheringWriter(inner, reactor, this);
    this.whenClosed = whenClosed;
  }

  /**
   * To be called when the head was read: what comes now is the body. False if what came with the
   * head does not begin one: the caller then refuses the request.
   */
  boolean bodyBegins(boolean chunked) {
    phase = Phase.BODY;
    framing = chunked ? new ChunkFraming() : null;
    byte[] cameWithHead = behindHead;
    behindHead = NOTHING;
    return framing == null || framing.accept(cameWithHead, 0, cameWithHead.length);
  }

  /**
   * To be called when the request was read completely: from now on the client is watched, until the
   * next head is asked for.
   */
  void served(Runnable whenClientGone) {
    phase = Phase.SERVED;
    this.whenClientGone = whenClientGone;
    if (inputEnded || failure != null) {
      reportClientDisconnected();
    } else if (readAhead == null && !reading) {
      readInner();
    }
  }

  /** Ends the connection once what is written next has gone out. */
  void closeAfterWrite() {
    closing = true;
  }

  /**
   * To be called when other limits are in force: they hold for what is being waited for, too, from
   * now on. A connection that was idle for longer than they allow may be in use by a client that
   * does not know them.
   */
  void limitsChanged() {
    if (pendingRead != null && !closing) {
      limitsChangedAt = reactor.currentTimeMillis();
      watchTime();
    }
  }

  private void reportClientDisconnected() {
    Runnable callback = whenClientGone;
    whenClientGone = null;
    if (callback != null) {
      callback.run();
    }
  }

  // ---- reading

  @Override
  public Promise<ByteBuf> read() {
    if (phase == Phase.SERVED) {
      phase = Phase.HEAD;
      headScanner = new RequestHeadScanner();
      whenClientGone = null;
    }
    if (failure != null) {
      return Promise.ofException(failure);
    }
    SettablePromise<ByteBuf> present = new SettablePromise<>();
    pendingRead = present;
    progressAt = reactor.currentTimeMillis();
    if (closing) {
      return present;
    }
    ByteBuf waiting = readAhead;
    readAhead = null;
    if (waiting != null) {
      take(waiting);
    } else if (inputEnded) {
      completeRead(null);
    } else if (!reading) {
      readInner();
    }
    if (pendingRead == present && !closing) {
      watchTime();
    }
    return present;
  }

  private void readInner() {
    reading = true;
    inner.read().subscribe(this::innerRead);
  }

  /** Both are null when the client has closed its side. */
  private void innerRead(ByteBuf bytes, Exception fault) {
    reading = false;
    if (fault != null) {
      failure = fault;
    } else if (bytes == null) {
      inputEnded = true;
    }
    if (closing || closed != null) {
      discard(bytes);
      if (bytes == null) {
        endLinger();
      }
    } else if (pendingRead == null && bytes != null) {
      readAhead = bytes;
    } else if (pendingRead == null) {
      reportClientDisconnected();
    } else if (fault != null) {
      failRead(fault);
    } else if (bytes == null) {
      completeRead(null);
    } else {
      take(bytes);
    }
  }

  private void discard(ByteBuf bytes) {
    if (bytes != null) {
      bytes.recycle();
      readInner();
    }
  }

  private void completeRead(ByteBuf bytes) {
    SettablePromise<ByteBuf> present = pendingRead;
    pendingRead = null;
    present.set(bytes);
  }

  private void failRead(Exception fault) {
    SettablePromise<ByteBuf> present = pendingRead;
    pendingRead = null;
    present.setException(fault);
  }

  /** Passes bytes to the reader: those of a body at once, those of a head once it is complete. */
  private void take(ByteBuf bytes) {
    progressAt = reactor.currentTimeMillis();
    if (phase != Phase.HEAD) {
      takeBody(bytes);
      return;
    }
    if (headBytes == null) {
      headBytes = bytes;
      headBegunAt = progressAt;
    } else {
      headBytes = ByteBufPool.append(headBytes, bytes);
    }
    String refusal =
        headScanner.scan(
            headBytes.array(),
            headBytes.head() + headScanner.size(),
            headBytes.tail(),
            limits.maxHeadBytes());
    if (refusal != null) {
      headBytes.recycle();
      headBytes = null;
      refuse(refusal);
    } else if (headScanner.isComplete()) {
      ByteBuf head = headBytes;
      headBytes = null;
      behindHead = Arrays.copyOfRange(head.array(), head.head() + headScanner.size(), head.tail());
      completeRead(head);
    } else {
      watchTime();
      readInner();
    }
  }

  private void takeBody(ByteBuf bytes) {
    if (framing == null || framing.accept(bytes.array(), bytes.head(), bytes.tail())) {
      completeRead(bytes);
    } else {
      bytes.recycle();
      refuse(RequestHeadScanner.BAD_REQUEST);
    }
  }

  // ---- time

  private long dueAt() {
    if (pendingRead == null) {
      return Long.MAX_VALUE;
    }
    if (headBytes != null) {
      return headBegunAt + limits.headTimeoutMs();
    }
    return Math.max(progressAt, limitsChangedAt) + limits.idleTimeoutMs();
  }

  /**
   * One timer a connection: it stays where it was when something came, and looks again when it
   * fires.
   */
  private void watchTime() {
    long dueAt = dueAt();
    if (timeout != null && timeoutAt <= dueAt) {
      return;
    }
    if (timeout != null) {
      timeout.cancel();
    }
    timeoutAt = dueAt;
    timeout = reactor.scheduleBackground(dueAt, this::timeUp);
  }

  private void timeUp() {
    timeout = null;
    if (closing || closed != null || pendingRead == null) {
      return;
    }
    long dueAt = dueAt();
    if (reactor.currentTimeMillis() < dueAt) {
      watchTime();
    } else if (lastLookFor != dueAt) {
      lastLookFor = dueAt;
      timeoutAt = reactor.currentTimeMillis() + ClientConnectionConstants.FINAL_READ_DELAY_MS;
      timeout = reactor.scheduleBackground(timeoutAt, this::timeUp);
    } else if (phase == Phase.HEAD && headBytes == null) {
      failRead(new RequestRejectedException());
    } else {
      refuse("408 Request Timeout");
    }
  }

  /**
   * Answers a request of which nothing was passed on; the HTTP library learns no more of this
   * connection but its end.
   */
  private void refuse(String status) {
    SettablePromise<ByteBuf> present = pendingRead;
    pendingRead = null;
    closing = true;
    ByteBuf response =
        ByteBuf.wrapForReading(
            ("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                .getBytes(US_ASCII));
    write(response).subscribe((written, fault) -> present.trySetException(fault));
  }

  // ---- writing and the end

  @Override
  public Promise<Void> write(ByteBuf bytes) {
    if (closed != null) {
      bytes.recycle();
      return Promise.ofException(closed);
    }
    return writer.write(bytes, closing);
  }

  @Override
  public void written(SettablePromise<Void> waitingWriter) {
    if (closed != null) {
      closeInner();
    } else if (closing) {
      linger(() -> waitingWriter.trySetException(new RequestRejectedException()));
    } else if (waitingWriter != null) {
      waitingWriter.set(null);
    }
  }

  /** Whoever waits for something here learns it; the library then closes. */
  @Override
  public void failed(SettablePromise<Void> waitingWriter, Exception fault) {
    failure = fault;
    if (closed != null) {
      inner.closeEx(fault);
    } else if (waitingWriter != null) {
      waitingWriter.trySetException(fault);
    } else if (pendingRead != null) {
      failRead(fault);
    } else {
      reportClientDisconnected();
    }
  }

  /**
   * Reads on for a while before the end: closing while bytes are unread would reset the connection,
   * and the client would not see the response.
   */
  private void linger(Runnable then) {
    if (inputEnded || failure != null) {
      then.run();
      return;
    }
    if (readAhead != null) {
      readAhead.recycle();
      readAhead = null;
    }
    lingering = then;
    if (!reading) {
      readInner();
    }
    reactor.delayBackground(LINGER_MS, this::endLinger);
  }

  private void endLinger() {
    Runnable then = lingering;
    lingering = null;
    if (then != null) {
      then.run();
    }
  }

  @Override
  public boolean isReadAvailable() {
    return false;
  }

  @Override
  public boolean isClosed() {
    return closed != null || inner.isClosed();
  }

  /** What was written before goes out first, if the client reads it soon. */
  @Override
  public void closeEx(Exception fault) {
    if (closed != null) {
      return;
    }
    closed = fault;
    if (timeout != null) {
      timeout.cancel();
      timeout = null;
    }
    if (readAhead != null) {
      readAhead.recycle();
      readAhead = null;
    }
    if (headBytes != null) {
      headBytes.recycle();
      headBytes = null;
    }
    whenClientGone = null;
    whenClosed.run();
    if (writer.hasGathered()) {
      writer.flush();
    }
    if (writer.isWriting()) {
      reactor.delayBackground(LINGER_MS, () -> inner.closeEx(fault));
    } else {
      closeInner();
    }
  }

  private void closeInner() {
    writer.discard();
    inner.closeEx(closed);
  }

  private static final class RequestRejectedException extends Exception {
    RequestRejectedException() {
      super("connection ended by the proxy endpoint", null, false, false);
    }
  }
}
