package applespindle.adapters;

import applespindle.adapters.sbe.AskBodyDecoder;
import applespindle.adapters.sbe.AskProgressBodyDecoder;
import applespindle.adapters.sbe.AskResponseBodyDecoder;
import applespindle.adapters.sbe.BatchEndedBodyDecoder;
import applespindle.adapters.sbe.CoreIsBodyDecoder;
import applespindle.adapters.sbe.CorePingBodyDecoder;
import applespindle.adapters.sbe.EntryChunkAskBodyDecoder;
import applespindle.adapters.sbe.EntryChunkBodyDecoder;
import applespindle.adapters.sbe.EnvelopeHeadDecoder;
import applespindle.adapters.sbe.FeedFollowBodyDecoder;
import applespindle.adapters.sbe.FeedNewsBodyDecoder;
import applespindle.adapters.sbe.KeyAppendBodyDecoder;
import applespindle.adapters.sbe.KeyAppendedBodyDecoder;
import applespindle.adapters.sbe.KeyHandOverBodyDecoder;
import applespindle.adapters.sbe.KeyLogAskBodyDecoder;
import applespindle.adapters.sbe.KeyLogPartBodyDecoder;
import applespindle.adapters.sbe.KeyPromiseBodyDecoder;
import applespindle.adapters.sbe.KeyPromisedBodyDecoder;
import applespindle.adapters.sbe.KeysAskedBodyDecoder;
import applespindle.adapters.sbe.KeysKnownBodyDecoder;
import applespindle.adapters.sbe.RangeHandoutBodyDecoder;
import applespindle.adapters.sbe.RangePullBodyDecoder;
import applespindle.adapters.sbe.RangeReportBodyDecoder;
import applespindle.adapters.sbe.RangeReportedBodyDecoder;
import applespindle.adapters.sbe.RangeSizeBodyDecoder;
import applespindle.adapters.sbe.UnfinishedBodyDecoder;
import applespindle.adapters.sbe.WhereIsCoreBodyDecoder;
import applespindle.adapters.sbe.WorkOfferBodyDecoder;
import applespindle.adapters.sbe.WorkerLoadsBodyDecoder;
import applespindle.corelogic.log.Epoch;
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
import applespindle.corelogic.protocol.Message.KeyPosition;
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
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes frames that {@link MessageEncoder} wrote, of this version of the schema and of one
 * version older or newer. One method a type of message. The variable fields of an SBE message must
 * be read in the order of the schema, so the order of calls here is part of the format.
 *
 * <p>Not safe for use by several threads.
 */
final class MessageDecoder {
  private final SbeReader in = new SbeReader();

  /**
   * Decodes one complete frame.
   *
   * @throws UnreadableFrameException if the schema or the message is not known, or a field is
   *     broken
   */
  Envelope decode(byte[] frame) throws UnreadableFrameException {
    in.wrap(frame);
    try {
      in.readHeader(EnvelopeHeadDecoder.TEMPLATE_ID);
      EnvelopeHeadDecoder header = in.open(new EnvelopeHeadDecoder());
      String fromId = header.fromId();
      String fromAddress = header.fromAddress();
      String toId = header.toId();
      in.skipTo(header.limit());
      in.readHeader();
      return new Envelope(fromId, fromAddress, toId, decodeMessage());
    } catch (RuntimeException broken) {
      // The frame comes from outside: its lengths and ordinals may lie beyond any bound.
      throw new UnreadableFrameException(UnreadableFrameException.Kind.BROKEN, broken);
    }
  }

