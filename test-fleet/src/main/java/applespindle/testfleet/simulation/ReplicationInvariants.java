package applespindle.testfleet.simulation;

import applespindle.corelogic.controlplane.ControlPlaneNode;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.replication.LogReplicas;
import applespindle.corelogic.storage.StorageNode;
import applespindle.testfleet.history.InvariantViolationException;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The invariants of replicated logs, checked after each step of a process on the key that the step
 * changed: promised epochs never fall, a position of a log has one committed value, and no
 * committed value vanishes.
 */
final class ReplicationInvariants {
  /** Between full checks only the newest committed entries of a changed key are checked. */
  private static final int FULL_CHECK_EVERY = 200;

  /** Key and sequence to epoch and content, for every entry any replica ever held as committed. */
  private final Map<String, String> committedEver = new HashMap<>();

  /** By key, the highest sequence in committedEver. */
  private final Map<String, Long> committedHighest = new TreeMap<>();

  /** By disk and key, the promised epoch that was last seen; it never falls. */
  private final Map<String, Epoch> promisedBefore = new HashMap<>();

  /**
   * By disk and key, the highest epoch that its holder promised in a message. Even a loss of power
   * must not lower it.
   */
  private final Map<String, Epoch> promisedInMessages = new HashMap<>();

  /** By disk and key, the highest sequence whose entry was compared with committedEver. */
  private final Map<String, Long> checkedUpTo = new HashMap<>();

  private static LogReplicas replicasOf(SimulatedProcess process) {
    if (process.node() instanceof ControlPlaneNode node) {
      return node.replicas();
    }
    return process.node() instanceof StorageNode node ? node.replicas() : null;
  }

  private static String holder(SimulatedProcess process, String key) {
    return holderPrefix(process) + key;
  }

  private static String holderPrefix(SimulatedProcess process) {
    return process.name + "/" + process.diskId() + " ";
  }

  /** Notes the promise of a message that a process sends. */
  void messageSent(SimulatedProcess process, Message message) {
    if (message instanceof Message.VoteResponse response
        && response.verdict() == Message.Verdict.OK) {
      notePromise(process, response.key(), response.requestedEpoch());
    } else if (message instanceof Message.AppendResponse response
        && response.verdict() == Message.Verdict.OK) {
      notePromise(process, response.key(), response.epoch());
    }
  }

  private void notePromise(SimulatedProcess process, String key, Epoch epoch) {
    promisedInMessages.merge(
        holder(process, key), epoch, (one, other) -> one.compareTo(other) < 0 ? other : one);
  }

  /** A dying process may forget promises that it neither sent to anyone nor synced. */
  void processDied(SimulatedProcess process) {
    String prefix = holderPrefix(process);
    promisedBefore.replaceAll(
        (holder, epoch) ->
            holder.startsWith(prefix)
                ? promisedInMessages.getOrDefault(holder, Epoch.NONE)
                : epoch);
  }

  /** Checks the key that the last task of a process changed. */
  void checkAfterStep(SimulatedProcess process, long step) {
    LogReplicas replicas = process.alive() ? replicasOf(process) : null;
    if (replicas == null || replicas.lastChangedKey().isEmpty()) {
      return;
    }
    String key = replicas.lastChangedKey();
    String holder = holder(process, key);
    LogReplicas.View view = replicas.view(key);
    checkPromise(holder, view.promisedEpoch());
    long checkedTo = step % FULL_CHECK_EVERY == 0 ? 0 : checkedUpTo.getOrDefault(holder, 0L) - 1;
    view.committedEntries().stream()
        .filter(entry -> entry.sequence() > checkedTo)
        .forEach(
            entry ->
                checkCommitted(
                    key, holder, entry.sequence(), content(entry.epoch(), entry.event())));
  }

  private void checkPromise(String holder, Epoch promised) {
    Epoch before = promisedBefore.put(holder, promised);
    if (before != null && promised.compareTo(before) < 0) {
      throw new InvariantViolationException(
          "epoch fell on " + holder + ": " + before + " to " + promised);
    }
  }

  private void checkCommitted(String key, String holder, long sequence, String content) {
    checkedUpTo.merge(holder, sequence, Math::max);
    String position = position(key, sequence);
    String known = committedEver.putIfAbsent(position, content);
    if (known != null && !known.equals(content)) {
      throw new InvariantViolationException(
          "two committed values at %s on %s: %s, %s".formatted(position, holder, known, content));
    }
    committedHighest.merge(key, sequence, Math::max);
  }

  private static String position(String key, long sequence) {
    return key + " " + sequence;
  }

  private static String content(Epoch epoch, byte[] event) {
    return epoch + " " + Arrays.hashCode(event);
  }

  /**
   * Checks at the end of a run, with the fleet healed, that the last committed entry of each key is
   * on at least one replica that is alive.
   */
  void checkNothingVanished(Collection<SimulatedProcess> processes) {
    committedHighest.forEach(
        (key, sequence) -> {
          String position = position(key, sequence);
          String content = committedEver.get(position);
          boolean found =
              processes.stream()
                  .filter(SimulatedProcess::alive)
                  .map(ReplicationInvariants::replicasOf)
                  .filter(Objects::nonNull)
                  .anyMatch(replicas -> holds(replicas, key, sequence, content));
          if (!found) {
            throw new InvariantViolationException("committed entry vanished: " + position);
          }
        });
  }

  private static boolean holds(LogReplicas replicas, String key, long sequence, String content) {
    return replicas.holds(
        key, sequence, entry -> content.equals(content(entry.epoch(), entry.event())));
  }
}
