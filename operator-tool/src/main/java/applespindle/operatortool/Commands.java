package applespindle.operatortool;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.configuration.ConfigurationValidator;
import com.fasterxml.jackson.databind.JsonNode;
import dev.failsafe.Failsafe;
import dev.failsafe.RetryPolicy;
import dev.failsafe.function.CheckedSupplier;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;

/** Carries out one parsed command. */
final class Commands {
  private static final int MAX_ATTEMPTS = 4;
  private static final byte[] NO_BODY = {};

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

  Commands(HttpCaller caller, Namespace flags) {
    this.caller = caller;
    this.flags = flags;
    this.address = flags.getString("address");
  }

  /**
   * Runs the command that the flags name.
   *
   * @return the exit status, see {@link ExitStatus}
   * @throws IOException if an input file can not be read or an output file not be written
   * @throws IllegalArgumentException if the content of an input file can not be used
   */
  int run() throws IOException {
    return switch (flags.getString("command")) {
      case "keys" -> makeKeys();
      case "check-bundle" -> checkConfiguration(file("bundle"));
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

  private int makeKeys() throws IOException {
    Signing.Keys keys = Signing.generate();
    Files.writeString(Path.of(flags.getString("out")), keys.privateKey() + "\n");
    Files.writeString(Path.of(flags.getString("out") + ".pub"), keys.publicKey() + "\n");
    System.out.println(keys.publicKey());
    return ExitStatus.DONE;
  }

  private static int checkConfiguration(byte[] bytes) {
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

  private int sign() throws IOException {
    System.out.println(Signing.sign(file("bundle"), privateKey()));
    return ExitStatus.DONE;
  }

  private int sendConfiguration() throws IOException {
    byte[] bytes = file("bundle");
    return show(
        withRetries(
            () -> caller.post(flags.getString("core"), "/v1/bundles", bytes, signature(bytes))));
  }

  private Map<String, String> signature(byte[] bytes) throws IOException {
    return Map.of(
        "Applespindle-Key-Id",
        flags.getString("key_id"),
        "Applespindle-Signature",
        Signing.sign(bytes, privateKey()));
  }

  private int patchConfiguration() throws IOException {
    ConfigurationPatching patching =
        new ConfigurationPatching(caller, address, flags.getString("key_id"), privateKey());
    return show(withRetries(patching.of(file("patch"))::send));
  }

  private String privateKey() throws IOException {
    return Files.readString(Path.of(flags.getString("key")));
  }

  // ---- batches and storage

  private int submitBatch() {
    Map<String, String> headers =
        Map.of(
            "Idempotency-Key",
            flags.getString("key"),
            "Applespindle-Sender",
            flags.getString("sender"));
    return show(withRetries(() -> caller.post(address, "/v1/batches", file("batch"), headers)));
  }

  private int showResults() {
    String query = "?after=" + flags.getLong("after") + "&limit=" + flags.getInt("limit");
    return show("/v1/batches/" + flags.getString("batch") + "/results" + query);
  }

  private String storagePath(String action) {
    return "/v1/storage/" + flags.getString("storage") + "/" + action;
  }

  // ---- calls

  private byte[] file(String flag) throws IOException {
    return Files.readAllBytes(Path.of(flags.getString(flag)));
  }

  private static HttpCaller.Result withRetries(CheckedSupplier<HttpCaller.Result> call) {
    return Failsafe.with(RETRY_POLICY).get(call);
  }

  private int post(String path) {
    return show(withRetries(() -> caller.post(address, path, NO_BODY, Map.of())));
  }

  private int show(String path) {
    return show(caller.get(address, path));
  }

  private static int show(HttpCaller.Result result) {
    if (result.status() == 0) {
      System.err.println("no response: " + result.text());
      return ExitStatus.REFUSED;
    }
    JsonNode body = result.body();
    System.out.println(body.isNull() ? result.text() : body.toPrettyString());
    if (!result.good()) {
      System.err.println("status " + result.status());
      return ExitStatus.REFUSED;
    }
    return ExitStatus.DONE;
  }
}
