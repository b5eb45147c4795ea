package applespindle.operatortool;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.ConfigurationValidator;
import com.fasterxml.jackson.databind.JsonNode;
import dev.failsafe.Failsafe;
import dev.failsafe.RetryPolicy;
import dev.failsafe.function.CheckedSupplier;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * The operators' command line. Exit status: 0 done, 1 refused or not found, 2 wrong use or input.
 */
public final class OperatorTool {
  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final int MAX_ATTEMPTS = 4;
  private final HttpCaller caller = new HttpCaller(TIMEOUT);

  /** Commands are safe to send again: each has a number, a key, or a state that it sets. */
  private final RetryPolicy<HttpCaller.Result> again =
      RetryPolicy.<HttpCaller.Result>builder()
          .handleResultIf(HttpCaller.Result::worthAnotherTry)
          .withMaxAttempts(MAX_ATTEMPTS)
          .withDelayFn(
              tried -> Duration.ofSeconds(Math.max(1, tried.getLastResult().comeBackSeconds())))
          .onRetry(
              tried ->
                  System.err.println("status " + tried.getLastResult().status() + ", trying again"))
          .build();

  private HttpCaller.Result patiently(CheckedSupplier<HttpCaller.Result> command) {
    return Failsafe.with(again).get(command);
  }

  public static void main(String[] arguments) {
    System.exit(execute(arguments));
  }

  /** One command; returns its exit status. */
  public static int execute(String... arguments) {
    return new OperatorTool().run(arguments);
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("operator-tool").build().description("Drives applespindle.");
    Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
    Subparser keys = commands.addParser("keys").help("make a key pair for signing");
    keys.addArgument("--out")
        .required(true)
        .metavar("FILE")
        .help("private key file; the public key goes to FILE.pub");
    Subparser check =
        commands.addParser("check-bundle").help("check a bundle offline, as the servers do");
    check.addArgument("bundle");
    Subparser sign = commands.addParser("sign").help("sign a bundle's exact bytes");
    sign.addArgument("--key").required(true);
    sign.addArgument("bundle");
    Subparser send =
        commands.addParser("send-bundle").help("sign, send and wait until it is in force");
    send.addArgument("--core").required(true).metavar("ADDRESS");
    send.addArgument("--key").required(true);
    send.addArgument("--key-id").required(true);
    send.addArgument("bundle");
    Subparser patch =
        withAddress(
            commands
                .addParser("patch-bundle")
                .help("change the bundle in force by names, sign the result and send the patch"),
            "--core");
    patch.addArgument("--key").required(true);
    patch.addArgument("--key-id").required(true);
    patch.addArgument("patch").help("file with number, upsert and remove");
    withAddress(commands.addParser("show-bundle").help("read back the bundle in force"), "--core");
    withAddress(commands.addParser("status").help("status of one process"), "--node");
    withAddress(commands.addParser("workers").help("list the workers"), "--core");
    Subparser leaving =
        withAddress(commands.addParser("leaving").help("mark a worker as leaving"), "--core");
    leaving.addArgument("worker");
    Subparser submit = withAddress(commands.addParser("submit").help("hand in a batch"), "--edge");
    submit.addArgument("--key").required(true).help("idempotency key");
    submit.addArgument("--sender").setDefault("operator");
    submit.addArgument("batch").help("file");
    Subparser results = withAddress(commands.addParser("results").help("read results"), "--edge");
    results.addArgument("--after").type(Long.class).setDefault(0L);
    results.addArgument("--limit").type(Integer.class).setDefault(100);
    results.addArgument("batch");
    Subparser end = withAddress(commands.addParser("end").help("end a batch early"), "--edge");
    end.addArgument("batch");
    for (String verb : new String[] {"empty", "retire", "plan"}) {
      Subparser storage =
          withAddress(
              commands
                  .addParser(verb + "-storage")
                  .help(
                      verb.equals("plan")
                          ? "what emptying a storage node would move where"
                          : verb + " a storage node"),
              "--core");
      storage.addArgument("storage").help("id or name");
    }
    withAddress(commands.addParser("storage").help("list the storage nodes"), "--core");
    Subparser preflight =
        commands
            .addParser("preflight")
            .help("whether the tier may be given traffic; names each fault");
    preflight
        .addArgument("--nodes")
        .required(true)
        .nargs("+")
        .metavar("ADDRESS")
        .help("HTTP addresses of all processes");
    Subparser trace = commands.addParser("trace").help("follow one change through all nodes");
    trace
        .addArgument("--nodes")
        .required(true)
        .nargs("+")
        .metavar("ADDRESS")
        .help("HTTP addresses");
    trace.addArgument("--key").required(true).help("such as bundle, worker/w1, batch/b-…");
    return parser;
  }

  private static Subparser withAddress(Subparser command, String flag) {
    command
        .addArgument(flag)
        .required(true)
        .metavar("ADDRESS")
        .dest("address")
        .help("HTTP address");
    return command;
  }

