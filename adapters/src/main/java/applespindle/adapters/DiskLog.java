package applespindle.adapters;

import applespindle.corelogic.Constants;
import applespindle.corelogic.DiskRecord;
import applespindle.corelogic.Json;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.stream.Stream;
import java.util.zip.CRC32C;

import static applespindle.corelogic.Json.JSON;

/**
 * One process's log: segments, and checkpoints beside them. Checkpoint N stands for all segments up to N. Every
 * start and every checkpoint opens a new segment; an old file is never written to again, only cut or deleted.
 */
public final class DiskLog implements AutoCloseable {
  /** length, CRC32C of type and payload, type. */
  private static final int HEAD_BYTES = 4 + 4 + 1;
  private static final byte TYPE_RECORD = 1;
  private static final byte TYPE_END_OF_CHECKPOINT = 2;

  private final Path folder;
  private final PeerCodec codec = new PeerCodec();
  private String id;
  private long incarnation;
  private FileChannel lock;
  private FileChannel channel;
  private long segment;
  private long segmentBytes;

  private DiskLog(Path folder) {
    this.folder = folder;
  }

  /**
   * Opens the folder and replays what it holds. Corruption anywhere but in the newest segment's tail moves all of it
   * aside: the node then starts as a new, empty one under a new id.
   */
  public static DiskLog open(Path folder, Consumer<DiskRecord> replay, Consumer<String> log) {
    try {
      Files.createDirectories(folder);
      FileChannel lock = lock(folder);
      DiskLog opened = new DiskLog(folder);
      List<DiskRecord> records = new ArrayList<>();
      try {
        opened.readIdentity();
        opened.readAll(records::add);
      } catch (DiskFault fault) {
        if (fault.kind != DiskFault.Kind.CORRUPT) {
          throw fault;
        }
        log.accept("Data folder is corrupt and was set aside: " + fault.getMessage() + ".");
        setAside(folder);
        records.clear();
        opened = new DiskLog(folder);
        opened.readIdentity();
      }
      opened.lock = lock;
      opened.incarnation++;
      opened.writeIdentity();
      opened.openSegment(opened.segment + 1);
      records.forEach(replay);
      return opened;
    } catch (IOException fault) {
      throw new DiskFault(DiskFault.Kind.UNREADABLE, folder.toString(), fault);
    }
  }

  /** One process a folder: a second one would write a second truth. */
  private static FileChannel lock(Path folder) throws IOException {
    FileChannel channel = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    boolean free;
    try {
      free = channel.tryLock() != null;
    } catch (OverlappingFileLockException heldHere) {
      free = false;
    }
    if (!free) {
      channel.close();
      throw new DiskFault(DiskFault.Kind.IN_USE, folder.toString(), null);
    }
    return channel;
  }

  public String id() {
    return id;
  }

  public long incarnation() {
    return incarnation;
  }

  private static void setAside(Path folder) throws IOException {
    int number = 1;
    while (Files.exists(folder.resolve("corrupt-" + number))) {
      number++;
    }
    Path aside = Files.createDirectory(folder.resolve("corrupt-" + number));
    for (Path file : files(folder, "")) {
      if (file.getFileName().toString().equals("lock")) {
        continue;
      }
      Files.move(file, aside.resolve(file.getFileName()));
    }
    syncFolder(folder);
  }

