package applespindle.adapters;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.adapters.LogFolder.DiskFile;
import applespindle.corelogic.common.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.UUID;

/**
 * The identity of the node whose log a folder holds: its id, and how often it was started. Each
 * start writes a file of its own, before any segment, and removes the one before afterwards, so
 * that there is a complete one at any time.
 */
final class IdentityFile {
  private static final int NODE_ID_LENGTH = 12;
  private static final String PREFIX = "identity-";
  private static final String SUFFIX = ".json";

  /** Where earlier versions kept the identity of all starts. */
  private static final String FORMER_NAME = "identity.json";

  private final LogFolder folder;
  private String id;
  private long incarnation;

  IdentityFile(LogFolder folder) {
    this.folder = folder;
  }

  /** A random id of hexadecimal digits for a node that has none yet. */
  static String newNodeId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, NODE_ID_LENGTH);
  }

  /** Whether a file of the folder holds an identity. */
  static boolean isIdentity(String name) {
    return name.startsWith(PREFIX) || name.equals(FORMER_NAME);
  }

  String id() {
    return id;
  }

  /** How many times the node was started, this one included once it is counted. */
  long incarnation() {
    return incarnation;
  }

  /** Counts this start. */
  void countStart() {
    incarnation++;
  }

  /** Takes a new id, as the folder holds no log of any node. */
  void assignNewId() {
    id = newNodeId();
  }

  /**
   * Reads the newest identity that is complete: one that a start was still writing when power was
   * lost was never used.
   *
   * @return whether there is any
   */
  boolean read() throws IOException {
    List<String> newestFirst =
        new ArrayList<>(folder.names().stream().filter(name -> name.startsWith(PREFIX)).toList());
    Collections.reverse(newestFirst);
    if (folder.names().contains(FORMER_NAME)) {
      newestFirst.add(FORMER_NAME);
    }
    for (String name : newestFirst) {
      if (read(name)) {
        return true;
      }
    }
    return false;
  }

  private boolean read(String name) {
    try (var bytes = folder.read(name)) {
      JsonNode identity = JSON.readTree(bytes.readAllBytes());
      String readId = identity.get("id").asText();
      incarnation = identity.get("incarnation").asLong();
      id = readId;
      return true;
    } catch (IOException | RuntimeException torn) {
      return false;
    }
  }

  /** Writes and syncs the identity of this start, then removes those before. */
  void write() throws IOException {
    String name = LogFileNames.name(PREFIX, incarnation, SUFFIX);
    if (folder.names().contains(name)) {
      folder.delete(name);
    }
    byte[] bytes =
        Json.bytes(JSON.createObjectNode().put("id", id).put("incarnation", incarnation));
    try (DiskFile file = folder.create(name)) {
      file.write(ByteBuffer.wrap(bytes), 0);
      file.force();
    }
    folder.sync();
    for (String former : folder.names()) {
      if (isIdentity(former) && !former.equals(name)) {
        folder.delete(former);
      }
    }
  }
}
