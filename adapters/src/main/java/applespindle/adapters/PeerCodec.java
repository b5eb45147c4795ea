package applespindle.adapters;

import applespindle.adapters.sbe.*;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogEntry;
import applespindle.corelogic.log.LogRecord;
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
import applespindle.corelogic.protocol.Message.Verdict;
import applespindle.corelogic.protocol.Message.VoteRequest;
import applespindle.corelogic.protocol.Message.VoteResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import org.agrona.sbe.MessageDecoderFlyweight;
import org.agrona.sbe.MessageEncoderFlyweight;

/** Turns envelopes and disk records into SBE and back. Not shared between threads. */
public final class PeerCodec {
  /**
   * Version of the schema this build writes; one version older or newer is understood, as versions
   * only add.
   */
  static final int VERSION = EnvelopeHeadEncoder.SCHEMA_VERSION;

  private final ExpandableArrayBuffer out = new ExpandableArrayBuffer(4096);
  private int end;
  private UnsafeBuffer in;
  private int at;
  private int templateId;
  private int blockLength;
  private int version;

  // ---- heads

  private <T extends MessageEncoderFlyweight> T begin(T encoder) {
    new MessageHeaderEncoder()
        .wrap(out, end)
        .blockLength(encoder.sbeBlockLength())
        .templateId(encoder.sbeTemplateId())
        .schemaId(encoder.sbeSchemaId())
        .version(encoder.sbeSchemaVersion());
    encoder.wrap(out, end + MessageHeaderEncoder.ENCODED_LENGTH);
    return encoder;
  }

  private void finish(MessageEncoderFlyweight encoder) {
    end = encoder.limit();
  }

  private void readHead() throws UnreadableFrameException {
    MessageHeaderDecoder head = new MessageHeaderDecoder().wrap(in, at);
    if (head.schemaId() != EnvelopeHeadDecoder.SCHEMA_ID
        || Math.abs(head.version() - VERSION) > 1) {
      throw new UnreadableFrameException(UnreadableFrameException.Kind.UNKNOWN_SCHEMA);
    }
    templateId = head.templateId();
    blockLength = head.blockLength();
    version = head.version();
    at += MessageHeaderDecoder.ENCODED_LENGTH;
  }

  private <T extends MessageDecoderFlyweight> T open(T decoder) {
    decoder.wrap(in, at, blockLength, version);
    return decoder;
  }

  private static byte[] bytes(int length, java.util.function.BiConsumer<byte[], Integer> getter) {
    byte[] bytes = new byte[length];
    getter.accept(bytes, length);
    return bytes;
  }

  private static short flag(boolean set) {
    return (short) (set ? 1 : 0);
  }

  // ---- envelopes

  public byte[] encode(Envelope envelope) {
    end = 0;
    EnvelopeHeadEncoder head = begin(new EnvelopeHeadEncoder());
    head.fromId(envelope.fromId()).fromAddress(envelope.fromAddress()).toId(envelope.toId());
    finish(head);
    encode(envelope.message());
    return Arrays.copyOf(out.byteArray(), end);
  }

  public Envelope decode(byte[] frame) throws UnreadableFrameException {
    in = new UnsafeBuffer(frame);
    at = 0;
    try {
      readHead();
      if (templateId != EnvelopeHeadDecoder.TEMPLATE_ID) {
        throw new UnreadableFrameException(UnreadableFrameException.Kind.UNKNOWN_MESSAGE);
      }
      EnvelopeHeadDecoder head = open(new EnvelopeHeadDecoder());
      String fromId = head.fromId();
      String fromAddress = head.fromAddress();
      String toId = head.toId();
      at = head.limit();
      readHead();
      return new Envelope(fromId, fromAddress, toId, decodeMessage());
    } catch (RuntimeException broken) {
      throw new UnreadableFrameException(UnreadableFrameException.Kind.BROKEN);
    }
  }

