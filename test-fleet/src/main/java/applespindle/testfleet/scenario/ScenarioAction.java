package applespindle.testfleet.scenario;

/**
 * One timed fault or operation of a scenario.
 *
 * @param atMs simulated time at which it is performed
 * @param words the verb and its arguments
 * @param line number of its line in the scenario file, 0 if it was not read from a file
 * @param text the line itself, for error messages
 */
record ScenarioAction(long atMs, String[] words, int line, String text) {
  /** An action that is performed at once and was not read from a file. */
  static ScenarioAction immediate(String text) {
    return new ScenarioAction(0, text.split(" "), 0, text);
  }

  String verb() {
    return words[0];
  }

  /** The same action on another target. */
  ScenarioAction withTarget(String target) {
    String[] changed = words.clone();
    changed[1] = target;
    return new ScenarioAction(atMs, changed, line, text);
  }
}
