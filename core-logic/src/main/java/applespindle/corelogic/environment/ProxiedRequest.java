package applespindle.corelogic.environment;

import java.util.List;

/**
 * A client's request that is forwarded to a worker unchanged. The endpoint has read from its
 * headers what routing and the choice of a worker need.
 *
 * @param deadlineMs how long the client waits, counted from the arrival; 0 if it did not say
 * @param prompt the parts of the prompt in order, by which prefix caches of workers are recognized
 * @param resumeAfter id of the last event that the client already has; empty if none
 * @param apiKey the key of the client's tenant; empty if it sent none. Secret, as are the headers
 */
public record ProxiedRequest(
    String id,
    String method,
    String target,
    String host,
    List<Header> headers,
    byte[] body,
    long deadlineMs,
    String model,
    int promptTokens,
    int maxOutputTokens,
    List<PromptPart> prompt,
    String resumeAfter,
    String apiKey) {
  /** An end-to-end header as the client sent it. */
  public record Header(String name, String value) {
    /** The name alone: the value may be a secret. */
    @Override
    public String toString() {
      return "Header[name=" + name + "]";
    }
  }

  /** A part of the prompt that other requests may share, with its size in tokens. */
  public record PromptPart(String id, int tokens) {}

  /** Status and end-to-end headers of a worker's response, as the worker sent them. */
  public record ResponseHead(int status, List<Header> headers) {}

  /**
   * Part of a response body: one complete event with its id, or, if the body is not an event
   * stream, some of its bytes with an empty id.
   */
  public record ResponseChunk(String eventId, byte[] bytes) {}

  /** A request without an API key. */
  public ProxiedRequest(
      String id,
      String method,
      String target,
      String host,
      List<Header> headers,
      byte[] body,
      long deadlineMs,
      String model,
      int promptTokens,
      int maxOutputTokens,
      List<PromptPart> prompt,
      String resumeAfter) {
    this(
        id,
        method,
        target,
        host,
        headers,
        body,
        deadlineMs,
        model,
        promptTokens,
        maxOutputTokens,
        prompt,
        resumeAfter,
        "");
  }

  /** The same request with its deadline reduced by the time that it has waited. */
  public ProxiedRequest after(long waitedMs) {
    return new ProxiedRequest(
        id,
        method,
        target,
        host,
        headers,
        body,
        deadlineMs == 0 ? 0 : Math.max(1, deadlineMs - waitedMs),
        model,
        promptTokens,
        maxOutputTokens,
        prompt,
        resumeAfter,
        apiKey);
  }

  /** What identifies the request, without its headers and its key. */
  @Override
  public String toString() {
    return "ProxiedRequest[id=" + id + ", host=" + host + ", target=" + target + "]";
  }

  /** The target without its query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
