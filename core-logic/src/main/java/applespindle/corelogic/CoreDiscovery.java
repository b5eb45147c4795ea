package applespindle.corelogic;

import applespindle.corelogic.Message.CoreIs;
import applespindle.corelogic.Message.WhereIsCore;
import applespindle.corelogic.Records.Roster;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Looks for the core, and tells seeds of it that may have forgotten it. Invariant: whoever has lost
 * the core asks every seed and every member it knows, as seeds may be stale, down, or as new as
 * this process.
 */
final class CoreDiscovery {
  private final Node.Place place;
  private final Bounds bounds;
  private final CoreMembership membership;

  /** Milliseconds since the last updates from a majority of the core. */
  private final LongSupplier viewAgeMs;

  private final Supplier<List<String>> seeds;
  private final KeyReplicas.Replies sender;
  private long searches;

  CoreDiscovery(
      Node.Place place,
      Bounds bounds,
      CoreMembership membership,
      LongSupplier viewAgeMs,
      Supplier<List<String>> seeds,
      KeyReplicas.Replies sender) {
    this.place = place;
    this.bounds = bounds;
    this.membership = membership;
    this.viewAgeMs = viewAgeMs;
    this.seeds = seeds;
    this.sender = sender;
  }

  void search() {
    searches++;
    boolean oneInSome = searches % Constants.CORE_TELL_ONE_IN == 0;
    boolean isMember = membership.isMember();
    if (isMember && oneInSome) {
      tellSeeds();
    }
    if (isLost() || !isMember && oneInSome) {
      askAround();
    }
  }

  private boolean isLost() {
    if (membership.current().number() == 0) {
      return true;
    }
    return membership.isMember()
        ? viewAgeMs.getAsLong() > Constants.CORE_SILENT_MS
        : bounds.voter() && membership.liveMembers().isEmpty();
  }

  /** A seed that is no member may know nothing of the core while others know only this seed. */
  private void tellSeeds() {
    Roster roster = membership.current();
    seeds.get().stream()
        .filter(seed -> !membership.includes(seed) && !seed.equals(place.peerAddress()))
        .forEach(seed -> sender.reply(seed, "", new CoreIs(roster.number(), Json.bytes(roster))));
  }

  private void askAround() {
    Set<String> known = new LinkedHashSet<>(seeds.get());
    membership.current().members().forEach(member -> known.add(member.peerAddress()));
    known.remove(place.peerAddress());
    known.forEach(address -> sender.reply(address, "", new WhereIsCore()));
  }
}