  private Message decodeMessage() throws UnreadableFrameException {
    return switch (in.templateId()) {
      case AskBodyDecoder.TEMPLATE_ID -> decodePeerRequest();
      case AskResponseBodyDecoder.TEMPLATE_ID -> decodePeerResponse();
      case KeyPromiseBodyDecoder.TEMPLATE_ID -> decodeVoteRequest();
      case KeyPromisedBodyDecoder.TEMPLATE_ID -> decodeVoteResponse();
      case KeyLogAskBodyDecoder.TEMPLATE_ID -> decodeLogFetchRequest();
      case KeyLogPartBodyDecoder.TEMPLATE_ID -> decodeLogFetchResponse();
      case EntryChunkAskBodyDecoder.TEMPLATE_ID -> decodeEntryChunkRequest();
      case EntryChunkBodyDecoder.TEMPLATE_ID -> decodeEntryChunk();
      case KeyAppendBodyDecoder.TEMPLATE_ID -> decodeAppendRequest();
      case KeyAppendedBodyDecoder.TEMPLATE_ID -> decodeAppendResponse();
      case KeyHandOverBodyDecoder.TEMPLATE_ID -> decodeLeadershipTransfer();
      case CorePingBodyDecoder.TEMPLATE_ID -> decodeQuorumHeartbeat();
      case AskProgressBodyDecoder.TEMPLATE_ID -> decodePeerRequestProgress();
      case WhereIsCoreBodyDecoder.TEMPLATE_ID -> new QuorumDiscoveryRequest();
      case CoreIsBodyDecoder.TEMPLATE_ID -> decodeQuorumDiscoveryResponse();
      case FeedFollowBodyDecoder.TEMPLATE_ID -> decodeChangeFeedPoll();
      case FeedNewsBodyDecoder.TEMPLATE_ID -> decodeChangeFeedUpdate();
      case KeysKnownBodyDecoder.TEMPLATE_ID -> decodeAppliedPositions();
      case KeysAskedBodyDecoder.TEMPLATE_ID -> decodeAppliedPositionsRequest();
      case WorkOfferBodyDecoder.TEMPLATE_ID -> decodeBatchOffer();
      case RangeSizeBodyDecoder.TEMPLATE_ID -> decodeRangeSize();
      case RangePullBodyDecoder.TEMPLATE_ID -> decodeRangeRequest();
      case RangeHandoutBodyDecoder.TEMPLATE_ID -> decodeRangeAssignment();
      case RangeReportBodyDecoder.TEMPLATE_ID -> decodeRangeReport();
      case RangeReportedBodyDecoder.TEMPLATE_ID -> decodeRangeReportResponse();
      case WorkerLoadsBodyDecoder.TEMPLATE_ID -> decodePeerLoadReport();
      case BatchEndedBodyDecoder.TEMPLATE_ID -> decodeBatchEnded();
      case UnfinishedBodyDecoder.TEMPLATE_ID -> decodeLeaderlessBatches();
      default -> throw new UnreadableFrameException(UnreadableFrameException.Kind.UNKNOWN_MESSAGE);
    };
  }

  private PeerRequest decodePeerRequest() {
    AskBodyDecoder body = in.open(new AskBodyDecoder());
    long correlation = body.correlation();
    int hops = body.hops();
    return new PeerRequest(
        correlation,
        body.duty(),
        body.key(),
        body.originId(),
        body.originAddress(),
        hops,
        SbeReader.bytes(body.bodyLength(), body::getBody));
  }

  private PeerResponse decodePeerResponse() {
    AskResponseBodyDecoder body = in.open(new AskResponseBodyDecoder());
    return new PeerResponse(
        body.correlation(),
        body.status(),
        body.comeBackSeconds(),
        SbeReader.bytes(body.bodyLength(), body::getBody));
  }

  private VoteRequest decodeVoteRequest() {
    KeyPromiseBodyDecoder body = in.open(new KeyPromiseBodyDecoder());
    return new VoteRequest(
        body.key(),
        new Epoch(body.epochCounter(), body.epochNode()),
        body.setNumber(),
        SbeReader.isSet(body.handedOver()),
        body.tailBytesMost(),
        SbeReader.isSet(body.trial()));
  }

  private VoteResponse decodeVoteResponse() {
    KeyPromisedBodyDecoder body = in.open(new KeyPromisedBodyDecoder());
    List<LogEntry> entries = new ArrayList<>();
    for (KeyPromisedBodyDecoder.EntriesDecoder each : body.entries()) {
      entries.add(
          new LogEntry(
              each.sequence(),
              new Epoch(each.epochCounter(), each.epochNode()),
              SbeReader.isSet(each.whole()),
              SbeReader.bytes(each.eventLength(), each::getEvent)));
    }
    return new VoteResponse(
        body.key(),
        new Epoch(body.askedCounter(), body.askedNode()),
        Verdict.values()[body.verdict()],
        new Epoch(body.promisedCounter(), body.promisedNode()),
        body.owner(),
        body.ownerAddress(),
        body.committed(),
        body.logStart(),
        entries);
  }

  private LogFetchRequest decodeLogFetchRequest() {
    KeyLogAskBodyDecoder body = in.open(new KeyLogAskBodyDecoder());
    return new LogFetchRequest(
        body.key(),
        new Epoch(body.epochCounter(), body.epochNode()),
        body.from(),
        body.to(),
        new Epoch(body.nextEpochCounter(), body.nextEpochNode()));
  }

