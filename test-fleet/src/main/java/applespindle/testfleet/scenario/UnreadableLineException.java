package applespindle.testfleet.scenario;

/** A line of a scenario file can not be parsed. */
public final class UnreadableLineException extends RuntimeException {
  UnreadableLineException(int line, String text) {
    super("line " + line + " can not be read: " + text);
  }
}