  private void encode(Message message) {
    if (message instanceof PeerRequest request) {
      AskBodyEncoder body = begin(new AskBodyEncoder());
      body.correlation(request.correlation())
          .hops(request.hops())
          .duty(request.operation())
          .key(request.key())
          .originId(request.originId())
          .originAddress(request.originAddress())
          .putBody(request.body(), 0, request.body().length);
      finish(body);
    } else if (message instanceof PeerResponse response) {
      AskResponseBodyEncoder body = begin(new AskResponseBodyEncoder());
      body.correlation(response.correlation())
          .status(response.status())
          .comeBackSeconds(response.retryAfterSeconds())
          .putBody(response.body(), 0, response.body().length);
      finish(body);
    } else if (message instanceof PeerRequestProgress progress) {
      finish(begin(new AskProgressBodyEncoder()).correlation(progress.correlation()));
    } else if (message instanceof VoteRequest promise) {
      KeyPromiseBodyEncoder body = begin(new KeyPromiseBodyEncoder());
      body.epochCounter(promise.epoch().counter())
          .handedOver(flag(promise.leadershipTransferred()))
          .setNumber(promise.configurationVersion())
          .tailBytesMost(promise.maxTailBytes())
          .trial(flag(promise.preVote()))
          .key(promise.key())
          .epochNode(promise.epoch().node());
      finish(body);
    } else if (message instanceof VoteResponse promised) {
      KeyPromisedBodyEncoder body = begin(new KeyPromisedBodyEncoder());
      body.verdict((short) promised.verdict().ordinal())
          .askedCounter(promised.requestedEpoch().counter())
          .promisedCounter(promised.promisedEpoch().counter())
          .committed(promised.committedSequence())
          .logStart(promised.logStartSequence());
      KeyPromisedBodyEncoder.EntriesEncoder entries = body.entriesCount(promised.entries().size());
      for (LogEntry entry : promised.entries()) {
        entries
            .next()
            .sequence(entry.sequence())
            .epochCounter(entry.epoch().counter())
            .whole(flag(entry.snapshot()))
            .epochNode(entry.epoch().node())
            .putEvent(entry.event(), 0, entry.event().length);
      }
      body.key(promised.key())
          .askedNode(promised.requestedEpoch().node())
          .promisedNode(promised.promisedEpoch().node())
          .owner(promised.leaderId())
          .ownerAddress(promised.leaderAddress());
      finish(body);
    } else if (message instanceof LogFetchRequest ask) {
      KeyLogAskBodyEncoder body = begin(new KeyLogAskBodyEncoder());
      body.epochCounter(ask.epoch().counter())
          .from(ask.fromSequence())
          .to(ask.toSequence())
          .nextEpochCounter(ask.nextEpoch().counter())
          .key(ask.key())
          .epochNode(ask.epoch().node())
          .nextEpochNode(ask.nextEpoch().node());
      finish(body);
    } else if (message instanceof LogFetchResponse part) {
      KeyLogPartBodyEncoder body = begin(new KeyLogPartBodyEncoder());
      body.verdict((short) part.verdict().ordinal()).epochCounter(part.epoch().counter());
      KeyLogPartBodyEncoder.EntriesEncoder entries = body.entriesCount(part.entries().size());
      for (LogEntry entry : part.entries()) {
        entries
            .next()
            .sequence(entry.sequence())
            .epochCounter(entry.epoch().counter())
            .whole(flag(entry.snapshot()))
            .epochNode(entry.epoch().node())
            .putEvent(entry.event(), 0, entry.event().length);
      }
      body.key(part.key()).epochNode(part.epoch().node());
      finish(body);
    } else if (message instanceof AppendRequest append) {
      KeyAppendBodyEncoder body = begin(new KeyAppendBodyEncoder());
      body.epochCounter(append.epoch().counter())
          .round(append.round())
          .previousSequence(append.previousSequence())
          .previousCounter(append.previousEpoch().counter())
          .committed(append.committedSequence())
          .setNumber(append.configurationVersion())
          .hearsMajority(flag(append.inContactWithQuorum()));
      KeyAppendBodyEncoder.EntriesEncoder entries = body.entriesCount(append.entries().size());
      for (LogEntry entry : append.entries()) {
        entries
            .next()
            .sequence(entry.sequence())
            .epochCounter(entry.epoch().counter())
            .whole(flag(entry.snapshot()))
            .epochNode(entry.epoch().node())
            .putEvent(entry.event(), 0, entry.event().length);
      }
      body.key(append.key())
          .epochNode(append.epoch().node())
          .previousNode(append.previousEpoch().node());
      finish(body);
    } else if (message instanceof AppendResponse appended) {
      KeyAppendedBodyEncoder body = begin(new KeyAppendedBodyEncoder());
      body.verdict((short) appended.verdict().ordinal())
          .epochCounter(appended.epoch().counter())
          .promisedCounter(appended.promisedEpoch().counter())
          .round(appended.round())
          .matched(appended.matchedSequence())
          .key(appended.key())
          .epochNode(appended.epoch().node())
          .promisedNode(appended.promisedEpoch().node());
      finish(body);
    } else if (message instanceof LeadershipTransfer handOver) {
      KeyHandOverBodyEncoder body = begin(new KeyHandOverBodyEncoder());
      body.epochCounter(handOver.epoch().counter())
          .lastSequence(handOver.lastSequence())
          .key(handOver.key())
          .epochNode(handOver.epoch().node());
      finish(body);
    } else if (message instanceof QuorumHeartbeat ping) {
      CorePingBodyEncoder body = begin(new CorePingBodyEncoder());
      body.putBody(ping.body(), 0, ping.body().length);
      finish(body);
    } else if (message instanceof QuorumDiscoveryRequest) {
      finish(begin(new WhereIsCoreBodyEncoder()));
    } else if (message instanceof QuorumDiscoveryResponse told) {
      CoreIsBodyEncoder body = begin(new CoreIsBodyEncoder());
      body.rosterNumber(told.membershipVersion()).putBody(told.body(), 0, told.body().length);
      finish(body);
    } else {
      encodeRest(message);
    }
  }

