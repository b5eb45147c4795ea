package applespindle.testfleet;

import applespindle.testfleet.Checker.Rule;
import applespindle.testfleet.Checker.Violation;
import java.util.List;

/** A group of rules over the same traffic; each adds what it finds to one list. */
abstract class ProxyRules {
  final ProxyTraffic traffic;
  private final List<Violation> violations;

  ProxyRules(ProxyTraffic traffic, List<Violation> violations) {
    this.traffic = traffic;
    this.violations = violations;
  }

  final void violated(Rule rule, long atMs, String what) {
    violations.add(new Violation(rule, atMs, what));
  }
}
