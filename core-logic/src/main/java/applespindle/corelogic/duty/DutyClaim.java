package applespindle.corelogic.duty;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.ArrayList;
import java.util.List;

/**
 * Who holds a duty, and under which fencing token.
 *
 * <p>Invariant: the fence rises by one with each claim and belongs to one claim only.
 *
 * @param holder the name of the node; empty before the first claim
 * @param fence the fencing token; 0 before the first claim
 * @param formerHolders names of other nodes that have held the duty, the last one first
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record DutyClaim(String holder, long fence, List<String> formerHolders) {
  /** Nobody has held the duty yet. */
  public static final DutyClaim NONE = new DutyClaim("", 0, List.of());

  /**
   * How many former holders are kept: more than can hold a duty one after the other within a lease,
   * as each of them needs an election.
   */
  private static final int MAX_FORMER_HOLDERS = 16;

  /** Copies the list. */
  public DutyClaim {
    formerHolders = List.copyOf(formerHolders);
  }

  /** The next claim, by this node. */
  public DutyClaim takenBy(String node) {
    List<String> former = new ArrayList<>();
    if (!holder.isEmpty() && !holder.equals(node)) {
      former.add(holder);
    }
    formerHolders.stream().filter(name -> !name.equals(node)).forEach(former::add);
    return new DutyClaim(
        node, fence + 1, former.subList(0, Math.min(former.size(), MAX_FORMER_HOLDERS)));
  }

  /** Whether this node has held the duty, and another one has claimed it since. */
  public boolean isFormerHolder(String node) {
    return formerHolders.contains(node);
  }
}
