package applespindle.testfleet.capacity;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.adapters.ExitStatus;
import applespindle.testfleet.capacity.Measurements.MeasurementRun;
import applespindle.testfleet.capacity.Measurements.Row;
import applespindle.testfleet.capacity.Measurements.UnusableMeasurementsException;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Measures what the system costs as it grows, and draws what was measured. */
public final class CapacityProgram {
  /** Runs one command and ends the process with its exit status. */
  public static void main(String[] arguments) {
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.exit(run(arguments, System.err));
  }

  static int run(String[] arguments, PrintStream faults) {
    ArgumentParser parser = parser();
    try {
      Namespace flags = parser.parseArgs(arguments);
      switch (flags.getString("command")) {
        case "slopes" -> SlopesCommand.run(flags, String.join(" ", arguments));
        case "plot" -> plot(flags);
        case "target" -> target(flags);
        default -> ScaleCommand.run(flags, String.join(" ", arguments));
      }
      return ExitStatus.DONE.code();
    } catch (ArgumentParserException fault) {
      parser.handleError(fault, new PrintWriter(faults, true, UTF_8));
      return ExitStatus.WRONG_USE.code();
    } catch (RefusedException refused) {
      refused.reasons.forEach(reason -> faults.println("capacity: " + reason));
      return ExitStatus.WRONG_USE.code();
    } catch (UnusableMeasurementsException unusable) {
      faults.println("capacity: " + unusable.getMessage());
      return ExitStatus.WRONG_USE.code();
    } catch (IOException fault) {
      faults.println("capacity: can not write: " + fault.getMessage());
      return ExitStatus.WRONG_USE.code();
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("capacity")
            .build()
            .description("What the system costs as it grows.");
    Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
    SlopesCommand.addTo(commands);
    addPlotTo(commands);
    addTargetTo(commands);
    ScaleCommand.addTo(commands);
    return parser;
  }

  private static void addPlotTo(Subparsers commands) {
    Subparser plot =
        commands.addParser("plot").help("draw a result file again and print its slopes");
    plot.addArgument("file").nargs("+").help("result files, such as docs/capacity/control.json");
    plot.addArgument("--out")
        .metavar("FOLDER")
        .help("where the pictures go; none are drawn without it");
  }

  private static void addTargetTo(Subparsers commands) {
    Subparser target =
        commands
            .addParser("target")
            .help("today's design at the target's size, worked out from a result file");
    target.addArgument("file").nargs("+").help("result files of slopes, all of one commit");
    target
        .addArgument("--out")
        .metavar("FOLDER")
        .help("where target.md goes; only printed without it");
  }

  private static void plot(Namespace flags) throws UnusableMeasurementsException, IOException {
    Measurements.File file = read(flags);
    if (flags.getString("out") != null) {
      Plots.write(Path.of(flags.getString("out")), "", file.rows());
    }
    System.out.println("commit " + file.made().commit() + ", " + file.made().at());
    SlopesCommand.print(file.rows());
  }

  private static void target(Namespace flags) throws UnusableMeasurementsException, IOException {
    Measurements.File file = read(flags);
    String table =
        "Worked out from the slopes of commit "
            + file.made().commit()
            + ", "
            + file.made().at()
            + ".\n\n"
            + TargetExtrapolation.table(TargetExtrapolation.terms(file.rows()));
    if (flags.getString("out") != null) {
      Measurements.writeWhole(Path.of(flags.getString("out")).resolve("target.md"), table);
    }
    System.out.print(table);
  }

  /** Reads all files as one; figures of different commits can't be compared. */
  private static Measurements.File read(Namespace flags) throws UnusableMeasurementsException {
    List<Row> rows = new ArrayList<>();
    MeasurementRun made = null;
    for (String name : flags.<String>getList("file")) {
      Measurements.File each = Measurements.read(Path.of(name));
      if (made != null && !made.commit().equals(each.made().commit())) {
        throw new UnusableMeasurementsException(
            name
                + " is of commit "
                + each.made().commit()
                + ", the file before it of "
                + made.commit());
      }
      made = each.made();
      rows.addAll(each.rows());
    }
    return new Measurements.File(made, rows);
  }

  private CapacityProgram() {}
}
