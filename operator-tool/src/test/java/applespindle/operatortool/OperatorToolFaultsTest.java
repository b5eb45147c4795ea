package applespindle.operatortool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.adapters.ExitStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Every command with every kind of unusable file and address: one line and an exit status. */
class OperatorToolFaultsTest {
  private static final String FILE = "FILE";
  private static final String ADDRESS = "ADDRESS";
  private static final String KEY = "KEY";

  /** Commands that read a file of JSON, with a mark where the file's name stands. */
  private static final List<List<String>> JSON_COMMANDS =
      List.of(
          List.of("check-bundle", FILE),
          List.of("send-bundle", "--core", ADDRESS, "--key", KEY, "--key-id", "operator", FILE),
          List.of("patch-bundle", "--core", ADDRESS, "--key", KEY, "--key-id", "operator", FILE),
          List.of("submit", "--edge", ADDRESS, "--key", "k", FILE));

  /** Commands that call one server. */
  private static final List<List<String>> CALLS =
      List.of(
          List.of("send-bundle", "--core", ADDRESS, "--key", KEY, "--key-id", "operator", FILE),
          List.of("patch-bundle", "--core", ADDRESS, "--key", KEY, "--key-id", "operator", FILE),
          List.of("show-bundle", "--core", ADDRESS),
          List.of("status", "--node", ADDRESS),
          List.of("workers", "--core", ADDRESS),
          List.of("leaving", "--core", ADDRESS, "w1"),
          List.of("storage", "--core", ADDRESS),
          List.of("plan-storage", "--core", ADDRESS, "s1"),
          List.of("empty-storage", "--core", ADDRESS, "s1"),
          List.of("retire-storage", "--core", ADDRESS, "s1"),
          List.of("submit", "--edge", ADDRESS, "--key", "k", FILE),
          List.of("results", "--edge", ADDRESS, "b1"),
          List.of("end", "--edge", ADDRESS, "b1"));

  /** Commands that ask several servers and tell of each whether it answered. */
  private static final List<List<String>> SURVEYS =
      List.of(
          List.of("preflight", "--nodes", ADDRESS),
          List.of("trace", "--key", "bundle", "--nodes", ADDRESS));

  private record Outcome(int exit, String output, String faults) {}

  @TempDir Path folder;
  private Path key;
  private Path json;

  @BeforeEach
  void writeGoodFiles() throws IOException {
    key = folder.resolve("good.key");
    assertThat(run(List.of("keys", "--out", key.toString())).exit()).isEqualTo(0);
    json = Files.writeString(folder.resolve("good.json"), "{}");
  }

  private static Outcome run(List<String> arguments) {
    PrintStream output = System.out;
    PrintStream faults = System.err;
    ByteArrayOutputStream outputBytes = new ByteArrayOutputStream();
    ByteArrayOutputStream faultBytes = new ByteArrayOutputStream();
    System.setOut(new PrintStream(outputBytes, true, UTF_8));
    System.setErr(new PrintStream(faultBytes, true, UTF_8));
    try {
      int exit = OperatorTool.execute(arguments.toArray(String[]::new));
      return new Outcome(exit, outputBytes.toString(UTF_8), faultBytes.toString(UTF_8));
    } finally {
      System.setOut(output);
      System.setErr(faults);
    }
  }

  private List<String> filled(List<String> command, String file, String address) {
    List<String> arguments = new ArrayList<>();
    for (String word : command) {
      arguments.add(
          switch (word) {
            case FILE -> file;
            case ADDRESS -> address;
            case KEY -> key.toString();
            default -> word;
          });
    }
    return arguments;
  }

  /** One line that holds the reason, no results and no stack trace. */
  private static void assertFault(List<String> arguments, ExitStatus status, String reason) {
    Outcome outcome = run(arguments);
    assertWithMessage(arguments + ": " + outcome).that(outcome.exit()).isEqualTo(status.code());
    assertWithMessage(arguments.toString()).that(outcome.faults().lines().count()).isEqualTo(1);
    assertWithMessage(arguments.toString()).that(outcome.faults()).contains(reason);
    assertWithMessage(arguments.toString()).that(outcome.output()).isEmpty();
  }

