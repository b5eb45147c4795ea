package applespindle.corelogic.batch;

import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.environment.Environment.WorkerCallHandle;
import applespindle.corelogic.live.StreamText;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.worker.WorkerState;

/**
 * One run of one batch item at one worker: what it has brought so far and how much of its prompt
 * the worker still has to read. A run ends once, see {@link RunCompletion}.
 */
final class ItemRun {
  final AssignedRange range;
  final AssignedItem item;

  /** Unique among the runs of this node's process; results carry it. */
  final String id;

  final WorkerState worker;
  final long sentAt;

  /** Output of a prompt so far. */
  final StringBuilder output = new StringBuilder();

  /** The stream of a proxied item so far, earlier runs included; null for a prompt. */
  StreamText stream;

  /** The route of a proxied item; null for a prompt. */
  Route route;

  /** The status of a proxied item's response; 0 before its head, and for a prompt. */
  int status;

  /** Whether the response is an event stream; any other is not a result. */
  boolean isEventStream;

  WorkerCallHandle exchange = () -> {};
  long lastActivityAt;

  /** Prompt tokens that the worker still has to read for it, as far as is known. */
  double unreadPromptTokens;

  boolean ended;

  ItemRun(AssignedRange range, AssignedItem item, String id, WorkerState worker, long now) {
    this.range = range;
    this.item = item;
    this.id = id;
    this.worker = worker;
    this.sentAt = now;
    this.lastActivityAt = now;
  }

  boolean isProxied() {
    return stream != null;
  }

  boolean succeeds() {
    return status / 100 == 2;
  }

  /** The worker has that many tokens of this item's prompt still to read. */
  void setUnreadPrompt(double tokens) {
    unreadPromptTokens = tokens;
    worker.pendingPrefillTokens += tokens;
  }

  /** The worker has begun to answer, so it has read the whole prompt. */
  void clearUnreadPrompt() {
    worker.pendingPrefillTokens -= unreadPromptTokens;
    unreadPromptTokens = 0;
  }
}
