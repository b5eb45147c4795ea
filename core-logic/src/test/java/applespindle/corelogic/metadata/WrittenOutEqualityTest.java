package applespindle.corelogic.metadata;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import applespindle.corelogic.log.Epoch;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Records whose equality is written out compare all their components, as generated code would. */
class WrittenOutEqualityTest {
  private static final List<Class<? extends Record>> TYPES =
      List.of(Epoch.class, QuorumMember.class);

  private static Object value(Class<?> type, int choice) {
    return type == long.class ? (Object) (long) choice : "text " + choice;
  }

  /** A record whose component at this index has another value; -1 for none. */
  private static Record make(Class<? extends Record> type, int differing) throws Exception {
    RecordComponent[] components = type.getRecordComponents();
    Object[] values = new Object[components.length];
    for (int index = 0; index < values.length; index++) {
      values[index] = value(components[index].getType(), index == differing ? 2 : 1);
    }
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    return type.getDeclaredConstructor(types).newInstance(values);
  }

  @Test
  void equalComponentsAreEqualAndEachOtherOneIsNot() throws Exception {
    for (Class<? extends Record> type : TYPES) {
      Record one = make(type, -1);
      assertThat(make(type, -1)).isEqualTo(one);
      assertThat(make(type, -1).hashCode()).isEqualTo(one.hashCode());
      for (int index = 0; index < type.getRecordComponents().length; index++) {
        assertWithMessage(type + " component " + index).that(make(type, index)).isNotEqualTo(one);
      }
      assertThat(one).isNotEqualTo("text");
    }
  }
}
