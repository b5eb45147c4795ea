package applespindle.operatortool;

import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.adapters.ExitStatus;
import applespindle.corelogic.common.Json;
import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads and writes the files that commands name. Each fault names the file and the reason. */
final class CommandFiles {
  private CommandFiles() {}

  /**
   * Reads a file that must hold something.
   *
   * @throws CommandException if it can not be read or is empty
   */
  static byte[] read(String file) throws CommandException {
    byte[] bytes;
    try {
      bytes = Files.readAllBytes(Path.of(file));
    } catch (IOException fault) {
      throw unusable(file, "can not be read: " + reason(fault));
    }
    if (new String(bytes, UTF_8).isBlank()) {
      throw unusable(file, "is empty");
    }
    return bytes;
  }

  /**
   * Reads a file that must hold a JSON document.
   *
   * @throws CommandException if it can not be read, is empty or holds anything else
   */
  static byte[] readJson(String file) throws CommandException {
    byte[] bytes = read(file);
    try {
      Json.JSON.readTree(bytes);
    } catch (IOException fault) {
      throw unusable(file, "is not JSON: " + firstLine(fault.getMessage()));
    }
    return bytes;
  }

  /**
   * Reads a file of text.
   *
   * @throws CommandException if it can not be read or is empty
   */
  static String readText(String file) throws CommandException {
    return new String(read(file), UTF_8);
  }

  /**
   * Writes a line of text to a new file or in place of an old one.
   *
   * @throws CommandException if it can not be written
   */
  static void writeLine(String file, String line) throws CommandException {
    try {
      Files.writeString(Path.of(file), line + "\n");
    } catch (IOException fault) {
      throw unusable(file, "can not be written: " + reason(fault));
    }
  }

  /** The fault that a file's content can not be used. */
  static CommandException unusable(String file, String reason) {
    return new CommandException(ExitStatus.UNUSABLE_FILE, file + " " + reason);
  }

  private static String reason(IOException fault) {
    if (fault instanceof NoSuchFileException) {
      return "no such file or folder";
    }
    if (fault instanceof AccessDeniedException) {
      return "not permitted";
    }
    return firstLine(fault.getMessage());
  }

  private static String firstLine(String message) {
    return String.valueOf(message).lines().findFirst().orElse("");
  }
}
