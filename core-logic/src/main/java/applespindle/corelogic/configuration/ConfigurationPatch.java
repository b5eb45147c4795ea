package applespindle.corelogic.configuration;

import applespindle.corelogic.api.ApiError;
import applespindle.corelogic.common.Json;
import applespindle.corelogic.configuration.ConfigurationFormat.Collection;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A change of a configuration by the names of its items: {@code upsert} holds items to add or to
 * replace, {@code remove} the names of items to remove. Replaced items keep their position, added
 * ones are appended. Unknown fields at the top level are ignored.
 *
 * <p>An instance is well-formed, but need not fit the configuration that it is applied to. Invalid
 * patches are expected results and never exceptions. Not modified once parsed; safe for use by any
 * thread.
 */
public final class ConfigurationPatch {
  private static final String UPSERT = "upsert";
  private static final String REMOVE = "remove";
  private static final String NAME = "name";

  /** Either a patch and no errors, or null and the errors. */
  public record ParsedPatch(ConfigurationPatch patch, List<ApiError.Field> errors) {}

  /** Either the complete document that results and no errors, or null and the errors. */
  public record PatchResult(ObjectNode configuration, List<ApiError.Field> errors) {}

  private final ConfigurationFormat format;
  private final JsonNode tree;
  private final List<ApiError.Field> errors = new ArrayList<>();

  private ConfigurationPatch(ConfigurationFormat format, JsonNode tree) {
    this.format = format;
    this.tree = tree;
  }

  /** Parses a patch; reports all that is wrong with the patch by itself. */
  public static ParsedPatch parse(ConfigurationFormat format, byte[] bytes) {
    JsonNode tree;
    try {
      tree = Json.JSON.readTree(bytes);
    } catch (IOException malformed) {
      return rejected("$", "not well-formed JSON");
    }
    if (tree == null || !tree.isObject()) {
      return rejected("$", "must be an object");
    }
    ConfigurationPatch patch = new ConfigurationPatch(format, tree);
    patch.check();
    return patch.errors.isEmpty()
        ? new ParsedPatch(patch, List.of())
        : new ParsedPatch(null, List.copyOf(patch.errors));
  }

  private static ParsedPatch rejected(String path, String reason) {
    return new ParsedPatch(null, List.of(new ApiError.Field(path, reason)));
  }

  /** The revision of the configuration that results. */
  public long revision() {
    return tree.path(format.revisionField()).asLong();
  }

  private void check() {
    JsonNode revision = tree.path(format.revisionField());
    if (!revision.isIntegralNumber() || !revision.canConvertToLong() || revision.asLong() < 1) {
      reject("$." + format.revisionField(), "must be a whole number from 1");
    }
    checkUpserts();
    checkRemovals();
  }

  private void checkUpserts() {
    for (Map.Entry<String, JsonNode> change : changes(UPSERT)) {
      String path = "$." + UPSERT + "." + change.getKey();
      Collection collection = format.collections().get(change.getKey());
      if (collection == null) {
        reject(path, "is no list of named items");
      } else if (collection == Collection.BY_NAME && !change.getValue().isObject()) {
        reject(path, "must be an object of items by name");
      } else if (collection == Collection.LIST) {
        checkItems(path, change.getValue());
      }
    }
  }

  private void checkItems(String path, JsonNode items) {
    if (!items.isArray()) {
      reject(path, "must be a list of items");
      return;
    }
    Set<String> names = new HashSet<>();
    for (int index = 0; index < items.size(); index++) {
      JsonNode name = items.get(index).path(NAME);
      String namePath = path + "[" + index + "]." + NAME;
      if (!name.isTextual() || name.asText().isBlank()) {
        reject(namePath, "must be a text");
      } else if (!names.add(name.asText())) {
        reject(namePath, "stands twice");
      }
    }
  }

  private void checkRemovals() {
    for (Map.Entry<String, JsonNode> change : changes(REMOVE)) {
      String path = "$." + REMOVE + "." + change.getKey();
      if (!format.collections().containsKey(change.getKey())) {
        reject(path, "is no list of named items");
      } else if (!change.getValue().isArray()) {
        reject(path, "must be a list of names");
      } else {
        checkNames(path, change.getValue(), upsertedNames(change.getKey()));
      }
    }
  }

