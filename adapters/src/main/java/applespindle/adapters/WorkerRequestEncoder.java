package applespindle.adapters;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.corelogic.common.HttpSyntax;
import applespindle.corelogic.environment.Environment.WorkerExchange;
import applespindle.corelogic.environment.ProxiedRequest;
import applespindle.corelogic.environment.ProxiedRequest.Header;

/** Writes proxied requests as HTTP/1.1. */
final class WorkerRequestEncoder {
  /**
   * The complete request, or null if its head holds characters that would reach the worker as
   * others, or let one request look like two. Headers that concern one connection only are left
   * out.
   */
  static EncodedRequest encode(WorkerProtocol protocol, WorkerExchange call) {
    ProxiedRequest request = call.request();
    StringBuilder head = new StringBuilder(512);
    head.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1\r\n");
    boolean valid = HttpSyntax.isToken(request.method()) && HttpSyntax.isTarget(request.target());
    boolean hasHost = false;
    for (Header header : EndToEndHeaders.of(protocol.requestHeaders(call))) {
      valid &= HttpSyntax.isToken(header.name()) && HttpSyntax.isFieldValue(header.value());
      hasHost |= header.name().equalsIgnoreCase("Host");
      head.append(header.name()).append(": ").append(header.value()).append("\r\n");
    }
    if (!hasHost) {
      valid &= HttpSyntax.isTarget(request.host());
      head.append("Host: ").append(request.host()).append("\r\n");
    }
    if (hasBody(request)) {
      head.append("Content-Length: ").append(request.body().length).append("\r\n");
    }
    head.append("\r\n");
    if (!valid) {
      return null;
    }
    return new EncodedRequest(head.toString().getBytes(ISO_8859_1), request.body());
  }

  /** An empty body counts as one for methods that usually have one. */
  private static boolean hasBody(ProxiedRequest request) {
    return request.body().length > 0
        || !request.method().equals("GET") && !request.method().equals("HEAD");
  }

  private WorkerRequestEncoder() {}
}
