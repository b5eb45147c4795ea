package applespindle.adapters;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.adapters.LogFolder.DiskFile;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.constants.DiskConstants;
import applespindle.corelogic.log.LogRecord;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * One process's log: segments, and checkpoints beside them. Checkpoint N stands for all segments up
 * to N. Every start and every checkpoint opens a new segment; an old file is never written to
 * again, only cut or deleted. Invariants: what was replayed at the start is synced, also what a
 * killed process left unsynced; when a segment is opened, all before it are synced whole, so that
 * only the newest can end torn. Nothing relies on a file's name before the folder was synced: each
 * start writes its identity to a file of its own, before any segment, and the one before is removed
 * after that.
 */
public final class DiskLog implements AutoCloseable {
  /** length, CRC32C of type and payload, type. */
  private static final int HEAD_BYTES = 4 + 4 + 1;

  private static final byte TYPE_RECORD = 1;
  private static final byte TYPE_END_OF_CHECKPOINT = 2;

  private static final int NODE_ID_LENGTH = 12;

  private static final String IDENTITY = "identity-";

  /** Where earlier versions kept the identity of all starts. */
  private static final String FORMER_IDENTITY = "identity.json";

  private final LogFolder folder;
  private final LogSizes sizes;
  private final Consumer<String> log;
  private final LogRecordCodec codec = new LogRecordCodec();

  /** Whatever is written passes through here, so that no more than this lies outside the heap. */
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(DiskConstants.WRITE_BUFFER_BYTES);

  private String id;
  private long incarnation;
  private DiskFile file;
  private long segment;

  /** The highest number of a segment that was opened or tried to be. */
  private long segmentTried;

  /** The newest checkpoint stands for all segments up to this one. */
  private long covered;

  /** Of the present segment: all before this place is written and synced. */
  private long segmentBytes;

  private long bytesSinceCheckpoint;
  private long checkpointBytes;

  /** The disk refuses writes at present; what waits is tried again until it takes them. */
  private volatile boolean refusing;

  private DiskLog(LogFolder folder, LogSizes sizes, Consumer<String> log) {
    this.folder = folder;
    this.sizes = sizes;
    this.log = log;
  }

  public static DiskLog open(Path folder, Consumer<LogRecord> replay, Consumer<String> log) {
    return open(folder, LogSizes.of(0), replay, log);
  }

  /** Opens a folder that no other process may have open. */
  static DiskLog open(Path path, LogSizes sizes, Consumer<LogRecord> replay, Consumer<String> log) {
    try {
      return open(FileSystemLogFolder.open(path), sizes, replay, log);
    } catch (IOException fault) {
      throw new DiskException(DiskException.Kind.UNREADABLE, path.toString(), fault);
    }
  }

  /**
   * Replays what the folder holds. Corruption anywhere but in the newest segment's tail moves all
   * of it aside: the node then starts as a new, empty one under a new id.
   */
  static DiskLog open(
      LogFolder folder, LogSizes sizes, Consumer<LogRecord> replay, Consumer<String> log)
      throws IOException {
    DiskLog opened = new DiskLog(folder, sizes, log);
    List<LogRecord> records = new ArrayList<>();
    try {
      opened.readIdentity();
      opened.readAll(records::add);
    } catch (DiskException fault) {
      if (fault.kind != DiskException.Kind.CORRUPT) {
        throw fault;
      }
      log.accept("Data folder is corrupt and was set aside: " + fault.getMessage() + ".");
      opened.setAside();
      records.clear();
      opened = new DiskLog(folder, sizes, log);
      opened.readIdentity();
    }
    opened.incarnation++;
    opened.begin();
    records.forEach(replay);
    return opened;
  }

