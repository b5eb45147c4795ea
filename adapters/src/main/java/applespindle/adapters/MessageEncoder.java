package applespindle.adapters;

import applespindle.adapters.sbe.AskBodyEncoder;
import applespindle.adapters.sbe.AskProgressBodyEncoder;
import applespindle.adapters.sbe.AskResponseBodyEncoder;
import applespindle.adapters.sbe.BatchEndedBodyEncoder;
import applespindle.adapters.sbe.CoreIsBodyEncoder;
import applespindle.adapters.sbe.CorePingBodyEncoder;
import applespindle.adapters.sbe.EntryChunkAskBodyEncoder;
import applespindle.adapters.sbe.EntryChunkBodyEncoder;
import applespindle.adapters.sbe.EnvelopeHeadEncoder;
import applespindle.adapters.sbe.FeedFollowBodyEncoder;
import applespindle.adapters.sbe.FeedNewsBodyEncoder;
import applespindle.adapters.sbe.KeyAppendBodyEncoder;
import applespindle.adapters.sbe.KeyAppendedBodyEncoder;
import applespindle.adapters.sbe.KeyHandOverBodyEncoder;
import applespindle.adapters.sbe.KeyLogAskBodyEncoder;
import applespindle.adapters.sbe.KeyLogPartBodyEncoder;
import applespindle.adapters.sbe.KeyPromiseBodyEncoder;
import applespindle.adapters.sbe.KeyPromisedBodyEncoder;
import applespindle.adapters.sbe.KeysAskedBodyEncoder;
import applespindle.adapters.sbe.KeysKnownBodyEncoder;
import applespindle.adapters.sbe.RangeHandoutBodyEncoder;
import applespindle.adapters.sbe.RangePullBodyEncoder;
import applespindle.adapters.sbe.RangeReportBodyEncoder;
import applespindle.adapters.sbe.RangeReportedBodyEncoder;
import applespindle.adapters.sbe.RangeSizeBodyEncoder;
import applespindle.adapters.sbe.UnfinishedBodyEncoder;
import applespindle.adapters.sbe.WhereIsCoreBodyEncoder;
import applespindle.adapters.sbe.WorkOfferBodyEncoder;
import applespindle.adapters.sbe.WorkerLoadsBodyEncoder;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.protocol.Envelope;
import applespindle.corelogic.protocol.Message;
import applespindle.corelogic.protocol.Message.AppendRequest;
import applespindle.corelogic.protocol.Message.AppendResponse;
import applespindle.corelogic.protocol.Message.AppliedPositions;
import applespindle.corelogic.protocol.Message.AppliedPositionsRequest;
import applespindle.corelogic.protocol.Message.AssignedItem;
import applespindle.corelogic.protocol.Message.BatchEnded;
import applespindle.corelogic.protocol.Message.BatchOffer;
import applespindle.corelogic.protocol.Message.ChangeFeedPoll;
import applespindle.corelogic.protocol.Message.ChangeFeedUpdate;
import applespindle.corelogic.protocol.Message.EntryChunk;
import applespindle.corelogic.protocol.Message.EntryChunkRequest;
import applespindle.corelogic.protocol.Message.ItemOutcome;
import applespindle.corelogic.protocol.Message.LeaderlessBatches;
import applespindle.corelogic.protocol.Message.LeadershipTransfer;
import applespindle.corelogic.protocol.Message.LogFetchRequest;
import applespindle.corelogic.protocol.Message.LogFetchResponse;
import applespindle.corelogic.protocol.Message.MetadataRecord;
import applespindle.corelogic.protocol.Message.PeerLoadReport;
import applespindle.corelogic.protocol.Message.PeerRequest;
import applespindle.corelogic.protocol.Message.PeerRequestProgress;
import applespindle.corelogic.protocol.Message.PeerResponse;
import applespindle.corelogic.protocol.Message.QuorumDiscoveryRequest;
import applespindle.corelogic.protocol.Message.QuorumDiscoveryResponse;
import applespindle.corelogic.protocol.Message.QuorumHeartbeat;
import applespindle.corelogic.protocol.Message.RangeAssignment;
import applespindle.corelogic.protocol.Message.RangeReport;
import applespindle.corelogic.protocol.Message.RangeReportResponse;
import applespindle.corelogic.protocol.Message.RangeRequest;
import applespindle.corelogic.protocol.Message.RangeSize;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;

