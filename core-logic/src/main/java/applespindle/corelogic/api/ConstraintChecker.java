package applespindle.corelogic.api;

import jakarta.validation.Valid;
import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Size;
import java.lang.annotation.Annotation;
import java.lang.reflect.AnnotatedParameterizedType;
import java.lang.reflect.AnnotatedType;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * A fast check whether a record satisfies the Bean Validation constraints on its components, for
 * the common case that it does.
 *
 * <p>It stands beside the Bean Validation provider because of the provider's start-up cost: its
 * first use takes about 0.7 s of processor time, which is several seconds on a node with a fraction
 * of a processor. A control plane node that is unresponsive for so long is replaced. Values that
 * this program wrote itself therefore pass here and never start the provider.
 *
 * <p>The check is conservative: a constraint, container or type that is not known here counts as
 * violated. {@link InputReader} then decides by the provider, and reports the violations. Records
 * may use the constraints that {@code ruleOf} lists without that cost.
 *
 * <p>Safe for use by any thread; the rules of each record type are derived once.
 */
public final class ConstraintChecker {
  private static final String CONSTRAINTS = "jakarta.validation";
  private static final Predicate<Object> UNKNOWN = value -> false;
  private static final int NO_SIZE = -1;

  private record FieldRule(Method accessor, Predicate<Object> rule) {
    boolean holds(Object owner) {
      try {
        return rule.test(accessor.invoke(owner));
      } catch (ReflectiveOperationException unreadable) {
        return false;
      }
    }
  }

  private static final Map<Class<?>, List<FieldRule>> BY_RECORD = new ConcurrentHashMap<>();

  /**
   * Returns true only if every constraint on the record's components, and on the elements of their
   * lists and maps, is satisfied. False does not mean that one is violated.
   *
   * @param record not null; false for a value that is no record
   */
  public static boolean passes(Object record) {
    if (!record.getClass().isRecord()) {
      return false;
    }
    List<FieldRule> rules = BY_RECORD.get(record.getClass());
    if (rules == null) {
      rules = rulesOf(record.getClass());
      BY_RECORD.put(record.getClass(), rules);
    }
    return rules.stream().allMatch(rule -> rule.holds(record));
  }

  private static List<FieldRule> rulesOf(Class<?> type) {
    List<FieldRule> rules = new ArrayList<>();
    for (RecordComponent component : type.getRecordComponents()) {
      component.getAccessor().setAccessible(true);
      rulesOf(component.getAnnotatedType())
          .forEach(rule -> rules.add(new FieldRule(component.getAccessor(), rule)));
    }
    return rules;
  }

  private static List<Predicate<Object>> rulesOf(AnnotatedType type) {
    List<Predicate<Object>> rules = new ArrayList<>();
    for (Annotation annotation : type.getAnnotations()) {
      if (annotation.annotationType().getName().startsWith(CONSTRAINTS)) {
        rules.add(ruleOf(annotation));
      }
    }
    if (type instanceof AnnotatedParameterizedType generic) {
      AnnotatedType[] elementTypes = generic.getAnnotatedActualTypeArguments();
      Class<?> container = (Class<?>) ((ParameterizedType) generic.getType()).getRawType();
      if (container == List.class) {
        rules.add(each(rulesOf(elementTypes[0]), value -> (Collection<?>) value));
      } else if (container == Map.class) {
        rules.add(each(rulesOf(elementTypes[0]), value -> ((Map<?, ?>) value).keySet()));
        rules.add(each(rulesOf(elementTypes[1]), value -> ((Map<?, ?>) value).values()));
      } else {
        rules.add(UNKNOWN);
      }
    }
    return rules;
  }

  private interface Elements {
    Collection<?> of(Object container);
  }

  private static Predicate<Object> each(List<Predicate<Object>> rules, Elements elements) {
    return value ->
        value == null
            || elements.of(value).stream()
                .allMatch(element -> rules.stream().allMatch(rule -> rule.test(element)));
  }

  private static Predicate<Object> ruleOf(Annotation constraint) {
    if (constraint instanceof Valid) {
      return value -> value == null || passes(value);
    } else if (constraint instanceof NotNull) {
      return value -> value != null;
    } else if (constraint instanceof NotBlank) {
      return value -> value instanceof String text && !text.isBlank() && !text.trim().isEmpty();
    } else if (constraint instanceof NotEmpty) {
      return value -> sizeOf(value) > 0;
    } else if (constraint instanceof Size size) {
      return value -> value == null || sizeOf(value) >= size.min() && sizeOf(value) <= size.max();
    } else if (constraint instanceof Min least) {
      return value -> value == null || isInteger(value) && asLong(value) >= least.value();
    } else if (constraint instanceof Max most) {
      return value -> value == null || isInteger(value) && asLong(value) <= most.value();
    } else if (constraint instanceof DecimalMin least && least.inclusive()) {
      return value -> value == null || isFinite(value) && compare(value, least.value()) >= 0;
    } else if (constraint instanceof DecimalMax most && most.inclusive()) {
      return value -> value == null || isFinite(value) && compare(value, most.value()) <= 0;
    } else if (constraint instanceof Pattern pattern && pattern.flags().length == 0) {
      var compiled = java.util.regex.Pattern.compile(pattern.regexp());
      return value ->
          value == null || value instanceof String text && compiled.matcher(text).matches();
    }
    return UNKNOWN;
  }

  /** The size of a text or container; {@link #NO_SIZE} for null and other values. */
  private static int sizeOf(Object value) {
    if (value instanceof String text) {
      return text.length();
    }
    if (value instanceof Collection<?> list) {
      return list.size();
    }
    return value instanceof Map<?, ?> map ? map.size() : NO_SIZE;
  }

  private static boolean isInteger(Object value) {
    return value instanceof Integer || value instanceof Long;
  }

  private static long asLong(Object value) {
    return ((Number) value).longValue();
  }

  private static boolean isFinite(Object value) {
    return value instanceof Double number && Double.isFinite(number);
  }

  private static int compare(Object value, String bound) {
    return BigDecimal.valueOf((Double) value).compareTo(new BigDecimal(bound));
  }

  private ConstraintChecker() {}
}
