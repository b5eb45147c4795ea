package applespindle.corelogic;

import java.util.List;

/** What the processes say to each other. The adapters carry each as one SBE message. */
public sealed interface Message {
  /**
   * OLD_SET: the message's set number is below the one the replica knows; a newer set must be
   * learned first. WOULD_PROMISE: answers a trial only, and promises nothing.
   */
  enum Verdict {
    OK,
    REFUSED,
    BUSY,
    BEHIND,
    OLD_SET,
    WOULD_PROMISE
  }

  record Ask(
      long correlation,
      String duty,
      String key,
      String originId,
      String originAddress,
      int hops,
      byte[] body)
      implements Message {}

  record AskResponse(long correlation, int status, int comeBackSeconds, byte[] body)
      implements Message {}

  /**
   * Asks a replica for its promise of an epoch. A trial only asks whether the replica would give
   * it, and changes nothing there.
   */
  record KeyPromise(String key, Epoch epoch, long setNumber, boolean handedOver, boolean trial)
      implements Message {}

  record KeyPromised(
      String key,
      Epoch asked,
      Verdict verdict,
      Epoch promised,
      String owner,
      String ownerAddress,
      long committed,
      List<Entry> entries)
      implements Message {}

  /** hearsMajority: the owner was answered by a majority of the replicas of late. */
  record KeyAppend(
      String key,
      Epoch epoch,
      long setNumber,
      long round,
      long previousSequence,
      Epoch previousEpoch,
      long committed,
      boolean hearsMajority,
      List<Entry> entries)
      implements Message {}

  record KeyAppended(
      String key, Epoch epoch, long round, Verdict verdict, Epoch promised, long matched)
      implements Message {}

  /** The present owner asks its successor to take the key over at once. */
  record KeyHandOver(String key, Epoch epoch, long lastSequence) implements Message {}

  record CorePing(byte[] body) implements Message {}

  record WhereIsCore() implements Message {}

  record CoreIs(long rosterNumber, byte[] body) implements Message {}

  /**
   * sentAt is the follower's own clock; it comes back with the news, so that old news is never
   * taken for fresh.
   */
  record FeedFollow(String coreId, long incarnation, long number, long sentAt) implements Message {}

  record FeedItem(String key, long sequence, byte[] value) {}

  /** echoedAt is the sentAt of the poll this responds to; 0 when the news was pushed. */
  record FeedNews(
      String coreId,
      long incarnation,
      long fromNumber,
      long number,
      boolean checkpoint,
      boolean relayed,
      long ageMs,
      long echoedAt,
      List<FeedItem> items)
      implements Message {}

  /** How far a key is known. */
  record KeyPlace(String key, long sequence) {}

  /**
   * The edge at this address works by these keys up to these places. A fellow that gets it hands it
   * on to the core, for an edge that the core can not hear.
   */
  record KeysKnown(String edgeAddress, List<KeyPlace> places) implements Message {}

  /**
   * The core asks an edge how far it knows the keys whose news has to be in force before somebody
   * is told yes.
   */
  record KeysAsked(long sentAt) implements Message {}

  /**
   * The sender leads the batch; with unassigned above 0 there are ranges to pull. host and path say
   * where the items of an opaque batch go; both are empty for a batch of prompts.
   */
  record WorkOffer(String batch, long dueInMs, int unassigned, String host, String path)
      implements Message {}

  /**
   * sentAt is the feeder's own clock; it comes back with the handout, which is worth nothing once
   * it is too old.
   */
  record RangePull(String batch, String worker, long sentAt) implements Message {}

  record HandoutItem(int index, byte[] body) {}

  record RangeHandout(
      String batch,
      String worker,
      int range,
      long rangeEpoch,
      boolean none,
      long dueInMs,
      long pulledAt,
      List<HandoutItem> items)
      implements Message {}

  record ReportedItem(
      int index, String run, String worker, String finishReason, String faultType, byte[] output) {}

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
      boolean giveBack,
      List<ReportedItem> results)
      implements Message {}

  record RangeReported(
      String batch, int range, long rangeEpoch, String worker, long reportNumber, boolean keep)
      implements Message {}

  /**
   * What the sending edge has at workers now: its runs, and tokens of their prompts that the worker
   * still has to read.
   */
  record WorkerLoads(List<OwnLoad> loads) implements Message {
    public record OwnLoad(String worker, int running, int unread) {}
  }

  record BatchEnded(String batch) implements Message {}

  record Unfinished(List<String> keys) implements Message {}
}
