package applespindle.corelogic.api;

import static applespindle.corelogic.common.Json.JSON;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.io.IOException;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.hibernate.validator.HibernateValidator;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;
import org.hibernate.validator.spi.nodenameprovider.JavaBeanProperty;
import org.hibernate.validator.spi.nodenameprovider.Property;

/**
 * Reads input from outside into a record and names every faulty field at once, each by its JSON
 * path.
 */
public final class InputReader {
  /**
   * Made at its first use: that takes long on a slow processor, and most processes never take
   * outside input.
   */
  private static final class FieldRules {
    static final Validator VALIDATOR =
        Validation.byProvider(HibernateValidator.class)
            .configure()
            .propertyNodeNameProvider(FieldRules::jsonNameOf)
            .messageInterpolator(new ParameterMessageInterpolator())
            .buildValidatorFactory()
            .getValidator();

    /** Violations are reported under the names that the input uses. */
    private static String jsonNameOf(Property property) {
      if (property instanceof JavaBeanProperty component) {
        for (RecordComponent each : recordComponentsOf(component.getDeclaringClass())) {
          if (each.getName().equals(component.getName())) {
            return InputReader.jsonNameOf(each);
          }
        }
      }
      return property.getName();
    }

    private static RecordComponent[] recordComponentsOf(Class<?> type) {
      return type.isRecord() ? type.getRecordComponents() : new RecordComponent[0];
    }
  }

  /** Used only on trees whose faults are already named. */
  private static final ObjectMapper LENIENT =
      JSON.copy().disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  private static final int FAULTS_MOST = 100;

  /** Either a value and no faults, or faults and no value. */
  public record Input<T>(T value, List<ApiError.Field> errors) {
    public boolean isValid() {
      return errors.isEmpty();
    }
  }

  public static <T> Input<T> read(byte[] bytes, Class<T> type) {
    return read(bytes, type, true);
  }

  /**
   * Of something whose field rules were checked before it was kept: only that this program
   * understands it whole.
   */
  public static <T> Input<T> readWithoutConstraints(byte[] bytes, Class<T> type) {
    return read(bytes, type, false);
  }

  private static <T> Input<T> read(byte[] bytes, Class<T> type, boolean fieldRules) {
    JsonNode tree;
    try {
      tree = JSON.readTree(bytes);
    } catch (JsonProcessingException fault) {
      String place =
          fault.getLocation() == null
              ? ""
              : " (line "
                  + fault.getLocation().getLineNr()
                  + ", column "
                  + fault.getLocation().getColumnNr()
                  + ")";
      return new Input<>(null, List.of(new ApiError.Field("$", "not well-formed JSON" + place)));
    } catch (IOException fault) {
      return new Input<>(null, List.of(new ApiError.Field("$", "not readable")));
    }
    return read(tree, type, fieldRules);
  }

  public static <T> Input<T> read(JsonNode tree, Class<T> type) {
    return read(tree, type, true);
  }

  private static <T> Input<T> read(JsonNode tree, Class<T> type, boolean fieldRules) {
    List<ApiError.Field> faults = new ArrayList<>();
    JsonNode sound = tree.deepCopy();
    if (!compare("$", sound, type, faults)) {
      return new Input<>(null, faults);
    }
    T value;
    try {
      value = LENIENT.treeToValue(sound, type);
    } catch (JsonProcessingException | IllegalArgumentException fault) {
      return new Input<>(
          null, faults.isEmpty() ? List.of(new ApiError.Field("$", "can not be read")) : faults);
    }
    if (fieldRules) {
      Set<String> named = faults.stream().map(ApiError.Field::path).collect(Collectors.toSet());
      FieldRules.VALIDATOR.validate(value).stream()
          .map(each -> new ApiError.Field("$." + each.getPropertyPath(), each.getMessage()))
          .filter(each -> !named.contains(each.path()))
          .forEach(faults::add);
    }
    if (faults.isEmpty()) {
      return new Input<>(value, List.of());
    }
    return new Input<>(
        null,
        faults.stream()
            .sorted(Comparator.comparing(ApiError.Field::path))
            .limit(FAULTS_MOST)
            .toList());
  }

