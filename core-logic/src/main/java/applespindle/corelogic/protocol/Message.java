package applespindle.corelogic.protocol;

import applespindle.corelogic.log.DeflatedEvents;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.MetadataKeys;
import java.util.List;

/** A message between processes. The adapters encode each kind as one message of the SBE schema. */
public sealed interface Message {
  /** A replica's decision on a request of a candidate or leader. */
  enum Verdict {
    /** The request was accepted, and what it requires is synced. */
    OK,
    /** The replica has promised an epoch that does not allow this one. */
    STALE_EPOCH,
    /** The replica does not vote, as it is in contact with another leader. */
    LEADER_ALIVE,
    /** The replica's log does not hold the entry that precedes those of the append. */
    LOG_MISMATCH,
    /** The replica knows a newer version of the replica configuration, which the sender needs. */
    STALE_CONFIGURATION,
    /** The replica would vote for the candidate. Answers a pre-vote only, and is no vote. */
    WOULD_GRANT
  }

  /**
   * Whether the sender should compress a large frame with this message. Not if the message carries
   * data that is compressed already, or a client's bytes that an edge forwards: the edge may have
   * little processor time, and the client waits.
   */
  default boolean shouldDeflate() {
    return true;
  }

  /**
   * A request to the node that leads or holds a key.
   *
   * @param operationName the wire name of an {@link Operation}, known to this version or not
   * @param correlation identifies the attempt among those of the origin
   * @param key the key that the request is about
   * @param originId the node that receives the response
   * @param originAddress peer address of that node
   * @param hops how often the request may still be forwarded
   * @param body JSON, or the encoded batch of a submission
   */
  record PeerRequest(
      long correlation,
      String operationName,
      String key,
      String originId,
      String originAddress,
      int hops,
      byte[] body)
      implements Message {
    /** A request for an operation that this version knows. */
    public PeerRequest(
        long correlation,
        Operation operation,
        String key,
        String originId,
        String originAddress,
        int hops,
        byte[] body) {
      this(correlation, operation.wireName(), key, originId, originAddress, hops, body);
    }

    /** The requested operation; {@link Operation#UNKNOWN} if this version does not know it. */
    public Operation operation() {
      return Operation.ofWireName(operationName);
    }

    @Override
    public boolean shouldDeflate() {
      return operation() != Operation.SUBMIT_BATCH;
    }
  }

  /**
   * The response to a {@link PeerRequest}.
   *
   * @param correlation that of the request
   * @param status HTTP status
   * @param retryAfterSeconds how long a retry should wait; 0 if it need not wait
   * @param body JSON
   */
  record PeerResponse(long correlation, int status, int retryAfterSeconds, byte[] body)
      implements Message {}

  /** The receiver of the {@link PeerRequest} with this correlation is still working on it. */
  record PeerRequestProgress(long correlation) implements Message {}

  /**
   * A candidate requests a replica's vote, by which the replica promises to refuse lower epochs.
   *
   * @param configurationVersion version of the replica configuration that the candidate knows
   * @param leadershipTransferred whether the former leader transferred the key to the candidate, so
   *     that the replica votes even while it is in contact with that leader
   * @param maxTailBytes of a longer log, the response carries only the last entries, and the
   *     candidate fetches the others by {@link LogFetchRequest}; 0 or less, as sent by older
   *     versions, for the complete log
   * @param preVote whether this only asks what a vote request would be answered; a pre-vote changes
   *     nothing at the replica
   */
  record VoteRequest(
      String key,
      Epoch epoch,
      long configurationVersion,
      boolean leadershipTransferred,
      int maxTailBytes,
      boolean preVote)
      implements Message {}

  /**
   * A replica's response to a {@link VoteRequest}.
   *
   * @param requestedEpoch the epoch of the request
   * @param promisedEpoch the highest epoch that the replica has promised
   * @param leaderId the leader that the replica was last in contact with; empty if none
   * @param committedSequence up to where the replica knows its log to be committed
   * @param logStartSequence the sequence of the first entry of the replica's log; 0 or less, as
   *     sent by older versions, if the entries are the complete log
   * @param entries the end of the replica's log; empty unless the replica has voted
   */
  record VoteResponse(
      String key,
      Epoch requestedEpoch,
      Verdict verdict,
      Epoch promisedEpoch,
      String leaderId,
      String leaderAddress,
      long committedSequence,
      long logStartSequence,
      List<LogEntry> entries)
      implements Message {
    /** Whether the entries are the replica's complete log, and not only its end. */
    public boolean isCompleteLog() {
      return entries.isEmpty()
          || entries.get(0).sequence() <= logStartSequence
          || logStartSequence <= 0;
    }

    @Override
    public boolean shouldDeflate() {
      return !DeflatedEvents.mostlyDeflated(entries);
    }
  }

