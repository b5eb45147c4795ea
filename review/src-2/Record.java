import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, line by line with the seconds since the start. */
final class Record implements AutoCloseable {
  private final long startedAt = System.currentTimeMillis();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  synchronized void line(String text) {
    out.printf(
        Locale.ROOT, "%7.3f %s%n", (System.currentTimeMillis() - startedAt) / 1_000.0, text);
  }

  /** A line that is shown on the terminal too. */
  void show(String text) {
    System.out.println(text);
    line(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
