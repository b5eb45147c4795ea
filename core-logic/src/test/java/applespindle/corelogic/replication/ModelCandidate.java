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
 * One life of a process that is a candidate for the register, leads it and applies its log to a
 * view, wired as a batch's leader is.
 */
final class ModelCandidate {
  private final ModelRuntime runtime;
  private final String id;
  private final String key;
  private final boolean snapshotValues;
  private final ModelHistory history;
  private final Elections elections;
  private ReplicatedLogLeader leader;

  /** The entries applied by the present leader, in the order of application. */
  private final List<LogEntry> view = new ArrayList<>();

  ModelCandidate(
      ModelRuntime runtime,
      String id,
      String key,
      boolean snapshotValues,
      Supplier<ReplicaConfiguration> configuration,
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
            unused -> configuration.get(),
            this::startLeading);
  }

  ModelRuntime runtime() {
    return runtime;
  }

  boolean leads() {
    return leader != null;
  }

  boolean idle() {
    return leader == null && elections.inProgress(key) == null;
  }

  /** Starts an election as one to whom the register was handed over: no live leader prevents it. */
  void elect() {
    elections.elect(key, true, outcome -> {});
  }

  private void startLeading(ReplicatedLogLeader elected) {
    leader = elected;
    view.clear();
    elected.onLeadershipLost(() -> leader = null);
    List.copyOf(elected.entries()).forEach(this::apply);
  }

  private void apply(LogEntry entry) {
    if (!entry.isEpochStart()) {
      history.applied(id, leader.entries(), view, entry);
      view.add(entry);
    }
  }

  void append(byte[] value) {
    LogEntry entry = new LogEntry(leader.lastSequence() + 1, leader.epoch(), snapshotValues, value);
    leader.append(
        snapshotValues,
        value,
        sequence -> apply(entry),
        error -> {
          if (error == null) {
            history.acknowledged(entry);
          }
        });
  }

  void read() {
    long before = history.lastSeen();
    long last =
        leader.entries().stream()
            .filter(entry -> !entry.isEpochStart())
            .mapToLong(LogEntry::sequence)
            .max()
            .orElse(0);
    leader.confirmLeadership(
        error -> {
          if (error == null) {
            history.read(id, view, before, last);
          }
        });
  }

  /** Resigns, as a leader without work does. */
  void resign() {
    ReplicatedLogLeader former = leader;
    leader = null;
    former.resign();
  }

  void reconfigure(ReplicaConfiguration replicaConfiguration) {
    if (leader != null) {
      leader.reconfigure(replicaConfiguration);
    }
    elections.reconfigure();
  }

  void receive(Envelope envelope) {
    if (envelope.message() instanceof VoteResponse vote) {
      elections.handleVoteResponse(vote, envelope.fromId());
    } else if (envelope.message() instanceof AppendResponse appended) {
      ReplicatedLogLeader receiver = leader != null ? leader : elections.inProgress(key);
      if (receiver != null) {
        receiver.handleAppendResponse(appended, envelope.fromId());
      }
    }
  }

  void addTo(StateText text) {
    text.add(elections).add(leader).add(view);
    runtime.addTo(text);
  }
}
