package applespindle.corelogic.replication;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.environment.Environment.WorkerCall;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.environment.Environment.WorkerCallListener;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.protocol.Envelope;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The environment of one life of a modelled process. Its clock stands still but for jumps; timers
 * fire when the model says so, whatever their delay, except that tasks without a delay run at the
 * end of the step that scheduled them.
 */
final class ModelRuntime implements Environment, StateText.Named {
  /** A timer that may fire. */
  static final class Timer {
    final long millis;
    final Runnable task;

    Timer(long millis, Runnable task) {
      this.millis = millis;
      this.task = task;
    }
  }

  private final String id;
  private final ModelDisk disk;
  private final BiConsumer<String, Envelope> network;
  private final Random random = new Random(0);
  private final ArrayDeque<Runnable> immediate = new ArrayDeque<>();
  final List<Timer> timers = new ArrayList<>();
  private long now;
  private boolean ended;

  ModelRuntime(String id, ModelDisk disk, BiConsumer<String, Envelope> network) {
    this.id = id;
    this.disk = disk;
    this.network = network;
  }

  @Override
  public String stateName() {
    return id;
  }

  /** The part of the process's state that is held here. */
  void addTo(StateText text) {
    text.add(now).add(timers);
  }

  void fire(Timer timer) {
    timers.remove(timer);
    timer.task.run();
    runImmediate();
  }

  void jumpClock(long millis) {
    now += millis;
  }

  void runImmediate() {
    for (Runnable task = immediate.poll(); task != null; task = immediate.poll()) {
      task.run();
    }
  }

  /** The process has crashed: nothing that still reaches it may have an effect. */
  void end() {
    ended = true;
    immediate.clear();
    timers.clear();
  }

  @Override
  public long nowMs() {
    return now;
  }

  @Override
  public long wallClockMs() {
    return nowMs();
  }

  @Override
  public ScheduledTask schedule(long millis, Runnable task) {
    if (millis == 0) {
      immediate.add(task);
      return () -> immediate.remove(task);
    }
    Timer timer = new Timer(millis, task);
    timers.add(timer);
    return new Cancellation(timers, timer);
  }

  /** Named, as it is reached from the logic's own fields. */
  private record Cancellation(List<Timer> timers, Timer timer)
      implements ScheduledTask, StateText.Named {
    @Override
    public void cancel() {
      timers.remove(timer);
    }

    @Override
    public String stateName() {
      return Integer.toString(timers.indexOf(timer));
    }
  }

  @Override
  public void send(String peerAddress, Envelope envelope) {
    if (!ended) {
      network.accept(peerAddress, envelope);
    }
  }

  @Override
  public void write(List<LogRecord> records, Runnable whenSynced) {
    disk.write(
        records,
        () -> {
          if (!ended) {
            immediate.add(whenSynced);
          }
        });
  }

  @Override
  public MemoryAccount memory() {
    return MemoryAccount.ofHeap(128 << 20, Runnable::run);
  }

  @Override
  public boolean acceptsWrites() {
    return true;
  }

  @Override
  public WorkerCallHandle callWorker(WorkerCall call, WorkerCallListener listener) {
    throw new UnsupportedOperationException("the model has no workers");
  }

  @Override
  public void readLoad(
      String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<ApiError> whenFaulty) {
    throw new UnsupportedOperationException("the model has no workers");
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void log(String part, String sentence) {}
}
