package applespindle.corelogic;

import static applespindle.corelogic.Message.Verdict.OK;

import applespindle.corelogic.Message.KeyLogAsk;
import applespindle.corelogic.Message.KeyLogPart;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads the log that a claimant has to take over, part by part, from replicas that promised its
 * epoch and end with the same entry; of such logs every entry is the same. What has arrived is
 * kept: a slow link delays the claim and doesn't begin it anew.
 */
final class LogTransfer {
  private final Surroundings surroundings;
  private final KeyReplicas.Replies sender;
  private final String key;
  private final Epoch epoch;
  private final List<OwnedKey.Replica> sources;
  private final List<Entry> tail;
  private final Consumer<List<Entry>> whenWhole;
  private final Runnable whenFailed;
  private final List<Entry> received = new ArrayList<>();
  private long nextSequence;
  private int tries;
  private long progressAt;
  private long waitMs = Constants.LOG_PART_TRY_MS;
  private Surroundings.Schedule retry = () -> {};

  /** tail: the last entries of the log, as the sources told them with their promises. */
  LogTransfer(
      Surroundings surroundings,
      KeyReplicas.Replies sender,
      String key,
      Epoch epoch,
      List<OwnedKey.Replica> sources,
      long logStart,
      List<Entry> tail,
      Consumer<List<Entry>> whenWhole,
      Runnable whenFailed) {
    this.surroundings = surroundings;
    this.sender = sender;
    this.key = key;
    this.epoch = epoch;
    this.sources = List.copyOf(sources);
    this.tail = List.copyOf(tail);
    this.whenWhole = whenWhole;
    this.whenFailed = whenFailed;
    nextSequence = logStart;
    progressAt = surroundings.now();
    askOn();
  }

  private long tailStart() {
    return tail.get(0).sequence();
  }

  private void askOn() {
    OwnedKey.Replica source = sources.get(tries % sources.size());
    sender.reply(
        source.address(),
        source.id(),
        new KeyLogAsk(key, epoch, nextSequence, tailStart() - 1, tail.get(0).epoch()));
    retry = surroundings.after(waitMs, this::askAnother);
  }

  private void askAnother() {
    if (surroundings.now() - progressAt >= Constants.LOG_TRANSFER_EXPIRY_MS) {
      whenFailed.run();
      return;
    }
    tries++;
    waitMs *= 2;
    askOn();
  }

  void take(KeyLogPart part) {
    if (part.verdict() != OK) {
      cancel();
      whenFailed.run();
      return;
    }
    if (!accept(part.entries())) {
      return;
    }
    retry.cancel();
    progressAt = surroundings.now();
    waitMs = Constants.LOG_PART_TRY_MS;
    if (nextSequence < tailStart()) {
      askOn();
      return;
    }
    received.addAll(tail);
    whenWhole.accept(received);
  }

  /** False if there is nothing new in it: an answer to an ask that was repeated. */
  private boolean accept(List<Entry> entries) {
    if (entries.isEmpty() || entries.get(entries.size() - 1).sequence() < nextSequence) {
      return false;
    }
    Entry first = entries.get(0);
    if (first.sequence() > nextSequence) {
      if (!first.whole()) {
        return false;
      }
      // This source has dropped what a whole entry makes needless.
      received.clear();
      nextSequence = first.sequence();
    }
    for (Entry entry : entries) {
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
