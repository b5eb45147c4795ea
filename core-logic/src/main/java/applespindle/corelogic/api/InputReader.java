package applespindle.corelogic.api;

import static applespindle.corelogic.common.Json.JSON;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonLocation;
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
 * Reads JSON from outside into a record and reports every invalid field at once, each by its JSON
 * path.
 *
 * <p>It stands beside Bean Validation, which it uses for the constraints on values, because two
 * kinds of errors arise before there is a value to validate: Jackson stops at the first field that
 * is unknown or of a wrong type, and fills in missing primitive fields without notice. The tree is
 * therefore compared with the record's components first; fields that don't fit are reported and
 * removed, so that the rest can be converted and validated as well.
 *
 * <p>Supports records whose components are strings, booleans, numbers, enums, trees, other records,
 * and lists and string-keyed maps of these. Invalid input is an expected result and never an
 * exception. Safe for use by any thread.
 */
public final class InputReader {
  /**
   * The Bean Validation provider. It is created at its first use, as this takes about 0.7 s of
   * processor time and most processes never read input from outside; see {@link ConstraintChecker}.
   */
  private static final class BeanValidation {
    static final Validator VALIDATOR =
        Validation.byProvider(HibernateValidator.class)
            .configure()
            .propertyNodeNameProvider(BeanValidation::jsonNameOf)
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

  /** Converts trees whose errors are already reported, and whose invalid fields are missing. */
  private static final ObjectMapper LENIENT =
      JSON.copy().disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  /** Number of errors that are reported at most: bounds the size of the response. */
  private static final int MAX_ERRORS = 100;

  /** Either a valid value and no errors, or null and at least one error. */
  public record Input<T>(T value, List<ApiError.Field> errors) {
    /** Whether there is a value. */
    public boolean isValid() {
      return errors.isEmpty();
    }
  }

  /** Parses JSON and validates it as a record of this type. */
  public static <T> Input<T> read(byte[] bytes, Class<T> type) {
    return read(bytes, type, true);
  }

  /**
   * Parses a document that was validated before it was stored. It is compared with the type, but
   * the constraints of its fields aren't checked again.
   */
  public static <T> Input<T> readWithoutConstraints(byte[] bytes, Class<T> type) {
    return read(bytes, type, false);
  }

  private static <T> Input<T> read(byte[] bytes, Class<T> type, boolean checkConstraints) {
    JsonNode tree;
    try {
      tree = JSON.readTree(bytes);
    } catch (JsonProcessingException malformed) {
      String reason = "not well-formed JSON" + describe(malformed.getLocation());
      return new Input<>(null, List.of(new ApiError.Field("$", reason)));
    } catch (IOException unreadable) {
      return new Input<>(null, List.of(new ApiError.Field("$", "not readable")));
    }
    return read(tree, type, checkConstraints);
  }

  private static String describe(JsonLocation location) {
    return location == null
        ? ""
        : " (line " + location.getLineNr() + ", column " + location.getColumnNr() + ")";
  }

  /** Validates a tree, which is not modified, as a record of this type. */
  public static <T> Input<T> read(JsonNode tree, Class<T> type) {
    return read(tree, type, true);
  }

  private static <T> Input<T> read(JsonNode tree, Class<T> type, boolean checkConstraints) {
    List<ApiError.Field> errors = new ArrayList<>();
    JsonNode fitting = tree.deepCopy();
    if (!compare("$", fitting, type, errors)) {
      return new Input<>(null, errors);
    }
    T value;
    try {
      value = LENIENT.treeToValue(fitting, type);
    } catch (JsonProcessingException | IllegalArgumentException unreadable) {
      return new Input<>(
          null, errors.isEmpty() ? List.of(new ApiError.Field("$", "can not be read")) : errors);
    }
    if (checkConstraints) {
      addViolations(value, errors);
    }
    return errors.isEmpty() ? new Input<>(value, List.of()) : new Input<>(null, reported(errors));
  }

  /** Adds the violated constraints, except on fields that an error is reported for already. */
  private static void addViolations(Object value, List<ApiError.Field> errors) {
    Set<String> reportedPaths =
        errors.stream().map(ApiError.Field::path).collect(Collectors.toSet());
    BeanValidation.VALIDATOR.validate(value).stream()
        .map(each -> new ApiError.Field("$." + each.getPropertyPath(), each.getMessage()))
        .filter(each -> !reportedPaths.contains(each.path()))
        .forEach(errors::add);
  }

