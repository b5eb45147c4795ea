package applespindle.corelogic.batch;

import applespindle.corelogic.replication.ReplicatedLogLeader;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * Reads the contents of a batch's items and the outputs of its results, which its leader doesn't
 * keep: from the log in the heap while they are there, else from a replica.
 */
final class BatchContents {
  private final ReplicatedLogLeader logLeader;

  BatchContents(ReplicatedLogLeader logLeader) {
    this.logLeader = logLeader;
  }

  /**
   * Reads items.
   *
   * @param parts where they are
   * @param callback gets them in the same order, possibly before this returns; null if they can't
   *     be read or the leadership was lost meanwhile
   */
  void readItems(List<EventPart> parts, Consumer<List<JsonNode>> callback) {
    read(parts, BatchEventCodec::items, callback);
  }

  /** Reads outputs in the same way; a failed item has none and must not be asked for. */
  void readOutputs(List<EventPart> parts, Consumer<List<String>> callback) {
    read(parts, BatchEventCodec::outputs, callback);
  }

  private <T> void read(
      List<EventPart> parts,
      BiFunction<EventPart.Section, byte[], List<T>> decoder,
      Consumer<List<T>> callback) {
    Set<EventPart.Section> sections = new LinkedHashSet<>();
    parts.forEach(part -> sections.add(part.section()));
    PendingRead<T> pending = new PendingRead<>(parts, sections.size(), callback);
    if (sections.isEmpty()) {
      callback.accept(List.of());
    }
    for (EventPart.Section section : sections) {
      logLeader.readEvent(
          section.sequence(),
          section.offset(),
          section.bytes(),
          bytes -> pending.handle(section, bytes == null ? null : decoder.apply(section, bytes)));
    }
  }

  /** Invariant: the callback runs once, with everything or with null. */
  private static final class PendingRead<T> {
    private final List<EventPart> parts;
    private final Consumer<List<T>> callback;
    private final Map<EventPart.Section, List<T>> decoded = new HashMap<>();
    private final int sections;
    private boolean finished;

    PendingRead(List<EventPart> parts, int sections, Consumer<List<T>> callback) {
      this.parts = parts;
      this.sections = sections;
      this.callback = callback;
    }

    void handle(EventPart.Section section, List<T> values) {
      if (finished) {
        return;
      }
      if (values == null) {
        finished = true;
        callback.accept(null);
        return;
      }
      decoded.put(section, values);
      if (decoded.size() == sections) {
        finished = true;
        List<T> wanted = new ArrayList<>();
        parts.forEach(part -> wanted.add(decoded.get(part.section()).get(part.position())));
        callback.accept(wanted);
      }
    }
  }
}
