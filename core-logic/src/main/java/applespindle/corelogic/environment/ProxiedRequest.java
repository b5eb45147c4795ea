package applespindle.corelogic.environment;

import java.util.List;

/**
 * A request that is passed on as it came. The door has read from its headers what decisions need:
 * how long the client waits (deadlineMs from the moment it was taken; 0 if it did not say), its
 * model, its tokens, and the prompt's parts in order, which say what a worker may still keep from
 * earlier requests. resumeAfter: the id of the last event the client already has, or empty.
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
    String resumeAfter) {
  /** As it came; end-to-end headers only, in order. */
  public record Header(String name, String value) {}

  /** A part of the prompt that other requests may share, with its size in tokens. */
  public record PromptPart(String id, int tokens) {}

  /** Status and end-to-end headers of a worker's response, as the worker sent them. */
  public record ResponseHead(int status, List<Header> headers) {}

  /**
   * One whole event with its id, or, where the body is no event stream, some of its bytes with an
   * empty id.
   */
  public record ResponseChunk(String eventId, byte[] bytes) {}

  /** The same after it has waited for a while. */
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
        resumeAfter);
  }

  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