  private static List<ApiError.Field> reported(List<ApiError.Field> errors) {
    return errors.stream()
        .sorted(Comparator.comparing(ApiError.Field::path))
        .limit(MAX_ERRORS)
        .toList();
  }

  /**
   * Returns whether the node fits the type. Parts of the node that don't fit are reported and
   * removed from it; what remains can be converted.
   */
  private static boolean compare(
      String path, JsonNode node, Type type, List<ApiError.Field> errors) {
    if (type == JsonNode.class) {
      return true;
    }
    if (node == null || node.isMissingNode() || node.isNull()) {
      return compareNull(path, type, errors);
    }
    if (type instanceof ParameterizedType generic) {
      return compareGeneric(path, node, generic, errors);
    }
    if (type instanceof Class<?> simple && simple.isRecord()) {
      return compareRecord(path, node, simple, errors);
    }
    String mismatch = mismatch(node, (Class<?>) type);
    if (mismatch != null) {
      errors.add(new ApiError.Field(path, mismatch));
    }
    return mismatch == null;
  }

  /** A missing value fits as null, except for the document itself; a primitive needs a value. */
  private static boolean compareNull(String path, Type type, List<ApiError.Field> errors) {
    boolean isDocument = path.equals("$");
    if (isDocument || type instanceof Class<?> simple && simple.isPrimitive()) {
      errors.add(new ApiError.Field(path, "must not be null"));
    }
    return !isDocument;
  }

  private static boolean compareGeneric(
      String path, JsonNode node, ParameterizedType type, List<ApiError.Field> errors) {
    Type[] arguments = type.getActualTypeArguments();
    return type.getRawType() == List.class
        ? compareList(path, node, arguments[0], errors)
        : compareMap(path, node, arguments[1], errors);
  }

  private static boolean compareList(
      String path, JsonNode node, Type elementType, List<ApiError.Field> errors) {
    if (!(node instanceof ArrayNode list)) {
      errors.add(new ApiError.Field(path, "must be a list"));
      return false;
    }
    for (int index = 0; index < list.size(); index++) {
      if (!compare(path + "[" + index + "]", list.get(index), elementType, errors)) {
        list.setNull(index);
      }
    }
    return true;
  }

  private static boolean compareMap(
      String path, JsonNode node, Type valueType, List<ApiError.Field> errors) {
    if (!(node instanceof ObjectNode object)) {
      errors.add(new ApiError.Field(path, "must be an object"));
      return false;
    }
    for (String name : fieldNames(object)) {
      if (!compare(path + "." + name, object.get(name), valueType, errors)) {
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
      String path, JsonNode node, Class<?> type, List<ApiError.Field> errors) {
    if (!(node instanceof ObjectNode object)) {
      errors.add(new ApiError.Field(path, "must be an object"));
      return false;
    }
    RecordComponent[] components = type.getRecordComponents();
    Set<String> names =
        Arrays.stream(components).map(InputReader::jsonNameOf).collect(Collectors.toSet());
    for (String name : fieldNames(object)) {
      if (!names.contains(name)) {
        errors.add(new ApiError.Field(path + "." + name, "unknown field"));
        object.remove(name);
      }
    }
    for (RecordComponent component : components) {
      String name = jsonNameOf(component);
      if (!object.has(name) && mayBeMissing(component)) {
        continue;
      }
      if (!compare(path + "." + name, object.path(name), component.getGenericType(), errors)) {
        object.remove(name);
      }
    }
    return true;
  }

  /** Whether this program itself leaves the component out when it has its default. */
  private static boolean mayBeMissing(RecordComponent component) {
    JsonInclude written = component.getAccessor().getAnnotation(JsonInclude.class);
    return written != null && written.value() == JsonInclude.Include.NON_DEFAULT;
  }

  private static String jsonNameOf(RecordComponent component) {
    return jsonNameOf(component.getAccessor());
  }

  /** The name of a record component in JSON, by its accessor. */
  private static String jsonNameOf(Method accessor) {
    JsonProperty renamed = accessor.getAnnotation(JsonProperty.class);
    return renamed == null ? accessor.getName() : renamed.value();
  }

  /** What the type requires that the node is not; null if it fits. */
  private static String mismatch(JsonNode node, Class<?> type) {
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
