package applespindle.adapters;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.InputReader;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * What a process is told at its start, from a file and from flags; flags win.
 *
 * @param listen where it listens for its peers if that is not the address they are told, as behind
 *     a relay; null if it is
 */
public record StartupOptions(
    @NotBlank String name,
    @NotBlank String zone,
    @NotNull @Pattern(regexp = "edge|storage|core") String role,
    @NotNull @Pattern(regexp = ADDRESS, message = WANTED_ADDRESS) String http,
    @NotNull @Pattern(regexp = ADDRESS, message = WANTED_ADDRESS) String peer,
    @Pattern(regexp = ADDRESS, message = WANTED_ADDRESS) String listen,
    String data,
    @NotEmpty List<@NotNull @Pattern(regexp = ADDRESS, message = WANTED_ADDRESS) String> seeds,
    List<@NotNull @Pattern(regexp = ADDRESS, message = WANTED_ADDRESS) String> founders,
    Map<String, String> operatorKeys) {
  private static final String ADDRESS = "([0-9]{1,3}\\.){3}[0-9]{1,3}:[0-9]{1,5}";
  private static final String WANTED_ADDRESS =
      "must be an IP number and a port, such as 127.0.0.1:7000";

  private static final List<String> TEXT_FIELDS =
      List.of("name", "zone", "http", "peer", "listen", "data");

  /** The startup, or the faults; checkOnly asks for no more than this. */
  public record Read(StartupOptions startup, List<ApiError.Field> faults, boolean checkOnly) {}

  /**
   * Reads flags and file; a call that can not be parsed at all, or asks for help, yields null after
   * it was told.
   */
  public static Read read(String program, String role, String[] arguments) {
    ArgumentParser parser =
        ArgumentParsers.newFor(program)
            .build()
            .description("One process of applespindle. Flags win over the file.");
    parser.addArgument("--startup").metavar("FILE").help("startup file, JSON");
    parser.addArgument("--check").action(Arguments.storeTrue()).help("check the startup and exit");
    for (String field : TEXT_FIELDS) {
      parser.addArgument("--" + field);
    }
    if (role == null) {
      parser.addArgument("--role").help("edge or storage");
    }
    parser.addArgument("--seeds").nargs("+").help("peer addresses of other processes");
    parser
        .addArgument("--founders")
        .nargs("+")
        .help("peer addresses of the first core; default: the seeds");
    Namespace flags;
    try {
      flags = parser.parseArgs(arguments);
    } catch (ArgumentParserException fault) {
      parser.handleError(fault);
      return null;
    }
    ObjectNode tree = JSON.createObjectNode();
    if (flags.getString("startup") != null) {
      try {
        if (JSON.readTree(Files.readAllBytes(Path.of(flags.getString("startup"))))
            instanceof ObjectNode read) {
          tree = read;
        } else {
          return new Read(null, List.of(new ApiError.Field("$", "must be an object")), false);
        }
      } catch (IOException fault) {
        return new Read(
            null,
            List.of(new ApiError.Field("$", "the startup file can not be read as JSON")),
            false);
      }
    }
    for (String field : TEXT_FIELDS) {
      if (flags.getString(field) != null) {
        tree.put(field, flags.getString(field));
      }
    }
    for (String field : List.of("seeds", "founders")) {
      if (flags.getList(field) != null) {
        tree.set(field, JSON.valueToTree(flags.getList(field)));
      }
    }
    String toldRole = role != null ? role : flags.getString("role");
    if (toldRole != null) {
      tree.put("role", toldRole);
    }
    return check(tree, Boolean.TRUE.equals(flags.getBoolean("check")));
  }

  static Read check(ObjectNode tree, boolean checkOnly) {
    InputReader.Input<StartupOptions> input = InputReader.read(tree, StartupOptions.class);
    List<ApiError.Field> faults = new ArrayList<>(input.errors());
    if (input.isValid() && !input.value().role().equals("edge") && input.value().data() == null) {
      faults.add(
          new ApiError.Field("$.data", "a " + input.value().role() + " needs a data folder"));
    }
    return new Read(faults.isEmpty() ? input.value() : null, faults, checkOnly);
  }

  public List<String> coreFounders() {
    return founders == null || founders.isEmpty() ? seeds : founders;
  }

  String listenAddress() {
    return listen == null ? peer : listen;
  }

  public Map<String, String> keys() {
    return operatorKeys == null ? Map.of() : operatorKeys;
  }
}
