package review;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** A stand-in of the platform's list of workers, on one page. */
final class PlatformApi implements AutoCloseable {
  final List<Worker> workers = new CopyOnWriteArrayList<>();
  private final HttpServer server;

  PlatformApi(InetSocketAddress address) throws IOException {
    server = HttpServer.create(address, 100);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "platform");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext(
        "/instances",
        exchange -> {
          byte[] body =
              ("{\"instances\":["
                      + workers.stream().map(Worker::entry).collect(Collectors.joining(","))
                      + "],\"next_token\":null}")
                  .getBytes(StandardCharsets.UTF_8);
          exchange.getResponseHeaders().set("Content-Type", "application/json");
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
