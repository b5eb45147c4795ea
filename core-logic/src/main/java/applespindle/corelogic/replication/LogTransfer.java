package applespindle.corelogic.replication;

import static applespindle.corelogic.protocol.Message.Verdict.OK;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.environment.Environment.ScheduledTask;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.NodeAddress;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.MessageSender;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Fetches the log that a candidate has to adopt, part by part, from replicas that voted for its
 * epoch and whose logs end with the same entry; in such logs every entry is the same. What has
 * arrived is kept: a slow link delays the election but does not restart it.
 *
 * <p>State: the entries received so far and the next sequence to fetch. A request that isn't
 * answered goes to the next source after a wait that doubles each time.
 *
 * <p>Invariants: the received entries are contiguous and end just before the next sequence; at most
 * one of the two listeners runs, once, and none after {@link #cancel}.
 */
final class LogTransfer {
  private final Environment environment;
  private final MessageSender sender;
  private final String key;
  private final Epoch epoch;
  private final List<NodeAddress> sources;
  private final List<LogEntry> tail;
  private final EventRetention retention;
  private final Consumer<List<LogEntry>> completionListener;
  private final Runnable failureListener;
  private final List<LogEntry> received = new ArrayList<>();
  private long nextSequence;
  private int retries;
  private long progressAtMs;
  private long retryAfterMs = ReplicationConstants.LOG_FETCH_TIMEOUT_MS;
  private ScheduledTask retry = () -> {};

  /**
   * Sends the first request.
   *
   * @param sources the replicas to fetch from; at least one
   * @param logStartSequence the first sequence of the log
   * @param tail the last entries of the log, as the sources sent them with their votes; at least
   *     one
   * @param retention what is kept of the events
   * @param completionListener gets the complete log
   * @param failureListener runs once a source refuses, or nothing has arrived for {@link
   *     ReplicationConstants#LOG_TRANSFER_TIMEOUT_MS}
   */
  LogTransfer(
      Environment environment,
      MessageSender sender,
      String key,
      Epoch epoch,
      List<NodeAddress> sources,
      long logStartSequence,
      List<LogEntry> tail,
      EventRetention retention,
      Consumer<List<LogEntry>> completionListener,
      Runnable failureListener) {
    this.environment = environment;
    this.sender = sender;
    this.key = key;
    this.epoch = epoch;
    this.sources = List.copyOf(sources);
    this.tail = List.copyOf(tail);
    this.retention = retention;
    this.completionListener = completionListener;
    this.failureListener = failureListener;
    nextSequence = logStartSequence;
    progressAtMs = environment.nowMs();
    requestNextPart();
  }

  private long tailStart() {
    return tail.get(0).sequence();
  }

  private void requestNextPart() {
    NodeAddress source = sources.get(retries % sources.size());
    sender.send(
        source.address(),
        source.id(),
        new LogFetchRequest(key, epoch, nextSequence, tailStart() - 1, tail.get(0).epoch()));
    retry = environment.schedule(retryAfterMs, this::retryWithNextSource);
  }

  private void retryWithNextSource() {
    if (environment.nowMs() - progressAtMs >= ReplicationConstants.LOG_TRANSFER_TIMEOUT_MS) {
      failureListener.run();
      return;
    }
    retries++;
    retryAfterMs *= 2;
    requestNextPart();
  }

  /** Takes a part of the log, and requests the next one or completes the transfer. */
  void handleResponse(LogFetchResponse part) {
    if (part.verdict() != OK) {
      cancel();
      failureListener.run();
      return;
    }
    if (!addNewEntries(part.entries())) {
      return;
    }
    retry.cancel();
    progressAtMs = environment.nowMs();
    retryAfterMs = ReplicationConstants.LOG_FETCH_TIMEOUT_MS;
    if (nextSequence < tailStart()) {
      requestNextPart();
      return;
    }
    received.addAll(tail);
    completionListener.accept(received);
  }

  /** Returns false if nothing in the part is new: a response to a request that was repeated. */
  private boolean addNewEntries(List<LogEntry> part) {
    if (part.isEmpty() || part.get(part.size() - 1).sequence() < nextSequence) {
      return false;
    }
    LogEntry first = part.get(0);
    if (first.sequence() > nextSequence) {
      if (!first.snapshot()) {
        return false;
      }
      // The source has dropped the entries that this snapshot replaces.
      received.clear();
      nextSequence = first.sequence();
    }
    for (LogEntry entry : part) {
      if (entry.sequence() == nextSequence) {
        retention.received(entry);
        received.add(entry);
        nextSequence++;
      }
    }
    return true;
  }

  /** Ends the transfer without running a listener. */
  void cancel() {
    retry.cancel();
  }
}
