package applespindle.testfleet.simulation;

import applespindle.adapters.PeerCodec;
import applespindle.adapters.UnreadableFrameException;
import applespindle.corelogic.constants.PeerConnectionConstants;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.testfleet.history.InvariantViolationException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The network between simulated processes: latency, bandwidth, order, and links that are cut or
 * stalled. Every message between two processes passes through the real codec.
 */
public final class SimulatedNetwork {
  private static final long LOOPBACK_US = 20;

  /** One way, within a zone and between zones. */
  private static final long WITHIN_ZONE_US = 150;

  private static final long BETWEEN_ZONES_US = 1_000;
  private static final long JITTER_US = 300;
  private static final byte[] NO_FRAME = new byte[0];

  private final Simulation simulation;
  private final PeerCodec codec = new PeerCodec();

  /** By link, when its last small frame arrives; no later frame arrives before. */
  private final Map<String, Long> linkBusyUntilUs = new HashMap<>();

  /** Links that carry nothing, by sender and receiver. */
  private final Set<String> cutLinks = new HashSet<>();

  /**
   * Processes that a cut link parts from a process with a disk. Their fault is open in the history
   * until the links are healed.
   */
  private final Set<String> cutOff = new LinkedHashSet<>();

  /** Links that are stalled; what is sent over them waits in stalledArrivals. */
  private final Set<String> stalledLinks = new HashSet<>();

  /** In the order of sending; empty if no link is stalled. */
  private final List<Runnable> stalledArrivals = new ArrayList<>();

  private long messages;
  private long changeFeedRecords;

  SimulatedNetwork(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Messages that were sent so far. */
  long messages() {
    return messages;
  }

  /** Records in updates of the change feed that were sent so far. */
  public long changeFeedRecords() {
    return changeFeedRecords;
  }

  int encodedBytes(Envelope envelope) {
    return codec.encode(envelope).length;
  }

  /** Sends a message; it is lost if the receiver is down or the link is cut. */
  void send(SimulatedProcess from, String peerAddress, Envelope envelope) {
    SimulatedProcess to = simulation.processes.get(peerAddress);
    if (to == null || isCut(from, to) || !to.alive()) {
      return;
    }
    CrashPoint crashPoint = simulation.crashPoint;
    if (crashPoint != null
        && to != from
        && crashPoint.dropsBeforeSending(from, to, envelope.message())) {
      return;
    }
    byte[] frame = to == from ? NO_FRAME : codec.encode(envelope);
    Envelope carried = to == from ? envelope : decoded(frame, envelope);
    if (crashPoint != null) {
      crashPoint.sent(carried);
    }
    deliver(from, to, carried, frame.length);
  }

  private void deliver(SimulatedProcess from, SimulatedProcess to, Envelope carried, int bytes) {
    int incarnation = to.incarnation();
    int sentOver = from.connections();
    int receivedOver = to.connections();
    long arrivesUs = arrivalUs(from, to, bytes);
    messages++;
    to.countReceived(carried.message(), bytes);
    if (carried.message() instanceof ChangeFeedUpdate update) {
      changeFeedRecords += update.records().size();
    }
    Runnable arrival =
        () -> {
          boolean sameConnections =
              from.connections() == sentOver && to.connections() == receivedOver;
          if (!isCut(from, to) && sameConnections) {
            to.enter(incarnation, () -> to.receive(carried, bytes));
            if (simulation.crashPoint != null) {
              simulation.crashPoint.received(carried, to);
            }
          }
        };
    if (stalledLinks.contains(link(from.name, to.name))) {
      stalledArrivals.add(arrival);
    } else {
      simulation.at(arrivesUs, arrival);
    }
  }

  private long arrivalUs(SimulatedProcess from, SimulatedProcess to, int bytes) {
    long arrivesUs = simulation.nowUs() + latencyUs(from, to);
    boolean limited = from.link.limited() || to.link.limited();
    if (bytes >= PeerConnectionConstants.LARGE_FRAME_BYTES && limited) {
      // Large frames have a connection of their own, and share the links with each other.
      return arrivesUs + from.link.transferUs(to.link, bytes, simulation.nowUs());
    }
    String link = link(from.name, to.name);
    arrivesUs = Math.max(arrivesUs, linkBusyUntilUs.getOrDefault(link, 0L) + 1);
    linkBusyUntilUs.put(link, arrivesUs);
    return arrivesUs;
  }

  private long latencyUs(SimulatedProcess from, SimulatedProcess to) {
    if (from == to) {
      return LOOPBACK_US;
    }
    return (from.zone.equals(to.zone) ? WITHIN_ZONE_US : BETWEEN_ZONES_US)
        + simulation.random.nextLong(JITTER_US);
  }

  private Envelope decoded(byte[] frame, Envelope envelope) {
    try {
      return codec.decode(frame);
    } catch (UnreadableFrameException unreadable) {
      throw new InvariantViolationException(
          "a message did not survive its own codec: " + envelope.message());
    }
  }

  private static String link(String from, String to) {
    return from + ">" + to;
  }

  private boolean isCut(SimulatedProcess from, SimulatedProcess to) {
    return cutLinks.contains(link(from.name, to.name));
  }

  /** Nothing that one sends reaches the other; the other way stays open. */
  void cutOneWay(String from, String to) {
    cutLinks.add(link(from, to));
    List<SimulatedProcess> ends = Stream.of(from, to).map(simulation.processes::get).toList();
    if (ends.stream().allMatch(SimulatedNetwork::isEdge)) {
      return;
    }
    ends.stream()
        .filter(end -> ends.stream().allMatch(other -> other == end || !isEdge(other)))
        .filter(end -> cutOff.add(end.name))
        .forEach(end -> simulation.recordFault(end, true, "cut"));
  }

  private static boolean isEdge(SimulatedProcess process) {
    return process.role.equals("edge");
  }

  /** What is sent over the link arrives only once links are healed. */
  void stall(String from, String to) {
    stalledLinks.add(link(from, to));
  }

  /** Repairs all links; what waited on stalled ones arrives in the order of its sending. */
  void heal() {
    cutLinks.clear();
    cutOff.forEach(name -> simulation.recordFault(simulation.processes.get(name), false, "cut"));
    cutOff.clear();
    stalledLinks.clear();
    long arrivesUs = simulation.nowUs() + BETWEEN_ZONES_US;
    for (Runnable arrival : stalledArrivals) {
      simulation.at(arrivesUs++, arrival);
    }
    stalledArrivals.clear();
  }
}
