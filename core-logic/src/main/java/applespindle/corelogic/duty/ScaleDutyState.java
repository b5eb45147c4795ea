package applespindle.corelogic.duty;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The replicated state of the scale duty.
 *
 * <p>Invariants: there is at most one intent for a pool and a zone; an intent that is not done is
 * not replaced, as its order may have been sent.
 *
 * @param orders the last order for each pool and zone
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ScaleDutyState(DutyClaim claim, List<ScaleIntent> orders)
    implements DutyState<ScaleDutyState> {
  /** The state before the first claim. */
  public static final ScaleDutyState INITIAL = new ScaleDutyState(DutyClaim.NONE, List.of());

  /** Copies the list. */
  public ScaleDutyState {
    orders = List.copyOf(orders);
  }

  @Override
  public ScaleDutyState withClaim(DutyClaim newer) {
    return new ScaleDutyState(newer, orders);
  }

  /** This state with what is wanted written down where it differs from the last order. */
  public ScaleDutyState withDesired(List<DesiredCount> wanted) {
    ScaleDutyState next = this;
    for (DesiredCount desired : wanted) {
      Optional<ScaleIntent> last = next.last(desired.pool(), desired.zone());
      if (last.isEmpty() || last.get().done() && last.get().count() != desired.count()) {
        next = next.with(new ScaleIntent(desired.pool(), desired.zone(), desired.count(), false));
      }
    }
    return next;
  }

  /** This state once the platform has answered the order for a pool and a zone. */
  public ScaleDutyState withDone(String pool, String zone) {
    return last(pool, zone)
        .map(order -> with(new ScaleIntent(pool, zone, order.count(), true)))
        .orElse(this);
  }

  private Optional<ScaleIntent> last(String pool, String zone) {
    return orders.stream().filter(order -> order.hasSubject(pool, zone)).findFirst();
  }

  private ScaleDutyState with(ScaleIntent order) {
    List<ScaleIntent> next = new ArrayList<>(orders);
    next.removeIf(former -> former.hasSubject(order.pool(), order.zone()));
    next.add(order);
    return new ScaleDutyState(claim, next);
  }
}
