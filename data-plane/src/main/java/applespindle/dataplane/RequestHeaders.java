package applespindle.dataplane;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.HttpSyntax;
import applespindle.corelogic.environment.ProxiedRequest;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Checks the headers of a client's request, and selects those that go on to the worker. */
final class RequestHeaders {
  /**
   * Headers that belong to one connection and go no further, besides those that Connection names.
   */
  private static final Set<String> CONNECTION_BOUND =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "transfer-encoding",
          "te",
          "trailer",
          "upgrade",
          "content-length",
          "expect",
          "proxy-authenticate",
          "proxy-authorization");

  /** Of a header line: colon, blank and line end. */
  private static final int SEPARATOR_BYTES = 4;

  /**
   * What makes a head ambiguous or too large; such a request is not passed on.
   *
   * @return the fault, or null if there is none
   */
  static ApiError fault(HttpRequest request, int maxHeadBytes) {
    int bytes = request.getPathAndQuery().length();
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    for (Map.Entry<HttpHeader, HttpHeaderValue> each : request.getHeaders()) {
      HttpHeader header = each.getKey();
      String value = each.getValue().toString();
      ApiError error = fault(header, value, encodings > 0);
      if (error != null) {
        return error;
      }
      bytes += header.size() + value.length() + SEPARATOR_BYTES;
      lengths += header.equals(HttpHeaders.CONTENT_LENGTH) ? 1 : 0;
      encodings += header.equals(HttpHeaders.TRANSFER_ENCODING) ? 1 : 0;
      hosts += header.equals(HttpHeaders.HOST) ? 1 : 0;
    }
    if (bytes > maxHeadBytes) {
      return new ApiError.HeadTooLarge(maxHeadBytes);
    }
    if (lengths > 1 || lengths == 1 && encodings > 0) {
      return invalid("header Content-Length", "must stand once, and not beside Transfer-Encoding");
    }
    return hosts == 1 ? null : invalid("header Host", "must stand once");
  }

  private static ApiError fault(HttpHeader header, String value, boolean encodedBefore) {
    // Most of all no blank before the colon, which would hide a length and make the body another
    // request.
    if (!HttpSyntax.isToken(RequestHeadScanner.unmasked(header.toString()))) {
      return invalid("header names", "must be tokens");
    }
    if (header.equals(HttpHeaders.CONTENT_LENGTH) && !value.matches("[0-9]{1,18}")) {
      return invalid("header Content-Length", "must be a whole number");
    }
    if (header.equals(HttpHeaders.TRANSFER_ENCODING)
        && (encodedBefore || !value.strip().equalsIgnoreCase("chunked"))) {
      return invalid("header Transfer-Encoding", "must be chunked, once");
    }
    return null;
  }

  static ApiError invalid(String field, String reason) {
    return new ApiError.InvalidInput(List.of(new ApiError.Field(field, reason)));
  }

  /** The headers that go on to the worker, in their order and as the client wrote them. */
  static List<ProxiedRequest.Header> endToEnd(HttpRequest request) {
    Set<String> named = null;
    String connection = request.getHeader(HttpHeaders.CONNECTION);
    if (connection != null) {
      named = new HashSet<>();
      for (String token : connection.split(",")) {
        named.add(token.strip().toLowerCase(Locale.ROOT));
      }
    }
    List<ProxiedRequest.Header> headers = new ArrayList<>();
    for (Map.Entry<HttpHeader, HttpHeaderValue> each : request.getHeaders()) {
      String name = RequestHeadScanner.unmasked(each.getKey().toString());
      String lower = name.toLowerCase(Locale.ROOT);
      if (!CONNECTION_BOUND.contains(lower) && (named == null || !named.contains(lower))) {
        headers.add(new ProxiedRequest.Header(name, each.getValue().toString()));
      }
    }
    return headers;
  }

  private RequestHeaders() {}
}
