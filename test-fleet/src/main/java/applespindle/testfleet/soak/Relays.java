package applespindle.testfleet.soak;

import applespindle.testfleet.processes.Fleet;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** A relay in front of each process's peer port and of each process's http port. */
final class Relays implements Fleet.Wiring, AutoCloseable {
  private final Eventloop eventloop = Eventloop.builder().withThreadName("relays").build();
  private final Thread thread = new Thread(eventloop, "relays");
  private final NetworkFaults links;

  /** Processes by the peer address that they advertise. */
  private final Map<String, String> processes = new ConcurrentHashMap<>();

  private final PeerSender peers = new PeerSender(processes);

  /** Touched on the relays' thread only. */
  private final List<SimpleServer> servers = new ArrayList<>();

  Relays(NetworkFaults links) {
    this.links = links;
    eventloop.ensureSelector();
    eventloop.keepAlive(true);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public String peerAddress(String process, String listensAt) throws IOException {
    String advertised =
        listen(
            socket -> {
              new RelayedConnection(eventloop, links, socket, process, peers).open(listensAt);
            });
    processes.put(advertised, process);
    return advertised;
  }

  @Override
  public String clientAddress(String process, String servesAt) throws IOException {
    return listen(
        socket ->
            new RelayedConnection(eventloop, links, socket, process, RelayedConnection.CLIENT)
                .open(servesAt));
  }

  private String listen(Consumer<ITcpSocket> whenAccepted) throws IOException {
    CompletableFuture<String> address = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          try {
            InetAddress host = InetAddress.getLoopbackAddress();
            SimpleServer server =
                SimpleServer.builder(eventloop, whenAccepted::accept)
                    .withListenAddress(new InetSocketAddress(host, 0))
                    .build();
            server.listen();
            servers.add(server);
            address.complete(
                host.getHostAddress() + ":" + server.getBoundAddresses().get(0).getPort());
          } catch (IOException fault) {
            address.completeExceptionally(fault);
          }
        });
    try {
      return address.join();
    } catch (CompletionException fault) {
      throw new IOException("a relay can not listen", fault);
    }
  }

  @Override
  public void close() {
    eventloop.execute(
        () -> {
          servers.forEach(SimpleServer::close);
          eventloop.keepAlive(false);
        });
  }
}
