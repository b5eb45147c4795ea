package applespindle.operatortool;

import applespindle.adapters.ExitStatus;
import java.time.Duration;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The operators' command line. Every command ends with an {@link ExitStatus}; what went wrong is
 * one line on the standard error.
 */
public final class OperatorTool {
  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  private OperatorTool() {}

  /** Runs one command and ends the process with its exit status. */
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
      return ExitStatus.WRONG_USE.code();
    }
    try {
      return new Commands(new HttpCaller(TIMEOUT), flags).run().code();
    } catch (CommandException fault) {
      System.err.println(fault.getMessage());
      return fault.status().code();
    }
  }
}
