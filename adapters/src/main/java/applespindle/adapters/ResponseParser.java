package applespindle.adapters;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import applespindle.corelogic.common.HttpSyntax;
import applespindle.corelogic.constants.WorkerConnectionConstants;
import applespindle.corelogic.environment.ProxiedRequest.Header;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Reads the responses of one HTTP/1.1 connection. A response whose length is not given can't be
 * told from a truncated one, so it is as unreadable as bytes that are no response. Interim
 * responses (1xx) are skipped, but for a change of protocol, which nobody asked for. What stands
 * behind a complete response is left for its owner to judge. Invariant: the bytes from {@code from}
 * to {@code to} of the buffer are received and not read yet. Used by one thread.
 */
final class ResponseParser {
  /** Takes what is read, in order; each method returns false to stop the reading for good. */
  interface Listener {
    /** The status and all headers of a final response. */
    boolean head(int status, List<Header> headers);

    /** The next bytes of the body, which are valid during the call only. */
    boolean body(byte[] bytes, int offset, int size);

    /** The response is complete. */
    boolean end();
  }

  private enum State {
    HEAD,
    LENGTH,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILER
  }

  private enum Step {
    /** What was there is read; the next state may read on. */
    NEXT,

    /** More bytes are needed. */
    WAIT,

    /** The response has ended, and its listener wants to go on. */
    ENDED,

    /** The bytes are no response, or the listener wants no more. */
    FAILED
  }

  private static final int SWITCHING_PROTOCOLS = 101;
  private static final long UNKNOWN_LENGTH = -1;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int INITIAL_CAPACITY_BYTES = 1024;
  private static final int MAX_SIZE_DIGITS = 15;
  private static final byte[] RESPONSE_START = "HTTP/1.".getBytes(ISO_8859_1);

