package applespindle.testfleet.checker;

import applespindle.testfleet.history.History;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Checks a recorded history by the rules of {@link Checker}. Exit status: 0 no violation, 1 a rule
 * was violated, 2 the file can not be read.
 */
public final class ReplayProgram {
  /** Judges a history again that a run has written; exit status 1 if a rule was broken. */
  public static void main(String[] arguments) {
    System.exit(arguments.length == 1 ? replay(Path.of(arguments[0])) : wrongUse());
  }

  private static int wrongUse() {
    System.err.println("give one history file");
    return 2;
  }

  static int replay(Path file) {
    try {
      History history = History.fromLines(Files.readString(file));
      List<Checker.Violation> violations = Checker.check(history);
      violations.forEach(
          violation ->
              System.out.println(
                  violation.rule() + " at " + violation.atMs() + " ms: " + violation.what()));
      System.out.println(
          history.all().size() + " observations, " + violations.size() + " rules broken");
      return violations.isEmpty() ? 0 : 1;
    } catch (History.UnreadableHistoryException broken) {
      System.err.println(file + " " + broken.getMessage());
      return 2;
    } catch (IOException fault) {
      System.err.println("can not read " + file);
      return 2;
    }
  }

  private ReplayProgram() {}
}
