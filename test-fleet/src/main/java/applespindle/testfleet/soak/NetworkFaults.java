package applespindle.testfleet.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;

/** The network faults that are open now, between processes and between clients and edges. */
final class NetworkFaults {
  /** Stands for the clients of the edges. */
  static final String CLIENTS = "clients";

  /** The effect on bytes, worst last. */
  enum Traffic {
    FLOWS,
    /** Bytes are delayed until the fault ends. */
    HELD,
    /** The request passes, the response is dropped and the connection closed. */
    ANSWER_LOST,
    /** Bytes are dropped; the connection is broken by that and reset once the fault ends. */
    DROPPED,
    /** The connection is reset, and so is each new one. */
    RESET
  }

  private record Cut(String from, String to, Traffic traffic) {
    boolean concerns(String sender, String receiver) {
      return matches(from, sender) && matches(to, receiver);
    }

    private static boolean matches(String wanted, String name) {
      return wanted.equals(name) || wanted.equals(SoakFault.ALL) && !name.equals(CLIENTS);
    }
  }

  private final List<Cut> cuts = new CopyOnWriteArrayList<>();

  /** How many pieces of connections had each effect. */
  private final Map<Traffic, LongAdder> met = new ConcurrentHashMap<>();

  /** The effect on bytes from one to another; of overlapping faults the worst counts. */
  Traffic between(String sender, String receiver) {
    Traffic worst = Traffic.FLOWS;
    for (Cut cut : cuts) {
      if (cut.concerns(sender, receiver) && cut.traffic().compareTo(worst) > 0) {
        worst = cut.traffic();
      }
    }
    return worst;
  }

  /** Counts a piece of a connection, or its end, by the effect on it. */
  void note(Traffic traffic) {
    met.computeIfAbsent(traffic, unseen -> new LongAdder()).increment();
  }

  /** Counts so far by effect; shows that the faults had one. */
  Map<Traffic, Long> met() {
    Map<Traffic, Long> counts = new EnumMap<>(Traffic.class);
    met.forEach((traffic, count) -> counts.put(traffic, count.sum()));
    return counts;
  }

  void begin(SoakFault fault) {
    cuts.addAll(cutsOf(fault));
  }

  void end(SoakFault fault) {
    cutsOf(fault).forEach(cuts::remove);
  }

  private static List<Cut> cutsOf(SoakFault fault) {
    String target = fault.target();
    String other = fault.other();
    List<Cut> made = new ArrayList<>();
    switch (fault.kind()) {
      case DROP_FROM -> made.add(new Cut(target, other, Traffic.DROPPED));
      case DROP_TO -> made.add(new Cut(other, target, Traffic.DROPPED));
      case DROP_BOTH -> addBoth(made, target, other, Traffic.DROPPED);
      case HOLD_FROM -> made.add(new Cut(target, other, Traffic.HELD));
      case HOLD_TO -> made.add(new Cut(other, target, Traffic.HELD));
      case HOLD_BOTH -> addBoth(made, target, other, Traffic.HELD);
      case RESET -> addBoth(made, target, other, Traffic.RESET);
      case LOSE_ANSWERS -> made.add(new Cut(target, CLIENTS, Traffic.ANSWER_LOST));
      default -> throw new IllegalArgumentException(fault + " cuts nothing");
    }
    return made;
  }

  private static void addBoth(List<Cut> made, String target, String other, Traffic traffic) {
    made.add(new Cut(target, other, traffic));
    made.add(new Cut(other, target, traffic));
  }
}
