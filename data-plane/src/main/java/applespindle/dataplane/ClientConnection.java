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
 * A client's connection below the HTTP library, which would bear what a door must not: it lets line
 * ends be bare, heads be as long and as slow as they like, goes on reading after a refusal, unpacks
 * bodies, does not look at a connection while its request is being served, and writes a response's
 * head and each of its pieces apart. Invariants: at most one read and one write of the inner socket
 * are open; bytes go both ways in order; a head is handed on whole and sound, or not at all.
 */
final class ClientConnection implements ITcpSocket {
  private enum Phase {
    HEAD,
    BODY,
    SERVED
  }

  /**
   * How long a client may go on sending what nobody reads, so that it can read why it was refused.
   */
  private static final long LINGER_MS = 500;

  /** A writer waits until what was gathered beyond this has gone out. */
  private static final int GATHERED_BYTES_MOST = 64 << 10;

  private static final byte[] NOTHING = {};
  private static final byte[] ENCODING = "content-encoding:".getBytes(US_ASCII);

  /**
   * Where the hyphen of ENCODING stands, and what stands in its place above: no client's head can
   * hold it.
   */
  private static final int HYPHEN_AT = 7;

  private static final byte MASK = 1;
  static final String MASKED_ENCODING = "content" + (char) MASK + "encoding";

  private final ITcpSocket inner;
  private final NioReactor reactor;
  private final Supplier<RoutingConfiguration.ClientLimits> limits;
  private final Runnable whenClosed;
  private Phase phase = Phase.HEAD;

  /** The present head as far as it was read; null before its first byte. */
  private ByteBuf headBytes;

  /**
   * Of the present head: bytes so far, the last byte, and how many line ends stand behind each
   * other.
   */
  private int headSize;

  private byte last;
  private int lineEnds;
  private RequestLineCheck requestLine = new RequestLineCheck();

  /** How much of ENCODING the present line begins with; -1 if it begins otherwise. */
  private int encodingMatched;

  /** What came together with the head's end, and has been handed on with it. */
  private byte[] behindHead = NOTHING;

  /** Of the present body, if it comes in chunks. */
  private ChunkFraming framing;

  private long headBegunAt;
  private boolean reading;
  private ByteBuf ahead;
  private boolean ended;
  private Exception broken;
  private SettablePromise<ByteBuf> asked;
  private long askedAt;
  private long limitsChangedAt;

  /** The due time after which the connection was given one more look; 0 before the first. */
  private long lastLookFor;

  private ScheduledRunnable timeout;
  private long timeoutAt;
  private Runnable whenGone;

  /** Written and not handed to the inner socket yet. */
  private ByteBuf gathered;

  private boolean flushPosted;
  private boolean flushing;
  private SettablePromise<Void> flushed;

  /** After the next write has gone out, the connection ends. */
  private boolean closing;

  /** What follows once the client has read its refusal, or had the time to. */
  private Runnable lingering;

  private Exception closed;

  ClientConnection(
      ITcpSocket inner,
      NioReactor reactor,
      Supplier<RoutingConfiguration.ClientLimits> limits,
      Runnable whenClosed) {
    this.inner = inner;
    this.reactor = reactor;
    this.limits = limits;
    this.whenClosed = whenClosed;
  }

  /**
   * The head was read whole; what comes now is the body. False if what came with the head does not
   * begin one: the caller then refuses the request.
   */
  boolean bodyBegins(boolean chunked) {
    phase = Phase.BODY;
    framing = chunked ? new ChunkFraming() : null;
    byte[] cameWithHead = behindHead;
    behindHead = NOTHING;
    return framing == null || framing.accept(cameWithHead, 0, cameWithHead.length);
  }

  /**
   * The request was read whole: from now on the client is watched, until the next head is asked
   * for.
   */
  void served(Runnable whenGone) {
    phase = Phase.SERVED;
    this.whenGone = whenGone;
    if (ended || broken != null) {
      tellGone();
    } else if (ahead == null && !reading) {
      readInner();
    }
  }

  /** The connection ends once what is written next has been written. */
  void closeAfterWrite() {
    closing = true;
  }

  /**
   * Others are in force: they hold for what is being waited for, too, from now on. A connection
   * that has rested for longer than they allow may be in use by a client that does not know them.
   */
  void limitsChanged() {
    if (asked != null && !closing) {
      limitsChangedAt = reactor.currentTimeMillis();
      watchTime();
    }
  }

  private void tellGone() {
    Runnable told = whenGone;
    whenGone = null;
    if (told != null) {
      told.run();
    }
  }

  // ---- reading

