package applespindle.testfleet.history;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.zip.CRC32C;

/**
 * The output of a simulated worker. Each part of it names the request, the range of tokens and the
 * run that produced them, so that a checker can tell where it came from.
 */
public final class ProxiedOutput {
  /** A part of an output: the tokens first to last for a request, produced by a run. */
  public record Part(String asked, int first, int last, String run) {
    /** Null if the text is no part of any output. */
    public static Part parse(String text) {
      String[] words = text.split("[.]");
      String[] ends = words.length == 3 ? words[1].split("-") : new String[0];
      try {
        return ends.length != 2
            ? null
            : new Part(words[0], Integer.parseInt(ends[0]), Integer.parseInt(ends[1]), words[2]);
      } catch (NumberFormatException fault) {
        return null;
      }
    }
  }

  /** The text of the events from first to last of a run, which names the request and the run. */
  public static String text(String asked, int first, int last, String run) {
    return sum(asked) + "." + first + "-" + last + "." + run;
  }

  /** The header value that a run marks its response with. */
  public static String stamp(String asked, String run) {
    return run + "." + sum(asked);
  }

  /** The checksum by which a text names its request. */
  public static String sum(String asked) {
    CRC32C crc = new CRC32C();
    crc.update(asked.getBytes(UTF_8));
    return Long.toString(crc.getValue(), 36);
  }

  private ProxiedOutput() {}
}
