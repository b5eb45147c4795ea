package applespindle.dataplane;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.activej.async.exception.AsyncCloseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What goes out to the client's connection, write for write. */
final class ClientConnectionTest {
  /** Writes are kept apart; nothing is ever read. */
  private static final class Inner implements ITcpSocket {
    final List<String> writes = new ArrayList<>();

    /** Of the present write, if writes do not end by themselves. */
    SettablePromise<Void> slow;

    boolean closed;

    @Override
    public Promise<ByteBuf> read() {
      return new SettablePromise<>();
    }

    @Override
    public Promise<Void> write(ByteBuf bytes) {
      writes.add(bytes.asString(ISO_8859_1));
      return slow == null ? Promise.complete() : slow;
    }

    @Override
    public boolean isReadAvailable() {
      return false;
    }

    @Override
    public boolean isClosed() {
      return closed;
    }

    @Override
    public void closeEx(Exception fault) {
      closed = true;
    }
  }

  private final Eventloop loop = Eventloop.builder().withCurrentThread().build();
  private final Inner inner = new Inner();
  private final ClientConnection socket = new ClientConnection(inner, loop, () -> null, () -> {});

  private Promise<Void> write(String text) {
    return socket.write(ByteBuf.wrapForReading(text.getBytes(ISO_8859_1)));
  }

  @Test
  void writesOfWaitingTasksAreSentTogether() {
    loop.postLast(
        () -> {
          write("head ");
          write("first ");
        });
    loop.postLast(() -> write("of the same turn"));
    loop.run();
    assertThat(inner.writes).containsExactly("head first of the same turn");
  }

  @Test
  void whatComesDuringAWriteFollowsItInOrder() {
    inner.slow = new SettablePromise<>();
    loop.post(() -> write("one"));
    loop.run();
    loop.post(
        () -> {
          write("two ");
          write("three");
        });
    loop.run();
    assertThat(inner.writes).containsExactly("one");
    SettablePromise<Void> first = inner.slow;
    inner.slow = null;
    loop.post(() -> first.set(null));
    loop.run();
    assertThat(inner.writes).containsExactly("one", "two three").inOrder();
  }

  @Test
  void whatWasWrittenGoesOutBeforeTheEnd() {
    loop.post(
        () -> {
          write("all of it");
          socket.closeEx(new AsyncCloseException());
        });
    loop.run();
    assertThat(inner.writes).containsExactly("all of it");
    assertThat(inner.closed).isTrue();
  }

  @Test
  void aWriterWaitsWhileMuchIsUnwritten() {
    inner.slow = new SettablePromise<>();
    List<Promise<Void>> written = new ArrayList<>();
    loop.post(
        () -> {
          written.add(write("a".repeat(1_000)));
          written.add(write("b".repeat(100_000)));
        });
    loop.run();
    assertThat(written.get(0).isComplete()).isTrue();
    assertThat(written.get(1).isComplete()).isFalse();
    loop.post(() -> inner.slow.set(null));
    loop.run();
    assertThat(written.get(1).isComplete()).isTrue();
  }
}