/**
 * Encodes envelopes as SBE: the envelope's own header and fields, then the header and fields of its
 * message. One method a type of message. The variable fields of an SBE message must be written in
 * the order of the schema, so the order of calls here is part of the format.
 *
 * <p>Not safe for use by several threads: the buffer is used anew for each frame.
 */
final class MessageEncoder {
  private final SbeWriter out = new SbeWriter();

  /** The frame of an envelope: a new array that the caller owns. */
  byte[] encode(Envelope envelope) {
    out.clear();
    EnvelopeHeadEncoder header = out.begin(new EnvelopeHeadEncoder());
    header.fromId(envelope.fromId()).fromAddress(envelope.fromAddress()).toId(envelope.toId());
    out.finish(header);
    encodeMessage(envelope.message());
    return out.toByteArray();
  }

  private void encodeMessage(Message message) {
    if (message instanceof PeerRequest request) {
      encodePeerRequest(request);
    } else if (message instanceof PeerResponse response) {
      encodePeerResponse(response);
    } else if (message instanceof PeerRequestProgress progress) {
      encodePeerRequestProgress(progress);
    } else if (message instanceof VoteRequest request) {
      encodeVoteRequest(request);
    } else if (message instanceof VoteResponse response) {
      encodeVoteResponse(response);
    } else if (message instanceof LogFetchRequest request) {
      encodeLogFetchRequest(request);
    } else if (message instanceof LogFetchResponse response) {
      encodeLogFetchResponse(response);
    } else if (message instanceof EntryChunkRequest request) {
      encodeEntryChunkRequest(request);
    } else if (message instanceof EntryChunk chunk) {
      encodeEntryChunk(chunk);
    } else if (message instanceof AppendRequest request) {
      encodeAppendRequest(request);
    } else if (message instanceof AppendResponse response) {
      encodeAppendResponse(response);
    } else if (message instanceof LeadershipTransfer transfer) {
      encodeLeadershipTransfer(transfer);
    } else if (message instanceof QuorumHeartbeat heartbeat) {
      encodeQuorumHeartbeat(heartbeat);
    } else if (message instanceof QuorumDiscoveryRequest) {
      encodeQuorumDiscoveryRequest();
    } else if (message instanceof QuorumDiscoveryResponse response) {
      encodeQuorumDiscoveryResponse(response);
    } else {
      encodeMetadataOrBatchMessage(message);
    }
  }

  private void encodeMetadataOrBatchMessage(Message message) {
    if (message instanceof ChangeFeedPoll poll) {
      encodeChangeFeedPoll(poll);
    } else if (message instanceof ChangeFeedUpdate update) {
      encodeChangeFeedUpdate(update);
    } else if (message instanceof AppliedPositions applied) {
      encodeAppliedPositions(applied);
    } else if (message instanceof AppliedPositionsRequest request) {
      encodeAppliedPositionsRequest(request);
    } else if (message instanceof BatchOffer offer) {
      encodeBatchOffer(offer);
    } else if (message instanceof RangeSize size) {
      encodeRangeSize(size);
    } else if (message instanceof RangeRequest request) {
      encodeRangeRequest(request);
    } else if (message instanceof RangeAssignment assignment) {
      encodeRangeAssignment(assignment);
    } else if (message instanceof RangeReport report) {
      encodeRangeReport(report);
    } else if (message instanceof RangeReportResponse response) {
      encodeRangeReportResponse(response);
    } else if (message instanceof PeerLoadReport report) {
      encodePeerLoadReport(report);
    } else if (message instanceof BatchEnded ended) {
      encodeBatchEnded(ended);
    } else if (message instanceof LeaderlessBatches leaderless) {
      encodeLeaderlessBatches(leaderless);
    }
  }

  private void encodePeerRequest(PeerRequest request) {
    AskBodyEncoder body = out.begin(new AskBodyEncoder());
    body.correlation(request.correlation())
        .hops(request.hops())
        .duty(request.operationName())
        .key(request.key())
        .originId(request.originId())
        .originAddress(request.originAddress())
        .putBody(request.body(), 0, request.body().length);
    out.finish(body);
  }

