package applespindle.corelogic.replication;

import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.metadata.NodeAddress;
import java.util.List;
import java.util.function.Consumer;

/** What a node keeps in its heap of the events of the logs that it leads. */
public interface EventRetention {
  /** Keeps everything: for small logs, and for leaders that are a replica of their logs. */
  EventRetention KEEP_ALL =
      new EventRetention() {
        @Override
        public void received(LogEntry entry) {}

        @Override
        public void appended(String key, LogEntry entry) {}

        @Override
        public void applied(String key, LogEntry entry) {}

        @Override
        public void forget(String key) {}

        @Override
        public void read(
            String key,
            LogEntry entry,
            int offset,
            int bytes,
            List<NodeAddress> replicas,
            Consumer<byte[]> callback) {
          callback.accept(entry.payload().slice(offset, bytes));
        }
      };

  /** An election brought the entry, which isn't applied yet. */
  void received(LogEntry entry);

  /** The leader has appended the entry, which stays in the heap until it is applied. */
  void appended(String key, LogEntry entry);

  /** The entry is committed and applied: only its header is needed in the heap. */
  void applied(String key, LogEntry entry);

  /** The log is not led here any more. */
  void forget(String key);

  /**
   * Reads a section of an event, from the heap if it is there, else from one of the replicas.
   *
   * @param callback gets the bytes, possibly before this returns, or null if no replica sent them
   *     in time
   */
  void read(
      String key,
      LogEntry entry,
      int offset,
      int bytes,
      List<NodeAddress> replicas,
      Consumer<byte[]> callback);
}
