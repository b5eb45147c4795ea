package applespindle.adapters;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.environment.Environment.ExchangeListener;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.Environment.WorkerLoad;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import applespindle.corelogic.environment.ProxiedRequest.ResponseChunk;
import applespindle.corelogic.environment.ProxiedRequest.ResponseHead;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;

/**
 * One request at a worker and its response. What is reported while bytes are read is gathered and
 * handed to the logic in one task. On the HTTP thread; the listener is called on the logic thread.
 */
final class WorkerHttpExchange {
  private final WorkerHttpClient client;
  private final WorkerExchange call;
  private final ExchangeListener listener;
  private final List<Runnable> reports = new ArrayList<>(4);

  /** Null before a connection is there, and once the response has ended. */
  private WorkerConnection connection;

  private EventSplitter eventSplitter;

  /** What is read now is a late response to an earlier request; its own is due behind it. */
  private boolean skipping;

  private boolean over;

  WorkerHttpExchange(WorkerHttpClient client, WorkerExchange call, ExchangeListener listener) {
    this.client = client;
    this.call = call;
    this.listener = listener;
  }

  WorkerExchange call() {
    return call;
  }

  /** The connection that carries this exchange from now on; null once it carries it no more. */
  void attach(WorkerConnection carrier) {
    connection = carrier;
  }

  /** Sends the request, on an idle connection or a new one. */
  void start() {
    if (over) {
      return;
    }
    EncodedRequest request = WorkerRequestEncoder.encode(client.protocol(), call);
    if (request == null) {
      fail(
          new ApiError.InvalidInput(
              List.of(new ApiError.Field("head", "holds what HTTP/1.1 can not carry"))),
          false);
      return;
    }
    client.connect(
        call,
        connected -> {
          if (over) {
            connected.close();
          } else {
            connected.send(this, request);
          }
        },
        () -> fail(new ApiError.WorkerUnreachable(call.workerId()), false));
  }

  /** No callback comes after this, but for those already on their way to the logic. */
  void cancel() {
    over = true;
    if (connection != null) {
      connection.close();
    }
  }

  /** Reports a failure, unless the exchange is over already. */
  void fail(ApiError error, boolean mayHaveRun) {
    if (!over) {
      over = true;
      reports.add(() -> listener.fail(error, mayHaveRun));
      flush();
    }
  }

  /** False if the response is not one to this request, or not a complete one. */
  boolean head(int status, List<Header> headers) {
    UnaryOperator<String> values = name -> EndToEndHeaders.value(headers, name);
    if (!isOwn(values)) {
      skipping = connection.mayBringLateResponse();
      return skipping;
    }
    WorkerLoad load = client.protocol().load(values);
    if (load != null) {
      reports.add(() -> listener.load(load));
    }
    if (client.protocol().saysNotRun(status, values)) {
      fail(new ApiError.WorkerRejected(status), false);
      connection.limitIdleTime();
      return true;
    }
    if (status < 300 && !client.protocol().isComplete(status, values)) {
      return false;
    }
    String type = EndToEndHeaders.value(headers, "Content-Type");
    if (type != null && type.toLowerCase(Locale.ROOT).startsWith("text/event-stream")) {
      eventSplitter = new EventSplitter(event -> reports.add(() -> listener.chunk(event)));
    }
    ResponseHead head = new ResponseHead(status, EndToEndHeaders.of(headers));
    reports.add(() -> listener.head(head));
    return true;
  }

  private boolean isOwn(UnaryOperator<String> headers) {
    return switch (client.protocol().attribute(call, headers)) {
      case THIS_REQUEST -> true;
      case ANOTHER_REQUEST -> false;
      case UNNAMED_REFUSAL -> !connection.hasServed();
    };
  }

  /** False if an event is larger than any may be. */
  boolean body(byte[] bytes, int offset, int size) {
    if (over || skipping) {
      return true;
    }
    if (eventSplitter != null) {
      return eventSplitter.take(bytes, offset, size);
    }
    ResponseChunk chunk = new ResponseChunk("", Arrays.copyOfRange(bytes, offset, offset + size));
    reports.add(() -> listener.chunk(chunk));
    return true;
  }

  /** Ends the reading of a late response; false if it is the exchange's own that has ended. */
  boolean stopSkipping() {
    boolean skipped = skipping;
    skipping = false;
    return skipped;
  }

  /** False if the body ended within an event. */
  boolean end() {
    if (!over) {
      if (eventSplitter != null && !eventSplitter.isBetweenEvents()) {
        return false;
      }
      over = true;
      reports.add(listener::end);
    }
    return true;
  }

  /** Hands to the logic what was read since the last time, in one task. */
  void flush() {
    if (reports.size() == 1) {
      client.toLogic(reports.get(0));
    } else if (!reports.isEmpty()) {
      List<Runnable> all = List.copyOf(reports);
      client.toLogic(() -> all.forEach(Runnable::run));
    }
    reports.clear();
  }
}
