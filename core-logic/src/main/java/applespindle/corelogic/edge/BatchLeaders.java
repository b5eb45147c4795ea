package applespindle.corelogic.edge;

import applespindle.corelogic.batch.BatchDispatcher;
import applespindle.corelogic.batch.BatchKeys;
import applespindle.corelogic.batch.BatchLeader;
import applespindle.corelogic.constants.BatchMemoryConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.MetadataKeys;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.Message.LeadershipTransfer;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.VoteResponse;
import applespindle.corelogic.replication.BoundedTasks;
import applespindle.corelogic.replication.ElectionOutcome;
import applespindle.corelogic.replication.ElectionResult;
import applespindle.corelogic.replication.Elections;
import applespindle.corelogic.replication.EntrySection;
import applespindle.corelogic.replication.LeaderPayloads;
import applespindle.corelogic.replication.ReplicatedLogLeader;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The batches that this edge leads, and its elections to lead others. Invariant: a batch is listed
 * from a won election until its leadership is lost or resigned, which is also how a transfer
 * begins.
 */
final class BatchLeaders {
  private static final String LOG_PART = "edge";

  private final Environment environment;
  private final EdgeServices edge;
  private final BatchLeader.Context context;
  private final Elections elections;
  private final LeaderPayloads payloads;
  private final BoundedTasks takeovers =
      new BoundedTasks(BatchMemoryConstants.MAX_CONCURRENT_TAKEOVERS);

  /** The keys of the batches that wait to be taken over, or are being taken over. */
  private final Set<String> takeoverKeys = new HashSet<>();

  /** By key. */
  private final Map<String, BatchLeader> leaders = new TreeMap<>();

  BatchLeaders(Environment environment, EdgeServices edge, BatchLeader.Context context) {
    this.environment = environment;
    this.edge = edge;
    this.context = context;
    this.payloads = new LeaderPayloads(environment, edge::send);
    this.elections =
        new Elections(
            environment,
            edge.identity().id(),
            edge::send,
            edge::replicaConfigurationOf,
            this::leadershipWon,
            payloads);
  }

  /** Whether events may be appended for a further batch: those on their way are bounded. */
  boolean hasRoomForSubmissions() {
    return payloads.hasRoomForEvents();
  }

  /** Takes a part of an entry that a replica sent. */
  void handleEntryChunk(EntryChunk chunk, String fromId) {
    payloads.handleChunk(chunk, fromId);
  }

  /** Reads a section of a batch's log, which another edge may lead, from a replica. */
  void fetchSection(EntrySection section, Consumer<byte[]> callback) {
    List<NodeAddress> liveFirst =
        edge.replicaConfigurationOf(section.entry().key()).allReplicas().stream()
            .sorted(Comparator.comparing(replica -> !edge.members().containsKey(replica.id())))
            .toList();
    payloads.fetch(section, liveFirst, callback);
  }

  boolean isEmpty() {
    return leaders.isEmpty();
  }

  boolean leads(String key) {
    return leaders.containsKey(key);
  }

  /** Null if this edge does not lead the key. */
  BatchLeader get(String key) {
    return leaders.get(key);
  }

  /** Null if this edge does not lead the batch. */
  BatchLeader ofBatch(String batch) {
    return leaders.get(BatchKeys.keyOf(batch));
  }

  // ---- elections

  /**
   * Stands for election as the leader of a key, unless this edge leads it.
   *
   * @param transferred whether the former leader transferred the key to this edge
   */
  void elect(String key, boolean transferred, Consumer<ElectionOutcome> callback) {
    BatchLeader present = leaders.get(key);
    if (present != null && present.logLeader.isLeading()) {
      callback.accept(
          new ElectionOutcome(
              ElectionResult.ELECTED, edge.identity().id(), edge.identity().peerAddress()));
      return;
    }
    elections.elect(key, transferred, callback);
  }

  private void leadershipWon(ReplicatedLogLeader logLeader) {
    String key = logLeader.key;
    leaders.put(key, new BatchLeader(environment, context, BatchKeys.batchOf(key), logLeader));
    edge.traceLog().add("leads", key, "epoch " + logLeader.epoch().counter());
    logLeader.onLeadershipLost(() -> leadershipLost(key));
  }

  private void leadershipLost(String key) {
    BatchLeader lost = leaders.remove(key);
    if (lost != null) {
      lost.leadershipLost();
    }
    edge.traceLog().add("lost", key, "");
    environment.log(LOG_PART, "Leadership lost: " + key + ".");
  }

  void handleVoteResponse(VoteResponse response, String fromId) {
    elections.handleVoteResponse(response, fromId);
  }

  void handleLogFetchResponse(LogFetchResponse response) {
    elections.handleLogFetchResponse(response);
  }

  void handleAppendResponse(AppendResponse response, String fromId) {
    BatchLeader leader = leaders.get(response.key());
    ReplicatedLogLeader logLeader =
        leader != null ? leader.logLeader : elections.inProgress(response.key());
    if (logLeader != null) {
      logLeader.handleAppendResponse(response, fromId);
    }
  }

  /** The former leader transfers a batch to this edge, which stands for election. */
  void acceptTransfer(LeadershipTransfer transfer) {
    if (!leaders.containsKey(transfer.key())) {
      takeOver(transfer.key(), true, outcome -> {});
    }
  }

