package applespindle.corelogic.replication;

import applespindle.corelogic.environment.Environment;
import applespindle.corelogic.metadata.QuorumMembership;
import applespindle.corelogic.node.NodeIdentity;
import applespindle.corelogic.node.TraceLog;
import applespindle.corelogic.protocol.MessageSender;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * Writes a graph of objects as text, by reflection over their fields, so that two states of the
 * model are the same if their texts are. Lambdas are written with their captured values. The order
 * of maps and sets doesn't count; that of lists and queues does. Records are written as values,
 * other objects once and then as a number.
 */
final class StateText {
  /** Types of fields that never change after the start or don't matter for what comes. */
  private static final Set<Class<?>> CONSTANT =
      Set.of(
          TraceLog.class,
          NodeIdentity.class,
          QuorumMembership.class,
          Environment.class,
          MessageSender.class,
          BiConsumer.class,
          Function.class,
          UnaryOperator.class);

  private static final Map<Class<?>, List<Field>> FIELDS = new ConcurrentHashMap<>();

  private final StringBuilder text = new StringBuilder(4_096);
  private final Map<Object, Integer> seen = new IdentityHashMap<>();

  static String of(Object value) {
    return new StateText().add(value).toString();
  }

  /** Parts of the model that are written as their name only. */
  interface Named {
    String stateName();
  }

  StateText add(Object value) {
    write(value);
    text.append(';');
    return this;
  }

  /** Adds the fields of an object that is written as its name elsewhere. */
  StateText addFields(Object value) {
    writeFields(value);
    text.append(';');
    return this;
  }

  @Override
  public String toString() {
    return text.toString();
  }

  /** A hash of 64 bits of all that was added. */
  long hash() {
    long hash = 0xcbf29ce484222325L;
    for (int index = 0; index < text.length(); index++) {
      hash = (hash ^ text.charAt(index)) * 0x9E3779B97F4A7C15L;
      hash ^= hash >>> 29;
    }
    return hash;
  }

  private void write(Object value) {
    if (value == null) {
      text.append('~');
    } else if (value instanceof Named named) {
      text.append('@').append(named.stateName());
    } else if (value instanceof String || value instanceof Number || value instanceof Boolean) {
      text.append(value);
    } else if (value instanceof Enum<?> constant) {
      text.append(constant.name());
    } else if (value instanceof Map<?, ?> map) {
      writeMap(map);
    } else if (value instanceof Set<?> set) {
      writeSet(set);
    } else if (value instanceof Collection<?> collection) {
      text.append('[');
      collection.forEach(this::add);
      text.append(']');
    } else if (value.getClass().isArray()) {
      writeArray(value);
    } else {
      writeFields(value);
    }
  }

  private void writeMap(Map<?, ?> map) {
    List<Map.Entry<?, ?>> entries = new ArrayList<>(map.entrySet());
    entries.sort(Comparator.comparing(entry -> String.valueOf(entry.getKey())));
    text.append('{');
    for (Map.Entry<?, ?> entry : entries) {
      write(entry.getKey());
      text.append('=');
      write(entry.getValue());
      text.append(',');
    }
    text.append('}');
  }

  private void writeSet(Set<?> set) {
    List<?> sorted = new ArrayList<>(set);
    sorted.sort(Comparator.comparing(String::valueOf));
    text.append('{');
    sorted.forEach(this::add);
    text.append('}');
  }

  private void writeArray(Object array) {
    text.append('[');
    for (int index = 0; index < Array.getLength(array); index++) {
      write(Array.get(array, index));
      text.append(',');
    }
    text.append(']');
  }

  private void writeFields(Object value) {
    boolean identityCounts = !(value instanceof Record);
    Integer number = identityCounts ? seen.putIfAbsent(value, seen.size()) : null;
    if (number != null) {
      text.append('#').append(number);
      return;
    }
    text.append(value.getClass().getSimpleName()).append('(');
    for (Field field : FIELDS.computeIfAbsent(value.getClass(), StateText::fieldsOf)) {
      try {
        write(field.get(value));
      } catch (IllegalAccessException denied) {
        throw new IllegalStateException("field " + field + " can't be read", denied);
      }
      text.append(',');
    }
    text.append(')');
  }

  /** The fields of the project's own classes; those of libraries have none that matter here. */
  private static List<Field> fieldsOf(Class<?> type) {
    List<Field> fields = new ArrayList<>();
    for (Class<?> each = type; isOwn(each); each = each.getSuperclass()) {
      for (Field field : each.getDeclaredFields()) {
        if (!Modifier.isStatic(field.getModifiers()) && !CONSTANT.contains(field.getType())) {
          field.setAccessible(true);
          fields.add(field);
        }
      }
    }
    return fields;
  }

  private static boolean isOwn(Class<?> type) {
    return type != null && type.getName().startsWith("applespindle.");
  }
}
