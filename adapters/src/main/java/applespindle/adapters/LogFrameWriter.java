package applespindle.adapters;

import applespindle.adapters.LogFolder.DiskFile;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Writes frames to a file from an offset on, by a buffer that several writers may use in turn. */
final class LogFrameWriter {
  private final DiskFile file;
  private final ByteBuffer buffer;
  private long offset;

  LogFrameWriter(DiskFile file, long offset, ByteBuffer buffer) {
    this.file = file;
    this.offset = offset;
    this.buffer = buffer;
    buffer.clear();
  }

  /**
   * Adds a frame; it may stay in the buffer until the next flush.
   *
   * @return the offset behind the frame
   */
  long add(byte type, byte[] payload) throws IOException {
    if (buffer.remaining() < LogFrame.HEADER_BYTES) {
      flush();
    }
    buffer.putInt(payload.length).putInt(LogFrame.checksum(type, payload)).put(type);
    for (int written = 0; written < payload.length; ) {
      if (!buffer.hasRemaining()) {
        flush();
      }
      int size = Math.min(buffer.remaining(), payload.length - written);
      buffer.put(payload, written, size);
      written += size;
    }
    return offset + buffer.position();
  }

  /** Writes what is in the buffer; returns the offset behind the last frame. */
  long flush() throws IOException {
    buffer.flip();
    int size = buffer.remaining();
    file.write(buffer, offset);
    offset += size;
    buffer.clear();
    return offset;
  }
}
