package applespindle.adapters;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileStore;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A data folder on a real disk, used by one process at a time. */
final class FileSystemLogFolder implements LogFolder, AutoCloseable {
  private static final String LOCK = "lock";

  private final Path folder;
  private final FileChannel lock;
  private final FileStore store;

  /** Where files are set aside; null before the first one is. */
  private Path aside;

  private FileSystemLogFolder(Path folder, FileChannel lock) throws IOException {
    this.folder = folder;
    this.lock = lock;
    this.store = Files.getFileStore(folder);
  }

  /** One process a folder: a second one would write a second truth. */
  static FileSystemLogFolder open(Path folder) throws IOException {
    if (!Files.isDirectory(folder)) {
      Files.createDirectories(folder);
      sync(folder.toAbsolutePath().getParent());
    }
    FileChannel channel =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    boolean free;
    try {
      free = channel.tryLock() != null;
    } catch (OverlappingFileLockException heldHere) {
      free = false;
    }
    if (!free) {
      channel.close();
      throw new DiskException(DiskException.Kind.IN_USE, folder.toString(), null);
    }
    return new FileSystemLogFolder(folder, channel);
  }

  @Override
  public List<String> names() throws IOException {
    List<String> names = new ArrayList<>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
      for (Path file : files) {
        String name = file.getFileName().toString();
        if (!name.equals(LOCK) && Files.isRegularFile(file)) {
          names.add(name);
        }
      }
    }
    Collections.sort(names);
    return names;
  }

  @Override
  public long size(String name) throws IOException {
    return Files.size(folder.resolve(name));
  }

  @Override
  public InputStream read(String name) throws IOException {
    return Files.newInputStream(folder.resolve(name));
  }

  @Override
  public DiskFile create(String name) throws IOException {
    return new PlainFile(
        FileChannel.open(
            folder.resolve(name),
            StandardOpenOption.CREATE_NEW,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE));
  }

  @Override
  public DiskFile open(String name) throws IOException {
    return new PlainFile(
        FileChannel.open(folder.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(
        folder.resolve(from),
        folder.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.delete(folder.resolve(name));
  }

  @Override
  public void sync() throws IOException {
    sync(folder);
  }

  private static void sync(Path folder) throws IOException {
    try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
      directory.force(true);
    }
  }

  @Override
  public void setAside(String name) throws IOException {
    if (aside == null) {
      aside = Files.createDirectory(firstFree("corrupt-"));
    }
    Files.move(folder.resolve(name), aside.resolve(name));
  }

  private Path firstFree(String prefix) {
    int number = 1;
    while (Files.exists(folder.resolve(prefix + number))) {
      number++;
    }
    return folder.resolve(prefix + number);
  }

  @Override
  public long bytesLeft() {
    try {
      return store.getUsableSpace();
    } catch (IOException unknown) {
      return Long.MAX_VALUE;
    }
  }

  @Override
  public void close() throws IOException {
    lock.close();
  }

  private record PlainFile(FileChannel channel) implements DiskFile {
    @Override
    public void write(ByteBuffer bytes, long at) throws IOException {
      long place = at;
      while (bytes.hasRemaining()) {
        place += channel.write(bytes, place);
      }
    }

    @Override
    public void read(ByteBuffer bytes, long at) throws IOException {
      long place = at;
      while (bytes.hasRemaining()) {
        int count = channel.read(bytes, place);
        if (count < 0) {
          throw new EOFException();
        }
        place += count;
      }
    }

    @Override
    public void truncate(long size) throws IOException {
      channel.truncate(size);
    }

    @Override
    public void force() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
