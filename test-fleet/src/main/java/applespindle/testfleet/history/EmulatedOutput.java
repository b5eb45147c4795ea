package applespindle.testfleet.history;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.zip.CRC32C;

/**
 * The output of an emulated worker for a prompt: always the same, so that a checker can recognize a
 * complete one.
 */
public final class EmulatedOutput {
  public static final int DEFAULT_TOKENS = 8;

  /** The token at a position of the output for a prompt; it names both. */
  public static String token(String prompt, int position) {
    return "t" + Long.toString(sum(prompt), 36) + "." + position + " ";
  }

  /** The whole output for a prompt, of this many tokens. */
  public static String whole(String prompt, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int position = 0; position < tokens; position++) {
      text.append(token(prompt, position));
    }
    return text.toString();
  }

  private static long sum(String prompt) {
    CRC32C crc = new CRC32C();
    crc.update(prompt.getBytes(UTF_8));
    return crc.getValue();
  }

  private EmulatedOutput() {}
}
