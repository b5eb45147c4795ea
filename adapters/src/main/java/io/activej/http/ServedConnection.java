package io.activej.http;

import io.activej.net.socket.tcp.ITcpSocket;
import java.net.InetAddress;

/** Gives access to what the HTTP library keeps to its own package and servers here need of it. */
public final class ServedConnection {
  /** Serves a connection whose socket is not the library's own. */
  public static void serve(HttpServer server, ITcpSocket socket, InetAddress remoteAddress) {
    server.serve(socket, remoteAddress);
  }

  /** Whether bytes were read that belong to no request so far. */
  public static boolean hasSurplus(HttpRequest request) {
    AbstractHttpConnection connection = request.getConnection();
    return connection.readBuf != null && connection.readBuf.canRead();
  }

  /** The response to this request is the last on its connection, and says so. */
  public static void endAfterResponse(HttpRequest request) {
    AbstractHttpConnection connection = request.getConnection();
    connection.flags &= ~AbstractHttpConnection.KEEP_ALIVE;
  }

  private ServedConnection() {}
}