  /** A random id of 12 hexadecimal digits for a node that has none yet. */
  static String newNodeId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, NODE_ID_LENGTH);
  }

  /** The id of the node whose log this is; it stays from start to start. */
  public String id() {
    return id;
  }

  /** How many times the node has been started with this log. */
  public long incarnation() {
    return incarnation;
  }

  /**
   * Moves all files out of the way, so that the folder is as new. The identity goes first: whatever
   * is left without one is set aside by the next start.
   */
  private void setAside() throws IOException {
    for (String name : folder.names()) {
      if (name.startsWith(IDENTITY) || name.equals(FORMER_IDENTITY)) {
        folder.setAside(name);
      }
    }
    folder.sync();
    for (String name : folder.names()) {
      folder.setAside(name);
    }
    folder.sync();
  }

  private List<String> files(String prefix) throws IOException {
    return folder.names().stream().filter(name -> name.startsWith(prefix)).toList();
  }

  private static long number(String name) {
    return Long.parseLong(name.substring(name.indexOf('-') + 1, name.indexOf('.')));
  }

  private static String name(String prefix, long number) {
    return name(prefix, number, ".log");
  }

  private static String name(String prefix, long number, String suffix) {
    String digits = Long.toString(number);
    return prefix + "0".repeat(Math.max(0, 12 - digits.length())) + digits + suffix;
  }

  // ---- identity

  /**
   * The newest identity that is whole: one that a start was still writing when power was lost was
   * never used. Segments without any can't be told from another node's.
   */
  private void readIdentity() throws IOException {
    List<String> newestFirst = new ArrayList<>(files(IDENTITY));
    Collections.reverse(newestFirst);
    if (folder.names().contains(FORMER_IDENTITY)) {
      newestFirst.add(FORMER_IDENTITY);
    }
    for (String name : newestFirst) {
      if (readIdentity(name)) {
        return;
      }
    }
    if (!files("segment-").isEmpty() || !files("checkpoint-").isEmpty()) {
      throw new DiskException(DiskException.Kind.CORRUPT, "no identity", null);
    }
    id = newNodeId();
  }

  private boolean readIdentity(String name) {
    try (var bytes = folder.read(name)) {
      JsonNode identity = JSON.readTree(bytes.readAllBytes());
      String known = identity.get("id").asText();
      incarnation = identity.get("incarnation").asLong();
      id = known;
      return true;
    } catch (IOException | RuntimeException torn) {
      return false;
    }
  }

  /**
   * What a start writes first. A disk may refuse writes for some seconds: starting anew for each
   * would only cost more.
   */
  private void begin() throws IOException {
    for (int tries = 1; ; tries++) {
      try {
        writeIdentity();
        openSegment();
        dropCovered();
        return;
      } catch (IOException refused) {
        if (tries == DiskConstants.MAX_STARTUP_ATTEMPTS) {
          throw refused;
        }
        noteRefusing(true, refused.getMessage());
        LockSupport.parkNanos(DiskConstants.STARTUP_RETRY_DELAY_MS * 1_000_000L);
      }
    }
  }

  private void writeIdentity() throws IOException {
    dropUnfinished();
    String name = name(IDENTITY, incarnation, ".json");
    if (folder.names().contains(name)) {
      folder.delete(name);
    }
    byte[] bytes =
        Json.bytes(JSON.createObjectNode().put("id", id).put("incarnation", incarnation));
    try (DiskFile written = folder.create(name)) {
      written.write(ByteBuffer.wrap(bytes), 0);
      written.force();
    }
    folder.sync();
    for (String former : folder.names()) {
      if (former.startsWith(IDENTITY) && !former.equals(name) || former.equals(FORMER_IDENTITY)) {
        folder.delete(former);
      }
    }
  }

  // ---- reading

  private void readAll(Consumer<LogRecord> replay) throws IOException {
    List<String> checkpoints = files("checkpoint-");
    if (!checkpoints.isEmpty()) {
      String newest = checkpoints.get(checkpoints.size() - 1);
      covered = number(newest);
      checkpointBytes = folder.size(newest);
      readFile(newest, replay, false, true);
    }
    List<String> segments = files("segment-");
    segment = covered;
    segmentTried = covered;
    for (int index = 0; index < segments.size(); index++) {
      String name = segments.get(index);
      if (number(name) > covered) {
        readFile(name, replay, index == segments.size() - 1, false);
        segment = number(name);
        segmentTried = segment;
        bytesSinceCheckpoint += folder.size(name);
      }
    }
  }

  private void dropUnfinished() throws IOException {
    for (String unfinished : files("new-")) {
      folder.delete(unfinished);
    }
  }

  /** The newest checkpoint stands for these; its name is synced. */
  private void dropCovered() throws IOException {
    for (String old : folder.names()) {
      if (old.startsWith("segment-") && number(old) <= covered
          || old.startsWith("checkpoint-") && number(old) < covered) {
        folder.delete(old);
      }
    }
  }

  private void readFile(
      String name, Consumer<LogRecord> replay, boolean newestSegment, boolean checkpoint)
      throws IOException {
    long size = folder.size(name);
    long good = 0;
    boolean ended = false;
    try (DataInputStream bytes =
        new DataInputStream(
            new BufferedInputStream(folder.read(name), DiskConstants.WRITE_BUFFER_BYTES))) {
      while (good < size) {
        byte[] content = readRecord(bytes, size - good);
        if (content == null) {
          break;
        }
        if (content[0] == TYPE_END_OF_CHECKPOINT) {
          ended = true;
        } else {
          replay.accept(codec.decode(Arrays.copyOfRange(content, 1, content.length)));
        }
        good += HEAD_BYTES - 1 + content.length;
      }
    } catch (UnreadableFrameException fault) {
      throw new DiskException(DiskException.Kind.CORRUPT, name, fault);
    }
    if (newestSegment) {
      sync(name, good, size);
    } else if (good < size || checkpoint && !ended) {
      throw new DiskException(DiskException.Kind.CORRUPT, name, null);
    }
  }

  /**
   * The process before may have been killed between a write and its sync: what is taken from it
   * must last.
   */
  private void sync(String name, long good, long size) throws IOException {
    try (DiskFile newest = folder.open(name)) {
      if (good < size) {
        newest.truncate(good);
      }
      newest.force();
    }
  }

  /** Type and payload, or null if no whole, sound record stands here. */
  private static byte[] readRecord(DataInputStream bytes, long left) throws IOException {
    if (left < HEAD_BYTES) {
      return null;
    }
    int length = bytes.readInt();
    int sum = bytes.readInt();
    if (length < 0 || length + (long) HEAD_BYTES > left) {
      return null;
    }
    byte[] content = new byte[length + 1];
    bytes.readFully(content);
    return sum(content) == sum ? content : null;
  }

  private static int sum(byte[] content) {
    CRC32C crc = new CRC32C();
    crc.update(content);
    return (int) crc.getValue();
  }

  // ---- writing, on the disk thread only

  /**
   * Goes on in a new segment. If that fails, the present one stays in use; what may be left of the
   * new one is empty, and its number is not used again.
   */
  private void openSegment() throws IOException {
    long number = ++segmentTried;
    DiskFile opened = folder.create(name("segment-", number));
    try {
      folder.sync();
    } catch (IOException refused) {
      opened.close();
      throw refused;
    }
    file = opened;
    segment = number;
    segmentBytes = 0;
  }

  /** Writes frames from a place on; ends with the place behind the last of them. */
  private final class FrameWriter {
    private final DiskFile target;
    private long place;

    FrameWriter(DiskFile target, long place) {
      this.target = target;
      this.place = place;
      buffer.clear();
    }

    void add(byte type, byte[] payload) throws IOException {
      byte[] content = new byte[payload.length + 1];
      content[0] = type;
      System.arraycopy(payload, 0, content, 1, payload.length);
      if (buffer.remaining() < HEAD_BYTES) {
        flush();
      }
      buffer.putInt(payload.length).putInt(sum(content));
      for (int at = 0; at < content.length; ) {
        if (!buffer.hasRemaining()) {
          flush();
        }
        int part = Math.min(buffer.remaining(), content.length - at);
        buffer.put(content, at, part);
        at += part;
      }
    }

    long flush() throws IOException {
      buffer.flip();
      int size = buffer.remaining();
      target.write(buffer, place);
      place += size;
      buffer.clear();
      return place;
    }
  }

  /**
   * Appends and syncs. A refused write is tried again at the same place until it is taken: nothing
   * of it was answered for. A failed sync is final: what a later one would say can not be trusted.
   */
  void append(List<LogRecord> records) {
    if (records.isEmpty()) {
      return;
    }
    long end = writeUntilTaken(records);
    try {
      file.force();
    } catch (IOException fault) {
      throw new DiskException(DiskException.Kind.SYNC_FAILED, "segment " + segment, fault);
    }
    bytesSinceCheckpoint += end - segmentBytes;
    segmentBytes = end;
  }

  private long writeUntilTaken(List<LogRecord> records) {
    while (true) {
      try {
        FrameWriter writer = new FrameWriter(file, segmentBytes);
        for (LogRecord record : records) {
          writer.add(TYPE_RECORD, codec.encode(record));
        }
        long end = writer.flush();
        noteRefusing(false, "");
        return end;
      } catch (IOException refused) {
        noteRefusing(true, refused.getMessage());
        LockSupport.parkNanos(DiskConstants.STARTUP_RETRY_DELAY_MS * 1_000_000L);
      }
    }
  }

  private void noteRefusing(boolean now, String why) {
    if (refusing != now) {
      log.accept(
          now
              ? "The disk refuses writes and is tried again: " + why + "."
              : "The disk takes writes again.");
    }
    refusing = now;
  }

  /** Nothing new may be begun: the disk refuses writes. */
  boolean refusing() {
    return refusing;
  }

  /** Too little is left for the next checkpoint and the segments written meanwhile. */
  boolean full() {
    return folder.bytesLeft() < sizes.keptBytes() + checkpointBytes;
  }

  /**
   * Once as much again was written as the last checkpoint held, so that writing checkpoints at most
   * doubles the work; sooner when room is short.
   */
  boolean wantsCheckpoint(boolean full) {
    return bytesSinceCheckpoint
        >= (full ? sizes.segmentBytes() : Math.max(sizes.segmentBytes(), checkpointBytes));
  }

  /**
   * Writes a checkpoint that stands for all up to the present segment, goes on in a new one, drops
   * the old. A disk that refuses it keeps the old segments, which say the same, and is asked again
   * after as many bytes more.
   */
  void checkpoint(List<LogRecord> records) {
    long last = segment;
    bytesSinceCheckpoint = 0;
    DiskFile before = file;
    try {
      openSegment();
      before.close();
    } catch (IOException refused) {
      log.accept("No checkpoint, as no segment can be opened: " + refused.getMessage() + ".");
      return;
    }
    try {
      writeCheckpoint(name("checkpoint-", last), records);
      covered = last;
      dropCovered();
    } catch (IOException refused) {
      log.accept("No checkpoint, as the disk refuses it: " + refused.getMessage() + ".");
    }
  }

  private void writeCheckpoint(String name, List<LogRecord> records) throws IOException {
    String temporary = "new-" + name;
    try (DiskFile written = folder.create(temporary)) {
      FrameWriter writer = new FrameWriter(written, 0);
      for (LogRecord record : records) {
        writer.add(TYPE_RECORD, codec.encode(record));
      }
      writer.add(TYPE_END_OF_CHECKPOINT, new byte[0]);
      long end = writer.flush();
      syncOrEnd(written, name);
      checkpointBytes = end;
    } catch (IOException refused) {
      folder.delete(temporary);
      throw refused;
    }
    folder.rename(temporary, name);
    try {
      folder.sync();
    } catch (IOException fault) {
      throw new DiskException(DiskException.Kind.SYNC_FAILED, "folder", fault);
    }
  }

  private static void syncOrEnd(DiskFile written, String name) {
    try {
      written.force();
    } catch (IOException fault) {
      throw new DiskException(DiskException.Kind.SYNC_FAILED, name, fault);
    }
  }

  @Override
  public void close() {
    try {
      file.close();
      if (folder instanceof FileSystemLogFolder plain) {
        plain.close();
      }
    } catch (IOException ignored) {
      // Everything that was answered for is synced already.
    }
  }
}