  /**
   * True if the node fits; what does not fit inside it is named and taken out, so that the rest can
   * be checked too.
   */
  private static boolean compare(
      String path, JsonNode node, Type type, List<ApiError.Field> faults) {
    if (type == JsonNode.class) {
      return true;
    }
    if (node == null || node.isMissingNode() || node.isNull()) {
      boolean wanted = path.equals("$") || type instanceof Class<?> simple && simple.isPrimitive();
      if (wanted) {
        faults.add(new ApiError.Field(path, "must not be null"));
      }
      return !path.equals("$");
    }
    if (type instanceof ParameterizedType generic) {
      return compareGeneric(path, node, generic, faults);
    }
    if (type instanceof Class<?> simple && simple.isRecord()) {
      return compareRecord(path, node, simple, faults);
    }
    String wanted = wantedBut(node, (Class<?>) type);
    if (wanted != null) {
      faults.add(new ApiError.Field(path, wanted));
    }
    return wanted == null;
  }

  private static boolean compareGeneric(
      String path, JsonNode node, ParameterizedType type, List<ApiError.Field> faults) {
    if (type.getRawType() == List.class) {
      if (!(node instanceof ArrayNode list)) {
        faults.add(new ApiError.Field(path, "must be a list"));
        return false;
      }
      for (int index = 0; index < list.size(); index++) {
        if (!compare(
            path + "[" + index + "]", list.get(index), type.getActualTypeArguments()[0], faults)) {
          list.setNull(index);
        }
      }
      return true;
    }
    if (!(node instanceof ObjectNode object)) {
      faults.add(new ApiError.Field(path, "must be an object"));
      return false;
    }
    for (String name : fieldNames(object)) {
      if (!compare(path + "." + name, object.get(name), type.getActualTypeArguments()[1], faults)) {
        object.remove(name);
      }
    }
    return true;
  }

  private static List<String> fieldNames(ObjectNode object) {
    List<String> names = new ArrayList<>();
    object.fieldNames().forEachRemaining(names::add);
    return names;
  }

  private static boolean compareRecord(
      String path, JsonNode node, Class<?> type, List<ApiError.Field> faults) {
    if (!(node instanceof ObjectNode object)) {
      faults.add(new ApiError.Field(path, "must be an object"));
      return false;
    }
    RecordComponent[] components = type.getRecordComponents();
    Set<String> names =
        Arrays.stream(components).map(InputReader::jsonNameOf).collect(Collectors.toSet());
    for (String name : fieldNames(object)) {
      if (!names.contains(name)) {
        faults.add(new ApiError.Field(path + "." + name, "unknown field"));
        object.remove(name);
      }
    }
    for (RecordComponent component : components) {
      String name = jsonNameOf(component);
      if (!compare(path + "." + name, object.path(name), component.getGenericType(), faults)) {
        object.remove(name);
      }
    }
    return true;
  }

  private static String jsonNameOf(RecordComponent component) {
    return jsonNameOf(component.getAccessor());
  }

  /** The name of a record component in JSON, by its accessor. */
  private static String jsonNameOf(Method accessor) {
    JsonProperty renamed = accessor.getAnnotation(JsonProperty.class);
    return renamed == null ? accessor.getName() : renamed.value();
  }

  private static String wantedBut(JsonNode node, Class<?> type) {
    if (type == String.class) {
      return node.isTextual() ? null : "must be a string";
    }
    if (type == boolean.class || type == Boolean.class) {
      return node.isBoolean() ? null : "must be true or false";
    }
    if (type == int.class || type == Integer.class) {
      return node.isIntegralNumber() && node.canConvertToInt()
          ? null
          : "must be a whole number of at most 32 bits";
    }
    if (type == long.class || type == Long.class) {
      return node.isIntegralNumber() && node.canConvertToLong()
          ? null
          : "must be a whole number of at most 64 bits";
    }
    if (type == double.class || type == Double.class) {
      return node.isNumber() ? null : "must be a number";
    }
    return null;
  }

  private InputReader() {}
}