  /**
   * A candidate requests entries of the log of a replica that voted for it.
   *
   * @param epoch the epoch of the vote
   * @param fromSequence the first requested entry
   * @param toSequence the last requested entry
   * @param nextEpoch the epoch of the entry that follows the last requested one; if the replica
   *     holds a different entry there, its log is not the one that the candidate is fetching
   */
  record LogFetchRequest(
      String key, Epoch epoch, long fromSequence, long toSequence, Epoch nextEpoch)
      implements Message {}

  /**
   * A replica's response to a {@link LogFetchRequest}.
   *
   * @param verdict {@link Verdict#STALE_EPOCH} if the replica has promised a higher epoch since, or
   *     its log is not the one that the candidate is fetching
   * @param entries the first of the requested entries, as many as fit into one message
   */
  record LogFetchResponse(String key, Epoch epoch, Verdict verdict, List<LogEntry> entries)
      implements Message {
    @Override
    public boolean shouldDeflate() {
      return !DeflatedEvents.mostlyDeflated(entries);
    }
  }

  /**
   * A joining replica requests a part of a large entry.
   *
   * @param epoch the epoch of the entry, which with the sequence identifies it
   * @param offset where the part begins in the event, in bytes
   * @param maxBytes the largest size of the part
   */
  record EntryChunkRequest(String key, long sequence, Epoch epoch, int offset, int maxBytes)
      implements Message {}

  /**
   * A replica's response to an {@link EntryChunkRequest}.
   *
   * @param entryBytes the size of the complete event; 0 if the replica does not hold the entry
   * @param bytes the part of the event from the offset on
   */
  record EntryChunk(
      String key, long sequence, Epoch epoch, int offset, int entryBytes, byte[] bytes)
      implements Message {
    /** Large events are deflated already. */
    @Override
    public boolean shouldDeflate() {
      return false;
    }
  }

  /**
   * The leader of a key sends log entries to a replica; without entries this is a heartbeat.
   *
   * @param round counts the leader's broadcasts; the response repeats it, which confirms the epoch
   *     to reads that began before that broadcast
   * @param previousSequence the entry that precedes the first of these; 0 if there is none
   * @param committedSequence up to where the leader knows the log to be committed
   * @param inContactWithQuorum whether a quorum of the replicas has recently answered the leader;
   *     if not, replicas do not take this message as a sign that the key has a working leader
   */
  record AppendRequest(
      String key,
      Epoch epoch,
      long configurationVersion,
      long round,
      long previousSequence,
      Epoch previousEpoch,
      long committedSequence,
      boolean inContactWithQuorum,
      List<LogEntry> entries)
      implements Message {
    @Override
    public boolean shouldDeflate() {
      return !DeflatedEvents.mostlyDeflated(entries);
    }
  }

  /**
   * A replica's response to an {@link AppendRequest}.
   *
   * @param round that of the request
   * @param matchedSequence up to where the replica's log matches the leader's; for {@link
   *     Verdict#LOG_MISMATCH}, a hint from where the leader should send
   */
  record AppendResponse(
      String key,
      Epoch epoch,
      long round,
      Verdict verdict,
      Epoch promisedEpoch,
      long matchedSequence)
      implements Message {}

  /** The leader of a key transfers the leadership: the receiver stands for election immediately. */
  record LeadershipTransfer(String key, Epoch epoch, long lastSequence) implements Message {}

  /**
   * The heartbeat of a control plane node to the others, with the state that they share, as JSON.
   */
  record QuorumHeartbeat(byte[] body) implements Message {}

  /** Asks any node for the control plane members that it knows. */
  record QuorumDiscoveryRequest() implements Message {}

  /**
   * The response to a {@link QuorumDiscoveryRequest}: the members, as JSON, and the version of that
   * membership.
   */
  record QuorumDiscoveryResponse(long membershipVersion, byte[] body) implements Message {}

  /**
   * A follower of a change feed requests the updates that it lacks.
   *
   * @param sourceId the node whose feed the position belongs to; empty if there is none yet
   * @param incarnation the incarnation of that node
   * @param position the last change that the follower has applied
   * @param sentAt on the follower's clock; the update repeats it, so that the follower can compute
   *     the update's age from the time of the poll
   * @param sharedDigest digest of the follower's table; 0 if it has none
   * @param configurationSequence sequence of the follower's routing configuration; 0 if it has none
   */
  record ChangeFeedPoll(
      String sourceId,
      long incarnation,
      long position,
      long sentAt,
      long sharedDigest,
      long configurationSequence)
      implements Message {
    /**
     * Whether the follower holds this value or a newer one, as far as the poll says: it names only
     * the sequence of the routing configuration, which is the largest value.
     */
    public boolean holds(MetadataRecord metadataRecord) {
      return metadataRecord.key().equals(MetadataKeys.CONFIGURATION)
          && metadataRecord.sequence() <= configurationSequence;
    }
  }