  private static String unusedAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  @Test
  void aFileThatIsMissingAFolderEmptyOrNoJsonIsNamed() throws IOException {
    String address = unusedAddress();
    Path empty = Files.writeString(folder.resolve("empty.json"), " \n");
    Path wrong = Files.writeString(folder.resolve("wrong.json"), "{\"a\": \n nothing");
    Path absent = folder.resolve("absent.json");
    for (List<String> command : JSON_COMMANDS) {
      assertFault(
          filled(command, absent.toString(), address),
          ExitStatus.UNUSABLE_FILE,
          absent + " can not be read: no such file");
      assertFault(
          filled(command, folder.toString(), address),
          ExitStatus.UNUSABLE_FILE,
          folder + " can not be read: ");
      assertFault(
          filled(command, empty.toString(), address),
          ExitStatus.UNUSABLE_FILE,
          empty + " is empty");
      assertFault(
          filled(command, wrong.toString(), address),
          ExitStatus.UNUSABLE_FILE,
          wrong + " is not JSON: ");
    }
  }

  @Test
  void aKeyThatIsMissingEmptyOrNoKeyIsNamed() throws IOException {
    List<String> sign = List.of("sign", "--key", FILE, json.toString());
    List<String> send =
        List.of("send-bundle", "--core", ADDRESS, "--key", FILE, "--key-id", "o", json.toString());
    Path wrong = Files.writeString(folder.resolve("wrong.key"), "not base64!");
    Path short64 = Files.writeString(folder.resolve("short.key"), "AAAA");
    for (List<String> command : List.of(sign, send)) {
      String address = unusedAddress();
      assertFault(
          filled(command, folder.resolve("absent").toString(), address),
          ExitStatus.UNUSABLE_FILE,
          "can not be read: no such file");
      for (Path file : List.of(wrong, short64)) {
        assertFault(
            filled(command, file.toString(), address),
            ExitStatus.UNUSABLE_FILE,
            file + " is no private key");
      }
    }
  }

  @Test
  void keysThatCanNotBeWrittenAreNamed() {
    assertFault(
        List.of("keys", "--out", folder.resolve("none").resolve("k").toString()),
        ExitStatus.UNUSABLE_FILE,
        "can not be written: no such file or folder");
  }

  @Test
  void aWrongAddressIsNamedBeforeAnythingIsSent() {
    for (List<String> command : CALLS) {
      for (String wrong : List.of("nowhere", "127.0.0.1", "127.0.0.1:99999", "http://1.2.3.4:5")) {
        assertFault(
            filled(command, json.toString(), wrong), ExitStatus.WRONG_USE, "address " + wrong);
      }
    }
    for (List<String> command : SURVEYS) {
      assertFault(filled(command, "", "nowhere"), ExitStatus.WRONG_USE, "address nowhere");
    }
  }

  @Test
  void aServerThatDoesNotAnswerIsNamed() throws IOException {
    String address = unusedAddress();
    for (List<String> command : CALLS) {
      assertFault(
          filled(command, json.toString(), address),
          ExitStatus.NO_RESPONSE,
          "no response from " + address);
    }
  }

  @Test
  void aSurveyTellsOfServersThatDoNotAnswer() throws IOException {
    String address = unusedAddress();
    for (List<String> command : SURVEYS) {
      Outcome outcome = run(filled(command, "", address));
      assertThat(outcome.exit()).isEqualTo(ExitStatus.REFUSED.code());
      assertThat(outcome.output() + outcome.faults()).contains(address);
      assertThat(outcome.output() + outcome.faults()).doesNotContain("\tat ");
    }
  }

  @Test
  void anUnknownCommandAndAMissingFlagAreWrongUse() {
    for (List<String> arguments :
        List.of(List.<String>of(), List.of("unknown"), List.of("status"), List.of("results"))) {
      assertThat(run(arguments).exit()).isEqualTo(ExitStatus.WRONG_USE.code());
    }
  }
}