  @Override
  public Promise<ByteBuf> read() {
    if (phase == Phase.SERVED) {
      phase = Phase.HEAD;
      headSize = 0;
      lineEnds = 0;
      last = 0;
      requestLine = new RequestLineCheck();
      encodingMatched = -1;
      whenGone = null;
    }
    if (broken != null) {
      return Promise.ofException(broken);
    }
    SettablePromise<ByteBuf> present = new SettablePromise<>();
    asked = present;
    askedAt = reactor.currentTimeMillis();
    if (closing) {
      return present;
    }
    ByteBuf waiting = ahead;
    ahead = null;
    if (waiting != null) {
      take(waiting);
    } else if (ended) {
      hand(null);
    } else if (!reading) {
      readInner();
    }
    if (asked == present && !closing) {
      watchTime();
    }
    return present;
  }

  private void readInner() {
    reading = true;
    inner
        .read()
        .subscribe(
            (bytes, fault) -> {
              reading = false;
              if (fault != null) {
                broken = fault;
              } else if (bytes == null) {
                ended = true;
              }
              if (closing || closed != null) {
                discard(bytes);
                if (bytes == null) {
                  endLinger();
                }
              } else if (asked == null && bytes != null) {
                ahead = bytes;
              } else if (asked == null) {
                tellGone();
              } else if (fault != null) {
                SettablePromise<ByteBuf> present = asked;
                asked = null;
                present.setException(fault);
              } else if (bytes == null) {
                hand(null);
              } else {
                take(bytes);
              }
            });
  }

  private void discard(ByteBuf bytes) {
    if (bytes != null) {
      bytes.recycle();
      readInner();
    }
  }

  private void hand(ByteBuf bytes) {
    SettablePromise<ByteBuf> present = asked;
    asked = null;
    present.set(bytes);
  }

  /** Bytes for whoever asked: those of a body at once, those of a head once it is whole. */
  private void take(ByteBuf bytes) {
    askedAt = reactor.currentTimeMillis();
    if (phase != Phase.HEAD) {
      takeBody(bytes);
      return;
    }
    if (headBytes == null) {
      headBytes = bytes;
      headBegunAt = askedAt;
    } else {
      headBytes = ByteBufPool.append(headBytes, bytes);
    }
    String fault = headFault();
    if (fault != null) {
      headBytes.recycle();
      headBytes = null;
      refuse(fault);
    } else if (lineEnds == 2) {
      ByteBuf head = headBytes;
      headBytes = null;
      behindHead = Arrays.copyOfRange(head.array(), head.head() + headSize, head.tail());
      hand(head);
    } else {
      watchTime();
      readInner();
    }
  }

  private void takeBody(ByteBuf bytes) {
    if (framing == null || framing.accept(bytes.array(), bytes.head(), bytes.tail())) {
      hand(bytes);
    } else {
      bytes.recycle();
      refuse("400 Bad Request");
    }
  }

  /**
   * Looks at the head's bytes from where it stopped: every line must end with CR and LF, none may
   * go on in the next, no control character may stand in it, the target is a path, and the request
   * line ends with the version.
   */
  private String headFault() {
    RoutingConfiguration.ClientLimits known = limits.get();
    int most =
        known == null || known.maxHeadBytes() == 0
            ? ProxyEndpoint.HEAD_BYTES_MOST
            : known.maxHeadBytes();
    byte[] array = headBytes.array();
    for (int index = headBytes.head() + headSize; index < headBytes.tail(); index++) {
      byte each = array[index];
      if (each == '\n' ? last != '\r' : last == '\r') {
        return "400 Bad Request";
      }
      boolean control =
          each >= 0 && each < ' ' && each != '\r' && each != '\n' && each != '\t' || each == 127;
      if (control || (each == ' ' || each == '\t') && lineEnds > 0) {
        return "400 Bad Request";
      }
      if (!requestLine.accept(each)) {
        return "400 Bad Request";
      }
      lineEnds = each == '\n' ? lineEnds + 1 : each == '\r' ? lineEnds : 0;
      last = each;
      if (++headSize > most) {
        return "431 Request Header Fields Too Large";
      }
      if (lineEnds == 2) {
        return null;
      }
      maskEncoding(array, index, each);
    }
    return null;
  }

  /**
   * The library would unpack a body by this header, and what reaches the worker must be the
   * client's own bytes.
   */
  private void maskEncoding(byte[] array, int index, byte each) {
    if (each == '\n') {
      encodingMatched = 0;
    } else if (encodingMatched >= 0) {
      byte lower = each >= 'A' && each <= 'Z' ? (byte) (each + 32) : each;
      encodingMatched = lower == ENCODING[encodingMatched] ? encodingMatched + 1 : -1;
      if (encodingMatched == ENCODING.length) {
        array[index - ENCODING.length + 1 + HYPHEN_AT] = MASK;
        encodingMatched = -1;
      }
    }
  }

