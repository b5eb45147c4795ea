package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
  private final long begunAt = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  double seconds() {
    return (System.nanoTime() - begunAt) / 1e9;
  }

  synchronized void add(String line) {
    out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), line));
    out.flush();
  }

  /** Also on the standard output. */
  void say(String line) {
    add(line);
    System.out.println(line);
  }

  @Override
  public void close() {
    out.close();
  }
}
