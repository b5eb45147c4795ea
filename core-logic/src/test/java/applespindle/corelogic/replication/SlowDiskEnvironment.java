package applespindle.corelogic.replication;

import applespindle.corelogic.environment.FakeEnvironment;
import applespindle.corelogic.log.LogRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A disk that keeps what is written in order; callbacks wait for {@link #sync}. */
final class SlowDiskEnvironment extends FakeEnvironment {
  final List<LogRecord> written = new ArrayList<>();
  private final ArrayDeque<Runnable> unsynced = new ArrayDeque<>();

  SlowDiskEnvironment() {
    super(0);
  }

  /** Syncs the oldest write that isn't synced yet. */
  void sync() {
    unsynced.remove().run();
  }

  void syncAll() {
    while (!unsynced.isEmpty()) {
      sync();
    }
  }

  @Override
  public void write(List<LogRecord> records, Runnable whenSynced) {
    written.addAll(records);
    unsynced.add(whenSynced);
  }
}
