package applespindle.corelogic.common;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * JSON texts that an earlier build wrote, and their comparison with the values they stand for. Logs
 * and other nodes hold such texts, so the fixtures never change: a change of a format adds new
 * ones.
 */
public final class JsonFixtures {
  private JsonFixtures() {}

  /** Each line is a name, a space and a JSON text. */
  public static Map<String, String> read(String resource) throws IOException {
    Map<String, String> texts = new LinkedHashMap<>();
    try (InputStream in = JsonFixtures.class.getResourceAsStream(resource)) {
      for (String line : new String(in.readAllBytes(), UTF_8).split("\n")) {
        String[] parts = line.split(" ", 2);
        assertWithMessage("repeated " + parts[0]).that(texts.put(parts[0], parts[1])).isNull();
      }
    }
    return texts;
  }

  /** Each text reads as its value, and the value is written as that very text. */
  public static void assertTextsMatch(Map<String, String> texts, Map<String, Object> expected) {
    assertThat(texts.keySet()).containsExactlyElementsIn(expected.keySet());
    expected.forEach(
        (name, value) -> {
          String text = texts.get(name);
          assertSame(name, Json.read(text.getBytes(UTF_8), value.getClass()), value);
          assertWithMessage(name).that(new String(Json.bytes(value), UTF_8)).isEqualTo(text);
        });
  }

  /** Compares field by field, as the equality of records compares byte arrays by identity. */
  public static void assertSame(String where, Object actual, Object expected) {
    if (expected instanceof Record) {
      assertWithMessage(where).that(actual).isNotNull();
      assertWithMessage(where).that(actual.getClass()).isEqualTo(expected.getClass());
      for (RecordComponent component : expected.getClass().getRecordComponents()) {
        assertSame(
            where + "." + component.getName(),
            fieldOf(actual, component),
            fieldOf(expected, component));
      }
    } else if (expected instanceof List<?> list) {
      assertWithMessage(where).that(actual).isInstanceOf(List.class);
      List<?> actualList = (List<?>) actual;
      assertWithMessage(where + " size").that(actualList.size()).isEqualTo(list.size());
      for (int index = 0; index < list.size(); index++) {
        assertSame(where + "[" + index + "]", actualList.get(index), list.get(index));
      }
    } else {
      assertWithMessage(where).that(actual).isEqualTo(expected);
    }
  }

  private static Object fieldOf(Object value, RecordComponent component) {
    try {
      Method accessor = component.getAccessor();
      accessor.setAccessible(true);
      return accessor.invoke(value);
    } catch (ReflectiveOperationException inaccessible) {
      throw new AssertionError(inaccessible);
    }
  }
}
