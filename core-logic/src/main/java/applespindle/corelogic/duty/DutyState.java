package applespindle.corelogic.duty;

/**
 * The replicated state of one duty: the claim of its holder, and what was written down to be done.
 *
 * @param <S> the type of the state itself
 */
public interface DutyState<S extends DutyState<S>> {
  /** Who holds the duty. */
  DutyClaim claim();

  /** This state under another claim; the intents stay. */
  S withClaim(DutyClaim claim);
}
