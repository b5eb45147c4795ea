package applespindle.adapters;

import applespindle.corelogic.constants.DiskConstants;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.memory.HolderAccount;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agrona.concurrent.OneToOneConcurrentArrayQueue;

/**
 * The disk thread: takes records from the logic thread by a bounded queue, writes and syncs all
 * that wait as one group, and reports them synced in order. It alone writes to the log. The process
 * ends when a sync fails or the queue is full, as nothing could be acknowledged any more.
 */
final class DiskWriter {
  private static final int MAX_JOBS_PER_GROUP = 1024;

  /** What the disk thread needs of the logic thread. All methods may be called from any thread. */
  interface LogicThread {
    /** Runs a task on the logic thread. */
    void execute(Runnable task);

    /** Runs the callbacks of records that are synced, in order, on the logic thread. */
    void reportSynced(List<Runnable> callbacks);
  }

  private record Job(List<LogRecord> records, Runnable whenSynced, boolean checkpoint) {}

  private final DiskLog log;
  private final LogicThread logicThread;

  /** All records that a checkpoint must hold; called on the logic thread. */
  private final Supplier<List<LogRecord>> snapshot;

  private final Consumer<String> messages;
  private final OneToOneConcurrentArrayQueue<Job> queue =
      new OneToOneConcurrentArrayQueue<>(DiskConstants.WRITE_RING_SLOTS);
  private final Thread thread = new Thread(this::run, "disk");

  /** Of the payloads that wait to be written. */
  private final HolderAccount queueAccount;

  /** Too little room is left for new records; read by all threads. */
  private volatile boolean full;

  private final AtomicLong wakeUps = new AtomicLong();

  /** When the free space was read last, by the monotonic clock; on the disk thread once it runs. */
  private long spaceCheckedAt;

  /** A checkpoint is on its way from the logic thread; on the disk thread only. */
  private boolean checkpointRequested;

  DiskWriter(
      DiskLog log,
      HolderAccount queueAccount,
      LogicThread logicThread,
      Supplier<List<LogRecord>> snapshot,
      Consumer<String> messages) {
    this.log = log;
    this.queueAccount = queueAccount;
    this.logicThread = logicThread;
    this.snapshot = snapshot;
    this.messages = messages;
  }

  /** Reads the free space and starts the thread, which runs until the process ends. */
  void start() {
    checkSpace();
    thread.start();
  }

  /**
   * Queues records to be written and synced; on the logic thread only. Ends the process if the
   * queue is full.
   */
  void write(List<LogRecord> records, Runnable whenSynced) {
    queueAccount.hold(payloadBytes(records));
    offer(new Job(records, whenSynced, false));
  }

  private static long payloadBytes(List<LogRecord> records) {
    long bytes = 0;
    for (LogRecord record : records) {
      bytes += record.payloadBytes();
    }
    return bytes;
  }

  /** Whether new records are welcome: the queue has room, and so has the disk. */
  boolean acceptsWrites() {
    return queue.size() < DiskConstants.WRITE_RING_SLOTS / 2
        && queueAccount.heldBytes() < DiskConstants.MAX_QUEUED_WRITE_BYTES
        && !full
        && !log.refusing();
  }

  /** So little is left on the disk that nothing new is taken; what is there stays. */
  boolean full() {
    return full;
  }

  String threadName() {
    return thread.getName();
  }

  long threadId() {
    return thread.getId();
  }

  /** How often the thread has looked for work. */
  long wakeUps() {
    return wakeUps.get();
  }

  /** A job is offered before the thread is unparked, so that no wake-up is lost. */
  private void offer(Job job) {
    if (!queue.offer(job)) {
      messages.accept("The disk is too far behind and the process ends.");
      Runtime.getRuntime().halt(ExitStatus.DISK_FAILED.code());
    }
    LockSupport.unpark(thread);
  }

  private void run() {
    List<Job> jobs = new ArrayList<>();
    try {
      while (true) {
        jobs.clear();
        wakeUps.incrementAndGet();
        queue.drainTo(jobs, MAX_JOBS_PER_GROUP);
        if (jobs.isEmpty()) {
          awaitWork();
        }
        perform(jobs);
        if (EventLoopThread.nowMs() - spaceCheckedAt
            >= DiskConstants.FREE_SPACE_CHECK_INTERVAL_MS) {
          checkSpace();
        }
        if (!checkpointRequested && log.wantsCheckpoint(full)) {
          requestCheckpoint();
        }
      }
    } catch (DiskException fault) {
      messages.accept("The disk failed and the process ends: " + fault.getMessage() + ".");
      Runtime.getRuntime().halt(ExitStatus.DISK_FAILED.code());
    }
  }

  /** A full disk is looked at again after a while also if nothing is to be written. */
  private void awaitWork() {
    if (full) {
      LockSupport.parkNanos(this, DiskConstants.FREE_SPACE_CHECK_INTERVAL_MS * 1_000_000L);
    } else {
      LockSupport.park(this);
    }
  }

  private void perform(List<Job> jobs) {
    List<Job> group = new ArrayList<>();
    for (Job job : jobs) {
      if (job.checkpoint()) {
        writeGroup(group);
        log.checkpoint(job.records());
        checkpointRequested = false;
      } else {
        group.add(job);
      }
    }
    writeGroup(group);
  }

  /** One write and one sync for all of a group, which is empty afterwards. */
  private void writeGroup(List<Job> group) {
    if (group.isEmpty()) {
      return;
    }
    List<LogRecord> records = new ArrayList<>();
    group.forEach(job -> records.addAll(job.records()));
    log.append(records);
    queueAccount.release(payloadBytes(records));
    List<Runnable> callbacks = group.stream().map(Job::whenSynced).toList();
    group.clear();
    logicThread.reportSynced(callbacks);
  }

  private void requestCheckpoint() {
    checkpointRequested = true;
    logicThread.execute(() -> offer(new Job(snapshot.get(), () -> {}, true)));
  }

  private void checkSpace() {
    spaceCheckedAt = EventLoopThread.nowMs();
    boolean fullNow = log.full();
    if (fullNow != full) {
      messages.accept(
          fullNow ? "The disk is full: nothing new is taken." : "The disk has room again.");
    }
    full = fullNow;
  }
}
