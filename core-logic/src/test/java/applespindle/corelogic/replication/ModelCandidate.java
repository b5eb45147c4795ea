package applespindle.corelogic.replication;

import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.VoteResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * One life of a process that claims the register, leads it and folds its log into a view, wired as
 * a batch's leader is.
 */
final class ModelCandidate {
  private final ModelRuntime runtime;
  private final String id;
  private final String key;
  private final boolean snapshotValues;
  private final ModelHistory history;
  private final Elections elections;
  private ReplicatedLogLeader led;

  /** The entries folded by the leader of now, in the order of folding. */
  private final List<LogEntry> view = new ArrayList<>();

  ModelCandidate(
      ModelRuntime runtime,
      String id,
      String key,
      boolean snapshotValues,
      Supplier<ReplicaConfiguration> sets,
      ModelHistory history) {
    this.runtime = runtime;
    this.id = id;
    this.key = key;
    this.snapshotValues = snapshotValues;
    this.history = history;
    BiConsumer<String, Envelope> network = runtime::send;
    elections =
        new Elections(
            runtime,
            id,
            (address, toId, message) ->
                network.accept(address, new Envelope(id, id, toId, message)),
            unused -> sets.get(),
            this::startLeading);
  }

  ModelRuntime runtime() {
    return runtime;
  }

  boolean leads() {
    return led != null;
  }

  boolean idle() {
    return led == null && elections.inProgress(key) == null;
  }

  /** Claims as one to whom the register is handed over: no replica keeps it away. */
  void elect() {
    elections.elect(key, true, outcome -> {});
  }

  private void startLeading(ReplicatedLogLeader owned) {
    led = owned;
    view.clear();
    owned.onLeadershipLost(() -> led = null);
    List.copyOf(owned.entries()).forEach(this::apply);
  }

  private void apply(LogEntry entry) {
    if (!entry.isEpochStart()) {
      history.applied(id, led.entries(), view, entry);
      view.add(entry);
    }
  }

  void append(byte[] value) {
    LogEntry entry = new LogEntry(led.lastSequence() + 1, led.epoch(), snapshotValues, value);
    led.append(
        snapshotValues,
        value,
        () -> apply(entry),
        error -> {
          if (error == null) {
            history.acknowledged(entry);
          }
        });
  }

  void read() {
    long before = history.lastSeen();
    long last =
        led.entries().stream()
            .filter(entry -> !entry.isEpochStart())
            .mapToLong(LogEntry::sequence)
            .max()
            .orElse(0);
    led.confirmLeadership(
        error -> {
          if (error == null) {
            history.read(id, view, before, last);
          }
        });
  }

  /** Gives the register up, as a leader without work does. */
  void resign() {
    ReplicatedLogLeader former = led;
    led = null;
    former.resign();
  }

  void reconfigure(ReplicaConfiguration replicaConfiguration) {
    if (led != null) {
      led.reconfigure(replicaConfiguration);
    }
    elections.reconfigure();
  }

  void receive(Envelope envelope) {
    if (envelope.message() instanceof VoteResponse promised) {
      elections.handleVoteResponse(promised, envelope.fromId());
    } else if (envelope.message() instanceof AppendResponse appended) {
      ReplicatedLogLeader receiver = led != null ? led : elections.inProgress(key);
      if (receiver != null) {
        receiver.handleAppendResponse(appended, envelope.fromId());
      }
    }
  }

  void addTo(StateText text) {
    text.add(elections).add(led).add(view);
    runtime.addTo(text);
  }
}
