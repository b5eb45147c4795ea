package review;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** What all cases have in common: a running fleet with workers, its platform, and the record. */
abstract class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** The largest number of tokens that may wait on the route of lots, as on the sheet. */
  private static final long QUEUED_TOKENS = 840_000;

  /** The rule Fault: on a tenth of the machines in use, two at least, three times in the day. */
  private static final int FAULT_EXITS = 3;

  private static final int FAULT_MACHINES = 2;

  private static final int WORKERS = 9;
  private static final int TIME_LIMIT_S = 118;
  private static final long START_LIMIT_MS = 40_000;
  private static final long SETTLE_MS = 2_000;

  Record record;
  Fleet fleet;
  final AtomicInteger runs = new AtomicInteger();

  /** How often each process has ended by itself. */
  final Map<String, Integer> exits = new ConcurrentHashMap<>();

  /**
   * Plays the case on a fleet that has started.
   *
   * @param trouble whether the disruption is part of it
   * @return one of the results above
   */
  abstract int play(boolean trouble) throws Exception;

  /**
   * Plays the case and ends this process with its result.
   *
   * @param folder where record.txt is written
   */
  void run(String folder) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = COULD_NOT_RUN;
    Fleet.limitTime(TIME_LIMIT_S);
    try (Record opened = new Record(Path.of(folder, "record.txt"))) {
      record = opened;
      record.say("trouble: " + trouble);
      try (Fleet started = new Fleet();
          PlatformApi platform = new PlatformApi(started.platform())) {
        fleet = started;
        addWorkers(platform);
        result = startAndPlay(trouble);
      } catch (Exception fault) {
        record.say("could not run: " + fault);
      }
      record.say("exit " + result);
    }
    System.exit(result);
  }

  private void addWorkers(PlatformApi platform) throws Exception {
    for (int number = 0; number < WORKERS; number++) {
      platform.workers.add(
          new Worker(
              "i-" + number,
              Fleet.ZONES[number % Fleet.ZONES.length],
              fleet.network + (210 + number),
              (worker, id, body) -> {
                runs.incrementAndGet();
                record.add("ran " + id + " at " + worker.id + ", " + body.length + " bytes");
              }));
    }
  }

  private int startAndPlay(boolean trouble) throws Exception {
    if (!fleet.start(Config.of(1, 3, QUEUED_TOKENS), START_LIMIT_MS)) {
      record.say("the fleet did not start");
      return COULD_NOT_RUN;
    }
    Thread.sleep(SETTLE_MS);
    Thread keeper = fleet.keepRunning(record, exits);
    record.say("started");
    int result = play(trouble);
    keeper.interrupt();
    return result;
  }

  boolean breaksFault() {
    return Fleet.machinesWithExits(exits, FAULT_EXITS) >= FAULT_MACHINES;
  }
}