  private void encodePeerResponse(PeerResponse response) {
    AskResponseBodyEncoder body = out.begin(new AskResponseBodyEncoder());
    body.correlation(response.correlation())
        .status(response.status())
        .comeBackSeconds(response.retryAfterSeconds())
        .putBody(response.body(), 0, response.body().length);
    out.finish(body);
  }

  private void encodePeerRequestProgress(PeerRequestProgress progress) {
    out.finish(out.begin(new AskProgressBodyEncoder()).correlation(progress.correlation()));
  }

  private void encodeVoteRequest(VoteRequest request) {
    KeyPromiseBodyEncoder body = out.begin(new KeyPromiseBodyEncoder());
    body.epochCounter(request.epoch().counter())
        .handedOver(SbeWriter.flag(request.leadershipTransferred()))
        .setNumber(request.configurationVersion())
        .tailBytesMost(request.maxTailBytes())
        .trial(SbeWriter.flag(request.preVote()))
        .key(request.key())
        .epochNode(request.epoch().node());
    out.finish(body);
  }

  private void encodeVoteResponse(VoteResponse response) {
    KeyPromisedBodyEncoder body = out.begin(new KeyPromisedBodyEncoder());
    body.verdict((short) response.verdict().ordinal())
        .askedCounter(response.requestedEpoch().counter())
        .promisedCounter(response.promisedEpoch().counter())
        .committed(response.committedSequence())
        .logStart(response.logStartSequence());
    KeyPromisedBodyEncoder.EntriesEncoder entries = body.entriesCount(response.entries().size());
    for (LogEntry entry : response.entries()) {
      entries
          .next()
          .sequence(entry.sequence())
          .epochCounter(entry.epoch().counter())
          .whole(SbeWriter.flag(entry.snapshot()))
          .epochNode(entry.epoch().node())
          .putEvent(entry.event(), 0, entry.event().length);
    }
    body.key(response.key())
        .askedNode(response.requestedEpoch().node())
        .promisedNode(response.promisedEpoch().node())
        .owner(response.leaderId())
        .ownerAddress(response.leaderAddress());
    out.finish(body);
  }

  private void encodeLogFetchRequest(LogFetchRequest request) {
    KeyLogAskBodyEncoder body = out.begin(new KeyLogAskBodyEncoder());
    body.epochCounter(request.epoch().counter())
        .from(request.fromSequence())
        .to(request.toSequence())
        .nextEpochCounter(request.nextEpoch().counter())
        .key(request.key())
        .epochNode(request.epoch().node())
        .nextEpochNode(request.nextEpoch().node());
    out.finish(body);
  }

  private void encodeLogFetchResponse(LogFetchResponse response) {
    KeyLogPartBodyEncoder body = out.begin(new KeyLogPartBodyEncoder());
    body.verdict((short) response.verdict().ordinal()).epochCounter(response.epoch().counter());
    KeyLogPartBodyEncoder.EntriesEncoder entries = body.entriesCount(response.entries().size());
    for (LogEntry entry : response.entries()) {
      entries
          .next()
          .sequence(entry.sequence())
          .epochCounter(entry.epoch().counter())
          .whole(SbeWriter.flag(entry.snapshot()))
          .epochNode(entry.epoch().node())
          .putEvent(entry.event(), 0, entry.event().length);
    }
    body.key(response.key()).epochNode(response.epoch().node());
    out.finish(body);
  }

  private void encodeEntryChunkRequest(EntryChunkRequest request) {
    EntryChunkAskBodyEncoder body = out.begin(new EntryChunkAskBodyEncoder());
    body.sequence(request.sequence())
        .epochCounter(request.epoch().counter())
        .from(request.offset())
        .most(request.maxBytes())
        .key(request.key())
        .epochNode(request.epoch().node());
    out.finish(body);
  }

  private void encodeEntryChunk(EntryChunk chunk) {
    EntryChunkBodyEncoder body = out.begin(new EntryChunkBodyEncoder());
    body.sequence(chunk.sequence())
        .epochCounter(chunk.epoch().counter())
        .from(chunk.offset())
        .entryBytes(chunk.entryBytes())
        .key(chunk.key())
        .epochNode(chunk.epoch().node())
        .putBytes(chunk.bytes(), 0, chunk.bytes().length);
    out.finish(body);
  }