  private LogFetchResponse decodeLogFetchResponse() {
    KeyLogPartBodyDecoder body = in.open(new KeyLogPartBodyDecoder());
    List<LogEntry> entries = new ArrayList<>();
    for (KeyLogPartBodyDecoder.EntriesDecoder each : body.entries()) {
      entries.add(
          new LogEntry(
              each.sequence(),
              new Epoch(each.epochCounter(), each.epochNode()),
              SbeReader.isSet(each.whole()),
              SbeReader.bytes(each.eventLength(), each::getEvent)));
    }
    return new LogFetchResponse(
        body.key(),
        new Epoch(body.epochCounter(), body.epochNode()),
        Verdict.values()[body.verdict()],
        entries);
  }

  private EntryChunkRequest decodeEntryChunkRequest() {
    EntryChunkAskBodyDecoder body = in.open(new EntryChunkAskBodyDecoder());
    return new EntryChunkRequest(
        body.key(),
        body.sequence(),
        new Epoch(body.epochCounter(), body.epochNode()),
        body.from(),
        body.most());
  }

  private EntryChunk decodeEntryChunk() {
    EntryChunkBodyDecoder body = in.open(new EntryChunkBodyDecoder());
    return new EntryChunk(
        body.key(),
        body.sequence(),
        new Epoch(body.epochCounter(), body.epochNode()),
        body.from(),
        body.entryBytes(),
        SbeReader.bytes(body.bytesLength(), body::getBytes));
  }

  private AppendRequest decodeAppendRequest() {
    KeyAppendBodyDecoder body = in.open(new KeyAppendBodyDecoder());
    List<LogEntry> entries = new ArrayList<>();
    for (KeyAppendBodyDecoder.EntriesDecoder each : body.entries()) {
      entries.add(
          new LogEntry(
              each.sequence(),
              new Epoch(each.epochCounter(), each.epochNode()),
              SbeReader.isSet(each.whole()),
              SbeReader.bytes(each.eventLength(), each::getEvent)));
    }
    return new AppendRequest(
        body.key(),
        new Epoch(body.epochCounter(), body.epochNode()),
        body.setNumber(),
        body.round(),
        body.previousSequence(),
        new Epoch(body.previousCounter(), body.previousNode()),
        body.committed(),
        body.hearsMajority() != 0,
        entries);
  }

  private AppendResponse decodeAppendResponse() {
    KeyAppendedBodyDecoder body = in.open(new KeyAppendedBodyDecoder());
    return new AppendResponse(
        body.key(),
        new Epoch(body.epochCounter(), body.epochNode()),
        body.round(),
        Verdict.values()[body.verdict()],
        new Epoch(body.promisedCounter(), body.promisedNode()),
        body.matched());
  }

  private LeadershipTransfer decodeLeadershipTransfer() {
    KeyHandOverBodyDecoder body = in.open(new KeyHandOverBodyDecoder());
    return new LeadershipTransfer(
        body.key(), new Epoch(body.epochCounter(), body.epochNode()), body.lastSequence());
  }

  private QuorumHeartbeat decodeQuorumHeartbeat() {
    CorePingBodyDecoder body = in.open(new CorePingBodyDecoder());
    return new QuorumHeartbeat(SbeReader.bytes(body.bodyLength(), body::getBody));
  }

  private PeerRequestProgress decodePeerRequestProgress() {
    return new PeerRequestProgress(in.open(new AskProgressBodyDecoder()).correlation());
  }

  private QuorumDiscoveryResponse decodeQuorumDiscoveryResponse() {
    CoreIsBodyDecoder body = in.open(new CoreIsBodyDecoder());
    return new QuorumDiscoveryResponse(
        body.rosterNumber(), SbeReader.bytes(body.bodyLength(), body::getBody));
  }

  private ChangeFeedPoll decodeChangeFeedPoll() {
    FeedFollowBodyDecoder body = in.open(new FeedFollowBodyDecoder());
    return new ChangeFeedPoll(
        body.coreId(),
        body.incarnation(),
        body.number(),
        body.sentAt(),
        body.sharedDigest(),
        body.bundleSequence());
  }

