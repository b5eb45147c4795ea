package applespindle.corelogic.common;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The documents that an observer is notified of. */
class JsonSizeObserverTest {
  private final List<Integer> sizes = new ArrayList<>();

  @Test
  void reportsDocumentsReadAndWritten() {
    JsonSizeObserver.observe(
        sizes::add,
        () -> {
          Json.bytes(List.of(1, 2));
          Json.tree("{}".getBytes(UTF_8));
        });
    assertThat(sizes).containsExactly(5, 2).inOrder();
  }

  @Test
  void reportsNothingAfterTheTask() {
    JsonSizeObserver.observe(sizes::add, () -> {});
    Json.bytes(List.of(1, 2));
    assertThat(sizes).isEmpty();
  }

  @Test
  void reportsNothingAfterATaskThatThrows() {
    Runnable failing =
        () -> {
          throw new IllegalStateException("fails");
        };
    assertThrows(IllegalStateException.class, () -> JsonSizeObserver.observe(sizes::add, failing));
    Json.bytes(List.of(1, 2));
    assertThat(sizes).isEmpty();
  }

  @Test
  void reportsNothingOfOtherThreads() {
    Thread other = new Thread(() -> Json.bytes(List.of(1, 2)));
    JsonSizeObserver.observe(
        sizes::add,
        () -> {
          other.start();
          joinUninterrupted(other);
        });
    assertThat(sizes).isEmpty();
  }

  private static void joinUninterrupted(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }
}
