package applespindle.corelogic.environment;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.protocol.Envelope;
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
public abstract class FakeEnvironment implements Environment {
  /** One send as a worker sees it. */
  public static final class Sent {
    public final WorkerExchange call;
    public final ExchangeListener worker;
    public boolean cancelled;

    Sent(WorkerExchange call, ExchangeListener worker) {
      this.call = call;
      this.worker = worker;
    }

    public void event(int id, String data) {
      worker.chunk(
          new ResponseChunk("" + id, ("id: " + id + "\ndata: " + data + "\n\n").getBytes(UTF_8)));
    }
  }

  private record Planned(long at, long order, Runnable task) {}

  public final List<Sent> sent = new ArrayList<>();
  private final PriorityQueue<Planned> plan =
      new PriorityQueue<>(Comparator.comparingLong(Planned::at).thenComparingLong(Planned::order));
  private final RandomGenerator random = new SplittableRandom(7);
  private long now;
  private long order;

  public FakeEnvironment(long startMs) {
    now = startMs;
  }

  public void run(long millis) {
    long until = now + millis;
    while (!plan.isEmpty() && plan.peek().at() <= until) {
      Planned due = plan.poll();
      now = Math.max(now, due.at());
      due.task().run();
    }
    now = until;
  }

  /** Time passes without any task being run, as in a frozen process. */
  public void freeze(long millis) {
    now += millis;
  }

  @Override
  public long nowMs() {
    return now;
  }

  @Override
  public ScheduledTask schedule(long millis, Runnable task) {
    Planned planned = new Planned(now + millis, order++, task);
    plan.add(planned);
    return () -> plan.remove(planned);
  }

  @Override
  public WorkerCallHandle exchange(WorkerExchange call, ExchangeListener listener) {
    Sent send = new Sent(call, listener);
    sent.add(send);
    return () -> send.cancelled = true;
  }

  @Override
  public void send(String peerAddress, Envelope envelope) {}

  @Override
  public void write(List<LogRecord> records, Runnable whenSynced) {}

  @Override
  public boolean acceptsWrites() {
    return true;
  }

  @Override
  public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
    throw new AssertionError("no such run");
  }

  @Override
  public void readLoad(
      String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
    throw new AssertionError("a worker whose slots are listed is never asked");
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void log(String part, String sentence) {}
}
