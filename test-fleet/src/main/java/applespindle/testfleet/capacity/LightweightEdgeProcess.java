package applespindle.testfleet.capacity;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A process of lightweight edges, which runs {@link LightweightEdgeHost}; a command and its
 * response are one line each.
 */
final class LightweightEdgeProcess implements AutoCloseable {
  private final Process process;
  private final OutputStream in;
  private final BufferedReader out;

  private LightweightEdgeProcess(Process process) {
    this.process = process;
    this.in = process.getOutputStream();
    this.out = new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8));
  }

  /** Starts a process for the nodes from first on; its log is in the folder. */
  static LightweightEdgeProcess start(
      FleetLayout layout, int first, int count, String classPath, Path folder) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx" + heapMegabytes(layout.nodes(), count) + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                classPath,
                LightweightEdgeHost.class.getName(),
                Integer.toString(layout.nodes()),
                Integer.toString(layout.firstPort()),
                Integer.toString(layout.zones()),
                Integer.toString(first),
                Integer.toString(count)));
    command.addAll(layout.seeds());
    ProcessBuilder.Redirect log =
        ProcessBuilder.Redirect.appendTo(folder.resolve("hollow-" + first + ".log").toFile());
    return new LightweightEdgeProcess(new ProcessBuilder(command).redirectError(log).start());
  }

  /** A table of all nodes in each edge; measured by the slope of join-members and rounded up. */
  static int heapMegabytes(int nodes, int edges) {
    return (int) (128 + edges * (60_000L + nodes * 2_400L) / (1 << 20));
  }

  JsonNode execute(String command) {
    try {
      in.write((command + "\n").getBytes(UTF_8));
      in.flush();
      String line = out.readLine();
      if (line == null) {
        throw new IllegalStateException("a process of lightweight edges ended");
      }
      return JSON.readTree(line);
    } catch (IOException fault) {
      throw new IllegalStateException("a process of lightweight edges ended", fault);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
