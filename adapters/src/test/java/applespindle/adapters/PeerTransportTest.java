package applespindle.adapters;

import applespindle.corelogic.Envelope;
import applespindle.corelogic.Message.KeysAsked;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PeerTransportTest {
  private static final long GENEROUS_S = 60;
  private static final int MESSAGES = 50;

  /** All of it is handed over before the first connection can stand. */
  @Test void whatIsSentWhileTheConnectionIsMadeArrivesInOrder() throws IOException, InterruptedException {
    String address;
    try (ServerSocket free = new ServerSocket(0)) {
      address = "127.0.0.1:" + free.getLocalPort();
    }
    BlockingQueue<Long> heard = new LinkedBlockingQueue<>();
    Eventloop loop = Eventloop.create();
    loop.keepAlive(true);
    PeerTransport receiver = new PeerTransport(loop,
        envelope -> heard.add(((KeysAsked) envelope.message()).sentAt()), sentence -> { });
    PeerTransport sender = new PeerTransport(loop, envelope -> { }, sentence -> { });
    receiver.listen(address);
    for (long number = 0; number < MESSAGES; number++) {
      sender.send(address, new Envelope("a", "127.0.0.1:1", "", new KeysAsked(number)));
    }
    Thread thread = new Thread(loop, "peer");
    thread.start();
    List<Long> arrived = new ArrayList<>();
    for (int index = 0; index < MESSAGES; index++) {
      arrived.add(heard.poll(GENEROUS_S, TimeUnit.SECONDS));
    }
    assertThat(arrived).containsExactlyElementsIn(LongStream.range(0, MESSAGES).boxed().toList()).inOrder();
    loop.execute(loop::breakEventloop);
    thread.join();
  }
}
