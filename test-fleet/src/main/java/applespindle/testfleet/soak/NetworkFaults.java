package applespindle.testfleet.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;

/** What becomes of the bytes between processes, and between clients and edges, at this moment. */
final class NetworkFaults {
  /** In place of a process's name: those who call the edges. */
  static final String CLIENTS = "clients";

  /** What becomes of bytes, worst last. */
  enum Traffic {
    FLOWS,
    /** They wait and arrive later. */
    HELD,
    /** The request came through, the answer is thrown away, and the connection ends with it. */
    ANSWER_LOST,
    /** They are thrown away; the connection is of no use any more and is reset once all is well. */
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

  /** How many pieces of connections met each kind of traffic. */
  private final Map<Traffic, LongAdder> met = new ConcurrentHashMap<>();

  /** Cuts of overlapping troubles add up; the worst counts. */
  Traffic between(String sender, String receiver) {
    Traffic worst = Traffic.FLOWS;
    for (Cut cut : cuts) {
      if (cut.concerns(sender, receiver) && cut.traffic().compareTo(worst) > 0) {
        worst = cut.traffic();
      }
    }
    return worst;
  }

  /** Counts a piece of a connection, or its end, that met trouble. */
  void note(Traffic traffic) {
    met.computeIfAbsent(traffic, unseen -> new LongAdder()).increment();
  }

  /** What connections met so far, to see that cuts were cuts. */
  Map<Traffic, Long> met() {
    Map<Traffic, Long> counts = new EnumMap<>(Traffic.class);
    met.forEach((traffic, count) -> counts.put(traffic, count.sum()));
    return counts;
  }

  void begin(SoakFault trouble) {
    cuts.addAll(cutsOf(trouble));
  }

  void end(SoakFault trouble) {
    cutsOf(trouble).forEach(cuts::remove);
  }

  private static List<Cut> cutsOf(SoakFault trouble) {
    String target = trouble.target();
    String other = trouble.other();
    List<Cut> made = new ArrayList<>();
    switch (trouble.kind()) {
      case DROP_FROM -> made.add(new Cut(target, other, Traffic.DROPPED));
      case DROP_TO -> made.add(new Cut(other, target, Traffic.DROPPED));
      case DROP_BOTH -> addBoth(made, target, other, Traffic.DROPPED);
      case HOLD_FROM -> made.add(new Cut(target, other, Traffic.HELD));
      case HOLD_TO -> made.add(new Cut(other, target, Traffic.HELD));
      case HOLD_BOTH -> addBoth(made, target, other, Traffic.HELD);
      case RESET -> addBoth(made, target, other, Traffic.RESET);
      case LOSE_ANSWERS -> made.add(new Cut(target, CLIENTS, Traffic.ANSWER_LOST));
      default -> throw new IllegalArgumentException(trouble + " cuts nothing");
    }
    return made;
  }

  private static void addBoth(List<Cut> made, String target, String other, Traffic traffic) {
    made.add(new Cut(target, other, traffic));
    made.add(new Cut(other, target, traffic));
  }
}