  private void encodeRest(Message message) {
    if (message instanceof ChangeFeedPoll poll) {
      FeedFollowBodyEncoder body = begin(new FeedFollowBodyEncoder());
      body.incarnation(poll.incarnation())
          .number(poll.position())
          .sentAt(poll.sentAt())
          .sharedDigest(poll.sharedDigest())
          .bundleSequence(poll.configurationSequence())
          .coreId(poll.sourceId());
      finish(body);
    } else if (message instanceof ChangeFeedUpdate update) {
      FeedNewsBodyEncoder body = begin(new FeedNewsBodyEncoder());
      body.incarnation(update.incarnation())
          .fromNumber(update.fromPosition())
          .number(update.position())
          .checkpoint(flag(update.snapshot()))
          .relayed(flag(update.relayed()))
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
      finish(body);
    } else if (message instanceof AppliedPositions known) {
      KeysKnownBodyEncoder body = begin(new KeysKnownBodyEncoder());
      KeysKnownBodyEncoder.PlacesEncoder places = body.placesCount(known.positions().size());
      known.positions().forEach(place -> places.next().sequence(place.sequence()).key(place.key()));
      body.edgeAddress(known.edgeAddress());
      finish(body);
    } else if (message instanceof AppliedPositionsRequest asked) {
      finish(begin(new KeysAskedBodyEncoder()).sentAt(asked.sentAt()));
    } else if (message instanceof BatchOffer offer) {
      finish(
          begin(new WorkOfferBodyEncoder())
              .dueInMs(offer.dueInMs())
              .unassigned(offer.unassignedRanges())
              .batch(offer.batch())
              .host(offer.host())
              .path(offer.path()));
    } else if (message instanceof RangeRequest pull) {
      finish(
          begin(new RangePullBodyEncoder())
              .sentAt(pull.sentAt())
              .batch(pull.batch())
              .worker(pull.worker()));
    } else if (message instanceof RangeAssignment handout) {
      RangeHandoutBodyEncoder body = begin(new RangeHandoutBodyEncoder());
      body.range(handout.range())
          .rangeEpoch(handout.rangeEpoch())
          .none(flag(handout.none()))
          .dueInMs(handout.dueInMs())
          .pulledAt(handout.requestedAt());
      RangeHandoutBodyEncoder.ItemsEncoder items = body.itemsCount(handout.items().size());
      for (AssignedItem item : handout.items()) {
        items.next().index(item.index()).putBody(item.body(), 0, item.body().length);
      }
      body.batch(handout.batch()).worker(handout.worker());
      finish(body);
    } else if (message instanceof RangeReport report) {
      RangeReportBodyEncoder body = begin(new RangeReportBodyEncoder());
      body.range(report.range())
          .rangeEpoch(report.rangeEpoch())
          .reportNumber(report.reportNumber())
          .rangeOffset(report.offset())
          .giveBack(flag(report.returned()));
      RangeReportBodyEncoder.ResultsEncoder results = body.resultsCount(report.results().size());
      for (ItemOutcome item : report.results()) {
        results
            .next()
            .index(item.index())
            .run(item.run())
            .worker(item.worker())
            .finishReason(item.finishReason())
            .faultType(item.faultType())
            .putOutput(item.output(), 0, item.output().length);
      }
      body.batch(report.batch()).worker(report.worker());
      finish(body);
    } else if (message instanceof RangeReportResponse reported) {
      finish(
          begin(new RangeReportedBodyEncoder())
              .range(reported.range())
              .rangeEpoch(reported.rangeEpoch())
              .reportNumber(reported.reportNumber())
              .keep(flag(reported.keepLease()))
              .batch(reported.batch())
              .worker(reported.worker()));
    } else if (message instanceof PeerLoadReport told) {
      WorkerLoadsBodyEncoder body = begin(new WorkerLoadsBodyEncoder());
      WorkerLoadsBodyEncoder.LoadsEncoder loads = body.loadsCount(told.loads().size());
      told.loads()
          .forEach(
              load ->
                  loads
                      .next()
                      .running(load.running())
                      .unread(load.unreadPromptTokens())
                      .worker(load.worker()));
      finish(body);
    } else if (message instanceof BatchEnded ended) {
      finish(begin(new BatchEndedBodyEncoder()).batch(ended.batch()));
    } else if (message instanceof LeaderlessBatches unfinished) {
      UnfinishedBodyEncoder body = begin(new UnfinishedBodyEncoder());
      UnfinishedBodyEncoder.KeysEncoder keys = body.keysCount(unfinished.keys().size());
      unfinished.keys().forEach(key -> keys.next().key(key));
      finish(body);
    }
  }

