package applespindle.corelogic.batch;

import static applespindle.corelogic.common.Json.JSON;
import static java.nio.charset.StandardCharsets.UTF_8;

import applespindle.corelogic.batch.BatchEvent.Accepted;
import applespindle.corelogic.batch.BatchEvent.Frame;
import applespindle.corelogic.batch.BatchEvent.Recorded;
import applespindle.corelogic.batch.BatchEvent.Result;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.log.DeflatedEvents;
import applespindle.corelogic.log.FramedEvent;
import applespindle.corelogic.log.Payload;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes the events of a batch's log as JSON, deflated where that is large. Acceptances and
 * results with large contents are framed: their header names the items or results, and the contents
 * stand in frames behind it, so that a leader keeps the header only.
 */
public final class BatchEventCodec {
  /** Contents of this size, in bytes, and more are framed. */
  static final int FRAMED_FROM_BYTES = 4 << 10;

  /**
   * A frame is closed once its parts have this size, in bytes: the contents of one range are read
   * without many others, and a frame still compresses well.
   */
  private static final int FRAME_TARGET_BYTES = 16 << 10;

  private static final byte[] NO_BYTES = new byte[0];
  private static final String BODY = "body";
  private static final String ITEM_BYTES = "bytes";

  /**
   * An event as it is appended, and what a leader keeps of it.
   *
   * @param header the event without the contents that are framed; the event itself if none are
   */
  record Encoded(byte[] bytes, BatchEvent header) {}

  private BatchEventCodec() {}

  /** The bytes to append to the log. */
  public static byte[] encode(BatchEvent event) {
    return encodeWithHeader(event).bytes();
  }

  static Encoded encodeWithHeader(BatchEvent event) {
    List<EventFrame.Part> parts = parts(event);
    if (parts.stream().mapToLong(EventFrame.Part::size).sum() < FRAMED_FROM_BYTES) {
      return new Encoded(DeflatedEvents.pack(Json.bytes(event)), event);
    }
    List<byte[]> frames = new ArrayList<>();
    List<Frame> table = new ArrayList<>();
    encodeFrames(parts, frames, table);
    BatchEvent header = header(event, parts, table);
    return new Encoded(FramedEvent.join(Json.bytes(header), frames), header);
  }

  private static List<EventFrame.Part> parts(BatchEvent event) {
    if (event.accepted() != null) {
      return event.accepted().items().stream().map(BatchEventCodec::itemPart).toList();
    }
    return event.recorded() == null
        ? List.of()
        : event.recorded().results().stream().map(BatchEventCodec::outputPart).toList();
  }

  /** The body of a proxied item stands beside its JSON as it is, and not in base64. */
  private static EventFrame.Part itemPart(JsonNode item) {
    byte[] body = item.path(BODY).isBinary() ? binary(item.path(BODY)) : NO_BYTES;
    if (body.length == 0) {
      return new EventFrame.Part(Json.bytes(item), NO_BYTES);
    }
    ObjectNode withoutBody = ((ObjectNode) item).objectNode();
    item.fields()
        .forEachRemaining(
            field -> {
              if (!field.getKey().equals(BODY)) {
                withoutBody.set(field.getKey(), field.getValue());
              }
            });
    return new EventFrame.Part(Json.bytes(withoutBody), body);
  }

  private static EventFrame.Part outputPart(Result result) {
    return new EventFrame.Part(
        NO_BYTES, result.output() == null ? NO_BYTES : result.output().getBytes(UTF_8));
  }

  private static void encodeFrames(
      List<EventFrame.Part> parts, List<byte[]> frames, List<Frame> table) {
    int first = 0;
    int bytes = 0;
    for (int position = 0; position < parts.size(); position++) {
      bytes += parts.get(position).size();
      if (bytes >= FRAME_TARGET_BYTES || position == parts.size() - 1) {
        byte[] frame = EventFrame.encode(parts.subList(first, position + 1));
        frames.add(frame);
        table.add(new Frame(position + 1 - first, frame.length));
        first = position + 1;
        bytes = 0;
      }
    }
  }

  private static BatchEvent header(
      BatchEvent event, List<EventFrame.Part> parts, List<Frame> table) {
    if (event.accepted() != null) {
      List<JsonNode> items = new ArrayList<>(parts.size());
      for (int index = 0; index < parts.size(); index++) {
        JsonNode item = event.accepted().items().get(index);
        items.add(itemHeader(item, parts.get(index).size()));
      }
      return event.withAccepted(event.accepted().withItems(items, table));
    }
    Recorded recorded = event.recorded();
    List<Result> results =
        recorded.results().stream()
            .map(result -> result.withOutput(null, outputBytesOrNull(result)))
            .toList();
    return event.withRecorded(recorded.withResults(results, table));
  }

