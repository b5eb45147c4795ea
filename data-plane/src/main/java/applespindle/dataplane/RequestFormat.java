package applespindle.dataplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.api.Response;
import applespindle.corelogic.batch.BatchSubmission;
import applespindle.corelogic.environment.ProxiedRequest;
import java.util.List;

/** The format in which clients write proxied requests and batches of them. On the HTTP thread. */
public interface RequestFormat {
  /** A request as it was received, with its end-to-end headers. */
  record Arrived(
      String method, String target, String host, List<ProxiedRequest.Header> headers, byte[] body) {
    /** The first value of a header, or an empty text. */
    public String header(String name) {
      for (ProxiedRequest.Header header : headers) {
        if (header.name().equalsIgnoreCase(name)) {
          return header.value();
        }
      }
      return "";
    }
  }

  /**
   * A call about a batch that was taken: its results from a position on, the body of an item, or
   * its end.
   */
  sealed interface BatchCall {
    /** The client's own id of the batch. */
    String batch();

    /** Reads results behind position from; holdMs is how long the call may wait for one. */
    record Results(String batch, long from, long holdMs) implements BatchCall {}

    /** Reads the body of one item. */
    record ItemBody(String batch, String item) implements BatchCall {}

    /** Ends the batch before it is finished. */
    record End(String batch) implements BatchCall {}
  }

  /** Either a value or the fault that hindered it; neither if the request is none of that kind. */
  record Parsed<T>(T value, ApiError fault) {
    /** The request is not of the kind that was asked for. */
    public static <T> Parsed<T> none() {
      return new Parsed<>(null, null);
    }

    /** Whether the request is not of the kind that was asked for. */
    public boolean isNone() {
      return value == null && fault == null;
    }
  }

  /**
   * The value of the header that names a refused client the time to retry, in milliseconds from
   * now.
   */
  String retryAfter(long millis);

  /** A request for a worker; its body is left as it came. */
  Parsed<ProxiedRequest> request(Arrived arrived);

  /** The API key of the client's tenant; empty if the request carries none. */
  String apiKey(Arrived arrived);

  /** A call about a batch that was submitted before. */
  Parsed<BatchCall> batchCall(Arrived arrived);

  /** A request on a route for batches; its body is left as it came. */
  BatchSubmission submission(Arrived arrived);

  /** The response to the submission of a batch, to a call about one, or a rejection. */
  Response show(BatchCall call, Response response);
}
