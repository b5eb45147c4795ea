package applespindle.corelogic.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * The large appends to one replica that may still be on their way. Small appends overtake them, and
 * the entries that the replica then misses must not be sent again: on a slow link the second
 * transfer would delay the first and everything else.
 *
 * <p>Invariant: an append is listed until its last entry is acknowledged or its time is over.
 */
final class InFlightAppends {
  private record InFlightAppend(long firstSequence, long lastSequence, long arrivesBeforeMs) {}

  private final List<InFlightAppend> appends = new ArrayList<>();

  /** Entries of this range were sent and may take until the given time to arrive. */
  void add(long firstSequence, long lastSequence, long arrivesBeforeMs) {
    appends.add(new InFlightAppend(firstSequence, lastSequence, arrivesBeforeMs));
  }

  /** The replica has acknowledged everything up to this sequence. */
  void arrived(long matchedSequence) {
    appends.removeIf(each -> each.lastSequence() <= matchedSequence);
  }

  /** Whether the entry is part of an append that may still arrive. */
  boolean holds(long sequence, long nowMs) {
    appends.removeIf(each -> each.arrivesBeforeMs() <= nowMs);
    return appends.stream()
        .anyMatch(each -> each.firstSequence() <= sequence && sequence <= each.lastSequence());
  }
}
