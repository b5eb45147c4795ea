package applespindle.testfleet.capacity;

import java.util.List;

/** Arguments that can't be used; each sentence names one reason. */
final class RefusedException extends Exception {
  final List<String> reasons;

  RefusedException(List<String> reasons) {
    super(String.join("; ", reasons));
    this.reasons = reasons;
  }
}
