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
 * Whether the constraints on a record's fields hold, for the common case that they do: making the
 * validator takes half a second of processor time, which a core node must not spend while others
 * wait for its word. Cautious: a constraint that is not known here counts as broken, and the
 * validator then decides and names the faults.
 */
public final class ConstraintChecker {
  private static final String CONSTRAINTS = "jakarta.validation";
  private static final Predicate<Object> UNKNOWN = value -> false;

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

  /** True only if every constraint on the record's fields, and on what they hold, is met. */
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
      ruleOf(component.getAnnotatedType())
          .forEach(rule -> rules.add(new FieldRule(component.getAccessor(), rule)));
    }
    return rules;
  }

  private static List<Predicate<Object>> ruleOf(AnnotatedType type) {
    List<Predicate<Object>> rules = new ArrayList<>();
    for (Annotation annotation : type.getAnnotations()) {
      if (annotation.annotationType().getName().startsWith(CONSTRAINTS)) {
        rules.add(ruleOf(annotation));
      }
    }
    if (type instanceof AnnotatedParameterizedType generic) {
      AnnotatedType[] parts = generic.getAnnotatedActualTypeArguments();
      Class<?> container = (Class<?>) ((ParameterizedType) generic.getType()).getRawType();
      if (container == List.class) {
        rules.add(each(ruleOf(parts[0]), value -> (Collection<?>) value));
      } else if (container == Map.class) {
        rules.add(each(ruleOf(parts[0]), value -> ((Map<?, ?>) value).keySet()));
        rules.add(each(ruleOf(parts[1]), value -> ((Map<?, ?>) value).values()));
      } else {
        rules.add(UNKNOWN);
      }
    }
    return rules;
  }

  private interface Parts {
    Collection<?> of(Object container);
  }

  private static Predicate<Object> each(List<Predicate<Object>> rules, Parts parts) {
    return value ->
        value == null
            || parts.of(value).stream()
                .allMatch(part -> rules.stream().allMatch(rule -> rule.test(part)));
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
      return value -> value == null || isWhole(value) && asLong(value) >= least.value();
    } else if (constraint instanceof Max most) {
      return value -> value == null || isWhole(value) && asLong(value) <= most.value();
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

  /** -1 for what has no size. */
  private static int sizeOf(Object value) {
    return value instanceof String text
        ? text.length()
        : value instanceof Collection<?> list
            ? list.size()
            : value instanceof Map<?, ?> map ? map.size() : -1;
  }

  private static boolean isWhole(Object value) {
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
