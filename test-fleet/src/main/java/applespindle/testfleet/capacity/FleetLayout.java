package applespindle.testfleet.capacity;

import java.util.List;

/**
 * Where the lightweight nodes of a run are, the same for all their processes: node i listens on
 * port firstPort + i and is in zone i mod zones, and each region has two zones.
 *
 * @param seeds peer addresses of the control plane
 */
record FleetLayout(int nodes, int firstPort, int zones, List<String> seeds) {
  static final String HOST = "127.0.0.1";

  String address(int node) {
    return HOST + ":" + (firstPort + node);
  }

  int zone(int node) {
    return node % zones;
  }

  int region(int node) {
    return zone(node) / 2;
  }

  /** The region of the node at an address; -1 for processes that are not lightweight nodes. */
  int regionOf(String address) {
    int node = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)) - firstPort;
    return address.startsWith(HOST) && node >= 0 && node < nodes ? region(node) : -1;
  }
}
