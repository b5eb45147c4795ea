package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;

import applespindle.corelogic.api.Response;
import applespindle.corelogic.log.Epoch;
import applespindle.corelogic.replication.DetachedEntry;
import applespindle.corelogic.replication.EntrySection;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;

/**
 * The body of an item in a response between edges. A small one is sent as the bytes that it is,
 * behind {@link #RAW}, so that it is neither encoded as text nor parsed. Of a large one the leader
 * says where it is in the batch's log, and the edge of the client reads it from a replica. A leader
 * of an earlier version answers with JSON and base64.
 *
 * @param bytes the body, after the offset
 * @param offset where it begins
 */
public record ItemBody(byte[] bytes, int offset) {
  /** The name of the request's field that asks for these forms. */
  public static final String RAW_FIELD = "raw";

  private static final byte RAW = 0;

  /**
   * Where the body of an item is in its batch's log.
   *
   * @param entry the entry of the batch's acceptance
   * @param part of the entry's event
   * @param itemBytes the size of the item; 0 if a leader of an earlier version didn't say it
   */
  public record Location(DetachedEntry entry, EventPart part, int itemBytes) {
    /** The section that holds the body. */
    public EntrySection section() {
      return new EntrySection(entry, part.section().offset(), part.section().bytes());
    }

    /** The body, taken from the bytes of the section. */
    public ItemBody read(byte[] section) {
      byte[] framed =
          part.section().frame() ? EventFrame.decodeBytes(section, part.position(), 1) : null;
      if (framed != null) {
        framed[0] = RAW;
        return new ItemBody(framed, 1);
      }
      JsonNode item = BatchEventCodec.items(part.section(), section).get(part.position());
      return new ItemBody(binary(item.path("body")), 0);
    }

    /**
     * The bytes of heap that it takes to fetch and decode the body.
     *
     * @param mostItemBytes the size of the largest item, for a location that doesn't say it
     */
    public long fetchBytes(int mostItemBytes) {
      return (long) part.section().bytes() + (itemBytes > 0 ? itemBytes : mostItemBytes);
    }
  }

  /** A response with the bytes. */
  static Response response(byte[] body) {
    byte[] encoded = new byte[body.length + 1];
    encoded[0] = RAW;
    System.arraycopy(body, 0, encoded, 1, body.length);
    return Response.encoded(200, encoded, 0);
  }

  /** A response that says where the body is. */
  static Response response(Location location) {
    EventPart.Section section = location.part.section();
    return Response.of(
        200,
        JSON.createObjectNode()
            .put("sequence", location.entry.sequence())
            .put("epochCounter", location.entry.epoch().counter())
            .put("epochNode", location.entry.epoch().node())
            .put("entryBytes", location.entry.bytes())
            .put("offset", section.offset())
            .put("bytes", section.bytes())
            .put("frame", section.frame())
            .put("position", location.part.position())
            .put("itemBytes", location.itemBytes));
  }

  /** The response that carries this body, for the edge's own use. */
  public Response toResponse() {
    if (offset == 1 && bytes[0] == RAW) {
      return Response.encoded(200, bytes, 0);
    }
    return response(copy());
  }

  /**
   * Where the body is, if a successful response says so; else null.
   *
   * @param key of the batch
   */
  public static Location locationIn(Response response, String key) {
    if (isRaw(response.encodedBody()) || !response.body().has("sequence")) {
      return null;
    }
    JsonNode body = response.body();
    long sequence = body.path("sequence").asLong();
    Epoch epoch = new Epoch(body.path("epochCounter").asLong(), body.path("epochNode").asText());
    var section =
        new EventPart.Section(
            sequence,
            body.path("offset").asInt(),
            body.path("bytes").asInt(),
            body.path("frame").asBoolean());
    return new Location(
        new DetachedEntry(key, sequence, epoch, body.path("entryBytes").asInt()),
        new EventPart(section, body.path("position").asInt()),
        body.path("itemBytes").asInt());
  }

  /**
   * The body in a successful response to a read of it; the bytes are not copied.
   *
   * @throws UncheckedIOException if the response has another form
   */
  public static ItemBody of(Response response) {
    byte[] encoded = response.encodedBody();
    return isRaw(encoded)
        ? new ItemBody(encoded, 1)
        : new ItemBody(binary(response.body().path("body")), 0);
  }

  private static boolean isRaw(byte[] encoded) {
    return encoded.length > 0 && encoded[0] == RAW;
  }

  /** The size of the body in bytes. */
  public int length() {
    return bytes.length - offset;
  }

  /** A part of the body, in an array of its own. */
  public byte[] slice(int from, int to) {
    return Arrays.copyOfRange(bytes, offset + from, offset + to);
  }

  /** The whole body, in an array of its own. */
  public byte[] copy() {
    return slice(0, length());
  }

  static byte[] binary(JsonNode body) {
    try {
      return body.binaryValue();
    } catch (IOException malformed) {
      throw new UncheckedIOException("the body of an item is malformed", malformed);
    }
  }
}
