package applespindle.corelogic.batch;

import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.live.StreamText;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.worker.WorkerState;

/** One run of one batch item at one worker. */
final class ItemRun {
  final AssignedRange range;
  final AssignedItem item;

  /** Unique over the life of this node; results carry it. */
  final String id;

  final WorkerState worker;
  final long sentAt;

  /** Output of a prompt so far. */
  final StringBuilder output = new StringBuilder();

  /** Of an opaque item: its stream so far, earlier runs included; null of a prompt. */
  StreamText text;

  /** Of an opaque item; null of a prompt. */
  Route route;

  /** Of an opaque item: the response's status, 0 before its head. */
  int status;

  /** The response is an event stream, and nothing else. */
  boolean streams;

  WorkerCallHandle exchange = () -> {};
  long lastTextAt;

  /** Prompt tokens the worker still reads for it, as far as is known. */
  double reading;

  boolean over;

  ItemRun(AssignedRange range, AssignedItem item, String id, WorkerState worker, long now) {
    this.range = range;
    this.item = item;
    this.id = id;
    this.worker = worker;
    this.sentAt = now;
    this.lastTextAt = now;
  }

  boolean isOpaque() {
    return text != null;
  }

  boolean succeeds() {
    return status / 100 == 2;
  }

  /** The worker has begun to answer, so it has read the whole prompt. */
  void hasRead() {
    worker.pendingPrefillTokens -= reading;
    reading = 0;
  }
}
