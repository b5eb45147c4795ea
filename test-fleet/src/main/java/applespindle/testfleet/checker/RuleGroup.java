package applespindle.testfleet.checker;

import applespindle.testfleet.checker.Checker.Rule;
import applespindle.testfleet.checker.Checker.Violation;
import java.util.List;

/**
 * A group of rules over the same traffic; each adds the violations it finds to one list.
 *
 * @param <T> the view of the history that the rules read
 */
abstract class RuleGroup<T> {
  final T traffic;
  private final List<Violation> violations;

  RuleGroup(T traffic, List<Violation> violations) {
    this.traffic = traffic;
    this.violations = violations;
  }

  final void violated(Rule rule, long atMs, String what) {
    violations.add(new Violation(rule, atMs, what));
  }
}
