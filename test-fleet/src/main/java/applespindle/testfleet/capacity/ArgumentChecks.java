package applespindle.testfleet.capacity;

import java.util.List;

/** Checks of arguments; every fault is named before a run is refused. */
final class ArgumentChecks {
  private ArgumentChecks() {}

  /** Adds a reason if a value is out of its range. */
  static void requireRange(List<String> reasons, String name, long value, long least, long most) {
    if (value < least || value > most) {
      reasons.add(name + " must be from " + least + " to " + most + ", not " + value);
    }
  }

  /** Refuses the run if there are reasons. */
  static void refuseIf(List<String> reasons) throws RefusedException {
    if (!reasons.isEmpty()) {
      throw new RefusedException(reasons);
    }
  }
}