  private static JsonNode itemHeader(JsonNode item, int bytes) {
    ObjectNode header = JSON.createObjectNode();
    header.set("id", item.path("id"));
    if (item.has("tokens")) {
      header.set("tokens", item.path("tokens"));
    }
    return header.put(ITEM_BYTES, bytes);
  }

  private static Integer outputBytesOrNull(Result result) {
    return result.output() == null ? null : outputBytes(result);
  }

  /** The size of a result's output in UTF-8, whether or not the output is there; 0 for none. */
  static int outputBytes(Result result) {
    if (result.outputBytes() != null) {
      return result.outputBytes();
    }
    return result.output() == null ? 0 : result.output().getBytes(UTF_8).length;
  }

  /**
   * The size of an item's contents by the header of its batch; 0 if the event holds the item
   * itself.
   */
  static int itemBytes(JsonNode itemHeader) {
    return itemHeader.path(ITEM_BYTES).asInt();
  }

  /**
   * The event without the contents that are framed. Throws UncheckedIOException if the bytes are
   * not an encoded event.
   *
   * @param start the encoded event, or of a framed event at least its header
   */
  static BatchEvent decodeHeader(byte[] start) {
    try (InputStream in = DeflatedEvents.open(start)) {
      return JSON.readValue(in, BatchEvent.class);
    } catch (IOException error) {
      throw new UncheckedIOException("an event of a batch cannot be decoded", error);
    }
  }

  /** The complete event. Throws UncheckedIOException if the bytes are not an encoded event. */
  static BatchEvent decode(byte[] bytes) {
    BatchEvent header = decodeHeader(bytes);
    int offset = FramedEvent.headerBytes(Payload.of(bytes));
    if (offset == 0) {
      return header;
    }
    boolean accepted = header.accepted() != null;
    List<Frame> table = accepted ? header.accepted().frames() : header.recorded().frames();
    List<EventFrame.Part> parts = new ArrayList<>();
    for (Frame frame : table) {
      byte[] stored = Payload.of(bytes).slice(offset, frame.bytes());
      parts.addAll(EventFrame.decode(stored));
      offset += frame.bytes();
    }
    return accepted ? withItems(header, parts) : withOutputs(header, parts);
  }

  private static BatchEvent withItems(BatchEvent header, List<EventFrame.Part> parts) {
    Accepted accepted = header.accepted();
    List<JsonNode> items = parts.stream().map(BatchEventCodec::item).toList();
    return header.withAccepted(accepted.withItems(items, null));
  }

  private static BatchEvent withOutputs(BatchEvent header, List<EventFrame.Part> parts) {
    Recorded recorded = header.recorded();
    List<Result> results = new ArrayList<>();
    for (int position = 0; position < parts.size(); position++) {
      Result result = recorded.results().get(position);
      String output = result.outputBytes() == null ? null : output(parts.get(position));
      results.add(result.withOutput(output, null));
    }
    return header.withRecorded(recorded.withResults(results, null));
  }

  // ---- single items and results

  /** The items of a section of an acceptance, in their order. */
  static List<JsonNode> items(EventPart.Section section, byte[] bytes) {
    return section.frame()
        ? EventFrame.decode(bytes).stream().map(BatchEventCodec::item).toList()
        : decode(bytes).accepted().items();
  }

  /** The outputs of a section of recorded results, in their order; null where there is none. */
  static List<String> outputs(EventPart.Section section, byte[] bytes) {
    List<String> outputs = new ArrayList<>();
    if (section.frame()) {
      EventFrame.decode(bytes).forEach(part -> outputs.add(output(part)));
    } else {
      decode(bytes).recorded().results().forEach(result -> outputs.add(result.output()));
    }
    return outputs;
  }

  private static JsonNode item(EventFrame.Part part) {
    JsonNode item = Json.tree(part.json());
    if (part.bytes().length > 0) {
      ((ObjectNode) item).put(BODY, part.bytes());
    }
    return item;
  }

  private static String output(EventFrame.Part part) {
    return new String(part.bytes(), UTF_8);
  }

  private static byte[] binary(JsonNode body) {
    try {
      return body.binaryValue();
    } catch (IOException error) {
      throw new UncheckedIOException("a binary node has no bytes", error);
    }
  }
}
