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
 * Reads the responses of one HTTP/1.1 connection. A response whose length is not told can not be
 * told from a cut one, so it is as unreadable as bytes that are no response. Interim heads (1xx)
 * are read away, but for a change of protocol, which nobody asked for. What stands behind a whole
 * response is left for its owner to judge.
 */
final class ResponseParser {
  interface Listener {
    /** Return false to stop the reading: the connection is of no more use. */
    boolean head(int status, List<Header> headers);

    boolean body(byte[] bytes, int offset, int size);

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

  private static final int SWITCHING_PROTOCOLS = 101;

  private final Listener listener;
  private State state = State.HEAD;
  private byte[] bytes = new byte[1024];
  private int from;
  private int to;

  /** Where the search for the head's end goes on. */
  private int searched;

  private long left;
  private boolean withoutBody;
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

  boolean closes() {
    return closes;
  }

  /** How long the worker keeps the connection idle; 0 if it did not say. */
  long keepAliveMs() {
    return keepAliveMs;
  }

  boolean hasSurplus() {
    return from < to;
  }

  boolean isBetweenResponses() {
    return state == State.HEAD && from == to;
  }

  /** False when the bytes are no response or the listener wants no more. */
  boolean take(byte[] chunk, int offset, int size) {
    if (to + size > bytes.length) {
      int kept = to - from;
      byte[] room =
          kept + size > bytes.length ? new byte[Math.max(2 * bytes.length, kept + size)] : bytes;
      System.arraycopy(bytes, from, room, 0, kept);
      searched -= from;
      bytes = room;
      from = 0;
      to = kept;
    }
    System.arraycopy(chunk, offset, bytes, to, size);
    to += size;
    return goOn();
  }

  /** Reads the response behind one that has ended, as far as it is there. */
  boolean goOn() {
    try {
      return parse();
    } catch (NumberFormatException garbage) {
      return false;
    }
  }

  private boolean parse() {
    while (from < to) {
      switch (state) {
        case HEAD -> {
          int end = headEnd();
          if (end < 0) {
            return to - from <= WorkerConnectionConstants.MAX_HEAD_BYTES && beginsLikeResponse();
          }
          if (end - from > WorkerConnectionConstants.MAX_HEAD_BYTES || !head(end)) {
            return false;
          }
          if (state == State.LENGTH && left == 0) {
            return end();
          }
        }
        case LENGTH, CHUNK -> {
          int size = (int) Math.min(left, to - from);
          int at = from;
          from += size;
          left -= size;
          if (!listener.body(bytes, at, size)) {
            return false;
          }
          if (left == 0) {
            if (state == State.LENGTH) {
              return end();
            }
            state = State.CHUNK_END;
          }
        }
        case CHUNK_SIZE, CHUNK_END, TRAILER -> {
          int lineEnd = find('\n', from);
          if (lineEnd < 0) {
            return to - from <= WorkerConnectionConstants.MAX_HEAD_BYTES;
          }
          if (lineEnd == from
              || bytes[lineEnd - 1] != '\r'
              || lineEnd + 1 - from > WorkerConnectionConstants.MAX_HEAD_BYTES) {
            return false;
          }
          String line = new String(bytes, from, lineEnd - 1 - from, ISO_8859_1);
          trailerBytes = state == State.TRAILER ? trailerBytes + line.length() : 0;
          from = lineEnd + 1;
          if (state == State.CHUNK_END) {
            if (!line.isEmpty()) {
              return false;
            }
            state = State.CHUNK_SIZE;
          } else if (state == State.CHUNK_SIZE) {
            int extension = line.indexOf(';');
            left = size(extension < 0 ? line : line.substring(0, extension).strip(), 16);
            state = left == 0 ? State.TRAILER : State.CHUNK;
          } else if (line.isEmpty()) {
            return end();
          } else if (trailerBytes > WorkerConnectionConstants.MAX_HEAD_BYTES) {
            return false;
          }
        }
      }
    }
    return true;
  }

  /** Ends the response; anything behind it stays unread. */
  private boolean end() {
    state = State.HEAD;
    searched = from;
    interimHeads = 0;
    boolean goOn = listener.end();
    if (from == to) {
      from = 0;
      to = 0;
      searched = 0;
      if (bytes.length > WorkerConnectionConstants.MAX_HEAD_BYTES) {
        bytes = new byte[1024];
      }
    }
    return goOn;
  }

  private boolean beginsLikeResponse() {
    byte[] begin = {'H', 'T', 'T', 'P', '/', '1', '.'};
    int size = Math.min(begin.length, to - from);
    return Arrays.equals(bytes, from, from + size, begin, 0, size);
  }

  private int find(char wanted, int at) {
    for (; at < to; at++) {
      if (bytes[at] == wanted) {
        return at;
      }
    }
    return -1;
  }

  /** Index behind the blank line, or -1. */
  private int headEnd() {
    for (int at = Math.max(from, searched - 3); at + 3 < to; at++) {
      if (bytes[at] == '\r'
          && bytes[at + 1] == '\n'
          && bytes[at + 2] == '\r'
          && bytes[at + 3] == '\n') {
        return at + 4;
      }
    }
    searched = to;
    return -1;
  }

  private boolean head(int end) {
    String[] lines = new String(bytes, from, end - 4 - from, ISO_8859_1).split("\r\n", -1);
    from = end;
    String first = lines[0];
    if (!first.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?")) {
      return false;
    }
    int status = Integer.parseInt(first.substring(9, 12));
    if (status < 200) {
      searched = from;
      return status != SWITCHING_PROTOCOLS
          && ++interimHeads <= WorkerConnectionConstants.MAX_INTERIM_HEADS;
    }
    List<Header> headers = new ArrayList<>(lines.length);
    closes = first.startsWith("HTTP/1.0");
    keepAliveMs = 0;
    long length = -1;
    boolean chunked = false;
    for (int index = 1; index < lines.length; index++) {
      int colon = lines[index].indexOf(':');
      if (colon <= 0) {
        return false;
      }
      String name = lines[index].substring(0, colon);
      String value = lines[index].substring(colon + 1).strip();
      if (!HttpSyntax.isToken(name) || !HttpSyntax.isFieldValue(value)) {
        return false;
      }
      headers.add(new Header(name, value));
      if (name.equalsIgnoreCase("Content-Length")) {
        long told = size(value, 10);
        if (length >= 0 && length != told) {
          return false;
        }
        length = told;
      } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
        if (!value.equalsIgnoreCase("chunked")) {
          return false;
        }
        chunked = true;
      } else if (name.equalsIgnoreCase("Connection")) {
        closes |= value.toLowerCase(Locale.ROOT).contains("close");
      } else if (name.equalsIgnoreCase("Keep-Alive")) {
        keepAliveMs = keepAliveMs(value);
      }
    }
    if (chunked && length >= 0) {
      return false;
    }
    boolean empty = withoutBody || status == 204 || status == 304;
    if (!empty && !chunked && length < 0) {
      return false;
    }
    left = empty || chunked ? 0 : length;
    state = chunked && !empty ? State.CHUNK_SIZE : State.LENGTH;
    return listener.head(status, headers);
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
        || digits.length() > 15
        || digits.charAt(0) == '+'
        || digits.charAt(0) == '-') {
      throw new NumberFormatException(digits);
    }
    return Long.parseLong(digits, radix);
  }
}
