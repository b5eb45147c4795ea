package applespindle.adapters;

import applespindle.adapters.sbe.LogRecordDecoder;
import applespindle.adapters.sbe.LogRecordEncoder;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.log.LogRecord;

/**
 * Encodes the records of the log on disk as SBE and decodes them, also those of one schema version
 * before or after. Not safe for use by several threads.
 */
public final class LogRecordCodec {
  private final SbeWriter out = new SbeWriter();
  private final SbeReader in = new SbeReader();

  /** The bytes of a record, without the frame round them: a new array that the caller owns. */
  public byte[] encode(LogRecord record) {
    out.clear();
    LogRecordEncoder body = out.begin(new LogRecordEncoder());
    body.kind((short) record.kind().ordinal())
        .whole(SbeWriter.flag(record.snapshot()))
        .epochCounter(record.epoch().counter())
        .sequence(record.sequence())
        .key(record.key())
        .epochNode(record.epoch().node())
        .putPayload(record.payload(), 0, record.payload().length);
    out.finish(body);
    return out.toByteArray();
  }

  /**
   * Decodes the bytes of one record.
   *
   * @throws UnreadableFrameException if the schema is not known, the bytes are no record or a field
   *     is broken
   */
  LogRecord decode(byte[] bytes) throws UnreadableFrameException {
    in.wrap(bytes);
    try {
      in.readHeader(LogRecordDecoder.TEMPLATE_ID);
      LogRecordDecoder body = in.open(new LogRecordDecoder());
      String key = body.key();
      Epoch epoch = new Epoch(body.epochCounter(), body.epochNode());
      return new LogRecord(
          LogRecord.Kind.values()[body.kind()],
          key,
          epoch,
          body.sequence(),
          SbeReader.isSet(body.whole()),
          SbeReader.bytes(body.payloadLength(), body::getPayload));
    } catch (RuntimeException broken) {
      // The disk may hold anything: lengths and ordinals may lie beyond any bound.
      throw new UnreadableFrameException(UnreadableFrameException.Kind.BROKEN, broken);
    }
  }
}
