package applespindle.testfleet.capacity;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The commit that measurements were made of. */
final class SourceRevision {
  private SourceRevision() {}

  /** The commit of the tree this was started in, with a plus if the tree differs from it. */
  static String commit() {
    String head = git("rev-parse", "--short", "HEAD");
    if (head.isEmpty()) {
      return "unknown";
    }
    boolean clean = git("status", "--porcelain", "--untracked-files=no").isEmpty();
    return clean ? head : head + "+";
  }

  private static String git(String... words) {
    List<String> command = new ArrayList<>(List.of("git"));
    command.addAll(List.of(words));
    try {
      Process process =
          new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
      String text = new String(process.getInputStream().readAllBytes(), UTF_8).strip();
      return process.waitFor() == 0 ? text : "";
    } catch (IOException | InterruptedException unknown) {
      return "";
    }
  }
}
