package applespindle.corelogic.storage;

import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.replication.ReplicaCatchUp;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The claims of once-ids on this node. Invariant: an id that is claimed here belongs to one token,
 * and only that token can release it.
 */
final class OnceClaimStore {
  private static final String RELEASED = "";

  /** The token that holds each id. */
  private final Map<String, String> tokenOfId = new LinkedHashMap<>();

  /** The tokens by id; catch-up reads and adds to them. */
  Map<String, String> tokens() {
    return tokenOfId;
  }

  int size() {
    return tokenOfId.size();
  }

  /** Replays a record of the log. */
  void recover(LogRecord record) {
    String token = record.epoch().node();
    if (token.equals(RELEASED)) {
      tokenOfId.remove(record.key());
    } else {
      tokenOfId.put(record.key(), token);
    }
  }

  List<LogRecord> checkpoint() {
    return tokenOfId.entrySet().stream()
        .map(claim -> ReplicaCatchUp.onceClaimRecord(claim.getKey(), claim.getValue()))
        .toList();
  }

  /** Whether another token holds the id. */
  boolean isHeldByOther(String id, String token) {
    String holder = tokenOfId.get(id);
    return holder != null && !holder.equals(token);
  }

  /**
   * Claims an id that no other token holds. Returns the records to write; none if this token had
   * claimed it before.
   */
  List<LogRecord> claim(String id, String token) {
    boolean claimedBefore = tokenOfId.putIfAbsent(id, token) != null;
    return claimedBefore ? List.of() : List.of(ReplicaCatchUp.onceClaimRecord(id, token));
  }

  /** Releases a claim. Returns the records to write; none if the token does not hold the id. */
  List<LogRecord> release(String id, String token) {
    boolean held = tokenOfId.remove(id, token);
    return held ? List.of(ReplicaCatchUp.onceClaimRecord(id, RELEASED)) : List.of();
  }
}
