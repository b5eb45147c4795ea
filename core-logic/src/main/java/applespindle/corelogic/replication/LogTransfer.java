package applespindle.corelogic.replication;

import static applespindle.corelogic.protocol.Message.Verdict.OK;

import applespindle.corelogic.constants.ReplicationConstants;
import applespindle.corelogic.environment.Environment;
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
 * Reads the log that a claimant has to take over, part by part, from replicas that promised its
 * epoch and end with the same entry; of such logs every entry is the same. What has arrived is
 * kept: a slow link delays the claim and doesn't begin it anew.
 */
final class LogTransfer {
  private final Environment environment;
  private final MessageSender sender;
  private final String key;
  private final Epoch epoch;
  private final List<NodeAddress> sources;
  private final List<LogEntry> tail;
  private final Consumer<List<LogEntry>> whenWhole;
  private final Runnable whenFailed;
  private final List<LogEntry> received = new ArrayList<>();
  private long nextSequence;
  private int tries;
  private long progressAt;
  private long waitMs = ReplicationConstants.LOG_FETCH_TIMEOUT_MS;
  private Environment.ScheduledTask retry = () -> {};

  /** tail: the last entries of the log, as the sources told them with their promises. */
  LogTransfer(
      Environment environment,
      MessageSender sender,
      String key,
      Epoch epoch,
      List<NodeAddress> sources,
      long logStart,
      List<LogEntry> tail,
      Consumer<List<LogEntry>> whenWhole,
      Runnable whenFailed) {
    this.environment = environment;
    this.sender = sender;
    this.key = key;
    this.epoch = epoch;
    this.sources = List.copyOf(sources);
    this.tail = List.copyOf(tail);
    this.whenWhole = whenWhole;
    this.whenFailed = whenFailed;
    nextSequence = logStart;
    progressAt = environment.nowMs();
    askOn();
  }

  private long tailStart() {
    return tail.get(0).sequence();
  }

  private void askOn() {
    NodeAddress source = sources.get(tries % sources.size());
    sender.send(
        source.address(),
        source.id(),
        new LogFetchRequest(key, epoch, nextSequence, tailStart() - 1, tail.get(0).epoch()));
    retry = environment.schedule(waitMs, this::askAnother);
  }

  private void askAnother() {
    if (environment.nowMs() - progressAt >= ReplicationConstants.LOG_TRANSFER_TIMEOUT_MS) {
      whenFailed.run();
      return;
    }
    tries++;
    waitMs *= 2;
    askOn();
  }

  void handleResponse(LogFetchResponse part) {
    if (part.verdict() != OK) {
      cancel();
      whenFailed.run();
      return;
    }
    if (!accept(part.entries())) {
      return;
    }
    retry.cancel();
    progressAt = environment.nowMs();
    waitMs = ReplicationConstants.LOG_FETCH_TIMEOUT_MS;
    if (nextSequence < tailStart()) {
      askOn();
      return;
    }
    received.addAll(tail);
    whenWhole.accept(received);
  }

  /** False if there is nothing new in it: an answer to an ask that was repeated. */
  private boolean accept(List<LogEntry> entries) {
    if (entries.isEmpty() || entries.get(entries.size() - 1).sequence() < nextSequence) {
      return false;
    }
    LogEntry first = entries.get(0);
    if (first.sequence() > nextSequence) {
      if (!first.snapshot()) {
        return false;
      }
      // This source has dropped what a whole entry makes needless.
      received.clear();
      nextSequence = first.sequence();
    }
    for (LogEntry entry : entries) {
      if (entry.sequence() == nextSequence) {
        received.add(entry);
        nextSequence++;
      }
    }
    return true;
  }

  void cancel() {
    retry.cancel();
  }
}