  private void encodeAppendRequest(AppendRequest request) {
    KeyAppendBodyEncoder body = out.begin(new KeyAppendBodyEncoder());
    body.epochCounter(request.epoch().counter())
        .round(request.round())
        .previousSequence(request.previousSequence())
        .previousCounter(request.previousEpoch().counter())
        .committed(request.committedSequence())
        .setNumber(request.configurationVersion())
        .hearsMajority(SbeWriter.flag(request.inContactWithQuorum()));
    KeyAppendBodyEncoder.EntriesEncoder entries = body.entriesCount(request.entries().size());
    for (LogEntry entry : request.entries()) {
      entries
          .next()
          .sequence(entry.sequence())
          .epochCounter(entry.epoch().counter())
          .whole(SbeWriter.flag(entry.snapshot()))
          .epochNode(entry.epoch().node())
          .putEvent(entry.event(), 0, entry.event().length);
    }
    body.key(request.key())
        .epochNode(request.epoch().node())
        .previousNode(request.previousEpoch().node());
    out.finish(body);
  }

  private void encodeAppendResponse(AppendResponse response) {
    KeyAppendedBodyEncoder body = out.begin(new KeyAppendedBodyEncoder());
    body.verdict((short) response.verdict().ordinal())
        .epochCounter(response.epoch().counter())
        .promisedCounter(response.promisedEpoch().counter())
        .round(response.round())
        .matched(response.matchedSequence())
        .key(response.key())
        .epochNode(response.epoch().node())
        .promisedNode(response.promisedEpoch().node());
    out.finish(body);
  }

  private void encodeLeadershipTransfer(LeadershipTransfer transfer) {
    KeyHandOverBodyEncoder body = out.begin(new KeyHandOverBodyEncoder());
    body.epochCounter(transfer.epoch().counter())
        .lastSequence(transfer.lastSequence())
        .key(transfer.key())
        .epochNode(transfer.epoch().node());
    out.finish(body);
  }

  private void encodeQuorumHeartbeat(QuorumHeartbeat heartbeat) {
    CorePingBodyEncoder body = out.begin(new CorePingBodyEncoder());
    body.putBody(heartbeat.body(), 0, heartbeat.body().length);
    out.finish(body);
  }

  private void encodeQuorumDiscoveryRequest() {
    out.finish(out.begin(new WhereIsCoreBodyEncoder()));
  }

  private void encodeQuorumDiscoveryResponse(QuorumDiscoveryResponse response) {
    CoreIsBodyEncoder body = out.begin(new CoreIsBodyEncoder());
    body.rosterNumber(response.membershipVersion())
        .putBody(response.body(), 0, response.body().length);
    out.finish(body);
  }

  private void encodeChangeFeedPoll(ChangeFeedPoll poll) {
    FeedFollowBodyEncoder body = out.begin(new FeedFollowBodyEncoder());
    body.incarnation(poll.incarnation())
        .number(poll.position())
        .sentAt(poll.sentAt())
        .sharedDigest(poll.sharedDigest())
        .bundleSequence(poll.configurationSequence())
        .coreId(poll.sourceId());
    out.finish(body);
  }

  private void encodeChangeFeedUpdate(ChangeFeedUpdate update) {
    FeedNewsBodyEncoder body = out.begin(new FeedNewsBodyEncoder());
    body.incarnation(update.incarnation())
        .fromNumber(update.fromPosition())
        .number(update.position())
        .checkpoint(SbeWriter.flag(update.snapshot()))
        .relayed(SbeWriter.flag(update.relayed()))
        .ageMs(update.ageMs())
        .echoedAt(update.echoedAt());
    FeedNewsBodyEncoder.ItemsEncoder items = body.itemsCount(update.records().size());
    for (MetadataRecord metadataRecord : update.records()) {
      items
          .next()
          .sequence(metadataRecord.sequence())
          .key(metadataRecord.key())
          .putValue(metadataRecord.value(), 0, metadataRecord.value().length);
    }
    body.coreId(update.sourceId());
    out.finish(body);
  }

