package applespindle.corelogic.membership;

import applespindle.corelogic.common.Json;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;
import applespindle.corelogic.log.LogRecord.Kind;
import applespindle.corelogic.metadata.QuorumMembership;
import java.util.ArrayList;
import java.util.List;

/**
 * The durable part of the bootstrap: whether this disk was in use at the fleet's first start, and
 * the one proposal that this node accepts.
 *
 * <p>States of the acceptance: none, being written, durable. {@link #accept} starts the write; the
 * proposal counts as accepted only once it is synced to disk. {@link #recover} restores the durable
 * state.
 *
 * <p>Invariants: a proposal, once its write has begun, is never replaced by another. A node without
 * a record of the first start accepts nothing, so a disk that was emptied later never takes part in
 * forming a membership.
 */
final class BootstrapAcceptance {
  /** The log key of an accepted proposal; the membership in use has its own key. */
  private static final String ACCEPTED_PROPOSAL_KEY = "founding";

  /** The log key of the record that this disk was in use at the fleet's first start. */
  private static final String FIRST_START_KEY = "first-start";

  private final Environment environment;

  /** Being written to disk, or durable; null if nothing was accepted. */
  private QuorumMembership accepting;

  /** Durable on this disk; null if nothing was accepted. */
  private QuorumMembership accepted;

  private boolean firstStart;

  BootstrapAcceptance(Environment environment, boolean firstStart) {
    this.environment = environment;
    this.firstStart = firstStart;
  }

  static boolean isBootstrapRecord(LogRecord record) {
    return record.kind() == Kind.MEMBERSHIP
        && (record.key().equals(ACCEPTED_PROPOSAL_KEY) || record.key().equals(FIRST_START_KEY));
  }

  void recover(LogRecord record) {
    firstStart = true;
    if (record.key().equals(ACCEPTED_PROPOSAL_KEY)) {
      accepted = Json.read(record.payload(), QuorumMembership.class);
      accepting = accepted;
    }
  }

  /** Writes to disk that it was in use at the first start. */
  void writeFirstStart() {
    environment.write(List.of(firstStartRecord()), () -> {});
  }

  /** Starts to write the proposal to disk; nothing happens if one was accepted already. */
  void accept(QuorumMembership proposal) {
    if (accepting != null) {
      return;
    }
    accepting = proposal;
    environment.write(List.of(acceptedRecord(accepting)), () -> accepted = accepting);
  }

  /** The records that a checkpoint keeps while no membership is known. */
  List<LogRecord> records() {
    List<LogRecord> records = new ArrayList<>();
    if (firstStart) {
      records.add(firstStartRecord());
    }
    if (accepting != null) {
      records.add(acceptedRecord(accepting));
    }
    return records;
  }

  /** Whether this disk was in use at the fleet's first start, which may be now. */
  boolean isFirstStart() {
    return firstStart;
  }

  /** The proposal that is durably accepted; null if there is none. */
  QuorumMembership accepted() {
    return accepted;
  }

  private static LogRecord firstStartRecord() {
    return new LogRecord(Kind.MEMBERSHIP, FIRST_START_KEY, Epoch.NONE, 0, true, new byte[0]);
  }

  private static LogRecord acceptedRecord(QuorumMembership membership) {
    return new LogRecord(
        Kind.MEMBERSHIP,
        ACCEPTED_PROPOSAL_KEY,
        Epoch.NONE,
        membership.version(),
        true,
        Json.bytes(membership));
  }
}
