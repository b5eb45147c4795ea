package applespindle.corelogic.protocol;

import applespindle.corelogic.log.DeflatedEvents;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.MetadataKeys;
import java.util.List;

/** What the processes say to each other. The adapters carry each as one SBE message. */
public sealed interface Message {
  /**
   * OLD_SET: the message's set number is below the one the replica knows; a newer set must be
   * learned first. WOULD_PROMISE: answers a trial only, and promises nothing.
   */
  enum Verdict {
    OK,
    STALE_EPOCH,
    LEADER_ALIVE,
    LOG_MISMATCH,
    STALE_CONFIGURATION,
    WOULD_GRANT
  }

  /**
   * Whether a large frame with this message is worth deflating by its sender: not where the sender
   * passes on a client's bytes, and is asked for speed on a machine that may have little processor
   * time.
   */
  default boolean shouldDeflate() {
    return true;
  }

  /**
   * A request to the node that leads or holds a key.
   *
   * @param operationName the wire name of an {@link Operation}, known to this version or not
   * @param originId the node that is sent the response, and its address
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

    /** What is asked for; {@link Operation#UNKNOWN} if this version does not know it. */
    public Operation operation() {
      return Operation.ofWireName(operationName);
    }

    @Override
    public boolean shouldDeflate() {
      return operation() != Operation.SUBMIT_BATCH;
    }
  }

  /**
   * The response to the request with this correlation; retryAfterSeconds is 0 unless a retry should
   * wait.
   */
  record PeerResponse(long correlation, int status, int retryAfterSeconds, byte[] body)
      implements Message {}

  /** The node that was asked still works on the request with this correlation. */
  record PeerRequestProgress(long correlation) implements Message {}

  /**
   * Asks a replica for its promise of an epoch. maxTailBytes: of a log longer than this only the
   * last entries come with the promise, and the claimant asks for the rest by LogFetchRequest; 0 or
   * less, as from older versions: all of it. A trial only asks whether the replica would give the
   * promise, and changes nothing there.
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
   * logStartSequence: the sequence at which the replica's log begins. The entries are the whole log
   * if they begin there too, else its tail; 0 or less, as from older versions: they are the whole
   * log.
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
   * A claimant asks a replica that promised it this epoch for entries of its log. nextEpoch: of the
   * entry behind the last one asked for; a log that holds another one there is another log.
   */
  record LogFetchRequest(
      String key, Epoch epoch, long fromSequence, long toSequence, Epoch nextEpoch)
      implements Message {}

  /** The first of the entries asked for, as many as fit; refused under a higher promise. */
  record LogFetchResponse(String key, Epoch epoch, Verdict verdict, List<LogEntry> entries)
      implements Message {
    @Override
    public boolean shouldDeflate() {
      return !DeflatedEvents.mostlyDeflated(entries);
    }
  }

  /**
   * The leader of a key sends log entries, or a heartbeat without any, to a replica. hearsMajority:
   * the leader was answered by a majority of the replicas of late.
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
   * A replica's answer to {@link AppendRequest}: up to which sequence its log matches the leader's.
   */
  record AppendResponse(
      String key,
      Epoch epoch,
      long round,
      Verdict verdict,
      Epoch promisedEpoch,
      long matchedSequence)
      implements Message {}

  /** The present owner asks its successor to take the key over at once. */
  record LeadershipTransfer(String key, Epoch epoch, long lastSequence) implements Message {}

  /** A core member's regular sign of life, with the metadata it shares, as JSON. */
  record QuorumHeartbeat(byte[] body) implements Message {}

  /** Asks any node for the core members it knows. */
  record QuorumDiscoveryRequest() implements Message {}

  /**
   * The answer to {@link QuorumDiscoveryRequest}: the members, as JSON, and the number of that
   * membership.
   */
  record QuorumDiscoveryResponse(long membershipVersion, byte[] body) implements Message {}

  /**
   * sentAt is the follower's own clock; it comes back with the news, so that old news is never
   * taken for fresh. sharedDigest is that of the follower's table, configurationSequence that of
   * its bundle; both 0 where it has none.
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
     * Whether the follower is known to hold this value or a newer one: told of the largest only.
     */
    public boolean holds(MetadataRecord metadataRecord) {
      return metadataRecord.key().equals(MetadataKeys.CONFIGURATION)
          && metadataRecord.sequence() <= configurationSequence;
    }
  }

  /** One changed key of the feed, with its new value. */
  record MetadataRecord(String key, long sequence, byte[] value) {}

  /** echoedAt is the sentAt of the poll this responds to; 0 when the news was pushed. */
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

  /** How far a key is known. */
  record KeyPosition(String key, long sequence) {}

  /**
   * The edge at this address works by these keys up to these places. A fellow that gets it hands it
   * on to the core, for an edge that the core can not hear.
   */
  record AppliedPositions(String edgeAddress, List<KeyPosition> positions) implements Message {}

  /**
   * The core asks an edge how far it knows the keys whose news has to be in force before somebody
   * is told yes.
   */
  record AppliedPositionsRequest(long sentAt) implements Message {}

  /**
   * The sender leads the batch; with unassigned above 0 there are ranges to pull. host and path say
   * where the items of an opaque batch go; both are empty for a batch of prompts.
   */
  record BatchOffer(String batch, long dueInMs, int unassignedRanges, String host, String path)
      implements Message {}

  /**
   * sentAt is the feeder's own clock; it comes back with the handout, which is worth nothing once
   * it is too old.
   */
  record RangeRequest(String batch, String worker, long sentAt) implements Message {}

  /** One item of an assigned range, with its body as JSON. */
  record AssignedItem(int index, byte[] body) {}

  /** The answer to {@link RangeRequest}: the assignment of one range, or that none is left. */
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
   * offset: every item before it is done, counting the results carried here and those answered
   * before.
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
   * The answer to {@link RangeReport}; keep says whether the range stays assigned to the reporter.
   */
  record RangeReportResponse(
      String batch, int range, long rangeEpoch, String worker, long reportNumber, boolean keepLease)
      implements Message {}

  /**
   * What the sending edge has at workers now: its runs, and tokens of their prompts that the worker
   * still has to read.
   */
  record PeerLoadReport(List<OwnLoad> loads) implements Message {
    /** The sender's share of one worker's load. */
    public record OwnLoad(String worker, int running, int unreadPromptTokens) {}
  }

  /** The batch takes no more results; feeders cancel what still runs of it. */
  record BatchEnded(String batch) implements Message {}

  /** The unfinished keys that the sender holds a replica of. */
  record LeaderlessBatches(List<String> keys) implements Message {}
}
