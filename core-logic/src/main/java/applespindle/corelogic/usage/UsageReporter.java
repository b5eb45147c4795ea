package applespindle.corelogic.usage;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.common.RendezvousHashing;
import applespindle.corelogic.constants.UsageConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.node.NodeIdentity;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Reports this edge's counts to the holder of the usage duty.
 *
 * <p>Until an answer has brought the true time, reports are empty. Then {@link
 * UsageConstants#REPORTS_PER_WINDOW} are due in each window, of which those are left out that would
 * say nothing new. A report carries the windows that are not closed and whose counts the holder has
 * not acknowledged in the present holdership; a new holder therefore gets all that is open, and of
 * an edge that dies no more is missing than what it began since its last report. At most one report
 * is under way. Confined to the logic thread.
 */
public final class UsageReporter {
  /** Sends a report to the holder; the callback gets the response or an error once. */
  public interface Sender {
    /** Sends the report. */
    void send(UsageReport report, Consumer<Response> callback);
  }

  private final Environment environment;
  private final NodeIdentity identity;
  private final long windowMs;
  private final Sender sender;
  private final UsageRecorder recorder;
  private final TrueTimeOffset trueTime = new TrueTimeOffset();

  /** Of this edge's reports, in milliseconds after those that come first. */
  private final long spreadMs;

  /** What was acknowledged in this {@link #holdership}, by window. */
  private final SortedMap<Long, Map<String, Long>> acknowledged = new TreeMap<>();

  /** The last window that a report called complete; nothing is counted in it any more. */
  private long reportedThrough;

  private long holdership;

  /**
   * How far this machine's wall clock is ahead of the holder's monotonic time, by the last answer
   * that came fast; null if there was none in this holdership.
   */
  private Long clockOffsetMs;

  private long closedThrough;
  private long sequence;
  private boolean underWay;

  /** When the next report is due, in monotonic milliseconds; 0 before the first. */
  private long nextReportAt;

  /** Creates a reporter that has sent nothing; {@code windowMs} is the length of a window. */
  public UsageReporter(
      Environment environment,
      NodeIdentity identity,
      long windowMs,
      UsageRecorder recorder,
      Sender sender) {
    this.environment = environment;
    this.identity = identity;
    this.windowMs = windowMs;
    this.recorder = recorder;
    this.sender = sender;
    this.spreadMs =
        Math.floorMod(
            RendezvousHashing.hash(identity.id()),
            Math.max(
                1,
                Math.min(UsageConstants.SPREAD_MS, windowMs / UsageConstants.REPORTS_PER_WINDOW)));
  }

  /** Sends a report if one is due; called at short intervals while usage is to be reported. */
  public void tick() {
    long now = environment.nowMs();
    if (nextReportAt == 0) {
      nextReportAt = now + spreadMs;
    }
    if (underWay || now < nextReportAt) {
      return;
    }
    List<WindowCounts> windows = unacknowledged(now);
    if (trueTime.isKnown() && windows.isEmpty() && closedThrough >= lastEndedWindow(now)) {
      scheduleNext(now);
    } else {
      report(windows, () -> {});
    }
  }

  /** Reports what the holder does not have yet, also if a report is under way. */
  public void flush(Runnable whenAnswered) {
    List<WindowCounts> windows = unacknowledged(environment.nowMs());
    if (windows.isEmpty()) {
      whenAnswered.run();
    } else {
      report(windows, whenAnswered);
    }
  }

  private long windowAt(long monotonicMs) {
    return Math.floorDiv(trueTime.trueTimeMs(monotonicMs), windowMs);
  }

  /**
   * The window in which a request is counted that is not assigned to one yet. After a small
   * correction of the true time this may be one later than by the clock.
   */
  private long incompleteWindowAt(long monotonicMs) {
    long window = windowAt(monotonicMs);
    return window == reportedThrough ? window + 1 : window;
  }

  private long lastEndedWindow(long now) {
    if (!trueTime.isKnown()) {
      return 0;
    }
    long lastEnded = windowAt(now) - 1;
    return lastEnded + 1 == reportedThrough ? reportedThrough : lastEnded;
  }

  // ---- reports

  private void report(List<WindowCounts> windows, Runnable whenAnswered) {
    long sentAt = environment.nowMs();
    reportedThrough = lastEndedWindow(sentAt);
    UsageReport report =
        new UsageReport(
            identity.id(),
            identity.incarnation(),
            clockOffsetMs,
            holdership,
            reportedThrough,
            ++sequence,
            windows);
    underWay = true;
    sender.send(
        report,
        response -> {
          underWay = false;
          handleResponse(report, response, sentAt);
          whenAnswered.run();
        });
  }

  /** The windows that are not closed and whose counts the holder does not have. */
  private List<WindowCounts> unacknowledged(long now) {
    List<WindowCounts> windows = new ArrayList<>();
    if (!trueTime.isKnown()) {
      return windows;
    }
    recorder
        .countsByWindow(this::incompleteWindowAt, lastEndedWindow(now))
        .tailMap(closedThrough + 1)
        .forEach(
            (window, counts) -> {
              if (!counts.equals(acknowledged.get(window))) {
                windows.add(new WindowCounts(window, counts));
              }
            });
    return windows;
  }

  private void handleResponse(UsageReport report, Response response, long sentAt) {
    long now = environment.nowMs();
    if (!response.isSuccess()) {
      nextReportAt = now + UsageConstants.RETRY_DELAY_MS;
      return;
    }
    UsageReportResponse answer = Json.read(response.encodedBody(), UsageReportResponse.class);
    if (answer.trueTimeMs() > 0) {
      trueTime.addSample(answer.trueTimeMs(), sentAt, now);
    }
    boolean isNewHolder = answer.holdership() != holdership;
    if (isNewHolder) {
      holdership = answer.holdership();
      clockOffsetMs = null;
      acknowledged.clear();
    }
    measureClock(answer, now - sentAt);
    report.windows().forEach(window -> acknowledged.put(window.window(), window.counts()));
    closeThrough(answer.closedThrough());
    if (isNewHolder) {
      nextReportAt = now;
    } else if (answer.trueTimeMs() == 0 || !trueTime.isKnown()) {
      nextReportAt = now + UsageConstants.RETRY_DELAY_MS;
    } else {
      scheduleNext(now);
    }
  }

  private void measureClock(UsageReportResponse answer, long roundTripMs) {
    if (roundTripMs >= 0 && roundTripMs <= UsageConstants.MAX_CLOCK_ROUND_TRIP_MS) {
      long wallClockAtHolderMs = environment.wallClockMs() - roundTripMs / 2;
      clockOffsetMs = wallClockAtHolderMs - answer.holderTimeMs();
    }
  }

  /** Forgets the counts of windows whose intent is committed. */
  private void closeThrough(long window) {
    closedThrough = Math.max(closedThrough, window);
    acknowledged.headMap(closedThrough + 1).clear();
    if (trueTime.isKnown()) {
      recorder.removeThrough(closedThrough, this::incompleteWindowAt);
    }
  }

  /** Schedules the next report at the next part of a window, later by this edge's spread. */
  private void scheduleNext(long now) {
    long partMs = Math.max(1, windowMs / UsageConstants.REPORTS_PER_WINDOW);
    long part = Math.floorDiv(trueTime.trueTimeMs(now) - spreadMs, partMs) + 1;
    nextReportAt = Math.max(now + 1, trueTime.monotonicMs(part * partMs + spreadMs));
  }
}
