package applespindle.operatortool;

import java.io.IOException;
import java.time.Duration;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The operators' command line. Exit status: 0 done, 1 refused or not found, 2 wrong use or input.
 */
public final class OperatorTool {
  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  private OperatorTool() {}

  public static void main(String[] arguments) {
    System.exit(execute(arguments));
  }

  /**
   * Runs one command; results go to the standard output, faults to the standard error.
   *
   * @param arguments the command's name, its flags and its operands
   * @return the exit status
   */
  public static int execute(String... arguments) {
    ArgumentParser parser = CommandLineParser.create();
    Namespace flags;
    try {
      flags = parser.parseArgs(arguments);
    } catch (ArgumentParserException fault) {
      parser.handleError(fault);
      return ExitStatus.WRONG_USE;
    }
    try {
      return new Commands(new HttpCaller(TIMEOUT), flags).run();
    } catch (IOException fault) {
      System.err.println("can not read " + fault.getMessage());
      return ExitStatus.WRONG_USE;
    } catch (IllegalArgumentException fault) {
      System.err.println(fault.getMessage());
      return ExitStatus.WRONG_USE;
    }
  }
}
