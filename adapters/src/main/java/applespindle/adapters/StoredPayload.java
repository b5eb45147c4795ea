package applespindle.adapters;

import applespindle.adapters.LogFolder.DiskFile;
import applespindle.corelogic.log.Payload;
import applespindle.corelogic.log.PayloadUnavailableException;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The place of a payload in a file of the log. It can be read from any thread, until the file is
 * closed because a checkpoint has replaced it.
 */
record StoredPayload(DiskFile file, long offset) implements Payload.Location {
  @Override
  public byte[] read(int from, int length) {
    byte[] bytes = new byte[length];
    try {
      file.read(ByteBuffer.wrap(bytes), offset + from);
    } catch (IOException fault) {
      throw new PayloadUnavailableException(fault);
    }
    return bytes;
  }
}
