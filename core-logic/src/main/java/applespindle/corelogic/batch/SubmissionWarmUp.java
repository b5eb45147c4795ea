package applespindle.corelogic.batch;

import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.configuration.RouteTable;
import applespindle.corelogic.configuration.RoutingConfiguration;
import applespindle.corelogic.configuration.RoutingConfiguration.Route;
import applespindle.corelogic.constants.PeerRequestConstants;
import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Operation;
import java.util.List;

/**
 * Warms up the code that accepts batches: runs it on a sample batch, one round at a time while a
 * new process has nothing else to do, as the first pass of that code costs some thirty times the
 * processor time of a later one. Nothing of it leaves the process. An edge that leads batches runs
 * all of that code, any other edge only the part that forwards a submission.
 */
public final class SubmissionWarmUp {
  /** Items of the sample batch, as in a typical batch. */
  private static final int ITEMS = 60;

  /** After so many rounds a further one costs little less than the last. */
  private static final int LEADER_ROUNDS = 8;

  private static final int FORWARDING_ROUNDS = 3;

  private static final String BATCH = "warm-up";

  private final Environment environment;
  private final NodeIdentity identity;
  private final BatchFormat format;
  private final SubmissionReader submissionReader;
  private int rounds;

  /** Warms up with samples of the format; nothing runs before {@link #runRound}. */
  public SubmissionWarmUp(
      Environment environment,
      NodeIdentity identity,
      BatchFormat format,
      SubmissionReader submissionReader) {
    this.environment = environment;
    this.identity = identity;
    this.format = format;
    this.submissionReader = submissionReader;
  }

  /** Whether further rounds would gain little. */
  public boolean isDone(boolean leads) {
    return rounds >= (leads ? LEADER_ROUNDS : FORWARDING_ROUNDS);
  }

  /**
   * Runs the next round.
   *
   * @param configuration a configuration in force; without a batch route in it there is nothing to
   *     do
   */
  public void runRound(RoutingConfiguration configuration, boolean leads) {
    configuration.routes().stream()
        .filter(each -> each.type() == RoutingConfiguration.RouteType.BATCH)
        .findFirst()
        .ifPresent(route -> runRound(configuration, route, leads));
  }

  private void runRound(RoutingConfiguration configuration, Route route, boolean leads) {
    rounds++;
    BatchSubmission submission =
        format.sample(BATCH, route.host(), route.pathPrefix() + BATCH, ITEMS);
    byte[] body = new BatchSubmission.Forwarded(submission, configuration.number()).encode();
    warmUp(
        new PeerRequest(
            0,
            Operation.SUBMIT_BATCH,
            BATCH,
            identity.id(),
            identity.peerAddress(),
            PeerRequestConstants.MAX_FORWARDS,
            body));
    if (leads) {
      warmUpLeader(submissionReader.read(body, configuration, RouteTable.compile(List.of(route))));
    }
  }

  private void warmUpLeader(SubmissionReader.ReadResult read) {
    if (read.error() != null) {
      return;
    }
    Accepted accepted = read.accepted();
    byte[] event = BatchEventCodec.encode(BatchEvent.accepted(accepted));
    BatchState batchState = new BatchState();
    batchState.apply(1, event.length, BatchEventCodec.decodeHeader(event));
    Epoch epoch = new Epoch(1, identity.id());
    LogEntry entry = new LogEntry(1, epoch, false, event);
    warmUp(new AppendRequest(BATCH, epoch, 0, 1, 0, Epoch.NONE, 0, true, List.of(entry)));
  }

  private void warmUp(Message message) {
    environment.warmUp(new Envelope(identity.id(), identity.peerAddress(), identity.id(), message));
  }
}