  /** A header's name as the client wrote it. */
  static String unmasked(String name) {
    return name.length() == MASKED_ENCODING.length() && name.equalsIgnoreCase(MASKED_ENCODING)
        ? name.replace((char) MASK, '-')
        : name;
  }

  // ---- time

  private long dueAt() {
    RoutingConfiguration.ClientLimits known = limits.get();
    if (asked == null) {
      return Long.MAX_VALUE;
    }
    if (headBytes != null) {
      return headBegunAt
          + (known == null || known.headTimeoutMs() == 0
              ? ClientConnectionConstants.HEAD_TIMEOUT_MS
              : known.headTimeoutMs());
    }
    return Math.max(askedAt, limitsChangedAt)
        + (known == null || known.idleTimeoutMs() == 0
            ? ClientConnectionConstants.IDLE_TIMEOUT_MS
            : known.idleTimeoutMs());
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
    if (closing || closed != null || asked == null) {
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
      SettablePromise<ByteBuf> present = asked;
      asked = null;
      present.setException(new RequestRejectedException());
    } else {
      refuse("408 Request Timeout");
    }
  }

  /**
   * Nothing of the request was passed on, and the HTTP library hears no more of this connection but
   * its end.
   */
  private void refuse(String status) {
    SettablePromise<ByteBuf> present = asked;
    asked = null;
    closing = true;
    ByteBuf answer =
        ByteBuf.wrapForReading(
            ("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                .getBytes(US_ASCII));
    write(answer).subscribe((written, fault) -> present.trySetException(fault));
  }

  // ---- writing and the end

  /**
   * What is written by this task and by those that wait in the loop already goes out in one piece.
   */
  @Override
  public Promise<Void> write(ByteBuf bytes) {
    if (closed != null) {
      bytes.recycle();
      return Promise.ofException(closed);
    }
    gathered = gathered == null ? bytes : ByteBufPool.append(gathered, bytes);
    if (!flushPosted && !flushing) {
      flushPosted = true;
      reactor.postLast(this::flush);
    }
    if (!closing && gathered.readRemaining() <= GATHERED_BYTES_MOST) {
      return Promise.complete();
    }
    if (flushed == null) {
      flushed = new SettablePromise<>();
    }
    return flushed;
  }

  private void flush() {
    flushPosted = false;
    if (gathered == null || flushing || inner.isClosed()) {
      return;
    }
    ByteBuf bytes = gathered;
    gathered = null;
    SettablePromise<Void> told = flushed;
    flushed = null;
    flushing = true;
    inner
        .write(bytes)
        .subscribe(
            (written, fault) -> {
              flushing = false;
              if (fault != null) {
                writeFailed(told, fault);
                return;
              }
              if (gathered != null) {
                flush();
              }
              if (closed != null) {
                closeInner();
              } else if (closing) {
                linger(() -> told.trySetException(new RequestRejectedException()));
              } else if (told != null) {
                told.set(null);
              }
            });
  }

  /** Whoever waits for something here learns it; the library then closes. */
  private void writeFailed(SettablePromise<Void> told, Exception fault) {
    broken = fault;
    if (closed != null) {
      inner.closeEx(fault);
    } else if (told != null) {
      told.trySetException(fault);
    } else if (asked != null) {
      SettablePromise<ByteBuf> present = asked;
      asked = null;
      present.setException(fault);
    } else {
      tellGone();
    }
  }

  /**
   * Closing while bytes are unread would reset the connection, and the client would not see the
   * answer.
   */
  private void linger(Runnable then) {
    if (ended || broken != null) {
      then.run();
      return;
    }
    if (ahead != null) {
      ahead.recycle();
      ahead = null;
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
    if (ahead != null) {
      ahead.recycle();
      ahead = null;
    }
    if (headBytes != null) {
      headBytes.recycle();
      headBytes = null;
    }
    whenGone = null;
    whenClosed.run();
    if (gathered != null) {
      flush();
    }
    if (flushing) {
      reactor.delayBackground(LINGER_MS, () -> inner.closeEx(fault));
    } else {
      closeInner();
    }
  }

  private void closeInner() {
    if (gathered != null) {
      gathered.recycle();
      gathered = null;
    }
    inner.closeEx(closed);
  }

  private static final class RequestRejectedException extends Exception {
    RequestRejectedException() {
      super("connection ended by the door", null, false, false);
    }
  }
}
