package applespindle.operatortool;

import applespindle.adapters.ExitStatus;
import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.ConfigurationValidator;
import com.fasterxml.jackson.databind.JsonNode;
import dev.failsafe.Failsafe;
import dev.failsafe.RetryPolicy;
import dev.failsafe.function.CheckedSupplier;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.sourceforge.argparse4j.inf.Namespace;

/** Carries out one parsed command. */
final class Commands {
  private static final int MAX_ATTEMPTS = 4;
  private static final byte[] NO_BODY = {};
  private static final Pattern ADDRESS =
      Pattern.compile("([0-9]{1,3}\\.){3}[0-9]{1,3}:([0-9]{1,5})");
  private static final int MAX_PORT = 65_535;

  /** Commands are safe to send again: each has a number, a key, or a state that it sets. */
  private static final RetryPolicy<HttpCaller.Result> RETRY_POLICY =
      RetryPolicy.<HttpCaller.Result>builder()
          .handleResultIf(HttpCaller.Result::isRetryable)
          .withMaxAttempts(MAX_ATTEMPTS)
          .withDelayFn(
              attempt ->
                  Duration.ofSeconds(Math.max(1, attempt.getLastResult().retryAfterSeconds())))
          .onRetry(
              attempt ->
                  System.err.println(
                      "status " + attempt.getLastResult().status() + ", trying again"))
          .build();

  private final HttpCaller caller;
  private final Namespace flags;

  /** The server that most commands call; null for commands without one. */
  private final String address;

  /**
   * A command that is not run yet.
   *
   * @throws CommandException if an address among the flags is none
   */
  Commands(HttpCaller caller, Namespace flags) throws CommandException {
    this.caller = caller;
    this.flags = flags;
    this.address = flags.getString("address");
    if (address != null) {
      requireAddress(address);
    }
    List<String> nodes = flags.getList("nodes");
    if (nodes != null) {
      for (String node : nodes) {
        requireAddress(node);
      }
    }
  }

  private static void requireAddress(String text) throws CommandException {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
      throw new CommandException(
          ExitStatus.WRONG_USE,
          "address " + text + ": must be an IP number and a port, such as 127.0.0.1:7000");
    }
  }

  /**
   * Runs the command that the flags name.
   *
   * @throws CommandException if a file can not be read, written or used, or if no response comes
   */
  ExitStatus run() throws CommandException {
    return switch (flags.getString("command")) {
      case "keys" -> makeKeys();
      case "check-bundle" -> checkConfiguration(CommandFiles.readJson(flags.getString("bundle")));
      case "sign" -> sign();
      case "send-bundle" -> sendConfiguration();
      case "patch-bundle" -> patchConfiguration();
      case "show-bundle" -> show("/v1/bundles/current");
      case "status" -> show("/v1/status");
      case "workers" -> show("/v1/workers");
      case "leaving" -> post("/v1/workers/" + flags.getString("worker") + "/leaving");
      case "storage" -> show("/v1/storage");
      case "plan-storage" -> show(storagePath("plan"));
      case "empty-storage" -> post(storagePath("empty"));
      case "retire-storage" -> post(storagePath("retire"));
      case "submit" -> submitBatch();
      case "results" -> showResults();
      case "end" -> post("/v1/batches/" + flags.getString("batch") + "/end");
      case "preflight" -> Preflight.run(caller, flags.getList("nodes"));
      case "trace" -> Tracer.trace(caller, flags.<String>getList("nodes"), flags.getString("key"));
      default ->
          throw new IllegalArgumentException("unknown command " + flags.getString("command"));
    };
  }

  // ---- configurations

  private ExitStatus makeKeys() throws CommandException {
    Signing.Keys keys = Signing.generate();
    CommandFiles.writeLine(flags.getString("out"), keys.privateKey());
    CommandFiles.writeLine(flags.getString("out") + ".pub", keys.publicKey());
    System.out.println(keys.publicKey());
    return ExitStatus.DONE;
  }

  private static ExitStatus checkConfiguration(byte[] bytes) {
    ConfigurationValidator.ValidationResult result = ConfigurationValidator.validate(bytes);
    if (result.error() == null) {
      System.out.println("bundle " + result.configuration().number() + ": good");
      return ExitStatus.DONE;
    }
    if (result.error() instanceof ApiError.InvalidConfiguration invalid) {
      invalid.fields().forEach(field -> System.err.println(field.path() + ": " + field.reason()));
    }
    return ExitStatus.REFUSED;
  }

  private ExitStatus sign() throws CommandException {
    System.out.println(signatureOf(CommandFiles.read(flags.getString("bundle"))));
    return ExitStatus.DONE;
  }

  private ExitStatus sendConfiguration() throws CommandException {
    byte[] bytes = CommandFiles.readJson(flags.getString("bundle"));
    Map<String, String> headers =
        Map.of(
            "Applespindle-Key-Id",
            flags.getString("key_id"),
            "Applespindle-Signature",
            signatureOf(bytes));
    return show(withRetries(() -> caller.post(address, "/v1/bundles", bytes, headers)));
  }

  private ExitStatus patchConfiguration() throws CommandException {
    byte[] patch = CommandFiles.readJson(flags.getString("patch"));
    ConfigurationPatching patching =
        new ConfigurationPatching(
            caller,
            address,
            flags.getString("key_id"),
            this::signatureOf,
            flags.getString("patch"));
    return show(withRetries(patching.of(patch)::send));
  }

  /** Signs with the key that the flags name. */
  private String signatureOf(byte[] bytes) throws CommandException {
    String file = flags.getString("key");
    String privateKey = CommandFiles.readText(file);
    try {
      return Signing.sign(bytes, privateKey);
    } catch (IllegalArgumentException fault) {
      throw CommandFiles.unusable(file, "is no private key of Ed25519");
    }
  }

  // ---- batches and storage

  private ExitStatus submitBatch() throws CommandException {
    byte[] batch = CommandFiles.readJson(flags.getString("batch"));
    Map<String, String> headers =
        Map.of(
            "Idempotency-Key",
            flags.getString("key"),
            "Applespindle-Sender",
            flags.getString("sender"));
    return show(withRetries(() -> caller.post(address, "/v1/batches", batch, headers)));
  }

  private ExitStatus showResults() throws CommandException {
    String query = "?after=" + flags.getLong("after") + "&limit=" + flags.getInt("limit");
    return show("/v1/batches/" + flags.getString("batch") + "/results" + query);
  }

  private String storagePath(String action) {
    return "/v1/storage/" + flags.getString("storage") + "/" + action;
  }

  // ---- calls

  private static HttpCaller.Result withRetries(CheckedSupplier<HttpCaller.Result> call) {
    return Failsafe.with(RETRY_POLICY).get(call);
  }

  private ExitStatus post(String path) throws CommandException {
    return show(withRetries(() -> caller.post(address, path, NO_BODY, Map.of())));
  }

  private ExitStatus show(String path) throws CommandException {
    return show(caller.get(address, path));
  }

  private ExitStatus show(HttpCaller.Result result) throws CommandException {
    if (result.status() == 0) {
      throw noResponse(address, result);
    }
    JsonNode body = result.body();
    System.out.println(body.isNull() ? result.text() : body.toPrettyString());
    if (!result.good()) {
      System.err.println("status " + result.status());
      return ExitStatus.REFUSED;
    }
    return ExitStatus.DONE;
  }

  /** The fault that a server did not answer. */
  static CommandException noResponse(String address, HttpCaller.Result result) {
    return new CommandException(
        ExitStatus.NO_RESPONSE, "no response from " + address + ": " + result.text());
  }
}
