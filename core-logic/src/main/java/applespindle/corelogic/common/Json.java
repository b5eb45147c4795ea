package applespindle.corelogic.common;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Reads and writes the JSON of the system, with one mapper for all: it rejects unknown fields,
 * duplicate names, trailing text and conversions between types. Sizes are reported to {@link
 * JsonSizeObserver}. Safe for use by any thread.
 */
public final class Json {
  /** The mapper itself, for trees and for input from outside; must not be reconfigured. */
  public static final ObjectMapper JSON =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();

  /**
   * Writes a value as JSON in UTF-8.
   *
   * @throws UncheckedIOException if its type can't be written, which is a defect
   */
  public static byte[] bytes(Object value) {
    try {
      byte[] bytes = JSON.writeValueAsBytes(value);
      JsonSizeObserver.passed(bytes.length);
      return bytes;
    } catch (JsonProcessingException unwritable) {
      throw new UncheckedIOException(unwritable);
    }
  }

  /**
   * Reads a document that this system wrote itself; input from outside is read by {@code
   * InputReader}.
   *
   * @throws UncheckedIOException if the document is malformed or has another type: a defect, or
   *     corrupt data
   */
  public static <T> T read(byte[] bytes, Class<T> type) {
    JsonSizeObserver.passed(bytes.length);
    try {
      return JSON.readValue(bytes, type);
    } catch (IOException malformed) {
      throw new UncheckedIOException(malformed);
    }
  }

  /**
   * Reads a document that this system wrote itself as a tree.
   *
   * @throws UncheckedIOException if the document is malformed
   */
  public static JsonNode tree(byte[] bytes) {
    return read(bytes, JsonNode.class);
  }

  private Json() {}
}
