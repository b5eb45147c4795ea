package applespindle.adapters;

import applespindle.corelogic.constants.PeerConnectionConstants;
import io.activej.reactor.net.SocketSettings;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import jdk.net.ExtendedSocketOptions;

/** How the sockets between peers are set up, in both directions. */
final class PeerSockets {
  static final SocketSettings SETTINGS =
      SocketSettings.builder().withTcpNoDelay(true).withKeepAlive(true).build();

  /**
   * Has the kernel probe a peer that lost power or is partitioned off, so that its connections do
   * not stay for ever. Does nothing where the platform has no such options.
   */
  static void enableKeepalive(SocketChannel channel) {
    try {
      if (channel.supportedOptions().contains(ExtendedSocketOptions.TCP_KEEPIDLE)) {
        channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        channel.setOption(
            ExtendedSocketOptions.TCP_KEEPIDLE, PeerConnectionConstants.KEEPALIVE_IDLE_S);
        channel.setOption(
            ExtendedSocketOptions.TCP_KEEPINTERVAL, PeerConnectionConstants.KEEPALIVE_INTERVAL_S);
        channel.setOption(
            ExtendedSocketOptions.TCP_KEEPCOUNT, PeerConnectionConstants.KEEPALIVE_PROBES);
      }
    } catch (IOException closedAlready) {
      // The next read of the channel says so.
    }
  }

  private PeerSockets() {}
}