  private Message decodeMessage() throws UnreadableFrameException {
    switch (templateId) {
      case AskBodyDecoder.TEMPLATE_ID -> {
        AskBodyDecoder body = open(new AskBodyDecoder());
        long correlation = body.correlation();
        int hops = body.hops();
        return new PeerRequest(
            correlation,
            body.duty(),
            body.key(),
            body.originId(),
            body.originAddress(),
            hops,
            bytes(body.bodyLength(), (bytes, length) -> body.getBody(bytes, 0, length)));
      }
      case AskResponseBodyDecoder.TEMPLATE_ID -> {
        AskResponseBodyDecoder body = open(new AskResponseBodyDecoder());
        return new PeerResponse(
            body.correlation(),
            body.status(),
            body.comeBackSeconds(),
            bytes(body.bodyLength(), (bytes, length) -> body.getBody(bytes, 0, length)));
      }
      case KeyPromiseBodyDecoder.TEMPLATE_ID -> {
        KeyPromiseBodyDecoder body = open(new KeyPromiseBodyDecoder());
        return new VoteRequest(
            body.key(),
            new Epoch(body.epochCounter(), body.epochNode()),
            body.setNumber(),
            body.handedOver() == 1,
            body.tailBytesMost(),
            body.trial() == 1);
      }
      case KeyPromisedBodyDecoder.TEMPLATE_ID -> {
        KeyPromisedBodyDecoder body = open(new KeyPromisedBodyDecoder());
        List<LogEntry> entries = new ArrayList<>();
        for (KeyPromisedBodyDecoder.EntriesDecoder each : body.entries()) {
          entries.add(
              new LogEntry(
                  each.sequence(),
                  new Epoch(each.epochCounter(), each.epochNode()),
                  each.whole() == 1,
                  bytes(each.eventLength(), (bytes, length) -> each.getEvent(bytes, 0, length))));
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
      case KeyLogAskBodyDecoder.TEMPLATE_ID -> {
        KeyLogAskBodyDecoder body = open(new KeyLogAskBodyDecoder());
        return new LogFetchRequest(
            body.key(),
            new Epoch(body.epochCounter(), body.epochNode()),
            body.from(),
            body.to(),
            new Epoch(body.nextEpochCounter(), body.nextEpochNode()));
      }
      case KeyLogPartBodyDecoder.TEMPLATE_ID -> {
        KeyLogPartBodyDecoder body = open(new KeyLogPartBodyDecoder());
        List<LogEntry> entries = new ArrayList<>();
        for (KeyLogPartBodyDecoder.EntriesDecoder each : body.entries()) {
          entries.add(
              new LogEntry(
                  each.sequence(),
                  new Epoch(each.epochCounter(), each.epochNode()),
                  each.whole() == 1,
                  bytes(each.eventLength(), (bytes, length) -> each.getEvent(bytes, 0, length))));
        }
        return new LogFetchResponse(
            body.key(),
            new Epoch(body.epochCounter(), body.epochNode()),
            Verdict.values()[body.verdict()],
            entries);
      }
      case KeyAppendBodyDecoder.TEMPLATE_ID -> {
        KeyAppendBodyDecoder body = open(new KeyAppendBodyDecoder());
        List<LogEntry> entries = new ArrayList<>();
        for (KeyAppendBodyDecoder.EntriesDecoder each : body.entries()) {
          entries.add(
              new LogEntry(
                  each.sequence(),
                  new Epoch(each.epochCounter(), each.epochNode()),
                  each.whole() == 1,
                  bytes(each.eventLength(), (bytes, length) -> each.getEvent(bytes, 0, length))));
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
      case KeyAppendedBodyDecoder.TEMPLATE_ID -> {
        KeyAppendedBodyDecoder body = open(new KeyAppendedBodyDecoder());
        return new AppendResponse(
            body.key(),
            new Epoch(body.epochCounter(), body.epochNode()),
            body.round(),
            Verdict.values()[body.verdict()],
            new Epoch(body.promisedCounter(), body.promisedNode()),
            body.matched());
      }
      case KeyHandOverBodyDecoder.TEMPLATE_ID -> {
        KeyHandOverBodyDecoder body = open(new KeyHandOverBodyDecoder());
        return new LeadershipTransfer(
            body.key(), new Epoch(body.epochCounter(), body.epochNode()), body.lastSequence());
      }
      case CorePingBodyDecoder.TEMPLATE_ID -> {
        CorePingBodyDecoder body = open(new CorePingBodyDecoder());
        return new QuorumHeartbeat(
            bytes(body.bodyLength(), (bytes, length) -> body.getBody(bytes, 0, length)));
      }
      case AskProgressBodyDecoder.TEMPLATE_ID -> {
        return new PeerRequestProgress(open(new AskProgressBodyDecoder()).correlation());
      }
      case WhereIsCoreBodyDecoder.TEMPLATE_ID -> {
        return new QuorumDiscoveryRequest();
      }
      case CoreIsBodyDecoder.TEMPLATE_ID -> {
        CoreIsBodyDecoder body = open(new CoreIsBodyDecoder());
        return new QuorumDiscoveryResponse(
            body.rosterNumber(),
            bytes(body.bodyLength(), (bytes, length) -> body.getBody(bytes, 0, length)));
      }
      default -> {
        return decodeRest();
      }
    }
  }

  private Message decodeRest() throws UnreadableFrameException {
    switch (templateId) {
      case FeedFollowBodyDecoder.TEMPLATE_ID -> {
        FeedFollowBodyDecoder body = open(new FeedFollowBodyDecoder());
        return new ChangeFeedPoll(
            body.coreId(),
            body.incarnation(),
            body.number(),
            body.sentAt(),
            body.sharedDigest(),
            body.bundleSequence());
      }
      case FeedNewsBodyDecoder.TEMPLATE_ID -> {
        FeedNewsBodyDecoder body = open(new FeedNewsBodyDecoder());
        List<MetadataRecord> items = new ArrayList<>();
        for (FeedNewsBodyDecoder.ItemsDecoder each : body.items()) {
          items.add(
              new MetadataRecord(
                  each.key(),
                  each.sequence(),
                  bytes(each.valueLength(), (bytes, length) -> each.getValue(bytes, 0, length))));
        }
        return new ChangeFeedUpdate(
            body.coreId(),
            body.incarnation(),
            body.fromNumber(),
            body.number(),
            body.checkpoint() == 1,
            body.relayed() == 1,
            body.ageMs(),
            body.echoedAt(),
            items);
      }
      case KeysKnownBodyDecoder.TEMPLATE_ID -> {
        KeysKnownBodyDecoder body = open(new KeysKnownBodyDecoder());
        List<KeyPosition> places = new ArrayList<>();
        body.places()
            .forEach(
                place -> {
                  long sequence = place.sequence();
                  places.add(new KeyPosition(place.key(), sequence));
                });
        return new AppliedPositions(body.edgeAddress(), places);
      }
      case KeysAskedBodyDecoder.TEMPLATE_ID -> {
        return new AppliedPositionsRequest(open(new KeysAskedBodyDecoder()).sentAt());
      }
      case WorkOfferBodyDecoder.TEMPLATE_ID -> {
        WorkOfferBodyDecoder body = open(new WorkOfferBodyDecoder());
        String batch = body.batch();
        return new BatchOffer(batch, body.dueInMs(), body.unassigned(), body.host(), body.path());
      }
      case RangePullBodyDecoder.TEMPLATE_ID -> {
        RangePullBodyDecoder body = open(new RangePullBodyDecoder());
        return new RangeRequest(body.batch(), body.worker(), body.sentAt());
      }
      case RangeHandoutBodyDecoder.TEMPLATE_ID -> {
        RangeHandoutBodyDecoder body = open(new RangeHandoutBodyDecoder());
        List<AssignedItem> items = new ArrayList<>();
        for (RangeHandoutBodyDecoder.ItemsDecoder each : body.items()) {
          items.add(
              new AssignedItem(
                  each.index(),
                  bytes(each.bodyLength(), (bytes, length) -> each.getBody(bytes, 0, length))));
        }
        return new RangeAssignment(
            body.batch(),
            body.worker(),
            body.range(),
            body.rangeEpoch(),
            body.none() == 1,
            body.dueInMs(),
            body.pulledAt(),
            items);
      }
      case RangeReportBodyDecoder.TEMPLATE_ID -> {
        RangeReportBodyDecoder body = open(new RangeReportBodyDecoder());
        List<ItemOutcome> results = new ArrayList<>();
        for (RangeReportBodyDecoder.ResultsDecoder each : body.results()) {
          results.add(
              new ItemOutcome(
                  each.index(),
                  each.run(),
                  each.worker(),
                  each.finishReason(),
                  each.faultType(),
                  bytes(each.outputLength(), (bytes, length) -> each.getOutput(bytes, 0, length))));
        }
        String batch = body.batch();
        return new RangeReport(
            batch,
            body.range(),
            body.rangeEpoch(),
            body.worker(),
            body.reportNumber(),
            body.rangeOffset(),
            body.giveBack() == 1,
            results);
      }
      case RangeReportedBodyDecoder.TEMPLATE_ID -> {
        RangeReportedBodyDecoder body = open(new RangeReportedBodyDecoder());
        return new RangeReportResponse(
            body.batch(),
            body.range(),
            body.rangeEpoch(),
            body.worker(),
            body.reportNumber(),
            body.keep() == 1);
      }
      case WorkerLoadsBodyDecoder.TEMPLATE_ID -> {
        WorkerLoadsBodyDecoder body = open(new WorkerLoadsBodyDecoder());
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
      case BatchEndedBodyDecoder.TEMPLATE_ID -> {
        return new BatchEnded(open(new BatchEndedBodyDecoder()).batch());
      }
      case UnfinishedBodyDecoder.TEMPLATE_ID -> {
        List<String> keys = new ArrayList<>();
        open(new UnfinishedBodyDecoder()).keys().forEach(each -> keys.add(each.key()));
        return new LeaderlessBatches(keys);
      }
      default -> throw new UnreadableFrameException(UnreadableFrameException.Kind.UNKNOWN_MESSAGE);
    }
  }

  // ---- disk records

  public byte[] encode(LogRecord record) {
    end = 0;
    LogRecordEncoder body = begin(new LogRecordEncoder());
    body.kind((short) record.kind().ordinal())
        .whole(flag(record.snapshot()))
        .epochCounter(record.epoch().counter())
        .sequence(record.sequence())
        .key(record.key())
        .epochNode(record.epoch().node())
        .putPayload(record.payload(), 0, record.payload().length);
    finish(body);
    return Arrays.copyOf(out.byteArray(), end);
  }

  LogRecord decodeRecord(byte[] bytes) throws UnreadableFrameException {
    in = new UnsafeBuffer(bytes);
    at = 0;
    try {
      readHead();
      if (templateId != LogRecordDecoder.TEMPLATE_ID) {
        throw new UnreadableFrameException(UnreadableFrameException.Kind.UNKNOWN_MESSAGE);
      }
      LogRecordDecoder body = open(new LogRecordDecoder());
      String key = body.key();
      Epoch epoch = new Epoch(body.epochCounter(), body.epochNode());
      return new LogRecord(
          LogRecord.Kind.values()[body.kind()],
          key,
          epoch,
          body.sequence(),
          body.whole() == 1,
          bytes(body.payloadLength(), (payload, length) -> body.getPayload(payload, 0, length)));
    } catch (RuntimeException broken) {
      throw new UnreadableFrameException(UnreadableFrameException.Kind.BROKEN);
    }
  }
}
