package applespindle.corelogic.common;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The one JSON mapper; strict about unknown fields, duplicate names and trailing text. */
public final class Json {
  public static final ObjectMapper JSON =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(com.fasterxml.jackson.core.StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .disable(com.fasterxml.jackson.databind.MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();

  public static byte[] bytes(Object value) {
    try {
      byte[] bytes = JSON.writeValueAsBytes(value);
      JsonSizeObserver.passed(bytes.length);
      return bytes;
    } catch (JsonProcessingException fault) {
      throw new UncheckedIOException(fault);
    }
  }

  /** Reads what this system wrote itself; a fault here is a defect or a corrupt record. */
  public static <T> T read(byte[] bytes, Class<T> type) {
    JsonSizeObserver.passed(bytes.length);
    try {
      return JSON.readValue(bytes, type);
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
  }

  public static JsonNode tree(byte[] bytes) {
    return read(bytes, JsonNode.class);
  }

  private Json() {}
}
