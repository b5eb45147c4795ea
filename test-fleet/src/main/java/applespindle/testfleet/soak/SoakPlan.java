package applespindle.testfleet.soak;

import applespindle.testfleet.soak.SoakFault.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * The size of the fleet and the faults of one seed.
 *
 * @param faults in order of their beginning; all are over at endsMs
 */
record SoakPlan(
    long seed, int controlPlanes, int storages, int edges, List<SoakFault> faults, long endsMs) {
  private static final int CORES = 3;
  private static final int STORAGES_LEAST = 3;
  private static final int EDGES_LEAST = 4;

  /** Each adds 0 to 2 processes of its role. */
  private static final int MORE_PROCESSES = 3;

  /** Sequences of faults that run in parallel, so that this many are open at a time. */
  private static final int ROWS_LEAST = 2;

  private static final int MORE_ROWS = 2;
  private static final int STARVED_EDGES_MOST = 2;
  private static final long FIRST_MS = 1_000;
  private static final long SHORTEST_MS = 1_000;
  private static final long LONGEST_MS = 7_000;
  private static final long GAP_MS = 1_000;
  private static final double SHARE_OF_CUTS_OF_ALL = 0.5;

  static SoakPlan of(long seed, long lengthMs) {
    Random random = new Random(seed);
    int storages = STORAGES_LEAST + random.nextInt(MORE_PROCESSES);
    int edges = EDGES_LEAST + random.nextInt(MORE_PROCESSES);
    List<String> names = new ArrayList<>();
    addNames(names, "core", CORES);
    addNames(names, "storage", storages);
    addNames(names, "edge", edges);
    List<SoakFault> faults = new ArrayList<>();
    int starved = random.nextInt(STARVED_EDGES_MOST + 1);
    for (int edge = 1; edge <= starved; edge++) {
      faults.add(new SoakFault(Kind.STARVE, "edge-" + edge, SoakFault.ALL, FIRST_MS, lengthMs));
    }
    int rows = ROWS_LEAST + random.nextInt(MORE_ROWS);
    for (int row = 0; row < rows; row++) {
      addRow(faults, names, lengthMs, random);
    }
    faults.sort(Comparator.comparingLong(SoakFault::fromMs));
    return new SoakPlan(seed, CORES, storages, edges, List.copyOf(faults), lengthMs);
  }

  private static void addNames(List<String> names, String role, int count) {
    for (int number = 1; number <= count; number++) {
      names.add(role + "-" + number);
    }
  }

  private static void addRow(
      List<SoakFault> faults, List<String> names, long lengthMs, Random random) {
    long fromMs = FIRST_MS + random.nextLong(GAP_MS);
    while (fromMs + SHORTEST_MS <= lengthMs) {
      long untilMs =
          Math.min(lengthMs, fromMs + SHORTEST_MS + random.nextLong(LONGEST_MS - SHORTEST_MS));
      SoakFault drawn = draw(names, fromMs, untilMs, random);
      if (faults.stream().noneMatch(other -> excludes(other, drawn))) {
        faults.add(drawn);
        fromMs = untilMs + random.nextLong(GAP_MS);
      }
    }
  }

  private static SoakFault draw(List<String> names, long fromMs, long untilMs, Random random) {
    Kind kind = drawKind(random);
    List<String> targets =
        names.stream().filter(name -> !kind.ofEdgesOnly() || name.startsWith("edge-")).toList();
    String target = targets.get(random.nextInt(targets.size()));
    List<String> others = names.stream().filter(name -> !name.equals(target)).toList();
    String other =
        random.nextDouble() < SHARE_OF_CUTS_OF_ALL
            ? SoakFault.ALL
            : others.get(random.nextInt(others.size()));
    return new SoakFault(kind, target, other, fromMs, untilMs);
  }

  /** Kills and pauses as often as all cuts together, lost answers half as often. */
  private static Kind drawKind(Random random) {
    List<Kind> cuts =
        List.of(
            Kind.DROP_FROM,
            Kind.DROP_TO,
            Kind.DROP_BOTH,
            Kind.HOLD_FROM,
            Kind.HOLD_TO,
            Kind.HOLD_BOTH,
            Kind.RESET);
    return switch (random.nextInt(7)) {
      case 0, 1 -> Kind.KILL;
      case 2, 3 -> Kind.PAUSE;
      case 4, 5 -> cuts.get(random.nextInt(cuts.size()));
      default -> Kind.LOSE_ANSWERS;
    };
  }

  /** A process is killed, paused or starved by one fault at a time. */
  private static boolean excludes(SoakFault one, SoakFault another) {
    return one.overlaps(another)
        && one.target().equals(another.target())
        && (one.kind().equals(another.kind())
            || one.kind().ofProcess() && another.kind().ofProcess());
  }

  @Override
  public String toString() {
    return controlPlanes
        + " cores, "
        + storages
        + " storages, "
        + edges
        + " edges: "
        + faults.stream().map(SoakFault::toString).collect(Collectors.joining(" "));
  }
}
