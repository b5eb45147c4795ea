package applespindle.corelogic.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * The large appends to one replica that may still be on their way. Small appends overtake them, and
 * what these find missing at the replica must not be sent again: on a slow link the copies would
 * delay each other and everything else.
 */
final class InFlightAppends {
  private record InFlightAppend(long from, long to, long until) {}

  private final List<InFlightAppend> sent = new ArrayList<>();

  /** The entries from one sequence to another were sent and may take until then to arrive. */
  void add(long from, long to, long until) {
    sent.add(new InFlightAppend(from, to, until));
  }

  /** The replica has everything up to this sequence. */
  void arrived(long matched) {
    sent.removeIf(each -> each.to() <= matched);
  }

  boolean holds(long sequence, long now) {
    sent.removeIf(each -> each.until() <= now);
    return sent.stream().anyMatch(each -> each.from() <= sequence && sequence <= each.to());
  }
}