  private void checkNames(String path, JsonNode names, Set<String> upserted) {
    Set<String> seen = new HashSet<>();
    for (int index = 0; index < names.size(); index++) {
      JsonNode name = names.get(index);
      String namePath = path + "[" + index + "]";
      if (!name.isTextual()) {
        reject(namePath, "must be a text");
      } else if (!seen.add(name.asText())) {
        reject(namePath, "stands twice");
      } else if (upserted.contains(name.asText())) {
        reject(namePath, "is upserted as well");
      }
    }
  }

  private Set<String> upsertedNames(String collection) {
    Set<String> names = new HashSet<>();
    JsonNode items = tree.path(UPSERT).path(collection);
    if (items.isObject()) {
      items.fieldNames().forEachRemaining(names::add);
    } else {
      items.forEach(item -> names.add(item.path(NAME).asText()));
    }
    return names;
  }

  /**
   * The collections under {@code upsert} or {@code remove}; none if the field is missing or null.
   */
  private Iterable<Map.Entry<String, JsonNode>> changes(String kind) {
    JsonNode changes = tree.path(kind);
    if (!changes.isMissingNode() && !changes.isNull() && !changes.isObject()) {
      reject("$." + kind, "must be an object");
    }
    return changes.properties();
  }

  private void reject(String path, String reason) {
    errors.add(new ApiError.Field(path, reason));
  }

  /**
   * Applies the patch. Whether the result is a valid configuration is not checked.
   *
   * @param base the document that the patch builds on, which is not modified; empty before the
   *     first configuration
   */
  public PatchResult applyTo(ObjectNode base) {
    ObjectNode document = base.deepCopy();
    document.set(format.revisionField(), tree.get(format.revisionField()));
    List<ApiError.Field> missing = removeFrom(document);
    if (!missing.isEmpty()) {
      return new PatchResult(null, missing);
    }
    for (Map.Entry<String, JsonNode> change : changes(UPSERT)) {
      upsert(document, change.getKey(), change.getValue());
    }
    return new PatchResult(document, List.of());
  }

  /** Removes the named items from the document; returns an error for each that is not there. */
  private List<ApiError.Field> removeFrom(ObjectNode document) {
    List<ApiError.Field> missing = new ArrayList<>();
    for (Map.Entry<String, JsonNode> change : changes(REMOVE)) {
      String collection = change.getKey();
      for (int index = 0; index < change.getValue().size(); index++) {
        String name = change.getValue().get(index).asText();
        if (!remove(document.path(collection), name)) {
          String path = "$." + REMOVE + "." + collection + "[" + index + "]";
          missing.add(new ApiError.Field(path, "names nothing that is there: " + name));
        }
      }
    }
    return missing;
  }

  private static boolean remove(JsonNode items, String name) {
    if (items instanceof ObjectNode byName) {
      return byName.remove(name) != null;
    }
    int index = indexOf(items, name);
    if (index < 0) {
      return false;
    }
    ((ArrayNode) items).remove(index);
    return true;
  }

  private void upsert(ObjectNode document, String collection, JsonNode items) {
    if (format.collections().get(collection) == Collection.BY_NAME) {
      ObjectNode byName =
          document.get(collection) instanceof ObjectNode present
              ? present
              : document.putObject(collection);
      items.properties().forEach(item -> byName.set(item.getKey(), item.getValue()));
      return;
    }
    ArrayNode list =
        document.get(collection) instanceof ArrayNode present
            ? present
            : document.putArray(collection);
    for (JsonNode item : items) {
      int index = indexOf(list, item.path(NAME).asText());
      if (index < 0) {
        list.add(item);
      } else {
        list.set(index, item);
      }
    }
  }

  /** The index of the item with this name in a list, or -1. */
  private static int indexOf(JsonNode items, String name) {
    for (int index = 0; index < items.size(); index++) {
      if (name.equals(items.get(index).path(NAME).asText(null))) {
        return index;
      }
    }
    return -1;
  }
}
