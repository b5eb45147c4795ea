package applespindle.adapters;

import applespindle.adapters.LogFolder.DiskFile;
import applespindle.corelogic.constants.DiskConstants;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.memory.HolderAccount;
import applespindle.corelogic.memory.MemoryAccount;
import applespindle.corelogic.memory.MemoryHolder;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * The log of one process: segments, and checkpoints beside them. Checkpoint N stands for all
 * segments up to N. Every start and every checkpoint opens a new segment; an old file is never
 * written to again, only truncated or deleted.
 *
 * <p>Invariants: what was replayed at the start is synced, also what a killed process left
 * unsynced; when a segment is opened, all before it are synced completely, so that only the newest
 * can end torn. Nothing relies on a file's name before the folder was synced: each start writes its
 * identity to a file of its own, before any segment, and the one before is removed after that.
 *
 * <p>Opened by the thread that starts the process, then used by the disk thread only, but for
 * {@link #refusing}.
 */
public final class DiskLog implements AutoCloseable {
  private static final String SEGMENT = "segment-";
  private static final String CHECKPOINT = "checkpoint-";
  private static final String UNFINISHED = "new-";
  private static final String SUFFIX = ".log";

  private final LogFolder folder;
  private final LogSizes sizes;
  private final Consumer<String> log;
  private final IdentityFile identity;
  private final LogRecordCodec codec = new LogRecordCodec();

  /** Whatever is written passes through here, so that no more than this lies outside the heap. */
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(DiskConstants.WRITE_BUFFER_BYTES);

  /** The files that payloads are read from, by name; closed when they are deleted. */
  private final Map<String, DiskFile> openFiles = new HashMap<>();

  private final PayloadCache payloadCache;

  /** The present segment, which all records are appended to. */
  private DiskFile segmentFile;

  private long segment;

  /** The highest number of a segment that was opened or attempted to be. */
  private long lastSegmentAttempt;

  /** The newest checkpoint stands for all segments up to this one. */
  private long covered;

  /** Of the present segment: all before this offset is written and synced. */
  private long segmentBytes;

  private long bytesSinceCheckpoint;
  private long checkpointBytes;

  /** The disk refuses writes at present; they are tried again until it takes them. */
  private volatile boolean refusing;

  private DiskLog(
      LogFolder folder, LogSizes sizes, PayloadCache payloadCache, Consumer<String> log) {
    this.folder = folder;
    this.sizes = sizes;
    this.log = log;
    identity = new IdentityFile(folder);
    this.payloadCache = payloadCache;
  }

  /** Opens a folder on a disk of unknown size; see the other method. */
  public static DiskLog open(Path folder, Consumer<LogRecord> replay, Consumer<String> log) {
    MemoryAccount memory = MemoryAccount.ofHeap(Runtime.getRuntime().maxMemory(), Runnable::run);
    return open(folder, LogSizes.of(0), memory.openCache(MemoryHolder.DISK_CACHE), replay, log);
  }

  /**
   * Opens a folder that no other process may have open, and replays what it holds.
   *
   * @param cache the account of the payloads that are kept in the heap
   * @param replay takes the records in the order in which they were written
   * @param log takes messages for the operator
   * @throws DiskException if the folder can't be read or is in use
   */
  static DiskLog open(
      Path path,
      LogSizes sizes,
      HolderAccount cache,
      Consumer<LogRecord> replay,
      Consumer<String> log) {
    try {
      return open(FileSystemLogFolder.open(path), sizes, cache, replay, log);
    } catch (IOException fault) {
      throw new DiskException(DiskException.Kind.UNREADABLE, path.toString(), fault);
    }
  }

  /**
   * Replays what the folder holds; of the payloads no more than the limit are in the heap at any
   * time. Corruption anywhere but in the newest segment's tail moves all of it aside: the node then
   * starts as a new, empty one under a new id.
   */
  static DiskLog open(
      LogFolder folder,
      LogSizes sizes,
      HolderAccount cache,
      Consumer<LogRecord> replay,
      Consumer<String> log)
      throws IOException {
    PayloadCache payloadCache = new PayloadCache(cache);
    DiskLog opened = new DiskLog(folder, sizes, payloadCache, log);
    List<LogRecord> records = new ArrayList<>();
    try {
      opened.readIdentity();
      opened.readAll(records::add);
    } catch (DiskException fault) {
      if (fault.kind != DiskException.Kind.CORRUPT) {
        throw fault;
      }
      log.accept("Data folder is corrupt and was set aside: " + fault.getMessage() + ".");
      opened.closeFiles();
      opened.setAside();
      records.clear();
      opened = new DiskLog(folder, sizes, payloadCache, log);
      opened.readIdentity();
    }
    opened.identity.countStart();
    opened.begin();
    records.forEach(replay);
    return opened;
  }

  /** The id of the node whose log this is; it stays from start to start. */
  public String id() {
    return identity.id();
  }

  /** How many times the node has been started with this log. */
  public long incarnation() {
    return identity.incarnation();
  }

  /**
   * Moves all files out of the way, so that the folder is as new. The identity goes first: whatever
   * is left without one is set aside by the next start.
   */
  private void setAside() throws IOException {
    for (String name : folder.names()) {
      if (IdentityFile.isIdentity(name)) {
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

  private static String name(String prefix, long number) {
    return LogFileNames.name(prefix, number, SUFFIX);
  }

  /** Segments without an identity can't be told from another node's. */
  private void readIdentity() throws IOException {
    if (identity.read()) {
      return;
    }
    if (!files(SEGMENT).isEmpty() || !files(CHECKPOINT).isEmpty()) {
      throw new DiskException(DiskException.Kind.CORRUPT, "no identity", null);
    }
    identity.assignNewId();
  }

  /**
   * Writes what a start writes first. A disk may refuse writes for some seconds: starting the
   * process anew for each would only cost more.
   */
  private void begin() throws IOException {
    for (int attempt = 1; ; attempt++) {
      try {
        dropUnfinished();
        identity.write();
        openSegment();
        dropCovered();
        return;
      } catch (IOException refused) {
        if (attempt == DiskConstants.MAX_STARTUP_ATTEMPTS) {
          throw refused;
        }
        noteRefusing(true, refused.getMessage());
        LockSupport.parkNanos(DiskConstants.STARTUP_RETRY_DELAY_MS * 1_000_000L);
      }
    }
  }

  // ---- reading

  private void readAll(Consumer<LogRecord> replay) throws IOException {
    List<String> checkpoints = files(CHECKPOINT);
    if (!checkpoints.isEmpty()) {
      String newest = checkpoints.get(checkpoints.size() - 1);
      covered = LogFileNames.number(newest);
      checkpointBytes = folder.size(newest);
      readFile(newest, replay, false, true);
    }
    List<String> segments = files(SEGMENT);
    segment = covered;
    lastSegmentAttempt = covered;
    for (int index = 0; index < segments.size(); index++) {
      String name = segments.get(index);
      if (LogFileNames.number(name) > covered) {
        readFile(name, replay, index == segments.size() - 1, false);
        segment = LogFileNames.number(name);
        lastSegmentAttempt = segment;
        bytesSinceCheckpoint += folder.size(name);
      }
    }
  }

  /** The payload is the last field of a record, and the record the end of its frame. */
  private static void notePayloadStored(LogRecord record, DiskFile file, long frameEnd) {
    if (record.payloadBytes() > 0) {
      record.content().storeAt(new StoredPayload(file, frameEnd - record.payloadBytes()));
    }
  }

  private void dropUnfinished() throws IOException {
    for (String unfinished : files(UNFINISHED)) {
      folder.delete(unfinished);
    }
  }

  /** The newest checkpoint stands for these; its name is synced. */
  private void dropCovered() throws IOException {
    for (String old : folder.names()) {
      if (old.startsWith(SEGMENT) && LogFileNames.number(old) <= covered
          || old.startsWith(CHECKPOINT) && LogFileNames.number(old) < covered) {
        folder.delete(old);
        closeFile(old);
      }
    }
  }

  private void closeFile(String name) throws IOException {
    DiskFile file = openFiles.remove(name);
    if (file != null) {
      file.close();
    }
  }

  private void closeFiles() throws IOException {
    for (String name : List.copyOf(openFiles.keySet())) {
      closeFile(name);
    }
  }

  private void readFile(
      String name, Consumer<LogRecord> replay, boolean newestSegment, boolean checkpoint)
      throws IOException {
    long size = folder.size(name);
    long validBytes = 0;
    boolean ended = false;
    DiskFile file = folder.open(name);
    openFiles.put(name, file);
    try (DataInputStream bytes =
        new DataInputStream(
            new BufferedInputStream(folder.read(name), DiskConstants.WRITE_BUFFER_BYTES))) {
      while (validBytes < size) {
        byte[] content = LogFrame.read(bytes, size - validBytes);
        if (content == null) {
          break;
        }
        if (content[0] == LogFrame.TYPE_END_OF_CHECKPOINT) {
          ended = true;
        } else {
          LogRecord record = codec.decode(Arrays.copyOfRange(content, 1, content.length));
          long frameEnd = validBytes + LogFrame.HEADER_BYTES - 1 + content.length;
          notePayloadStored(record, file, frameEnd);
          payloadCache.add(record.content());
          replay.accept(record);
        }
        validBytes += LogFrame.HEADER_BYTES - 1 + content.length;
      }
    } catch (UnreadableFrameException fault) {
      throw new DiskException(DiskException.Kind.CORRUPT, name, fault);
    }
    if (newestSegment) {
      truncateAndSync(name, validBytes, size);
    } else if (validBytes < size || checkpoint && !ended) {
      throw new DiskException(DiskException.Kind.CORRUPT, name, null);
    }
  }

  /**
   * The process before may have been killed between a write and its sync: what is taken from it
   * must last.
   */
  private void truncateAndSync(String name, long validBytes, long size) throws IOException {
    try (DiskFile newest = folder.open(name)) {
      if (validBytes < size) {
        newest.truncate(validBytes);
      }
      newest.force();
    }
  }

  // ---- writing, on the disk thread only

  /**
   * Goes on in a new segment. If that fails, the present one stays in use; what may be left of the
   * new one is empty, and its number is not used again.
   */
  private void openSegment() throws IOException {
    long number = ++lastSegmentAttempt;
    String name = name(SEGMENT, number);
    DiskFile created = folder.create(name);
    try {
      folder.sync();
    } catch (IOException refused) {
      created.close();
      throw refused;
    }
    segmentFile = created;
    openFiles.put(name, created);
    segment = number;
    segmentBytes = 0;
  }

  /**
   * Appends records and syncs them. A refused write is tried again at the same offset until it is
   * taken: nothing of it was acknowledged. A failed sync is final: what a later one would say can't
   * be trusted.
   *
   * @throws DiskException if a sync failed
   */
  void append(List<LogRecord> records) {
    if (records.isEmpty()) {
      return;
    }
    List<Long> frameEnds = new ArrayList<>();
    long end = writeUntilTaken(records, frameEnds);
    try {
      segmentFile.force();
    } catch (IOException fault) {
      throw new DiskException(DiskException.Kind.SYNC_FAILED, "segment " + segment, fault);
    }
    bytesSinceCheckpoint += end - segmentBytes;
    segmentBytes = end;
    notePayloadsStored(records, segmentFile, frameEnds);
    records.forEach(record -> payloadCache.add(record.content()));
  }

  private static void notePayloadsStored(
      List<LogRecord> records, DiskFile file, List<Long> frameEnds) {
    for (int index = 0; index < records.size(); index++) {
      notePayloadStored(records.get(index), file, frameEnds.get(index));
    }
  }

  private long writeUntilTaken(List<LogRecord> records, List<Long> frameEnds) {
    while (true) {
      try {
        frameEnds.clear();
        LogFrameWriter writer = new LogFrameWriter(segmentFile, segmentBytes, buffer);
        for (LogRecord record : records) {
          frameEnds.add(writer.add(LogFrame.TYPE_RECORD, codec.encode(record)));
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

  /** Whether the disk refuses writes, so that nothing new may be begun; from any thread. */
  boolean refusing() {
    return refusing;
  }

  /** Whether too little is left for the next checkpoint and the segments written meanwhile. */
  boolean full() {
    return folder.bytesLeft() < sizes.keptBytes() + checkpointBytes;
  }

  /**
   * Whether a checkpoint is due: once as much again was written as the last one held, so that
   * writing checkpoints at most doubles the work; sooner when room is short.
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
    try {
      openSegment();
    } catch (IOException refused) {
      log.accept("No checkpoint, as no segment can be opened: " + refused.getMessage() + ".");
      return;
    }
    try {
      writeCheckpoint(name(CHECKPOINT, last), records);
      covered = last;
      dropCovered();
    } catch (IOException refused) {
      log.accept("No checkpoint, as the disk refuses it: " + refused.getMessage() + ".");
    }
  }

  private void writeCheckpoint(String name, List<LogRecord> records) throws IOException {
    String temporary = UNFINISHED + name;
    DiskFile written = folder.create(temporary);
    List<Long> frameEnds = new ArrayList<>();
    try {
      LogFrameWriter writer = new LogFrameWriter(written, 0, buffer);
      for (LogRecord record : records) {
        frameEnds.add(writer.add(LogFrame.TYPE_RECORD, codec.encode(record)));
      }
      writer.add(LogFrame.TYPE_END_OF_CHECKPOINT, new byte[0]);
      long end = writer.flush();
      syncCheckpoint(written, name);
      checkpointBytes = end;
    } catch (IOException refused) {
      written.close();
      folder.delete(temporary);
      throw refused;
    }
    folder.rename(temporary, name);
    openFiles.put(name, written);
    try {
      folder.sync();
    } catch (IOException fault) {
      throw new DiskException(DiskException.Kind.SYNC_FAILED, "folder", fault);
    }
    notePayloadsStored(records, written, frameEnds);
  }

  /** The bytes of payloads that are kept in the heap; from any thread. */
  long residentPayloadBytes() {
    return payloadCache.heldBytes();
  }

  private static void syncCheckpoint(DiskFile written, String name) {
    try {
      written.force();
    } catch (IOException fault) {
      throw new DiskException(DiskException.Kind.SYNC_FAILED, name, fault);
    }
  }

  @Override
  public void close() {
    try {
      closeFiles();
      if (folder instanceof FileSystemLogFolder plain) {
        plain.close();
      }
    } catch (IOException ignored) {
      // Everything that was acknowledged is synced already.
    }
  }
}