  private static List<Path> files(Path folder, String prefix) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(Files::isRegularFile).filter(file -> file.getFileName().toString().startsWith(prefix))
          .sorted().toList();
    }
  }

  private static long number(Path file) {
    String name = file.getFileName().toString();
    return Long.parseLong(name.substring(name.indexOf('-') + 1, name.indexOf('.')));
  }

  // ---- identity

  private void readIdentity() throws IOException {
    Path file = folder.resolve("identity.json");
    if (!Files.exists(file)) {
      id = UUID.randomUUID().toString().replace("-", "").substring(0, 12);
      return;
    }
    try {
      JsonNode identity = JSON.readTree(Files.readAllBytes(file));
      id = identity.get("id").asText();
      incarnation = identity.get("incarnation").asLong();
    } catch (IOException | RuntimeException fault) {
      throw new DiskFault(DiskFault.Kind.CORRUPT, "identity.json", fault);
    }
  }

  private void writeIdentity() throws IOException {
    byte[] bytes = Json.bytes(JSON.createObjectNode().put("id", id).put("incarnation", incarnation));
    writeWhole("identity.json", List.of(ByteBuffer.wrap(bytes)));
  }

  private void writeWhole(String name, List<ByteBuffer> parts) throws IOException {
    Path temporary = folder.resolve("new-" + name);
    try (FileChannel file = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      for (ByteBuffer part : parts) {
        while (part.hasRemaining()) {
          file.write(part);
        }
      }
      file.force(true);
    }
    Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    syncFolder(folder);
  }

  private static void syncFolder(Path folder) throws IOException {
    try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
      directory.force(true);
    }
  }

  // ---- reading

  private void readAll(Consumer<DiskRecord> replay) throws IOException {
    for (Path unfinished : files(folder, "new-")) {
      Files.delete(unfinished);
    }
    List<Path> checkpoints = files(folder, "checkpoint-");
    long covered = 0;
    if (!checkpoints.isEmpty()) {
      Path newest = checkpoints.get(checkpoints.size() - 1);
      covered = number(newest);
      readFile(newest, replay, false, true);
    }
    List<Path> segments = files(folder, "segment-");
    segment = covered;
    for (int index = 0; index < segments.size(); index++) {
      long number = number(segments.get(index));
      if (number > covered) {
        readFile(segments.get(index), replay, index == segments.size() - 1, false);
        segment = number;
      }
    }
  }

  private void readFile(Path file, Consumer<DiskRecord> replay, boolean newestSegment, boolean checkpoint)
      throws IOException {
    ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
    boolean ended = false;
    int good = 0;
    while (bytes.hasRemaining()) {
      byte[] payload = readRecord(bytes);
      if (payload == null) {
        break;
      }
      if (payload[0] == TYPE_END_OF_CHECKPOINT) {
        ended = true;
      } else {
        try {
          replay.accept(codec.decodeRecord(java.util.Arrays.copyOfRange(payload, 1, payload.length)));
        } catch (UnreadableFrame fault) {
          throw new DiskFault(DiskFault.Kind.CORRUPT, file.getFileName().toString(), fault);
        }
      }
      good = bytes.position();
    }
    if (good < bytes.limit() && newestSegment) {
      try (FileChannel cut = FileChannel.open(file, StandardOpenOption.WRITE)) {
        cut.truncate(good);
        cut.force(true);
      }
    } else if (good < bytes.limit() || checkpoint && !ended) {
      throw new DiskFault(DiskFault.Kind.CORRUPT, file.getFileName().toString(), null);
    }
  }

  /** Type and payload, or null if no whole, sound record stands here. */
  private static byte[] readRecord(ByteBuffer bytes) {
    if (bytes.remaining() < HEAD_BYTES) {
      return null;
    }
    int length = bytes.getInt();
    int sum = bytes.getInt();
    if (length < 0 || length + 1 > bytes.remaining()) {
      return null;
    }
    byte[] content = new byte[length + 1];
    bytes.get(content);
    return sum(content) == sum ? content : null;
  }

  private static int sum(byte[] content) {
    CRC32C crc = new CRC32C();
    crc.update(content);
    return (int) crc.getValue();
  }

  private ByteBuffer frame(byte type, byte[] payload) {
    byte[] content = new byte[payload.length + 1];
    content[0] = type;
    System.arraycopy(payload, 0, content, 1, payload.length);
    ByteBuffer frame = ByteBuffer.allocate(8 + content.length);
    return frame.putInt(payload.length).putInt(sum(content)).put(content).flip();
  }

  // ---- writing, on the disk thread only

  private void openSegment(long number) throws IOException {
    segment = number;
    segmentBytes = 0;
    channel = FileChannel.open(folder.resolve(String.format("segment-%012d.log", number)),
        StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    syncFolder(folder);
  }

  /** Appends and syncs. A failure here is final: what a later sync would say can not be trusted. */
  void append(List<DiskRecord> records) {
    try {
      if (records.isEmpty()) {
        return;
      }
      int size = 0;
      List<ByteBuffer> frames = new ArrayList<>(records.size());
      for (DiskRecord record : records) {
        ByteBuffer frame = frame(TYPE_RECORD, codec.encode(record));
        frames.add(frame);
        size += frame.remaining();
      }
      ByteBuffer all = ByteBuffer.allocate(size);
      frames.forEach(all::put);
      all.flip();
      while (all.hasRemaining()) {
        channel.write(all);
      }
      channel.force(false);
      segmentBytes += size;
    } catch (IOException fault) {
      throw new DiskFault(DiskFault.Kind.SYNC_FAILED, "segment " + segment, fault);
    }
  }

  long bytesLeft() {
    try {
      return Files.getFileStore(folder).getUsableSpace();
    } catch (IOException unknown) {
      return Long.MAX_VALUE;
    }
  }

  boolean wantsCheckpoint() {
    return segmentBytes >= Constants.SEGMENT_BYTES;
  }

  /** Writes a checkpoint that stands for all up to the present segment, goes on in a new one, drops the old. */
  void checkpoint(List<DiskRecord> records) {
    try {
      long covered = segment;
      channel.close();
      openSegment(covered + 1);
      List<ByteBuffer> parts = new ArrayList<>();
      records.forEach(record -> parts.add(frame(TYPE_RECORD, codec.encode(record))));
      parts.add(frame(TYPE_END_OF_CHECKPOINT, new byte[0]));
      writeWhole(String.format("checkpoint-%012d.log", covered), parts);
      for (Path old : files(folder, "segment-")) {
        if (number(old) <= covered) {
          Files.delete(old);
        }
      }
      for (Path old : files(folder, "checkpoint-")) {
        if (number(old) < covered) {
          Files.delete(old);
        }
      }
    } catch (IOException fault) {
      throw new DiskFault(DiskFault.Kind.SYNC_FAILED, "checkpoint", fault);
    }
  }

  @Override public void close() {
    try {
      channel.close();
      lock.close();
    } catch (IOException ignored) {
      // Everything that was answered for is synced already.
    }
  }
}
