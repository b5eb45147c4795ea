package applespindle.adapters;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A folder on a disk that loses power: a file keeps what its last force covered, each later write
 * is there, missing or torn, or all of them are gone; until the folder was synced, each name that
 * was made, renamed or removed is as it was or as it is now, by itself.
 */
final class VolatileLogFolder implements LogFolder {
  private record Write(long at, byte[] bytes) {}

  private static final class Content {
    byte[] bytes = new byte[0];
    byte[] forced;
    final List<Write> later = new ArrayList<>();

    void apply(Write write) {
      int end = (int) write.at + write.bytes.length;
      if (end > bytes.length) {
        bytes = Arrays.copyOf(bytes, end);
      }
      System.arraycopy(write.bytes, 0, bytes, (int) write.at, write.bytes.length);
    }
  }

  private final Random random;
  private Map<String, Content> files = new TreeMap<>();

  /** The names as they stood at the last sync. */
  private Map<String, Content> lasting = new TreeMap<>();

  int asides;

  /** Writes still refused. */
  int refusals;

  /** Syncs of the folder still refused. */
  int syncRefusals;

  /** Steps done since the folder was made. */
  int steps;

  /** Steps until power is lost, in the midst of whatever is done; negative: never. */
  int stepsLeft = -1;

  static final class PowerLost extends RuntimeException {}

  VolatileLogFolder(Random random) {
    this.random = random;
  }

  private void step() {
    steps++;
    if (stepsLeft >= 0 && stepsLeft-- == 0) {
      throw new PowerLost();
    }
  }

  void losePower() {
    stepsLeft = -1;
    Set<String> names = new TreeSet<>(files.keySet());
    names.addAll(lasting.keySet());
    Map<String, Content> left = new TreeMap<>();
    for (String name : names) {
      Content content = random.nextBoolean() ? files.get(name) : lasting.get(name);
      if (content != null) {
        left.put(name, content);
      }
    }
    boolean allGone = random.nextInt(3) == 0;
    for (Content content : left.values()) {
      List<Write> later = List.copyOf(content.later);
      content.later.clear();
      content.bytes = content.forced == null ? new byte[0] : content.forced.clone();
      for (Write write : later) {
        int kept = allGone ? 0 : random.nextInt(3);
        if (kept == 2) {
          content.apply(write);
        } else if (kept == 1) {
          content.apply(
              new Write(
                  write.at, Arrays.copyOf(write.bytes, random.nextInt(write.bytes.length + 1))));
        }
      }
      content.forced = content.bytes.clone();
    }
    files = new TreeMap<>(left);
    lasting = new TreeMap<>(left);
  }

  @Override
  public List<String> names() {
    return List.copyOf(files.keySet());
  }

  @Override
  public long size(String name) {
    return files.get(name).bytes.length;
  }

  @Override
  public InputStream read(String name) {
    return new ByteArrayInputStream(files.get(name).bytes);
  }

  @Override
  public DiskFile create(String name) throws IOException {
    step();
    if (files.containsKey(name)) {
      throw new IOException("is there: " + name);
    }
    files.put(name, new Content());
    return open(name);
  }

  @Override
  public DiskFile open(String name) {
    Content content = files.get(name);
    return new DiskFile() {
      @Override
      public void write(ByteBuffer bytes, long at) throws IOException {
        byte[] taken = new byte[bytes.remaining()];
        bytes.get(taken);
        if (refusals > 0) {
          refusals--;
          Write part = new Write(at, Arrays.copyOf(taken, taken.length / 2));
          content.apply(part);
          content.later.add(part);
          throw new IOException("refused");
        }
        Write write = new Write(at, taken);
        content.apply(write);
        content.later.add(write);
        step();
      }

      @Override
      public void read(ByteBuffer bytes, long at) {
        bytes.put(content.bytes, (int) at, bytes.remaining());
      }

      @Override
      public void truncate(long size) {
        content.bytes = Arrays.copyOf(content.bytes, (int) size);
        step();
      }

      @Override
      public void force() {
        step();
        content.forced = content.bytes.clone();
        content.later.clear();
        step();
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void rename(String from, String to) {
    step();
    files.put(to, files.remove(from));
    step();
  }

  @Override
  public void delete(String name) {
    step();
    files.remove(name);
    step();
  }

  @Override
  public void sync() throws IOException {
    step();
    if (syncRefusals > 0) {
      syncRefusals--;
      throw new IOException("refused");
    }
    lasting = new TreeMap<>(files);
    step();
  }

  @Override
  public void setAside(String name) {
    asides++;
    delete(name);
  }

  /** Turns one byte of a file into another, as a faulty disk does. */
  void corrupt(String name, int at) {
    Content content = files.get(name);
    content.bytes[at] ^= 1;
    content.forced = content.bytes.clone();
  }

  @Override
  public long bytesLeft() {
    return Long.MAX_VALUE;
  }
}