  int run(String[] arguments) {
    ArgumentParser parser = parser();
    Namespace flags;
    try {
      flags = parser.parseArgs(arguments);
    } catch (ArgumentParserException fault) {
      parser.handleError(fault);
      return 2;
    }
    try {
      return run(flags);
    } catch (IOException fault) {
      System.err.println("can not read " + fault.getMessage());
      return 2;
    } catch (IllegalArgumentException fault) {
      System.err.println(fault.getMessage());
      return 2;
    }
  }

  private int run(Namespace flags) throws IOException {
    String address = flags.getString("address");
    switch (flags.getString("command")) {
      case "keys" -> {
        Signing.Keys keys = Signing.generate();
        Files.writeString(Path.of(flags.getString("out")), keys.privateKey() + "\n");
        Files.writeString(Path.of(flags.getString("out") + ".pub"), keys.publicKey() + "\n");
        System.out.println(keys.publicKey());
        return 0;
      }
      case "check-bundle" -> {
        return checkBundle(Files.readAllBytes(Path.of(flags.getString("bundle"))));
      }
      case "sign" -> {
        System.out.println(
            Signing.sign(
                Files.readAllBytes(Path.of(flags.getString("bundle"))),
                Files.readString(Path.of(flags.getString("key")))));
        return 0;
      }
      case "send-bundle" -> {
        byte[] bytes = Files.readAllBytes(Path.of(flags.getString("bundle")));
        return show(
            patiently(
                () ->
                    caller.post(
                        flags.getString("core"),
                        "/v1/bundles",
                        bytes,
                        Map.of(
                            "Applespindle-Key-Id", flags.getString("key_id"),
                            "Applespindle-Signature",
                                Signing.sign(
                                    bytes, Files.readString(Path.of(flags.getString("key"))))))));
      }
      case "patch-bundle" -> {
        ConfigurationPatching patching =
            new ConfigurationPatching(
                caller,
                address,
                flags.getString("key_id"),
                Files.readString(Path.of(flags.getString("key"))));
        byte[] patch = Files.readAllBytes(Path.of(flags.getString("patch")));
        return show(patiently(patching.of(patch)::send));
      }
      case "show-bundle" -> {
        return show(caller.get(address, "/v1/bundles/current"));
      }
      case "status" -> {
        return show(caller.get(address, "/v1/status"));
      }
      case "workers" -> {
        return show(caller.get(address, "/v1/workers"));
      }
      case "storage" -> {
        return show(caller.get(address, "/v1/storage"));
      }
      case "plan-storage" -> {
        return show(caller.get(address, "/v1/storage/" + flags.getString("storage") + "/plan"));
      }
      case "empty-storage", "retire-storage" -> {
        String verb = flags.getString("command").replace("-storage", "");
        return show(
            patiently(
                () ->
                    caller.post(
                        address,
                        "/v1/storage/" + flags.getString("storage") + "/" + verb,
                        new byte[0],
                        Map.of())));
      }
      case "leaving" -> {
        return show(
            patiently(
                () ->
                    caller.call(
                        HttpMethod.POST,
                        address,
                        "/v1/workers/" + flags.getString("worker") + "/leaving",
                        new byte[0],
                        Map.of())));
      }
      case "submit" -> {
        return show(
            patiently(
                () ->
                    caller.post(
                        address,
                        "/v1/batches",
                        Files.readAllBytes(Path.of(flags.getString("batch"))),
                        Map.of(
                            "Idempotency-Key",
                            flags.getString("key"),
                            "Applespindle-Sender",
                            flags.getString("sender")))));
      }
      case "results" -> {
        return show(
            caller.get(
                address,
                "/v1/batches/"
                    + flags.getString("batch")
                    + "/results?after="
                    + flags.getLong("after")
                    + "&limit="
                    + flags.getInt("limit")));
      }
      case "end" -> {
        return show(
            patiently(
                () ->
                    caller.post(
                        address,
                        "/v1/batches/" + flags.getString("batch") + "/end",
                        new byte[0],
                        Map.of())));
      }
      case "preflight" -> {
        return Preflight.run(caller, flags.getList("nodes"));
      }
      default -> {
        return Tracer.trace(caller, flags.<String>getList("nodes"), flags.getString("key"));
      }
    }
  }

  private static int checkBundle(byte[] bytes) {
    ConfigurationValidator.ValidationResult checked = ConfigurationValidator.validate(bytes);
    if (checked.error() == null) {
      System.out.println("bundle " + checked.configuration().number() + ": good");
      return 0;
    }
    if (checked.error() instanceof ApiError.InvalidConfiguration invalid) {
      invalid.fields().forEach(field -> System.err.println(field.path() + ": " + field.reason()));
    }
    return 1;
  }

  private static int show(HttpCaller.Result result) {
    if (result.status() == 0) {
      System.err.println("no response: " + result.text());
      return 1;
    }
    JsonNode body = result.body();
    System.out.println(body.isNull() ? result.text() : body.toPrettyString());
    if (!result.good()) {
      System.err.println("status " + result.status());
    }
    return result.good() ? 0 : 1;
  }
}
