package applespindle.corelogic.batch;

import applespindle.corelogic.common.Json;
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
  private static final byte[] NO_BYTES = {};

  final AssignedRange range;

  /** Without its body once {@link #assignment} is set. */
  AssignedItem item;

  /** What the body of a proxied item says, with its request; null for a prompt. */
  private ProxiedItemAssignment assignment;

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

  /** The item is run as its body says, which isn't needed in its encoded form meanwhile. */
  void begin(ProxiedItemAssignment decoded) {
    assignment = decoded;
    item = new AssignedItem(item.index(), NO_BYTES);
  }

  /** The item as it was assigned, for another run. */
  AssignedItem itemToRepeat() {
    return assignment == null ? item : new AssignedItem(item.index(), Json.bytes(assignment));
  }

  /** The size of the item as it is held while it runs, in bytes. */
  long heldBytes() {
    return assignment == null ? item.body().length : assignment.item().body().length;
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
