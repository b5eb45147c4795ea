package applespindle.testfleet.checker;

import applespindle.testfleet.history.History.Kind;
import applespindle.testfleet.history.History.Seen;

/** Events of batches, live requests and configurations, to build histories with. */
final class HistoryEvents {
  static final int OK = 200;
  static final int CREATED = 201;
  static final String MAIN_WORKER = "w1";

  static Seen ceiling(long atMs, long items) {
    return new Seen(atMs, Kind.CEILING, "", "", "", items);
  }

  static Seen item(long atMs, String key, String itemId, String prompt, int tokens) {
    return new Seen(atMs, Kind.ITEM, key, itemId, prompt, tokens);
  }

  static Seen submitSent(long atMs, String key, int items) {
    return new Seen(atMs, Kind.SUBMIT_SENT, key, "", "", items);
  }

  static Seen accepted(long atMs, String key, String batchId) {
    return new Seen(atMs, Kind.SUBMIT_ANSWERED, key, "", batchId, CREATED);
  }

  static Seen refused(long atMs, String key, String errorType, String batchId, int status) {
    return new Seen(atMs, Kind.SUBMIT_ANSWERED, key, errorType, batchId, status);
  }

  static Seen batchRead(long atMs, String key, String state, int results) {
    return new Seen(atMs, Kind.BATCH_READ, key, state, Integer.toString(results), OK);
  }

  static Seen batchReadFailed(long atMs, String key, String errorType, int status) {
    return new Seen(atMs, Kind.BATCH_READ, key, errorType, "0", status);
  }

  static Seen resultRead(long atMs, String key, String itemAndType, String output, int number) {
    return new Seen(atMs, Kind.RESULT_READ, key, itemAndType, output, number);
  }

  static Seen endAnswered(long atMs, String key) {
    return new Seen(atMs, Kind.END_ANSWERED, key, "", "", OK);
  }

  static Seen itemReceived(long atMs, String batchAndItem, String prompt) {
    return new Seen(atMs, Kind.WORKER_RECEIVED, MAIN_WORKER, batchAndItem, prompt, 0);
  }

  static Seen liveReceived(long atMs, String worker, String prompt) {
    return new Seen(atMs, Kind.WORKER_RECEIVED, worker, "", prompt, 0);
  }

  static Seen liveSent(long atMs, String request, String onceId, String prompt, int tokens) {
    return new Seen(atMs, Kind.LIVE_SENT, request, onceId, prompt, tokens);
  }

  static Seen liveAt(long atMs, String request, String edge) {
    return new Seen(atMs, Kind.LIVE_AT, request, edge, "", 0);
  }

  static Seen liveClass(long atMs, String request, String trafficClass, String prompt) {
    return new Seen(atMs, Kind.LIVE_CLASS, request, trafficClass, prompt, 0);
  }

  static Seen liveCompleted(long atMs, String request, String output) {
    return new Seen(atMs, Kind.LIVE_ANSWERED, request, "complete", output, OK);
  }

  static Seen liveRefused(long atMs, String request, String errorType, int status) {
    return new Seen(atMs, Kind.LIVE_ANSWERED, request, errorType, "", status);
  }

  static Seen leavingAnswered(long atMs, String worker) {
    return new Seen(atMs, Kind.LEAVING_ANSWERED, worker, "", "", OK);
  }

  static Seen workerPool(String worker, String pool) {
    return new Seen(0, Kind.WORKER_POOL, worker, pool, "", 0);
  }

  static Seen configurationRoute(long atMs, long number, String trafficClass, String pool) {
    return new Seen(atMs, Kind.BUNDLE_WAY, Long.toString(number), trafficClass, pool, number);
  }

  static Seen configurationAnswered(long atMs, long number, String errorType, int status) {
    return new Seen(atMs, Kind.BUNDLE_ANSWERED, Long.toString(number), errorType, "", status);
  }

  static Seen configurationRead(long atMs, long begunMs, long number) {
    return new Seen(atMs, Kind.BUNDLE_READ, "", "", Long.toString(begunMs), number);
  }

  static Seen edgeConfiguration(long atMs, String edge, long number) {
    return new Seen(atMs, Kind.EDGE_BUNDLE, edge, "", "", number);
  }

  private HistoryEvents() {}
}
