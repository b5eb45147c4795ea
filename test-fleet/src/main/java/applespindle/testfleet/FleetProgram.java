package applespindle.testfleet;

import java.io.IOException;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Starts a fleet on this machine and keeps it until the program is stopped. */
public final class FleetProgram {
  private static final long OPEN_MS = 60_000;

  public static void main(String[] arguments) throws IOException, InterruptedException {
    ArgumentParser parser = ArgumentParsers.newFor("test-fleet").build().description("A whole fleet on this machine.");
    parser.addArgument("--deployment").choices("authority", "cooperative", "small").setDefault("small");
    parser.addArgument("--folder").setDefault("fleet-data").help("data folders and logs; must be new or left by this");
    parser.addArgument("--first-port").type(Integer.class).setDefault(7100);
    Namespace flags;
    try {
      flags = parser.parseArgs(arguments);
    } catch (ArgumentParserException fault) {
      parser.handleError(fault);
      System.exit(2);
      return;
    }
    Deployment deployment = Deployment.valueOf(flags.getString("deployment").toUpperCase());
    Fleet fleet = new Fleet(deployment, Path.of(flags.getString("folder")), System.getProperty("java.class.path"),
        flags.getInt("first_port"));
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
    fleet.start();
    fleet.open(OPEN_MS);
    fleet.members.values().forEach(member -> System.out.println(member.name + "  http " + member.http
        + "  pid " + member.pid()));
    System.out.println("The fleet serves. Stop it with Ctrl-C.");
    Thread.currentThread().join();
  }

  private FleetProgram() {}
}
