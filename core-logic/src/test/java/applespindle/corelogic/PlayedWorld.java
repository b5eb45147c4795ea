package applespindle.corelogic;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.OpaqueRequest.Piece;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Simulated time and workers of opaque requests that the test plays; nothing else of the world may
 * be used.
 */
abstract class PlayedWorld implements Surroundings {
  /** One send as a worker sees it. */
  static final class Sent {
    final WorkerExchange call;
    final ExchangeListener worker;
    boolean cancelled;

    Sent(WorkerExchange call, ExchangeListener worker) {
      this.call = call;
      this.worker = worker;
    }

    void event(int id, String data) {
      worker.piece(new Piece("" + id, ("id: " + id + "\ndata: " + data + "\n\n").getBytes(UTF_8)));
    }
  }

  private record Planned(long at, long order, Runnable task) {}

  final List<Sent> sent = new ArrayList<>();
  private final PriorityQueue<Planned> plan =
      new PriorityQueue<>(Comparator.comparingLong(Planned::at).thenComparingLong(Planned::order));
  private final RandomGenerator random = new SplittableRandom(7);
  private long now;
  private long order;

  PlayedWorld(long startMs) {
    now = startMs;
  }

  void run(long millis) {
    long until = now + millis;
    while (!plan.isEmpty() && plan.peek().at() <= until) {
      Planned due = plan.poll();
      now = Math.max(now, due.at());
      due.task().run();
    }
    now = until;
  }

  /** Time passes without any task being run, as in a frozen process. */
  void freeze(long millis) {
    now += millis;
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public Schedule after(long millis, Runnable task) {
    Planned planned = new Planned(now + millis, order++, task);
    plan.add(planned);
    return () -> plan.remove(planned);
  }

  @Override
  public WorkerRun exchange(WorkerExchange call, ExchangeListener listener) {
    Sent send = new Sent(call, listener);
    sent.add(send);
    return () -> send.cancelled = true;
  }

  @Override
  public void send(String peerAddress, Envelope envelope) {}

  @Override
  public void write(List<DiskRecord> records, Runnable whenSynced) {}

  @Override
  public boolean takesWrites() {
    return true;
  }

  @Override
  public WorkerRun run(WorkerCall call, WorkerListener listener) {
    throw new AssertionError("no such run");
  }

  @Override
  public void readLoad(
      String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<Fault> whenFaulty) {
    throw new AssertionError("a worker whose slots are listed is never asked");
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void log(String part, String sentence) {}
}
