package applespindle.corelogic;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** The ports of one process: all that the logic sees of the world. Every call and callback is on the logic thread. */
public interface Surroundings {
  /** Monotonic milliseconds; they do not jump with the wall clock and go on while the process is frozen. */
  long now();

  Schedule after(long millis, Runnable task);

  /** Sends to a peer address; may be lost, repeated or late. The own address is delivered too. */
  void send(String peerAddress, Envelope envelope);

  /** Appends records; runs the callback once these and all earlier ones are synced, never if the sync fails. */
  void write(List<DiskRecord> records, Runnable whenSynced);

  /** False while the disk is so far behind that a replica must stay silent rather than promise more. */
  boolean takesWrites();

  /** Starts a run at a worker. The listener hears zero or more texts and then exactly one end or fault. */
  WorkerRun run(WorkerCall call, WorkerListener listener);

  void readLoad(String workerAddress, Consumer<WorkerLoad> whenRead, Consumer<Fault> whenFaulty);

  RandomGenerator random();

  void log(String part, String sentence);

  interface Schedule {
    void cancel();
  }

  interface WorkerRun {
    /** Closes the connection; no callback comes after this. */
    void cancel();
  }

  record WorkerCall(String workerAddress, byte[] body, long expiryMs) {}

  record WorkerLoad(int running, int queued, int capacity, boolean leaving) {}

  interface WorkerListener {
    void text(String text);

    /** The terminal event and the end mark were both seen: the output is whole. */
    void end(String finishReason);

    /** mayHaveRun is false only when the worker can not have begun: no connection, or a refusal. */
    void fault(Fault fault, boolean mayHaveRun);
  }
}