  /** The newest committed value of a key, with its sequence in the key's log. */
  record MetadataRecord(String key, long sequence, byte[] value) {}

  /**
   * Committed changes, sent in response to a {@link ChangeFeedPoll} or pushed to a follower.
   *
   * @param sourceId the node whose feed this is
   * @param incarnation the incarnation of that node
   * @param fromPosition the position that the records follow on
   * @param position the position after these records
   * @param snapshot whether the records can be applied at any position, as they are all that the
   *     follower may lack
   * @param relayed whether a peer edge sent this from its own table, in place of a control plane
   *     node
   * @param ageMs for how long a change may already be committed without being known to the sender
   * @param echoedAt the sentAt of the poll that this responds to; 0 if it was pushed
   */
  record ChangeFeedUpdate(
      String sourceId,
      long incarnation,
      long fromPosition,
      long position,
      boolean snapshot,
      boolean relayed,
      long ageMs,
      long echoedAt,
      List<MetadataRecord> records)
      implements Message {}

  /** The sequence of the newest value of a key that a node has applied. */
  record KeyPosition(String key, long sequence) {}

  /**
   * Reports which values the edge at this address has applied. A peer edge that receives it
   * forwards it to the control plane, which may not be reachable for the reporting edge itself.
   */
  record AppliedPositions(String edgeAddress, List<KeyPosition> positions) implements Message {}

  /**
   * A control plane node requests {@link AppliedPositions} from an edge: an update is acknowledged
   * to its sender only once the edges have applied it.
   */
  record AppliedPositionsRequest(long sentAt) implements Message {}

  /**
   * Announces that the sender leads the batch, and offers its unassigned ranges.
   *
   * @param dueInMs time until the batch is due; negative if it is late
   * @param unassignedRanges how many ranges dispatchers may request
   * @param host with the path, selects the route of the items of a proxied batch; both are empty
   *     for a batch of prompts
   */
  record BatchOffer(String batch, long dueInMs, int unassignedRanges, String host, String path)
      implements Message {}

  /**
   * Precedes a {@link BatchOffer} of large ranges, so that a dispatcher requests none that it has
   * no room for.
   *
   * @param largestRangeBytes about the size of the items of the batch's largest range
   */
  record RangeSize(String batch, long largestRangeBytes) implements Message {}

  /**
   * A dispatcher requests a range of a batch from the batch's leader.
   *
   * @param worker the worker that the items are for
   * @param sentAt on the dispatcher's clock; the assignment repeats it, and the range lease counts
   *     from it
   */
  record RangeRequest(String batch, String worker, long sentAt) implements Message {}

  /** One item of an assigned range, with its body as JSON. */
  record AssignedItem(int index, byte[] body) {}

  /**
   * The response to a {@link RangeRequest}.
   *
   * @param rangeEpoch fencing token of the assignment: reports under an older one are ignored
   * @param none whether no range is left; the other values then have no meaning
   * @param dueInMs time until the batch is due; negative if it is late
   * @param requestedAt the sentAt of the request
   */
  record RangeAssignment(
      String batch,
      String worker,
      int range,
      long rangeEpoch,
      boolean none,
      long dueInMs,
      long requestedAt,
      List<AssignedItem> items)
      implements Message {}

  /** The outcome of one run of an item; errorType is empty if the run finished. */
  record ItemOutcome(
      int index, String run, String worker, String finishReason, String errorType, byte[] output) {}

  /**
   * A dispatcher reports outcomes of a range to the batch's leader, and renews the range's lease.
   *
   * @param reportNumber identifies the report among those of the range
   * @param offset every item before it has an outcome, either in this report or in an earlier one
   *     that the leader has acknowledged
   * @param returned whether the dispatcher ends the assignment
   */
  record RangeReport(
      String batch,
      int range,
      long rangeEpoch,
      String worker,
      long reportNumber,
      int offset,
      boolean returned,
      List<ItemOutcome> results)
      implements Message {}

  /**
   * The response to a {@link RangeReport}.
   *
   * @param keepLease whether the range stays assigned to the reporting dispatcher
   */
  record RangeReportResponse(
      String batch, int range, long rangeEpoch, String worker, long reportNumber, boolean keepLease)
      implements Message {}

  /**
   * The load that the sending edge puts on workers now: its runs, and the tokens of their prompts
   * that the worker has not processed yet.
   */
  record PeerLoadReport(List<OwnLoad> loads) implements Message {
    /** The sender's share of one worker's load. */
    public record OwnLoad(String worker, int running, int unreadPromptTokens) {}
  }

  /** The batch records no more results; dispatchers cancel the items of it that still run. */
  record BatchEnded(String batch) implements Message {}

  /** Keys of unfinished batches that have no live leader and of which the sender has a replica. */
  record LeaderlessBatches(List<String> keys) implements Message {}
}
