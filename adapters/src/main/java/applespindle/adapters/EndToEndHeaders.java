package applespindle.adapters;

import applespindle.corelogic.environment.ProxiedRequest.Header;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Looks up headers of a message at a worker, and leaves out those of one connection only. */
final class EndToEndHeaders {
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "proxy-connection");

  /** All headers but those that concern one connection, by their kind or named in Connection. */
  static List<Header> of(List<Header> headers) {
    Set<String> dropped = HOP_BY_HOP;
    for (Header header : headers) {
      if (header.name().equalsIgnoreCase("Connection")) {
        dropped = new HashSet<>(dropped);
        for (String named : header.value().split(",")) {
          dropped.add(named.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    Set<String> all = dropped;
    return headers.stream()
        .filter(header -> !all.contains(header.name().toLowerCase(Locale.ROOT)))
        .toList();
  }

  /** The first value of a header, whatever the case of its name; null if there is none. */
  static String value(List<Header> headers, String name) {
    for (Header header : headers) {
      if (header.name().equalsIgnoreCase(name)) {
        return header.value();
      }
    }
    return null;
  }

  private EndToEndHeaders() {}
}
