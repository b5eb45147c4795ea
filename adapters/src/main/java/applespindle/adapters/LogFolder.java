package applespindle.adapters;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The files of one data folder, as the log uses them. After a loss of power a file holds what its
 * last force covered, and each later write is there, missing or torn; until the folder was synced,
 * each name that was made, renamed or removed may be as it was before, by itself.
 */
interface LogFolder {
  /** Names of all plain files, sorted. */
  List<String> names() throws IOException;

  long size(String name) throws IOException;

  InputStream read(String name) throws IOException;

  /** An empty file that was not there. */
  DiskFile create(String name) throws IOException;

  DiskFile open(String name) throws IOException;

  void rename(String from, String to) throws IOException;

  void delete(String name) throws IOException;

  void sync() throws IOException;

  /** Moves a file out of the way, for somebody to look at. */
  void setAside(String name) throws IOException;

  long bytesLeft();

  interface DiskFile extends AutoCloseable {
    /** Writes all of it at a place. */
    void write(ByteBuffer bytes, long at) throws IOException;

    /** Reads from a place until the buffer is full. */
    void read(ByteBuffer bytes, long at) throws IOException;

    void truncate(long size) throws IOException;

    void force() throws IOException;

    @Override
    void close() throws IOException;
  }
}
