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
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.protocol.Envelope;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Simulated time, and workers of proxied requests that the test acts as. Calls that a test does not
 * expect fail it.
 */
public abstract class FakeEnvironment implements Environment {
  /** One request as a worker sees it. */
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

  private record Scheduled(long at, long order, Runnable task) {}

  public final List<Sent> sent = new ArrayList<>();
  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::at).thenComparingLong(Scheduled::order));
  private final RandomGenerator random = new SplittableRandom(7);
  private final MemoryAccount memory = MemoryAccount.ofHeap(128 << 20, Runnable::run);
  private long now;
  private long wallClockAheadMs;
  private long order;

  public FakeEnvironment(long startMs) {
    now = startMs;
  }

  public void run(long millis) {
    long until = now + millis;
    while (!queue.isEmpty() && queue.peek().at() <= until) {
      Scheduled due = queue.poll();
      now = Math.max(now, due.at());
      due.task().run();
    }
    now = until;
  }

  /** How many tasks are scheduled and neither run nor cancelled. */
  public int scheduledTasks() {
    return queue.size();
  }

  /** Time passes without any task being run, as in a frozen process. */
  public void freeze(long millis) {
    now += millis;
  }

  /** Sets how far the wall clock is ahead of the monotonic one. */
  public void setWallClockAhead(long millis) {
    wallClockAheadMs = millis;
  }

  @Override
  public long nowMs() {
    return now;
  }

  @Override
  public long wallClockMs() {
    return now + wallClockAheadMs;
  }

  @Override
  public ScheduledTask schedule(long millis, Runnable task) {
    Scheduled scheduled = new Scheduled(now + millis, order++, task);
    queue.add(scheduled);
    return () -> queue.remove(scheduled);
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
  public MemoryAccount memory() {
    return memory;
  }

  @Override
  public boolean acceptsWrites() {
    return true;
  }

  @Override
  public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
    throw new AssertionError("unexpected call of a worker");
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
