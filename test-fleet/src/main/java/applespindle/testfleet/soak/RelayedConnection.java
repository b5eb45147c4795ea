package applespindle.testfleet.soak;

import applespindle.testfleet.soak.NetworkFaults.Traffic;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.time.Duration;

/**
 * One connection through a relay; on the relays' thread only. Bytes keep their order and none is
 * passed on behind one that was dropped.
 */
final class RelayedConnection {
  /** Identifies the process that opened a connection. */
  interface Sender {
    /** Its name, or null while too few bytes arrived. */
    String name(byte[] begun);
  }

  /** Connections to the HTTP port are those of clients. */
  static final Sender CLIENT = begun -> NetworkFaults.CLIENTS;

  private static final long LOOK_MS = 10;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final SocketSettings SOCKETS =
      SocketSettings.builder().withTcpNoDelay(true).build();

  /** One of the two directions. */
  private final class Direction {
    final ITcpSocket from;
    final ITcpSocket to;
    final String sender;
    final String receiver;
    boolean dropped;
    boolean ended;

    Direction(ITcpSocket from, ITcpSocket to, String sender, String receiver) {
      this.from = from;
      this.to = to;
      this.sender = sender;
      this.receiver = receiver;
    }

    Traffic traffic() {
      return links.between(sender, receiver);
    }

    void readOn() {
      from.read()
          .whenComplete(
              (bytes, fault) -> {
                if (bytes != null) {
                  pass(bytes);
                } else {
                  end(fault != null);
                }
              });
    }

    void pass(ByteBuf bytes) {
      if (over) {
        bytes.recycle();
        return;
      }
      Traffic now = traffic();
      links.note(now);
      switch (now) {
        case FLOWS -> flow(bytes);
        case HELD -> eventloop.delay(LOOK_MS, () -> pass(bytes));
        case ANSWER_LOST, DROPPED -> {
          dropped = true;
          bytes.recycle();
          readOn();
        }
        case RESET -> {
          bytes.recycle();
          reset();
        }
        default -> throw new IllegalStateException();
      }
    }

    private void flow(ByteBuf bytes) {
      if (dropped) {
        bytes.recycle();
        reset();
        return;
      }
      to.write(bytes)
          .whenComplete(
              (done, fault) -> {
                if (fault != null) {
                  reset();
                } else {
                  readOn();
                }
              });
    }

    /** The end of a stream arrives as its bytes do: later, or as a reset once the cut is over. */
    void end(boolean broken) {
      Traffic now = traffic();
      if (over) {
        return;
      }
      if (now == Traffic.ANSWER_LOST || now == Traffic.RESET) {
        reset();
      } else if (now == Traffic.HELD || now == Traffic.DROPPED) {
        dropped |= now == Traffic.DROPPED;
        eventloop.delay(LOOK_MS, () -> end(broken));
      } else if (broken || dropped) {
        reset();
      } else {
        ended = true;
        to.write(null);
        if (forth.ended && back.ended) {
          finish();
        }
      }
    }
  }

  private final Eventloop eventloop;
  private final NetworkFaults links;
  private final ITcpSocket opener;
  private final String process;
  private final Sender sender;
  private final ByteArrayOutputStream begun = new ByteArrayOutputStream();
  private ITcpSocket served;
  private Direction forth;
  private Direction back;
  private boolean over;

  RelayedConnection(
      Eventloop eventloop, NetworkFaults links, ITcpSocket opener, String process, Sender sender) {
    this.eventloop = eventloop;
    this.links = links;
    this.opener = opener;
    this.process = process;
    this.sender = sender;
  }

  /** Reads until the sender is known, then connects to the process. */
  void open(String listensAt) {
    String known = sender.name(begun.toByteArray());
    if (known != null) {
      connect(listensAt, known);
      return;
    }
    opener
        .read()
        .whenComplete(
            (bytes, fault) -> {
              if (bytes == null) {
                reset();
                return;
              }
              begun.writeBytes(bytes.asArray());
              open(listensAt);
            });
  }

  private void connect(String listensAt, String from) {
    int colon = listensAt.lastIndexOf(':');
    var address =
        new InetSocketAddress(
            listensAt.substring(0, colon), Integer.parseInt(listensAt.substring(colon + 1)));
    TcpSocket.connect(eventloop, address, CONNECT_TIMEOUT, SOCKETS)
        .whenComplete(
            (connected, fault) -> {
              if (fault != null) {
                reset();
                return;
              }
              served = connected;
              forth = new Direction(opener, served, from, process);
              back = new Direction(served, opener, process, from);
              if (begun.size() > 0) {
                forth.pass(ByteBuf.wrapForReading(begun.toByteArray()));
              } else {
                forth.readOn();
              }
              back.readOn();
              watch();
            });
  }

  /** Connections on which nothing is sent must notice a reset too. */
  private void watch() {
    if (over) {
      return;
    }
    if (forth.traffic() == Traffic.RESET || back.traffic() == Traffic.RESET) {
      links.note(Traffic.RESET);
      reset();
      return;
    }
    eventloop.delay(LOOK_MS * LOOK_MS, this::watch);
  }

  private void reset() {
    abort(opener);
    abort(served);
    finish();
  }

  private static void abort(ITcpSocket socket) {
    if (socket instanceof TcpSocket tcp && !tcp.isClosed()) {
      try {
        tcp.getSocketChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException closedAlready) {
        // Then there is nothing to reset.
      }
    }
  }

  private void finish() {
    over = true;
    opener.close();
    if (served != null) {
      served.close();
    }
  }
}