  private ChangeFeedUpdate decodeChangeFeedUpdate() {
    FeedNewsBodyDecoder body = in.open(new FeedNewsBodyDecoder());
    List<MetadataRecord> items = new ArrayList<>();
    for (FeedNewsBodyDecoder.ItemsDecoder each : body.items()) {
      items.add(
          new MetadataRecord(
              each.key(), each.sequence(), SbeReader.bytes(each.valueLength(), each::getValue)));
    }
    return new ChangeFeedUpdate(
        body.coreId(),
        body.incarnation(),
        body.fromNumber(),
        body.number(),
        SbeReader.isSet(body.checkpoint()),
        SbeReader.isSet(body.relayed()),
        body.ageMs(),
        body.echoedAt(),
        items);
  }

  private AppliedPositions decodeAppliedPositions() {
    KeysKnownBodyDecoder body = in.open(new KeysKnownBodyDecoder());
    List<KeyPosition> positions = new ArrayList<>();
    body.places()
        .forEach(
            position -> {
              long sequence = position.sequence();
              positions.add(new KeyPosition(position.key(), sequence));
            });
    return new AppliedPositions(body.edgeAddress(), positions);
  }

  private AppliedPositionsRequest decodeAppliedPositionsRequest() {
    return new AppliedPositionsRequest(in.open(new KeysAskedBodyDecoder()).sentAt());
  }

  private BatchOffer decodeBatchOffer() {
    WorkOfferBodyDecoder body = in.open(new WorkOfferBodyDecoder());
    String batch = body.batch();
    return new BatchOffer(batch, body.dueInMs(), body.unassigned(), body.host(), body.path());
  }

  private RangeSize decodeRangeSize() {
    RangeSizeBodyDecoder body = in.open(new RangeSizeBodyDecoder());
    return new RangeSize(body.batch(), body.largestRangeBytes());
  }

  private RangeRequest decodeRangeRequest() {
    RangePullBodyDecoder body = in.open(new RangePullBodyDecoder());
    return new RangeRequest(body.batch(), body.worker(), body.sentAt());
  }

  private RangeAssignment decodeRangeAssignment() {
    RangeHandoutBodyDecoder body = in.open(new RangeHandoutBodyDecoder());
    List<AssignedItem> items = new ArrayList<>();
    for (RangeHandoutBodyDecoder.ItemsDecoder each : body.items()) {
      items.add(new AssignedItem(each.index(), SbeReader.bytes(each.bodyLength(), each::getBody)));
    }
    return new RangeAssignment(
        body.batch(),
        body.worker(),
        body.range(),
        body.rangeEpoch(),
        SbeReader.isSet(body.none()),
        body.dueInMs(),
        body.pulledAt(),
        items);
  }

  private RangeReport decodeRangeReport() {
    RangeReportBodyDecoder body = in.open(new RangeReportBodyDecoder());
    List<ItemOutcome> results = new ArrayList<>();
    for (RangeReportBodyDecoder.ResultsDecoder each : body.results()) {
      results.add(
          new ItemOutcome(
              each.index(),
              each.run(),
              each.worker(),
              each.finishReason(),
              each.faultType(),
              SbeReader.bytes(each.outputLength(), each::getOutput)));
    }
    String batch = body.batch();
    return new RangeReport(
        batch,
        body.range(),
        body.rangeEpoch(),
        body.worker(),
        body.reportNumber(),
        body.rangeOffset(),
        SbeReader.isSet(body.giveBack()),
        results);
  }

  private RangeReportResponse decodeRangeReportResponse() {
    RangeReportedBodyDecoder body = in.open(new RangeReportedBodyDecoder());
    return new RangeReportResponse(
        body.batch(),
        body.range(),
        body.rangeEpoch(),
        body.worker(),
        body.reportNumber(),
        SbeReader.isSet(body.keep()));
  }

  private PeerLoadReport decodePeerLoadReport() {
    WorkerLoadsBodyDecoder body = in.open(new WorkerLoadsBodyDecoder());
    List<PeerLoadReport.OwnLoad> loads = new ArrayList<>();
    body.loads()
        .forEach(
            load -> {
              int running = load.running();
              int unread = load.unread();
              loads.add(new PeerLoadReport.OwnLoad(load.worker(), running, unread));
            });
    return new PeerLoadReport(loads);
  }

  private BatchEnded decodeBatchEnded() {
    return new BatchEnded(in.open(new BatchEndedBodyDecoder()).batch());
  }

  private LeaderlessBatches decodeLeaderlessBatches() {
    List<String> keys = new ArrayList<>();
    in.open(new UnfinishedBodyDecoder()).keys().forEach(each -> keys.add(each.key()));
    return new LeaderlessBatches(keys);
  }
}