  /**
   * Stands for election once there is room for another log: the batches that are due first go
   * first. One that waits stays without a leader, and is reported again if it was dropped.
   */
  private void takeOver(String key, boolean transferred, Consumer<ElectionOutcome> callback) {
    if (edge.isStopping() || !takeoverKeys.add(key)) {
      return;
    }
    Long dueAt = context.lastKnownDueAt(BatchKeys.batchOf(key));
    takeovers.submit(
        dueAt == null ? Long.MAX_VALUE : dueAt,
        () -> {
          if (edge.isStopping() || edge.isIsolated()) {
            endTakeover(key);
            return;
          }
          elect(
              key,
              transferred,
              outcome -> {
                endTakeover(key);
                callback.accept(outcome);
              });
        });
  }

  private void endTakeover(String key) {
    takeoverKeys.remove(key);
    environment.schedule(0, takeovers::release);
  }

  /** The replicas of a shard have changed. */
  void reconfigure(String shardKey) {
    leaders.values().stream()
        .map(leader -> leader.logLeader)
        .filter(logLeader -> MetadataKeys.shardOf(logLeader.key).equals(shardKey))
        .toList()
        .forEach(logLeader -> logLeader.reconfigure(edge.replicaConfigurationOf(logLeader.key)));
    elections.reconfigure();
  }

  // ---- leading

  /** Resigns from the batches that need no leader any more. */
  void tick() {
    for (BatchLeader leader : List.copyOf(leaders.values())) {
      if (leader.tick()) {
        resign(leader);
      }
    }
  }

  private void resign(BatchLeader leader) {
    leader.logLeader.resign();
    leaders.remove(leader.logLeader.key);
    leader.leadershipLost();
  }

  /**
   * Stands for election to lead a batch whose leader has failed. If the batch has a reservation but
   * was never accepted, its rejection is made permanent; if it has ended, its capacity is released.
   */
  void recoverLeaderless(String key) {
    if (edge.isStopping() || edge.isIsolated()) {
      return;
    }
    takeOver(
        key,
        false,
        outcome -> {
          BatchLeader leader = leaders.get(key);
          if (outcome.result() == ElectionResult.ELECTED && leader != null) {
            settleIfNotOpen(leader);
          }
        });
  }

  private void settleIfNotOpen(BatchLeader leader) {
    if (leader.batchState.accepted == null) {
      leader.refuse(
          error -> {
            if (error == null) {
              releaseCapacity(leader.batch);
            }
          });
    } else if (!leader.batchState.isOpen()) {
      releaseCapacity(leader.batch);
    }
  }

  private void releaseCapacity(String batch) {
    context.reportCapacity(batch, 0, queued -> {});
  }

  // ---- shutdown and status

  /** Resigns from every batch, and transfers the open ones to the next edges in their order. */
  void transferAll(BatchDispatcher batchDispatcher) {
    for (BatchLeader leader : List.copyOf(leaders.values())) {
      NodeAddress successor = successorFor(leader.logLeader.key);
      resign(leader);
      if (successor != null && leader.batchState.isOpen()) {
        edge.send(
            successor.address(),
            successor.id(),
            new LeadershipTransfer(
                leader.logLeader.key, leader.logLeader.epoch(), leader.logLeader.lastSequence()));
        batchDispatcher.leaderMoved(leader.batch, successor.id(), successor.address());
        environment.log("batch", "Leadership transferred: batch=" + leader.batch + ".");
      }
    }
  }

  /** The first other edge in the order for a key; null if there is none. */
  private NodeAddress successorFor(String key) {
    for (int attempt = 0; attempt < edge.liveEdges().size(); attempt++) {
      NodeAddress candidate = edge.leaderPlacement().edge(key, attempt);
      if (!candidate.id().equals(edge.identity().id())) {
        return candidate;
      }
    }
    return null;
  }

  /** What the logs of all batches that are led here have in the heap, counted entry by entry. */
  private long ledLogBytes() {
    long bytes = 0;
    for (BatchLeader leader : leaders.values()) {
      for (LogEntry entry : leader.logLeader.entries()) {
        bytes += entry.payload().heldStart().length;
      }
    }
    return bytes;
  }

  /** Adds the bytes that are held for the batches led here, and what was read from replicas. */
  void describeMemory(ObjectNode status) {
    status
        .put("ledLogBytes", ledLogBytes())
        .put("ledEventBytes", payloads.residentBytes())
        .put("ledEventBytesMost", payloads.maxBytes())
        .put("unappliedEventBytes", payloads.unappliedBytes())
        .put("unappliedEventBytesMost", payloads.maxUnappliedBytes())
        .put("takeoversWaiting", takeoverKeys.size())
        .put("sectionsRead", payloads.fetches())
        .put("sectionBytesRead", payloads.fetchedBytes())
        .put("sectionsNotRead", payloads.failedFetches());
  }

  /** Adds the state of each batch that is led here. */
  void describe(ObjectNode status) {
    leaders.forEach(
        (key, leader) ->
            status.put(
                leader.batch,
                leader.batchState.state()
                    + ", epoch "
                    + leader.logLeader.epoch().counter()
                    + ", recorded "
                    + leader.batchState.results.size()
                    + " of "
                    + leader.batchState.items()));
  }
}
