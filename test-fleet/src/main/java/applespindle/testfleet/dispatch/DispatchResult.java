package applespindle.testfleet.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** Counts and latencies of one run of a {@link DispatchExperiment}. */
final class DispatchResult {
  /** The requests of one kind and the latencies of their first events. */
  static final class Kind {
    int asked;
    int inTime;
    int refused;
    final List<Double> firstMs = new ArrayList<>();

    double share() {
      return asked == 0 ? 0 : inTime / (double) asked;
    }

    double percentileMs(double part) {
      if (firstMs.isEmpty()) {
        return 0;
      }
      Collections.sort(firstMs);
      return firstMs.get((int) Math.min(firstMs.size() - 1, part * firstMs.size()));
    }
  }

  final Kind checks = new Kind();
  final Kind notes = new Kind();
  int items;
  int itemsInTime;

  /** Live requests that reached a worker; the fields below count some of them. */
  int live;

  int liveOtherZone;
  int liveWaited;
  int liveWaitedBehindItems;
  int liveWaitedWhileOthersIdle;
  long peerMessages;
  long readTokens;
  long promptTokens;

  double itemsShare() {
    return items == 0 ? 0 : itemsInTime / (double) items;
  }

  /** By window of 2 s, the live requests that were sent and those that were in time. */
  final List<int[]> windows = new ArrayList<>();

  void countInWindow(long window, boolean inTime) {
    while (windows.size() <= window) {
      windows.add(new int[2]);
    }
    windows.get((int) window)[0]++;
    windows.get((int) window)[1] += inTime ? 1 : 0;
  }

  double worstWindow() {
    return windows.stream()
        .filter(window -> window[0] > 50)
        .mapToDouble(window -> window[1] / (double) window[0])
        .min()
        .orElse(0);
  }

  static final String HEADER =
      "checks notes  items | worst | p50  p99  | refused | other-zone waited behind-items"
          + " idle-elsewhere | read-again messages/s";

  String line(double seconds) {
    double all = Math.max(1, live);
    return String.format(
        Locale.ROOT,
        "%.3f  %.3f  %.3f | %.2f  | %4.0f %4.0f | %d | %.2f %.3f %.3f %.3f | %.2f %.0f",
        checks.share(),
        notes.share(),
        itemsShare(),
        worstWindow(),
        checks.percentileMs(0.5),
        checks.percentileMs(0.99),
        checks.refused + notes.refused,
        liveOtherZone / all,
        liveWaited / all,
        liveWaitedBehindItems / all,
        liveWaitedWhileOthersIdle / all,
        readTokens / (double) Math.max(1, promptTokens),
        peerMessages / seconds);
  }
}