  private void encodeAppliedPositions(AppliedPositions applied) {
    KeysKnownBodyEncoder body = out.begin(new KeysKnownBodyEncoder());
    KeysKnownBodyEncoder.PlacesEncoder positions = body.placesCount(applied.positions().size());
    applied
        .positions()
        .forEach(position -> positions.next().sequence(position.sequence()).key(position.key()));
    body.edgeAddress(applied.edgeAddress());
    out.finish(body);
  }

  private void encodeAppliedPositionsRequest(AppliedPositionsRequest request) {
    out.finish(out.begin(new KeysAskedBodyEncoder()).sentAt(request.sentAt()));
  }

  private void encodeBatchOffer(BatchOffer offer) {
    out.finish(
        out.begin(new WorkOfferBodyEncoder())
            .dueInMs(offer.dueInMs())
            .unassigned(offer.unassignedRanges())
            .batch(offer.batch())
            .host(offer.host())
            .path(offer.path()));
  }

  private void encodeRangeSize(RangeSize size) {
    out.finish(
        out.begin(new RangeSizeBodyEncoder())
            .largestRangeBytes(size.largestRangeBytes())
            .batch(size.batch()));
  }

  private void encodeRangeRequest(RangeRequest request) {
    out.finish(
        out.begin(new RangePullBodyEncoder())
            .sentAt(request.sentAt())
            .batch(request.batch())
            .worker(request.worker()));
  }

  private void encodeRangeAssignment(RangeAssignment assignment) {
    RangeHandoutBodyEncoder body = out.begin(new RangeHandoutBodyEncoder());
    body.range(assignment.range())
        .rangeEpoch(assignment.rangeEpoch())
        .none(SbeWriter.flag(assignment.none()))
        .dueInMs(assignment.dueInMs())
        .pulledAt(assignment.requestedAt());
    RangeHandoutBodyEncoder.ItemsEncoder items = body.itemsCount(assignment.items().size());
    for (AssignedItem item : assignment.items()) {
      items.next().index(item.index()).putBody(item.body(), 0, item.body().length);
    }
    body.batch(assignment.batch()).worker(assignment.worker());
    out.finish(body);
  }

  private void encodeRangeReport(RangeReport report) {
    RangeReportBodyEncoder body = out.begin(new RangeReportBodyEncoder());
    body.range(report.range())
        .rangeEpoch(report.rangeEpoch())
        .reportNumber(report.reportNumber())
        .rangeOffset(report.offset())
        .giveBack(SbeWriter.flag(report.returned()));
    RangeReportBodyEncoder.ResultsEncoder results = body.resultsCount(report.results().size());
    for (ItemOutcome item : report.results()) {
      results
          .next()
          .index(item.index())
          .run(item.run())
          .worker(item.worker())
          .finishReason(item.finishReason())
          .faultType(item.errorType())
          .putOutput(item.output(), 0, item.output().length);
    }
    body.batch(report.batch()).worker(report.worker());
    out.finish(body);
  }

  private void encodeRangeReportResponse(RangeReportResponse response) {
    out.finish(
        out.begin(new RangeReportedBodyEncoder())
            .range(response.range())
            .rangeEpoch(response.rangeEpoch())
            .reportNumber(response.reportNumber())
            .keep(SbeWriter.flag(response.keepLease()))
            .batch(response.batch())
            .worker(response.worker()));
  }

  private void encodePeerLoadReport(PeerLoadReport report) {
    WorkerLoadsBodyEncoder body = out.begin(new WorkerLoadsBodyEncoder());
    WorkerLoadsBodyEncoder.LoadsEncoder loads = body.loadsCount(report.loads().size());
    report
        .loads()
        .forEach(
            load ->
                loads
                    .next()
                    .running(load.running())
                    .unread(load.unreadPromptTokens())
                    .worker(load.worker()));
    out.finish(body);
  }

  private void encodeBatchEnded(BatchEnded ended) {
    out.finish(out.begin(new BatchEndedBodyEncoder()).batch(ended.batch()));
  }

  private void encodeLeaderlessBatches(LeaderlessBatches leaderless) {
    UnfinishedBodyEncoder body = out.begin(new UnfinishedBodyEncoder());
    UnfinishedBodyEncoder.KeysEncoder keys = body.keysCount(leaderless.keys().size());
    leaderless.keys().forEach(key -> keys.next().key(key));
    out.finish(body);
  }
}
