package applespindle.adapters;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.node.Node;
import applespindle.corelogic.node.NodeIdentity;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The main method of all programs: parses and checks the startup options, then runs the process.
 * Exits with {@link ExitStatus#WRONG_USE} if the process can't be started.
 */
public final class Program {
  /**
   * Runs a program; returns once the threads of its process run, or the options are checked if that
   * is all that was asked for.
   *
   * @param name the program's name, for its help
   * @param role the role of the process; null if the options name it
   * @param maker makes the node for the options
   * @param openInterface opens the HTTP interface of the process
   */
  public static void run(
      String name,
      String role,
      String[] arguments,
      Function<StartupOptions, BiFunction<Environment, NodeIdentity, Node>> maker,
      Consumer<NodeProcess> openInterface) {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    StartupOptions.Read read = StartupOptions.read(name, role, arguments);
    if (read == null) {
      System.exit(ExitStatus.WRONG_USE.code());
    }
    if (!read.faults().isEmpty()) {
      for (ApiError.Field fault : read.faults()) {
        System.err.println("startup: " + fault.path() + ": " + fault.reason());
      }
      System.exit(ExitStatus.WRONG_USE.code());
    }
    if (read.checkOnly()) {
      System.out.println("startup: good");
      return;
    }
    try {
      new NodeProcess(read.startup(), maker.apply(read.startup())).start(openInterface);
    } catch (DiskException fault) {
      System.err.println("startup: $.data: " + fault.getMessage());
      System.exit(ExitStatus.WRONG_USE.code());
    } catch (IOException | UncheckedIOException fault) {
      System.err.println("startup: $.http or $.peer: can not listen: " + fault.getMessage());
      System.exit(ExitStatus.WRONG_USE.code());
    }
  }

  private Program() {}
}
