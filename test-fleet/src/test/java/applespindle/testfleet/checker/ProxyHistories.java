package applespindle.testfleet.checker;

import static applespindle.testfleet.history.History.Kind.BOUND;
import static applespindle.testfleet.history.History.Kind.CHANGE_ANSWERED;
import static applespindle.testfleet.history.History.Kind.CHANGE_ROUTE;
import static applespindle.testfleet.history.History.Kind.CHANGE_SENT;
import static applespindle.testfleet.history.History.Kind.OPAQUE_ANSWERED;
import static applespindle.testfleet.history.History.Kind.OPAQUE_CLOSED;
import static applespindle.testfleet.history.History.Kind.OPAQUE_ITEM;
import static applespindle.testfleet.history.History.Kind.OPAQUE_READ;
import static applespindle.testfleet.history.History.Kind.OPAQUE_RESULT;
import static applespindle.testfleet.history.History.Kind.OPAQUE_SENT;
import static applespindle.testfleet.history.History.Kind.REQUEST_ANSWERED;
import static applespindle.testfleet.history.History.Kind.REQUEST_SENT;
import static applespindle.testfleet.history.History.Kind.RUN_ARRIVED;
import static applespindle.testfleet.history.History.Kind.RUN_BEGAN;
import static applespindle.testfleet.history.History.Kind.RUN_ENDED;
import static applespindle.testfleet.history.History.Kind.WORKER_BORN;

import applespindle.testfleet.history.History;
import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.ProxiedOutput;
import java.util.List;

/** A correct history of proxied requests and batches, and the events to modify it with. */
final class ProxyHistories {
  static final String ONCE = "POST h /once/1 body-1";
  static final String FREE = "POST h /free/2 body-2";
  static final String STREAM = "POST h /stream/3 body-3";
  static final String RESUMED = "POST h /resumed/4 body-4";
  static final String ITEM = "POST h /batch/9 body-i";

  static void add(
      History history,
      long at,
      Kind kind,
      String subject,
      String detail,
      String text,
      long number) {
    history.add(at, kind, subject, detail, text, number);
  }

  static String part(String asked, int first, int last, String run) {
    return ProxiedOutput.text(asked, first, last, run);
  }

  static void arrives(
      History history, long at, String worker, String id, String asked, String run) {
    add(history, at, RUN_ARRIVED, worker, id + " edge-1 " + run, asked, 0);
  }

  static void runs(
      History history,
      long at,
      String worker,
      String id,
      String asked,
      String run,
      long behind,
      int status) {
    arrives(history, at, worker, id, asked, run);
    add(history, at, RUN_BEGAN, worker, id, run, behind);
    add(history, at + 50, RUN_ENDED, worker, id, run, status);
  }

  static void answered(
      History history,
      long at,
      String id,
      String detail,
      String asked,
      String run,
      String body,
      int status) {
    add(
        history,
        at,
        REQUEST_ANSWERED,
        id,
        detail,
        ProxiedOutput.stamp(asked, run) + "\n" + body,
        status);
  }

  static void change(History history, long at, String id, long number, long buildsOn, String pool) {
    add(history, at, CHANGE_SENT, id, "valid", Long.toString(buildsOn), number);
    for (String type : List.of("once", "free", "stream", "resumed")) {
      add(history, at, CHANGE_ROUTE, id, type, "h /" + type + "/ " + type + " 2 0 " + pool, number);
    }
    add(history, at, CHANGE_ROUTE, id, "batch", "h /batch/ batch 2 100 " + pool, number);
  }

  /** One change, a request of each type, and a batch of one item, all as they should be. */
  static History sound() {
    History history = new History();
    add(history, 0, BOUND, "retentionMs", "", "", 60_000);
    add(history, 0, WORKER_BORN, "i-1", "alpha", "10.0.0.1:1", 0);
    add(history, 0, WORKER_BORN, "i-2", "beta", "10.0.0.2:1", 0);
    change(history, 10, "c1", 5, 0, "alpha");
    add(history, 20, CHANGE_ANSWERED, "c1", "", "", 200);
    add(history, 5_000, REQUEST_SENT, "q1", "once edge-1", ONCE, 4);
    runs(history, 5_010, "i-1", "q1", ONCE, "r1", 0, 200);
    answered(history, 5_070, "q1", "complete", ONCE, "r1", part(ONCE, 1, 4, "r1"), 200);
    add(history, 5_100, REQUEST_SENT, "q2", "repeatable edge-1", FREE, 4);
    runs(history, 5_110, "i-1", "q2", FREE, "r2", 0, 0);
    runs(history, 5_170, "i-1", "q2", FREE, "r3", 0, 200);
    answered(history, 5_230, "q2", "complete", FREE, "r3", part(FREE, 1, 4, "r3"), 200);
    add(history, 5_300, REQUEST_SENT, "q3", "stream edge-1", STREAM, 4);
    runs(history, 5_310, "i-1", "q3", STREAM, "r4", 0, 200);
    answered(
        history,
        5_370,
        "q3",
        "complete",
        STREAM,
        "r4",
        "1:" + part(STREAM, 1, 1, "r4") + "\n4:" + part(STREAM, 2, 4, "r4") + "\n",
        200);
    add(history, 5_400, REQUEST_SENT, "q4", "resumable edge-1", RESUMED, 4);
    runs(history, 5_410, "i-1", "q4", RESUMED, "r5", 0, 0);
    runs(history, 5_470, "i-1", "q4", RESUMED, "r6", 2, 200);
    answered(
        history,
        5_530,
        "q4",
        "complete",
        RESUMED,
        "r5",
        "2:" + part(RESUMED, 1, 2, "r5") + "\n4:" + part(RESUMED, 3, 4, "r6") + "\n",
        200);
    batch(history, 6_000, "b1", "x1", 60);
    add(history, 6_050, OPAQUE_ANSWERED, "b1", "", "", 201);
    runs(history, 6_100, "i-1", "x1", ITEM, "r7", 0, 200);
    listed(
        history,
        7_000,
        "b1",
        "x1 complete",
        part(ITEM, 1, 3, "r7") + "\n" + part(ITEM, 4, 4, "r7"),
        0);
    add(history, 9_000, OPAQUE_CLOSED, "b1", "read", "1", 0);
    return history;
  }

  static void batch(History history, long at, String batch, String item, int tokens) {
    add(history, at, OPAQUE_ITEM, batch, item, tokens + " " + ITEM, 4);
    add(history, at, OPAQUE_SENT, batch, "edge-1", "h /batch/" + batch, tokens);
  }

  static void listed(
      History history, long at, String batch, String detail, String output, long position) {
    add(history, at, OPAQUE_RESULT, batch, detail, output, position);
    add(history, at, OPAQUE_READ, batch, "edge-1", "0 1 1 " + (at - 5), 200);
  }

  private ProxyHistories() {}
}
