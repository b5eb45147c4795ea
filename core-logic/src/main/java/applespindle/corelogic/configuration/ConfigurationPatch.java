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
 * replace, {@code remove} the names of items to take out. Replaced items keep their place, added
 * ones follow behind the last. Fields that are not known are passed over, as in a whole
 * configuration.
 */
public final class ConfigurationPatch {
  private static final String UPSERT = "upsert";
  private static final String REMOVE = "remove";
  private static final String NAME = "name";

  /** Either a patch and no faults, or faults and no patch. */
  public record ParsedPatch(ConfigurationPatch patch, List<ApiError.Field> errors) {}

  /** Either the whole configuration that results and no faults, or faults and no configuration. */
  public record PatchResult(ObjectNode configuration, List<ApiError.Field> errors) {}

  private final ConfigurationFormat format;
  private final JsonNode tree;
  private final List<ApiError.Field> faults = new ArrayList<>();

  private ConfigurationPatch(ConfigurationFormat format, JsonNode tree) {
    this.format = format;
    this.tree = tree;
  }

  /** Reads a patch and names all that is wrong with it by itself, by JSON path. */
  public static ParsedPatch parse(ConfigurationFormat format, byte[] bytes) {
    JsonNode tree;
    try {
      tree = Json.JSON.readTree(bytes);
    } catch (IOException unreadable) {
      return refused("$", "not well-formed JSON");
    }
    if (tree == null || !tree.isObject()) {
      return refused("$", "must be an object");
    }
    ConfigurationPatch patch = new ConfigurationPatch(format, tree);
    patch.check();
    return patch.faults.isEmpty()
        ? new ParsedPatch(patch, List.of())
        : new ParsedPatch(null, List.copyOf(patch.faults));
  }

  private static ParsedPatch refused(String path, String reason) {
    return new ParsedPatch(null, List.of(new ApiError.Field(path, reason)));
  }

  /** The revision that the configuration gets by this patch. */
  public long revision() {
    return tree.path(format.revisionField()).asLong();
  }

  private void check() {
    JsonNode revision = tree.path(format.revisionField());
    if (!revision.isIntegralNumber() || !revision.canConvertToLong() || revision.asLong() < 1) {
      fault("$." + format.revisionField(), "must be a whole number from 1");
    }
    checkUpserts();
    checkRemovals();
  }

  private void checkUpserts() {
    for (Map.Entry<String, JsonNode> change : changes(UPSERT)) {
      String path = "$." + UPSERT + "." + change.getKey();
      Collection collection = format.collections().get(change.getKey());
      if (collection == null) {
        fault(path, "is no list of named items");
      } else if (collection == Collection.BY_NAME && !change.getValue().isObject()) {
        fault(path, "must be an object of items by name");
      } else if (collection == Collection.LIST) {
        checkItems(path, change.getValue());
      }
    }
  }

  private void checkItems(String path, JsonNode items) {
    if (!items.isArray()) {
      fault(path, "must be a list of items");
      return;
    }
    Set<String> names = new HashSet<>();
    for (int index = 0; index < items.size(); index++) {
      JsonNode name = items.get(index).path(NAME);
      String namePath = path + "[" + index + "]." + NAME;
      if (!name.isTextual() || name.asText().isBlank()) {
        fault(namePath, "must be a text");
      } else if (!names.add(name.asText())) {
        fault(namePath, "stands twice");
      }
    }
  }

  private void checkRemovals() {
    for (Map.Entry<String, JsonNode> change : changes(REMOVE)) {
      String path = "$." + REMOVE + "." + change.getKey();
      if (!format.collections().containsKey(change.getKey())) {
        fault(path, "is no list of named items");
      } else if (!change.getValue().isArray()) {
        fault(path, "must be a list of names");
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
        fault(namePath, "must be a text");
      } else if (!seen.add(name.asText())) {
        fault(namePath, "stands twice");
      } else if (upserted.contains(name.asText())) {
        fault(namePath, "is upserted as well");
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

  /** The collections under one kind of change; none where the field is left out or null. */
  private Iterable<Map.Entry<String, JsonNode>> changes(String kind) {
    JsonNode changes = tree.path(kind);
    if (!changes.isMissingNode() && !changes.isNull() && !changes.isObject()) {
      fault("$." + kind, "must be an object");
    }
    return changes.properties();
  }

  private void fault(String path, String reason) {
    faults.add(new ApiError.Field(path, reason));
  }

  /**
   * The configuration that results. Whether it is valid as a whole is not looked at.
   *
   * @param present the configuration that the patch builds on, left as it is; empty before the
   *     first one
   */
  public PatchResult applyTo(ObjectNode present) {
    ObjectNode whole = present.deepCopy();
    List<ApiError.Field> missing = new ArrayList<>();
    whole.set(format.revisionField(), tree.get(format.revisionField()));
    for (Map.Entry<String, JsonNode> change : changes(REMOVE)) {
      String collection = change.getKey();
      for (int index = 0; index < change.getValue().size(); index++) {
        String name = change.getValue().get(index).asText();
        if (!remove(whole.path(collection), name)) {
          String path = "$." + REMOVE + "." + collection + "[" + index + "]";
          missing.add(new ApiError.Field(path, "names nothing that is there: " + name));
        }
      }
    }
    for (Map.Entry<String, JsonNode> change : changes(UPSERT)) {
      upsert(whole, change.getKey(), change.getValue());
    }
    return missing.isEmpty() ? new PatchResult(whole, List.of()) : new PatchResult(null, missing);
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

  private void upsert(ObjectNode whole, String collection, JsonNode items) {
    if (format.collections().get(collection) == Collection.BY_NAME) {
      ObjectNode byName =
          whole.get(collection) instanceof ObjectNode there ? there : whole.putObject(collection);
      items.properties().forEach(item -> byName.set(item.getKey(), item.getValue()));
      return;
    }
    ArrayNode list =
        whole.get(collection) instanceof ArrayNode there ? there : whole.putArray(collection);
    for (JsonNode item : items) {
      int index = indexOf(list, item.path(NAME).asText());
      if (index < 0) {
        list.add(item);
      } else {
        list.set(index, item);
      }
    }
  }

  private static int indexOf(JsonNode items, String name) {
    for (int index = 0; index < items.size(); index++) {
      if (name.equals(items.get(index).path(NAME).asText(null))) {
        return index;
      }
    }
    return -1;
  }
}