  private final Listener listener;
  private State state = State.HEAD;
  private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];
  private int from;
  private int to;

  /** Where the search for the head's end goes on. */
  private int searched;

  /** Bytes of the body or of the present chunk that are still to come. */
  private long remaining;

  /** The request was one whose response has no body. */
  private boolean withoutBody;

  /** Of the present head, while its headers are read. */
  private long contentLength = UNKNOWN_LENGTH;

  /** Of the present head, while its headers are read. */
  private boolean chunked;

  private int interimHeads;
  private int trailerBytes;

  /** The worker closes the connection after this response. */
  private boolean closes;

  private long keepAliveMs;

  ResponseParser(Listener listener) {
    this.listener = listener;
  }

  /** Before each request: a response to HEAD has no body whatever its headers say. */
  void expect(String method) {
    withoutBody = method.equals("HEAD");
  }

  /** Whether the worker closes the connection after this response. */
  boolean closes() {
    return closes;
  }

  /** How long the worker keeps the connection idle, in milliseconds; 0 if it did not say. */
  long keepAliveMs() {
    return keepAliveMs;
  }

  /** Whether bytes were received that are not read yet. */
  boolean hasSurplus() {
    return from < to;
  }

  /** Whether nothing of a further response was received. */
  boolean isBetweenResponses() {
    return state == State.HEAD && from == to;
  }

  /** Adds bytes and reads on; false when they are no response or the listener wants no more. */
  boolean take(byte[] chunk, int offset, int size) {
    if (to + size > buffer.length) {
      ensureCapacity(size);
    }
    System.arraycopy(chunk, offset, buffer, to, size);
    to += size;
    return goOn();
  }

  private void ensureCapacity(int size) {
    int unread = to - from;
    byte[] target =
        unread + size > buffer.length
            ? new byte[Math.max(2 * buffer.length, unread + size)]
            : buffer;
    System.arraycopy(buffer, from, target, 0, unread);
    searched -= from;
    buffer = target;
    from = 0;
    to = unread;
  }

  /** Reads on as far as bytes are there, also behind a response that has ended. */
  boolean goOn() {
    try {
      return parse();
    } catch (NumberFormatException garbage) {
      return false;
    }
  }

  private boolean parse() {
    while (from < to) {
      Step step =
          switch (state) {
            case HEAD -> readHead();
            case LENGTH, CHUNK -> readBody();
            case CHUNK_SIZE, CHUNK_END, TRAILER -> readLine();
          };
      if (step != Step.NEXT) {
        return step != Step.FAILED;
      }
    }
    return true;
  }

  private Step readHead() {
    int end = headEnd();
    if (end < 0) {
      return to - from <= WorkerConnectionConstants.MAX_HEAD_BYTES && beginsLikeResponse()
          ? Step.WAIT
          : Step.FAILED;
    }
    if (end - from > WorkerConnectionConstants.MAX_HEAD_BYTES || !head(end)) {
      return Step.FAILED;
    }
    return state == State.LENGTH && remaining == 0 ? end() : Step.NEXT;
  }

  private Step readBody() {
    int size = (int) Math.min(remaining, to - from);
    int offset = from;
    from += size;
    remaining -= size;
    if (!listener.body(buffer, offset, size)) {
      return Step.FAILED;
    }
    if (remaining > 0) {
      return Step.NEXT;
    }
    if (state == State.LENGTH) {
      return end();
    }
    state = State.CHUNK_END;
    return Step.NEXT;
  }

  /** Reads a line of the chunked format: a chunk's size or end, or one of the trailer. */
  private Step readLine() {
    int lineEnd = find('\n', from);
    if (lineEnd < 0) {
      return to - from <= WorkerConnectionConstants.MAX_HEAD_BYTES ? Step.WAIT : Step.FAILED;
    }
    if (lineEnd == from
        || buffer[lineEnd - 1] != '\r'
        || lineEnd + 1 - from > WorkerConnectionConstants.MAX_HEAD_BYTES) {
      return Step.FAILED;
    }
    String line = new String(buffer, from, lineEnd - 1 - from, ISO_8859_1);
    trailerBytes = state == State.TRAILER ? trailerBytes + line.length() : 0;
    from = lineEnd + 1;
    return acceptLine(line);
  }

  private Step acceptLine(String line) {
    if (state == State.CHUNK_END) {
      state = State.CHUNK_SIZE;
      return line.isEmpty() ? Step.NEXT : Step.FAILED;
    }
    if (state == State.CHUNK_SIZE) {
      int extension = line.indexOf(';');
      remaining = size(extension < 0 ? line : line.substring(0, extension).strip(), 16);
      state = remaining == 0 ? State.TRAILER : State.CHUNK;
      return Step.NEXT;
    }
    if (line.isEmpty()) {
      return end();
    }
    return trailerBytes > WorkerConnectionConstants.MAX_HEAD_BYTES ? Step.FAILED : Step.NEXT;
  }

  /** Ends the response; anything behind it stays unread. */
  private Step end() {
    state = State.HEAD;
    searched = from;
    interimHeads = 0;
    boolean goOn = listener.end();
    if (from == to) {
      from = 0;
      to = 0;
      searched = 0;
      if (buffer.length > WorkerConnectionConstants.MAX_HEAD_BYTES) {
        buffer = new byte[INITIAL_CAPACITY_BYTES];
      }
    }
    return goOn ? Step.ENDED : Step.FAILED;
  }

  private boolean beginsLikeResponse() {
    int size = Math.min(RESPONSE_START.length, to - from);
    return Arrays.equals(buffer, from, from + size, RESPONSE_START, 0, size);
  }

  private int find(char wanted, int at) {
    for (; at < to; at++) {
      if (buffer[at] == wanted) {
        return at;
      }
    }
    return -1;
  }

  /** Index behind the blank line, or -1. */
  private int headEnd() {
    for (int at = Math.max(from, searched - 3); at + 3 < to; at++) {
      if (buffer[at] == '\r'
          && buffer[at + 1] == '\n'
          && buffer[at + 2] == '\r'
          && buffer[at + 3] == '\n') {
        return at + 4;
      }
    }
    searched = to;
    return -1;
  }

  private boolean head(int end) {
    String[] lines = new String(buffer, from, end - 4 - from, ISO_8859_1).split("\r\n", -1);
    from = end;
    String statusLine = lines[0];
    if (!statusLine.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
      return false;
    }
    int status = Integer.parseInt(statusLine.substring(9, 12));
    if (status < 200) {
      searched = from;
      return status != SWITCHING_PROTOCOLS
          && ++interimHeads <= WorkerConnectionConstants.MAX_INTERIM_HEADS;
    }
    closes = statusLine.startsWith("HTTP/1.0");
    keepAliveMs = 0;
    contentLength = UNKNOWN_LENGTH;
    chunked = false;
    List<Header> headers = new ArrayList<>(lines.length);
    for (int index = 1; index < lines.length; index++) {
      Header header = header(lines[index]);
      if (header == null || !accept(header)) {
        return false;
      }
      headers.add(header);
    }
    return beginBody(status) && listener.head(status, headers);
  }

  /** The header of a line, or null if the line is none. */
  private static Header header(String line) {
    int colon = line.indexOf(':');
    if (colon <= 0) {
      return null;
    }
    String name = line.substring(0, colon);
    String value = line.substring(colon + 1).strip();
    return HttpSyntax.isToken(name) && HttpSyntax.isFieldValue(value)
        ? new Header(name, value)
        : null;
  }

  /** Notes what a header says of the body and the connection; false if it contradicts others. */
  private boolean accept(Header header) {
    String name = header.name();
    String value = header.value();
    if (name.equalsIgnoreCase("Content-Length")) {
      long length = size(value, 10);
      boolean consistent = contentLength == UNKNOWN_LENGTH || contentLength == length;
      contentLength = length;
      return consistent;
    }
    if (name.equalsIgnoreCase("Transfer-Encoding")) {
      chunked = true;
      return value.equalsIgnoreCase("chunked");
    }
    if (name.equalsIgnoreCase("Connection")) {
      closes |= value.toLowerCase(Locale.ROOT).contains("close");
    } else if (name.equalsIgnoreCase("Keep-Alive")) {
      keepAliveMs = keepAliveMs(value);
    }
    return true;
  }

  /** Decides how the end of the body is found; false if that is unknown or ambiguous. */
  private boolean beginBody(int status) {
    boolean hasLength = contentLength != UNKNOWN_LENGTH;
    if (chunked && hasLength) {
      return false;
    }
    boolean empty = withoutBody || status == NO_CONTENT || status == NOT_MODIFIED;
    if (!empty && !chunked && !hasLength) {
      return false;
    }
    remaining = empty || chunked ? 0 : contentLength;
    state = chunked && !empty ? State.CHUNK_SIZE : State.LENGTH;
    return true;
  }

  private static long keepAliveMs(String value) {
    for (String part : value.split(",")) {
      String[] pair = part.strip().split("=", 2);
      if (pair.length == 2
          && pair[0].equalsIgnoreCase("timeout")
          && pair[1].matches("[0-9]{1,6}")) {
        return Long.parseLong(pair[1]) * 1_000;
      }
    }
    return 0;
  }

  /** Throws NumberFormatException for anything but plain digits of that radix. */
  private static long size(String digits, int radix) {
    if (digits.isEmpty()
        || digits.length() > MAX_SIZE_DIGITS
        || digits.charAt(0) == '+'
        || digits.charAt(0) == '-') {
      throw new NumberFormatException(digits);
    }
    return Long.parseLong(digits, radix);
  }
}
